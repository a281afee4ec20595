package endpointlist

import (
	"encoding/json"
	"testing"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
)

// Commands are rejected from members that do not hold the role, under old terms, and if the first
// one of a term is not the complete list. Others count a heartbeat, and a version if they have
// changes. A snapshot restores the same state.
func TestCommands(t *testing.T) {
	table := lease.NewTable(lease.DefaultConfig())
	a, b := lease.Member{ID: "a", Incarnation: 1}, lease.Member{ID: "b", Incarnation: 1}
	if _, err := table.Acquire(0, Role, a, 0); err != nil {
		t.Fatal(err)
	}
	m := NewMachine(table)
	servers := func(idsAndValues ...string) map[string]json.RawMessage {
		all := map[string]json.RawMessage{}
		for i := 0; i < len(idsAndValues); i += 2 {
			all[idsAndValues[i]] = json.RawMessage(idsAndValues[i+1])
		}
		return all
	}
	apply := func(who lease.Member, op Op, accepted bool, version, heartbeats uint64, count int) {
		t.Helper()
		rejection := m.Apply(0, 1, who, mustjson.Marshal(op))
		if (len(rejection) == 0) != accepted || m.list.Version != version ||
			m.list.Heartbeats != heartbeats || len(m.list.Servers) != count {
			t.Errorf("%+v: rejection %q, list %+v", op, rejection, m.list)
		}
	}
	apply(a, Op{Term: 1, Changed: servers("x", `1`)}, false, 0, 0, 0) // not the complete list
	apply(b, Op{Term: 1, Complete: true}, false, 0, 0, 0)
	apply(a, Op{Term: 1, Complete: true, Changed: servers("x", `1`, "y", `2`)}, true, 1, 1, 2)
	apply(a, Op{Term: 1}, true, 1, 2, 2)
	apply(a, Op{Term: 1, Changed: servers("x", `null`, "z", `3`)}, true, 2, 3, 2)
	if _, err := table.Acquire(1<<50, Role, b, 0); err != nil {
		t.Fatal(err)
	}
	apply(a, Op{Term: 1, Changed: servers("late", `1`)}, false, 2, 3, 2)
	apply(b, Op{Term: 2}, false, 2, 3, 2)
	apply(b, Op{Term: 2, Complete: true, Changed: servers("w", `1`)}, true, 3, 4, 1)

	restored := NewMachine(table)
	err := restored.Restore(m.Snapshot())
	want, got := m.Query(0, []byte("list")), restored.Query(0, []byte("list"))
	if err != nil || string(got) != string(want) {
		t.Errorf("the restored list is %s, want %s: %v", got, want, err)
	}
}
