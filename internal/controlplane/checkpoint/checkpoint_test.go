package checkpoint

import (
	"encoding/json"
	"testing"

	"mothcleat/internal/controlplane/lease"
)

func TestOps(t *testing.T) {
	tb := lease.NewTable(lease.DefaultConfig())
	a, b := lease.Member{ID: "a", Incarnation: 1}, lease.Member{ID: "b", Incarnation: 1}
	if _, err := tb.Acquire(0, "d", a, 0); err != nil {
		t.Fatal(err)
	}
	m := NewMachine(tb)
	at := func(n uint64) *uint64 { return &n }
	for i, c := range []struct {
		who     lease.Member
		op      Op
		ok      bool
		value   string
		version uint64
	}{
		{a, Op{Key: "k", Value: "1"}, true, "1", 1},
		{b, Op{Key: "k", Value: "2", ExpectedVersion: at(9)}, false, "1", 1},
		{b, Op{Key: "k", Value: "2", ExpectedVersion: at(1)}, true, "2", 3},
		{b, Op{Key: "k", Value: "3", Role: "d", Term: 1}, false, "2", 3}, // another's duty
		{a, Op{Key: "k", Value: "3", Role: "d", Term: 2}, false, "2", 3}, // another term
		{a, Op{Key: "k", Value: "3", Role: "d", Term: 1}, true, "3", 6},
		{a, Op{Key: "", Value: "3"}, false, "", 0},
		{a, Op{Key: "k", Value: string(make([]byte, MaxValueBytes+1))}, false, "3", 6},
		{a, Op{Key: "k"}, true, "", 0}, // taken out
		{a, Op{Key: "k", Value: "4", ExpectedVersion: at(0)}, true, "4", 10},
	} {
		raw, err := json.Marshal(c.op)
		if err != nil {
			t.Fatal(err)
		}
		var r Result
		if err := json.Unmarshal(m.Apply(0, uint64(i+1), c.who, raw), &r); err != nil {
			t.Fatal(err)
		}
		if r.OK != c.ok || r.Value != c.value || r.Version != c.version {
			t.Errorf("%d: %+v", i, r)
		}
	}
	copied := NewMachine(tb)
	if err := copied.Restore(m.Snapshot()); err != nil || string(copied.Query(0, []byte("k"))) != string(m.Query(0, []byte("k"))) {
		t.Errorf("%v", err)
	}
}
