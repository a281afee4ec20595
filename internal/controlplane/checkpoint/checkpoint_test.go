package checkpoint

import (
	"encoding/json"
	"testing"

	"mothcleat/internal/controlplane/lease"
)

func TestApply(t *testing.T) {
	table := lease.NewTable(lease.DefaultConfig())
	a, b := lease.Member{ID: "a", Incarnation: 1}, lease.Member{ID: "b", Incarnation: 1}
	if _, err := table.Acquire(0, "d", a, 0); err != nil {
		t.Fatal(err)
	}
	m := NewMachine(table)
	for i, c := range []struct {
		member  lease.Member
		command Command
		ok      bool
		value   string
		version uint64
	}{
		{a, Command{Key: "k", Value: "1"}, true, "1", 1},
		{b, Command{Key: "k", Value: "2", ExpectedVersion: new(uint64(9))}, false, "1", 1},
		{b, Command{Key: "k", Value: "2", ExpectedVersion: new(uint64(1))}, true, "2", 3},
		{b, Command{Key: "k", Value: "3", Role: "d", Term: 1}, false, "2", 3}, // not the leader
		{a, Command{Key: "k", Value: "3", Role: "d", Term: 2}, false, "2", 3}, // another term
		{a, Command{Key: "k", Value: "3", Role: "d", Term: 1}, true, "3", 6},
		{a, Command{Key: "", Value: "3"}, false, "", 0},
		{a, Command{Key: "k", Value: string(make([]byte, MaxValueBytes+1))}, false, "3", 6},
		{a, Command{Key: "k"}, true, "", 0}, // deleted
		{a, Command{Key: "k", Value: "4", ExpectedVersion: new(uint64(0))}, true, "4", 10},
	} {
		raw, err := json.Marshal(c.command)
		if err != nil {
			t.Fatal(err)
		}
		var r Result
		if err := json.Unmarshal(m.Apply(0, uint64(i+1), c.member, raw), &r); err != nil {
			t.Fatal(err)
		}
		if r.OK != c.ok || r.Value != c.value || r.Version != c.version {
			t.Errorf("%d: %+v", i, r)
		}
	}
	restored := NewMachine(table)
	err := restored.Restore(m.Snapshot())
	if err != nil || string(restored.Query(0, []byte("k"))) != string(m.Query(0, []byte("k"))) {
		t.Errorf("%v", err)
	}
}
