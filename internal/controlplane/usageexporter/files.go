package usageexporter

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"mothcleat/internal/controlplane/election"
	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/failpoint"
)

// prefix returns the common prefix of the names of the shard's files.
func (e *Exporter) prefix() string { return fmt.Sprintf("use-%03d-", e.Shard) }

// writeFile writes the rows of a batch to a file, which does not count yet. The file name contains
// the term and the digest, so that no two leaders write the same file.
func (e *Exporter) writeFile(t *election.Tenure, b *batch) (*usageexport.File, error) {
	b.csv.Flush()
	sum := sha256.Sum256(b.text.Bytes())
	f := &usageexport.File{
		Role:   t.Role,
		Term:   t.Term,
		SHA256: hex.EncodeToString(sum[:]),
		Rows:   b.rows,
		Units:  b.units,
		Ranges: b.ranges,
	}
	f.Name = fmt.Sprintf("%s%010d-%s.csv", e.prefix(), t.Term, f.SHA256[:16])
	path := filepath.Join(e.Dir, f.Name)
	temporary := path + ".new"
	out, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	_, err = out.Write(b.text.Bytes())
	failpoint.At("export-amid-write")
	if err := errors.Join(err, out.Sync(), out.Close()); err != nil {
		_ = os.Remove(temporary)
		return nil, err
	}
	if err := os.Rename(temporary, path); err != nil {
		return nil, err
	}
	return f, syncDir(e.Dir)
}

// removeAbandoned removes files of former leaders that don't count. They can't count later, because
// commands of earlier terms are rejected and the view was read after the term began.
func (e *Exporter) removeAbandoned(t *election.Tenure, view *usageexport.View) error {
	counts := map[string]bool{}
	for _, f := range view.Files {
		counts[f.Name] = true
	}
	entries, err := os.ReadDir(e.Dir)
	if err != nil {
		return err
	}
	oldest := uint64(0)
	if len(view.Files) > 0 && uint64(len(view.Files)) < view.Count {
		oldest = view.Files[0].Term // the view no longer lists all files of terms up to this one
	}
	for _, entry := range entries {
		rest, ok := strings.CutPrefix(entry.Name(), e.prefix())
		term, _, cut := strings.Cut(rest, "-")
		n, err := strconv.ParseUint(term, 10, 64)
		if !ok || !cut || err != nil || counts[entry.Name()] || n >= t.Term || n <= oldest {
			continue
		}
		if err := os.Remove(filepath.Join(e.Dir, entry.Name())); err != nil {
			return err
		}
	}
	return nil
}

// syncDir syncs a directory, so that a rename in it survives a power failure.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
