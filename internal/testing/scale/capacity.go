package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
)

// Capacity holds the measurements, as stored in docs/capacity.json. The tables of docs/CAPACITY.md
// are computed from it.
type Capacity struct {
	// How the measurements were made, and what was scaled down and why.
	About []string `json:"about"`
	Steps []Step   `json:"steps"`
	// Runs as close to the design size as the machine allows.
	Runs       []*Result   `json:"runs"`
	Benchmarks []Benchmark `json:"benchmarks"`
}

// ReadCapacity reads the file at path. It returns an empty Capacity if the file does not exist.
func ReadCapacity(path string) (*Capacity, error) {
	c := &Capacity{}
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return c, nil
	}
	if err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Write writes the measurements to the file at path.
func (c *Capacity) Write(path string) error {
	raw, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// Take replaces the steps of the series called name; trials stay.
func (c *Capacity) Take(name string, steps []Step) {
	c.Steps = slices.DeleteFunc(
		c.Steps,
		func(s Step) bool { return s.Series == name && s.Trial == "" },
	)
	c.Steps = append(c.Steps, steps...)
}

// Keep adds a run's result to the file at path.
func Keep(path string, r *Result) error {
	c, err := ReadCapacity(path)
	if err != nil {
		return err
	}
	c.Runs = append(c.Runs, r)
	return c.Write(path)
}

// SlopesLine returns the slopes as one line of JSON.
func (c *Capacity) SlopesLine() (string, error) {
	slopes, err := c.FitAll()
	if err != nil {
		return "", err
	}
	raw, err := json.Marshal(map[string]any{"command": "scale", "slopes": slopes})
	return string(raw), err
}
