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

// Capacity is what was measured: docs/capacity.json. The table of docs/CAPACITY.md is worked out
// from it.
type Capacity struct {
	About      []string    `json:"about"` // how it was measured, and what was scaled down and why
	Steps      []Step      `json:"steps"`
	Runs       []*Result   `json:"runs"` // as near to the size that is designed for as the machine holds
	Benchmarks []Benchmark `json:"benchmarks"`
}

// ReadCapacity reads the file. One that is not there is empty.
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

// Write writes the file.
func (c *Capacity) Write(path string) error {
	raw, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// Take puts a ladder's steps in the place of those that were there; trials stay.
func (c *Capacity) Take(name string, steps []Step) {
	c.Steps = slices.DeleteFunc(
		c.Steps,
		func(s Step) bool { return s.Series == name && s.Trial == "" },
	)
	c.Steps = append(c.Steps, steps...)
}

// Keep adds a run's result to the file.
func Keep(path string, r *Result) error {
	c, err := ReadCapacity(path)
	if err != nil {
		return err
	}
	c.Runs = append(c.Runs, r)
	return c.Write(path)
}

// SlopesLine is the slopes as one line of JSON.
func (c *Capacity) SlopesLine() (string, error) {
	slopes, err := c.FitAll()
	if err != nil {
		return "", err
	}
	raw, err := json.Marshal(map[string]any{"command": "scale", "slopes": slopes})
	return string(raw), err
}
