package usageexport

import (
	"encoding/json"
	"strings"
	"testing"

	"mothcleat/internal/controlplane/lease"
)

var (
	owner = lease.Member{ID: "a", Incarnation: 1}
	late  = lease.Member{ID: "b", Incarnation: 1}
)

// machine returns a machine whose role the owner holds under term 2.
func machine(t *testing.T) *Machine {
	t.Helper()
	tb := lease.NewTable(lease.DefaultConfig())
	if _, err := tb.Acquire(0, RoleOfShard(0), late, 0); err != nil {
		t.Fatal(err)
	}
	if h, err := tb.Acquire(1<<40, RoleOfShard(0), owner, 0); err != nil || h.Term != 2 {
		t.Fatal(h, err)
	}
	return NewMachine(tb)
}

func do(t *testing.T, m *Machine, who lease.Member, op Command) Result {
	t.Helper()
	raw, err := json.Marshal(op)
	if err != nil {
		t.Fatal(err)
	}
	var r Result
	if err := json.Unmarshal(m.Apply(0, 7, who, raw), &r); err != nil {
		t.Fatal(err)
	}
	return r
}

func file(term uint64, spans ...PeriodRange) Command {
	return Command{
		Shards: 1,
		Role:   RoleOfShard(0),
		Term:   term,
		File: &File{
			Role:   RoleOfShard(0),
			Term:   term,
			Name:   "f",
			SHA256: strings.Repeat("0", 64),
			Units:  2,
			Ranges: spans,
		},
	}
}

func TestWhatCounts(t *testing.T) {
	m := machine(t)
	for i, c := range []struct {
		who  lease.Member
		op   Command
		want string // in the refusal; "": it counts
	}{
		{late, file(1, PeriodRange{ID: "g", Incarnation: "1", From: 1, To: 2}), "term 1"},
		{late, file(2, PeriodRange{ID: "g", Incarnation: "1", From: 1, To: 2}), "owned by"},
		{owner, file(2, PeriodRange{ID: "g", Incarnation: "1", From: 2, To: 3}), "periods 2 to 3"},
		{
			owner,
			file(2, PeriodRange{ID: "g", Incarnation: "1", From: 1, To: 2},
				PeriodRange{ID: "h", Incarnation: "9", From: 1, To: 1}),
			"",
		},
		{owner, file(2, PeriodRange{ID: "g", Incarnation: "1", From: 1, To: 2}), "those up to 2"},
		{owner, file(2, PeriodRange{ID: "g", Incarnation: "1", From: 2, To: 3}), "those up to 2"},
		{owner, file(2, PeriodRange{ID: "g", Incarnation: "1", From: 4, To: 4}), "periods 4 to 4"},
		{
			owner,
			file(2, PeriodRange{ID: "h", Incarnation: "9", From: 2, To: 2},
				PeriodRange{ID: "g", Incarnation: "1", From: 4, To: 4}),
			"periods 4",
		},
		{
			owner,
			file(2, PeriodRange{ID: "g", Incarnation: "1", From: 3, To: 3},
				PeriodRange{ID: "g", Incarnation: "1", From: 4, To: 4, Last: true}),
			"",
		},
		// another incarnation counts anew
		{owner, file(2, PeriodRange{ID: "g", Incarnation: "2", From: 1, To: 1}), ""},
		{
			owner,
			Command{
				Shards: 1,
				Role:   RoleOfShard(0),
				Term:   1,
				Gaps:   []Gap{{ID: "h", Incarnation: "9"}},
			},
			"term 1",
		},
	} {
		if r := do(t, m, c.who, c.op); r.OK != (c.want == "") ||
			!strings.Contains(r.Reason, c.want) {
			t.Errorf("%d: %+v, want %q", i, r, c.want)
		}
	}
	var v View
	if err := json.Unmarshal(m.Query(0, nil), &v); err != nil {
		t.Fatal(err)
	}
	if v.Count != 3 || v.Units != 6 || len(v.Progress) != 3 || v.Progress[0].Period != 4 ||
		!v.Progress[0].Last || v.Files[0].Owner != "a" || v.Chain == "" {
		t.Errorf("%+v", v)
	}
	copied := NewMachine(nil)
	if err := copied.Restore(m.Snapshot()); err != nil ||
		string(copied.Snapshot()) != string(m.Snapshot()) {
		t.Errorf("%v: %s", err, copied.Snapshot())
	}
}

// An incarnation that was seen and vanished is a gap, until its directory is back.
func TestGaps(t *testing.T) {
	m := machine(t)
	seen := Command{Shards: 1, Role: RoleOfShard(0), Term: 2, Seen: []Incarnation{{"g", "1"}}}
	gap := Command{
		Shards: 1,
		Role:   RoleOfShard(0),
		Term:   2,
		Gaps:   []Gap{{ID: "g", Incarnation: "1", After: 0, Reason: "lost"}},
	}
	for _, op := range []Command{seen, gap} {
		if r := do(t, m, owner, op); !r.OK {
			t.Fatal(r)
		}
	}
	if progress := m.progress[incarnationKey{"g", "1"}]; progress == nil || progress.Gap != "lost" {
		t.Errorf("%+v", progress)
	}
	if r := do(t, m, owner,
		file(2, PeriodRange{ID: "g", Incarnation: "1", From: 1, To: 1, Last: true})); !r.OK {
		t.Fatal(r)
	}
	if progress := m.progress[incarnationKey{"g", "1"}]; progress.Gap != "" || !progress.Last {
		t.Errorf("%+v", progress)
	}
	// Another shard's gateways are exported under another role.
	other := "x"
	for ShardOf(other, 4) == 0 {
		other += "x"
	}
	if r := do(t, m, owner,
		Command{
			Shards: 4,
			Role:   RoleOfShard(0),
			Term:   2,
			Seen:   []Incarnation{{other, "1"}},
		}); r.OK {
		t.Error("another shard's gateway is taken")
	}
}
