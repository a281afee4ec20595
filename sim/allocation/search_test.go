package allocation

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever fails, the limit is never exceeded, and most of it is used again after the faults.
func TestLimitIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, members := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "members")
		r := Play(Random(seed), members, rapid.IntRange(1, 3).Draw(t, "budgets"),
			rapid.IntRange(1, 800).Draw(t, "steps"))
		if r.Breach != nil {
			t.Fatalf("%+v", *r.Breach)
		}
	})
}

// Checks the same with plays drawn from seeds: many more plays in the same time, in which every kind
// of fault occurs.
func TestSearchFindsNothing(t *testing.T) {
	f := Search(t.Context(), 1, 200)
	if len(f.Findings) > 0 {
		t.Fatalf("%+v", f.Findings[0])
	}
	for _, kind := range Kinds {
		if f.Faults[kind] == 0 {
			t.Errorf("no fault %q was played", kind)
		}
	}
	if f.Taken == 0 || f.Rounds == 0 {
		t.Errorf("nothing was used: %+v", f)
	}
}
