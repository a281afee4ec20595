package endpointlist

import (
	"encoding/json"
	"testing"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
)

func TestWords(t *testing.T) {
	tb := lease.NewTable(lease.DefaultConfig())
	a, b := lease.Member{ID: "a", Incarnation: 1}, lease.Member{ID: "b", Incarnation: 1}
	if _, err := tb.Acquire(0, Role, a, 0); err != nil {
		t.Fatal(err)
	}
	m := NewMachine(tb)
	raw := func(s string) json.RawMessage { return json.RawMessage(s) }
	word := func(who lease.Member, op Op, ok bool, version, beat uint64, servers int) {
		t.Helper()
		why := m.Apply(0, 1, who, mustjson.Marshal(op))
		if (len(why) == 0) != ok || m.list.Version != version || m.list.Beat != beat || len(m.list.Servers) != servers {
			t.Errorf("%+v: %s; %+v", op, why, m.list)
		}
	}
	word(a, Op{Term: 1, Changed: map[string]json.RawMessage{"x": raw(`1`)}}, false, 0, 0, 0) // not whole yet
	word(b, Op{Term: 1, Whole: true}, false, 0, 0, 0)
	word(a, Op{Term: 1, Whole: true, Changed: map[string]json.RawMessage{"x": raw(`1`), "y": raw(`2`)}}, true, 1, 1, 2)
	word(a, Op{Term: 1}, true, 1, 2, 2)
	word(a, Op{Term: 1, Changed: map[string]json.RawMessage{"x": raw(`null`), "z": raw(`3`)}}, true, 2, 3, 2)
	if _, err := tb.Acquire(1<<50, Role, b, 0); err != nil {
		t.Fatal(err)
	}
	word(a, Op{Term: 1, Changed: map[string]json.RawMessage{"late": raw(`1`)}}, false, 2, 3, 2)
	word(b, Op{Term: 2}, false, 2, 3, 2)
	word(b, Op{Term: 2, Whole: true, Changed: map[string]json.RawMessage{"w": raw(`1`)}}, true, 3, 4, 1)
	copied := NewMachine(tb)
	if err := copied.Restore(m.Snapshot()); err != nil || string(copied.Query(0, []byte("list"))) != string(m.Query(0, []byte("list"))) {
		t.Errorf("%v", err)
	}
}
