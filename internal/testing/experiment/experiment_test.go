package experiment

import (
	"context"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const small = `
name = "small"
title = "A small one"
seeds = 3
for = "2s"
sweep = "gateways"
values = [1, 3]
[[variant]]
name = "half"
set = { load = 0.3 }
[[variant]]
name = "whole"
set = { load = 0.6 }
`

func parse(t *testing.T, text string) *File {
	t.Helper()
	f, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func sorted(t *testing.T, path string) []string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	slices.Sort(lines)
	return lines
}

// An experiment that was interrupted within a line resumes there, and ends with the same rows as an
// uninterrupted one.
func TestInterruptedExperimentResumes(t *testing.T) {
	f, dir := parse(t, small), t.TempDir()
	whole, cut := filepath.Join(dir, "whole"), filepath.Join(dir, "cut")
	if err := f.Run(context.Background(), whole, io.Discard); err != nil {
		t.Fatal(err)
	}
	want := sorted(t, whole)
	if len(want) != len(f.Points()) {
		t.Fatalf("%d rows for %d points", len(want), len(f.Points()))
	}
	raw, err := os.ReadFile(whole)
	if err != nil {
		t.Fatal(err)
	}
	for _, at := range []int{0, 1, len(raw) / 3, len(raw) / 2, len(raw) - 1} {
		if err := os.WriteFile(cut, raw[:at], 0o600); err != nil {
			t.Fatal(err)
		}
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		if err := f.Run(ended, cut, io.Discard); err == nil && at < len(raw)-1 {
			t.Errorf("cut at %d: an interrupted run returned no error", at)
		}
		if err := f.Run(context.Background(), cut, io.Discard); err != nil {
			t.Fatal(err)
		}
		if got := sorted(t, cut); !slices.Equal(got, want) {
			t.Errorf("cut at %d: other rows than without an interruption", at)
		}
	}
	// Damage other than a truncated end is an error.
	if err := os.WriteFile(cut, append([]byte("{nothing\n"), raw...), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := f.Run(
		context.Background(),
		cut,
		io.Discard,
	); err == nil ||
		!strings.Contains(err.Error(), ":1:") {
		t.Errorf("damage in the first line: %v", err)
	}
	rows, err := ReadRows(whole)
	if err != nil {
		t.Fatal(err)
	}
	files, err := f.Plot(f.Summarise(rows), dir)
	if err != nil || len(files) != 4 {
		t.Fatalf("plots: %v, %v", files, err)
	}
	for _, file := range files {
		if info, err := os.Stat(file); err != nil || info.Size() < 1000 {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// Differences are computed seed by seed, from complete pairs only.
func TestPairsAreComparedSeedBySeed(t *testing.T) {
	f := parse(t, small)
	var rows []Row
	for i, y := range []float64{0.2, 0.5, 0.9} { // far apart, with differences close together
		seed := f.First + uint64(i)
		rows = append(
			rows,
			Row{Point{"half", 1, seed}, map[string]float64{"service": y}},
			Row{
				Point{"whole", 1, seed},
				map[string]float64{"service": y + 0.05 + 0.001*float64(i)},
			},
		)
	}
	// This row has no pair.
	rows = append(rows, Row{Point{"half", 3, f.First}, map[string]float64{"service": 1}})
	all := f.Summarise(rows)
	i := slices.IndexFunc(all, func(s Summary) bool { return s.Figure == "service" && s.X == 1 })
	if i < 0 || slices.ContainsFunc(all, func(s Summary) bool { return s.X == 3 }) {
		t.Fatalf("%+v", all)
	}
	s := all[i]
	if math.Abs(s.Difference-0.051) > 1e-9 || !s.Tells || s.Spreads[0] < 0.5 || s.Interval > 0.01 {
		t.Errorf("%+v", s)
	}
}

func TestBadExperiments(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"name = \"x\"\nsweep = \"load\"\nvalues = [1]\nnothing = 1\n", "line 4: nothing"},
		{strings.Replace(small, "gateways", "pigeons", 1), "sweep"},
		{strings.Replace(small, "load = 0.3", "pigeons = 1", 1), "pigeons"},
		{strings.Replace(small, "[1, 3]", "[]", 1), "values"},
		{strings.Replace(small, "seeds = 3", "seeds = 1", 1), "seeds"},
		{strings.Replace(small, "\"2s\"", "\"soon\"", 1), "for"},
		{strings.Replace(small, "\"small\"", "\"../small\"", 1), "name"},
		{strings.Replace(small, "\"whole\"", "\"half\"", 1), "two are called"},
	} {
		if _, err := Parse([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("error %v, want one that contains %q", err, c.want)
		}
	}
}

// The experiments in the repository can be read.
func TestKeptExperimentsAreGood(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/*.toml")
	if err != nil || len(files) < 6 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, file := range files {
		if _, err := Load(file); err != nil {
			t.Error(err)
		}
	}
}
