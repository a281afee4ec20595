package election

import (
	"reflect"
	"testing"
	"time"
)

// The same seed always gives the same history.
func TestOneSeedHasOneHistory(t *testing.T) {
	for seed := range uint64(12) {
		o := Options{Seed: seed, Voters: 3, Members: 4, Duration: 8 * time.Second}
		if a, b := Play(o), Play(o); !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d: two plays differ:\n%+v\n%+v", seed, a, b)
		}
	}
}

// Without faults one voter leads the log throughout, the role has a leader, and commands are answered.
func TestNoFaults(t *testing.T) {
	r := Play(Options{Seed: 1, Voters: 3, Members: 4, Duration: 10 * time.Second, NoFaults: true})
	if r.Breach != nil || r.Acknowledged < 50 || r.Effects < 20 || r.Leaders != 1 {
		t.Errorf("%+v", r)
	}
}

// Faults break no rule, and at least two faults of each kind are injected.
func TestFaultsBreakNothing(t *testing.T) {
	faults := map[string]int{}
	acknowledged := 0
	for seed := range uint64(50) {
		r := Play(Options{
			Seed: seed, Voters: 3 + 2*int(seed%2), Members: 4, Duration: 14 * time.Second,
		})
		if r.Breach != nil {
			t.Errorf("seed %d: %+v", seed, *r.Breach)
		}
		for kind, count := range r.Faults {
			faults[kind] += count
		}
		acknowledged += r.Acknowledged
	}
	for _, kind := range Kinds {
		if faults[kind] < 2 {
			t.Errorf("%d faults of kind %q, must be at least 2", faults[kind], kind)
		}
	}
	if acknowledged < 1000 {
		t.Errorf("%d commands were acknowledged, must be at least 1000", acknowledged)
	}
	t.Log(faults, acknowledged)
}
