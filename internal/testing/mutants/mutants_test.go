package mutants

import (
	"context"
	"io"
	"os/exec"
	"testing"
	"time"
)

// The old text of each mutant occurs once in the current sources, and the new text differs from it.
func TestMutantsFitTheSources(t *testing.T) {
	all, err := List()
	if err != nil {
		t.Fatal(err)
	}
	if len(all) < 12 {
		t.Errorf("there are %d mutants, must be at least 12", len(all))
	}
	names := map[string]bool{}
	for _, m := range all {
		if names[m.Name] {
			t.Errorf("two mutants have the name %q", m.Name)
		}
		names[m.Name] = true
		if _, err := m.patched("../../.."); err != nil {
			t.Error(err)
		}
		if m.Old == m.New {
			t.Errorf("%s changes nothing", m.Name)
		}
	}
}

// Checks the same for the other lists.
func TestAllListsFitTheSources(t *testing.T) {
	for name, list := range map[string]func() ([]Mutant, error){
		"owners": Owners, "budgets": Budgets, "versions": Versions, "distribution": Distribution,
	} {
		all, err := list()
		if err != nil || len(all) < 6 {
			t.Errorf("%s: %d mutants, %v", name, len(all), err)
		}
		for _, m := range all {
			if _, err := m.patched("../../.."); err != nil || m.Old == m.New {
				t.Errorf("%s: %s: %v", name, m.Name, err)
			}
		}
	}
}

// Builds the lab with a mutant, and checks that its search finds the mutant.
func TestTheSearchFindsAMutant(t *testing.T) {
	if _, err := exec.LookPath("go"); err != nil {
		t.Skip("the Go tool is missing")
	}
	all, err := List()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	results, err := Run(ctx, "search", all[:1], 1, 2000, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if !results[0].Found {
		t.Errorf("%+v", results[0])
	}
}
