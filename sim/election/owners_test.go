package election

import (
	"reflect"
	"testing"
	"time"
)

func TestOneSeedHasOneHistory(t *testing.T) {
	for seed := range uint64(12) {
		o := Options{Seed: seed, Voters: 3, Members: 4, For: 8 * time.Second}
		if a, b := Play(o), Play(o); !reflect.DeepEqual(a, b) {
			t.Errorf("%+v\n%+v", a, b)
		}
	}
}

// Without faults the duty is held all the while, by one term, and all that is asked is answered.
func TestQuiet(t *testing.T) {
	r := Play(Options{Seed: 1, Voters: 3, Members: 4, For: 10 * time.Second, Quiet: true})
	if r.Breach != nil || r.Acked < 50 || r.Effects < 20 || r.Leaders != 1 {
		t.Errorf("%+v", r)
	}
}

// Whatever goes wrong, no promise is broken; and enough goes wrong.
func TestFaultsBreakNothing(t *testing.T) {
	faults := map[string]int{}
	acked := 0
	for seed := range uint64(50) {
		r := Play(Options{Seed: seed, Voters: 3 + 2*int(seed%2), Members: 4, For: 14 * time.Second})
		if r.Breach != nil {
			t.Errorf("seed %d: %+v", seed, *r.Breach)
		}
		for k, n := range r.Faults {
			faults[k] += n
		}
		acked += r.Acked
	}
	for _, k := range Kinds {
		if faults[k] < 2 {
			t.Errorf("%d %s", faults[k], k)
		}
	}
	if acked < 1000 {
		t.Errorf("%d commands were acknowledged", acked)
	}
	t.Log(faults, acked)
}
