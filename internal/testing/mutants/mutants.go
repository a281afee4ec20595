// Package mutants builds variants of the source code with one known fault each, and checks that the
// searches find them: if a search can't find known faults, finding none proves nothing.
//
// A mutant replaces one text of one file. It is compiled with the Go tool's overlay, which leaves
// the source tree unchanged and needs no copy of it.
package mutants

import (
	"bytes"
	"context"
	_ "embed" // for the lists of mutants
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

// Mutant is one variant of the source code with a known fault.
type Mutant struct {
	Name string `toml:"name"`
	Rule string `toml:"rule"` // the rule that it should break
	File string `toml:"file"`
	Old  string `toml:"old"` // occurs exactly once in the file
	New  string `toml:"new"`
	// Test is the package whose tests find the mutant, if no play can: its fault shows only
	// together with another fault that the rest of the code rules out.
	Test string `toml:"test"`
}

// Result is the outcome of the search for a mutant.
type Result struct {
	Name   string `json:"name"`
	Found  bool   `json:"found"`
	After  int    `json:"after"` // schedules played
	Rule   string `json:"rule,omitempty"`
	Faults int    `json:"faults,omitempty"` // of the shortest schedule
	What   string `json:"what,omitempty"`
}

// List returns all mutants of the decisions about requests.
func List() ([]Mutant, error) { return read(list) }

// Owners returns all mutants of the consensus, the leases and the usage export.
func Owners() ([]Mutant, error) { return read(owners) }

// Budgets returns all mutants of the allocation of budgets.
func Budgets() ([]Mutant, error) { return read(budgets) }

// Versions returns all mutants of the rollout of configuration versions.
func Versions() ([]Mutant, error) { return read(versions) }

// Distribution returns all mutants of the distribution of control state to the gateways.
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

// Root returns the directory of the module's sources. It returns an error if the sources or the Go
// tool are missing.
func Root(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "list", "-m", "-f", "{{.Dir}}", "mothcleat").Output()
	if err != nil {
		return "", fmt.Errorf("mutants: find the module's sources: %w", err)
	}
	return strings.TrimSpace(string(out)), nil
}

// patched returns the content of the mutant's file with the text replaced.
func (m *Mutant) patched(root string) ([]byte, error) {
	raw, err := os.ReadFile(filepath.Join(root, m.File))
	if err != nil {
		return nil, fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	if n := bytes.Count(raw, []byte(m.Old)); n != 1 {
		return nil, fmt.Errorf("mutant %s: its old text occurs %d times in %s, must occur once",
			m.Name, n, m.File)
	}
	return bytes.Replace(raw, []byte(m.Old), []byte(m.New), 1), nil
}

// build compiles the lab with the mutant, and returns the path of the binary.
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

// tested runs the tests of the mutant's package. The mutant is found if they fail.
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

// overlay writes the mutant's file and the Go tool's overlay file, and returns the latter's path.
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

// Run builds the mutants, and has the lab's command search play at most the given number of
// schedules for each of them. It runs up to half as many mutants at a time as there are CPUs.
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
	slots := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for i := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
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
		if exit != nil { // the lab panicked, which counts as found
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

// Median returns the median number of schedules until a mutant was found, or 0 if none was found.
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
