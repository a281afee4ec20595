// Package mutants builds wrong variants of the decisions and has the search look for
// them: a search that can't find a known fault shows nothing by finding none.
//
// A variant is one replaced text. It is compiled by way of the Go tool's overlay, so that
// the tree stays as it is and nothing of it is kept in a second copy.
package mutants

import (
	"bytes"
	"context"
	_ "embed" // the list
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"
)

//go:embed mutants.toml
var list []byte

//go:embed owners.toml
var owners []byte

//go:embed budgets.toml
var budgets []byte

//go:embed versions.toml
var versions []byte

//go:embed distribution.toml
var distribution []byte

// Mutant is one wrong variant.
type Mutant struct {
	Name string `toml:"name"`
	Rule string `toml:"rule"` // that it is expected to break
	File string `toml:"file"`
	Old  string `toml:"old"` // stands once in the file
	New  string `toml:"new"`
	// Test is a package whose tests find it, where no play can: the fault shows only beside one
	// that the rest rules out.
	Test string `toml:"test"`
}

// Result is what the search made of a mutant.
type Result struct {
	Name   string `json:"name"`
	Found  bool   `json:"found"`
	After  int    `json:"after"` // schedules played
	Rule   string `json:"rule,omitempty"`
	Faults int    `json:"faults,omitempty"` // of the shortest schedule
	What   string `json:"what,omitempty"`
}

// List is all mutants of the decisions about requests.
func List() ([]Mutant, error) { return read(list) }

// Owners is all mutants of what the fleet agrees on.
func Owners() ([]Mutant, error) { return read(owners) }

// Budgets is all mutants of how budgets are divided.
func Budgets() ([]Mutant, error) { return read(budgets) }

// Versions is all mutants of what the fleet is to act on.
func Versions() ([]Mutant, error) { return read(versions) }

// Distribution is all mutants of how the control state reaches the gateways.
func Distribution() ([]Mutant, error) { return read(distribution) }

func read(list []byte) ([]Mutant, error) {
	var f struct {
		Mutant []Mutant `toml:"mutant"`
	}
	if err := toml.NewDecoder(bytes.NewReader(list)).
		DisallowUnknownFields().
		Decode(&f); err != nil {
		return nil, fmt.Errorf("mutants: %w", err)
	}
	return f.Mutant, nil
}

// Root is the folder of the module's sources; an error where there are none, or no Go.
func Root(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "list", "-m", "-f", "{{.Dir}}", "mothcleat").Output()
	if err != nil {
		return "", fmt.Errorf("mutants: the sources can't be found: %w", err)
	}
	return strings.TrimSpace(string(out)), nil
}

// patched is the file with the mutant's text in it.
func (m *Mutant) patched(root string) ([]byte, error) {
	raw, err := os.ReadFile(filepath.Join(root, m.File))
	if err != nil {
		return nil, fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	if n := bytes.Count(raw, []byte(m.Old)); n != 1 {
		return nil, fmt.Errorf("mutant %s: its text stands %d times in %s", m.Name, n, m.File)
	}
	return bytes.Replace(raw, []byte(m.Old), []byte(m.New), 1), nil
}

// build compiles the lab with the mutant in it, or finds that the tests of its package fail.
func (m *Mutant) build(ctx context.Context, root, dir string) (bin string, err error) {
	overlay, err := m.overlay(root, dir)
	if err != nil {
		return "", err
	}
	bin = filepath.Join(dir, "lab")
	cmd := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-o", bin, "./cmd/lab")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("mutant %s: build: %w\n%s", m.Name, err, out)
	}
	return bin, nil
}

// tested has the mutant's tests look for it.
func (m *Mutant) tested(ctx context.Context, root, dir string) (Result, error) {
	overlay, err := m.overlay(root, dir)
	if err != nil {
		return Result{}, err
	}
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-overlay", overlay, m.Test)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && (!errors.As(err, &exit) || bytes.Contains(out, []byte("build failed"))) {
		return Result{}, fmt.Errorf("mutant %s: %w\n%s", m.Name, err, out)
	}
	return Result{Name: m.Name, Found: err != nil, After: 1, Rule: "test of " + m.Test}, nil
}

// overlay writes the mutant's file, and what tells the Go tool to take it.
func (m *Mutant) overlay(root, dir string) (path string, err error) {
	text, err := m.patched(root)
	if err != nil {
		return "", err
	}
	file, overlay := filepath.Join(dir, "mutant.go"), filepath.Join(dir, "overlay.json")
	raw, err := json.Marshal(
		map[string]any{"Replace": map[string]string{filepath.Join(root, m.File): file}},
	)
	if err != nil {
		return "", err
	}
	return overlay, errors.Join(os.WriteFile(file, text, 0o600), os.WriteFile(overlay, raw, 0o600))
}

// Run builds the mutants and searches each, over at most so many schedules, by a command of the
// lab.
func Run(
	ctx context.Context,
	search string,
	all []Mutant,
	seed uint64,
	schedules int,
	progress io.Writer,
) ([]Result, error) {
	root, err := Root(ctx)
	if err != nil {
		return nil, err
	}
	results, errs := make([]Result, len(all)), make([]error, len(all))
	var wg sync.WaitGroup
	room := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for i := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			room <- struct{}{}
			defer func() { <-room }()
			results[i], errs[i] = all[i].run(ctx, root, search, seed, schedules)
			if errs[i] == nil {
				fmt.Fprintf(
					progress,
					"mutant %-40s found %t after %d schedules\n",
					all[i].Name,
					results[i].Found,
					results[i].After,
				)
			}
		}()
	}
	wg.Wait()
	return results, errors.Join(errs...)
}

func (m *Mutant) run(
	ctx context.Context,
	root, search string,
	seed uint64,
	schedules int,
) (Result, error) {
	r := Result{Name: m.Name}
	dir, err := os.MkdirTemp("", "mothcleat-mutant-")
	if err != nil {
		return r, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if m.Test != "" {
		return m.tested(ctx, root, dir)
	}
	bin, err := m.build(ctx, root, dir)
	if err != nil {
		return r, err
	}
	out, err := exec.CommandContext(ctx, bin, search, "--mutants=false", "--for", "10m",
		"--seed", fmt.Sprint(seed), "--schedules", fmt.Sprint(schedules)).Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return r, fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	lines := bytes.Split(bytes.TrimSpace(out), []byte("\n"))
	var f struct {
		Schedules int `json:"schedules"`
		Findings  []struct {
			Rule   string `json:"rule"`
			What   string `json:"what"`
			After  int    `json:"after"`
			Faults int    `json:"faults"`
		} `json:"findings"`
	}
	if err := json.Unmarshal(lines[len(lines)-1], &f); err != nil {
		if exit != nil { // it ended in a panic, which is a breach too
			return Result{Name: m.Name, Found: true, Rule: "panic", After: f.Schedules}, nil
		}
		return r, fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	r.After = f.Schedules
	if len(f.Findings) > 0 {
		x := f.Findings[0]
		r.Found, r.After, r.Rule, r.Faults, r.What = true, x.After, x.Rule, x.Faults, x.What
	}
	return r, nil
}

// Median is the median number of schedules until a mutant was found.
func Median(results []Result) int {
	var after []int
	for _, r := range results {
		if r.Found {
			after = append(after, r.After)
		}
	}
	if len(after) == 0 {
		return 0
	}
	slices.Sort(after)
	return after[len(after)/2]
}
