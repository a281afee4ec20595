package usageexporter

import (
	"bytes"
	"crypto/sha256"
	"encoding/csv"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"mothcleat/internal/controlplane/usageexport"
)

// Indexes of columns in csvHeader.
const (
	customerColumn = 5
	unitsColumn    = 6
)

// FileMismatchError is returned for an exported file whose digest is not the committed one.
type FileMismatchError struct{ Name string }

// Error returns the name of the file and the reason.
func (e *FileMismatchError) Error() string {
	return e.Name + ": the digest differs from the committed one"
}

// Verify checks the files of a directory against the committed view. It returns the units by tenant
// in the files that count, and the names of files that do not count. It returns an error if a file
// that counts is missing, and a FileMismatchError if its digest differs.
func Verify(
	dir string, view *usageexport.View,
) (units map[uint64]float64, loose []string, err error) {
	units = map[uint64]float64{}
	counts := map[string]bool{}
	for _, f := range view.Files {
		counts[f.Name] = true
		raw, err := os.ReadFile(filepath.Join(dir, f.Name))
		if err != nil {
			return nil, nil, err
		}
		if sum := sha256.Sum256(raw); hex.EncodeToString(sum[:]) != f.SHA256 {
			return nil, nil, &FileMismatchError{f.Name}
		}
		if err := addUnits(units, raw); err != nil {
			return nil, nil, fmt.Errorf("%s: %w", f.Name, err)
		}
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, nil, err
	}
	for _, e := range entries {
		if !counts[e.Name()] {
			loose = append(loose, e.Name())
		}
	}
	return units, loose, nil
}

// addUnits adds the units of an exported file to the sums by tenant.
func addUnits(units map[uint64]float64, raw []byte) error {
	rows, err := csv.NewReader(bytes.NewReader(raw)).ReadAll()
	if err != nil {
		return err
	}
	for _, row := range rows[1:] {
		customer, customerErr := strconv.ParseUint(row[customerColumn], 16, 64)
		n, unitsErr := strconv.ParseFloat(row[unitsColumn], 64)
		if err := errors.Join(customerErr, unitsErr); err != nil {
			return err
		}
		units[customer] += n
	}
	return nil
}
