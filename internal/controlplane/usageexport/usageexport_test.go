package usageexport

import (
	"encoding/json"
	"strings"
	"testing"

	"mothcleat/internal/controlplane/lease"
)

var (
	leader       = lease.Member{ID: "a", Incarnation: 1}
	formerLeader = lease.Member{ID: "b", Incarnation: 1}
)

// newMachine returns a machine whose role the leader holds under term 2.
func newMachine(t *testing.T) *Machine {
	t.Helper()
	table := lease.NewTable(lease.DefaultConfig())
	if _, err := table.Acquire(0, RoleOfShard(0), formerLeader, 0); err != nil {
		t.Fatal(err)
	}
	if l, err := table.Acquire(1<<40, RoleOfShard(0), leader, 0); err != nil || l.Term != 2 {
		t.Fatal(l, err)
	}
	return NewMachine(table)
}

func apply(t *testing.T, m *Machine, who lease.Member, command Command) Result {
	t.Helper()
	raw, err := json.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	var r Result
	if err := json.Unmarshal(m.Apply(0, 7, who, raw), &r); err != nil {
		t.Fatal(err)
	}
	return r
}

// fileCommand returns a command that makes a file with the given ranges count.
func fileCommand(term uint64, ranges ...PeriodRange) Command {
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
			Ranges: ranges,
		},
	}
}

// A command counts only if the leader sends it under the current term, and if each range of its file
// begins after the last exported period of the incarnation. A snapshot restores the same state.
func TestCommandsAreChecked(t *testing.T) {
	m := newMachine(t)
	for i, c := range []struct {
		who     lease.Member
		command Command
		want    string // part of the reason for the rejection; empty if the command is applied
	}{
		{formerLeader, fileCommand(1, PeriodRange{ID: "g", Incarnation: "1", From: 1, To: 2}), "term 1"},
		{formerLeader, fileCommand(2, PeriodRange{ID: "g", Incarnation: "1", From: 1, To: 2}), "owned by"},
		{leader, fileCommand(2, PeriodRange{ID: "g", Incarnation: "1", From: 2, To: 3}), "periods 2 to 3"},
		{
			leader,
			fileCommand(2, PeriodRange{ID: "g", Incarnation: "1", From: 1, To: 2},
				PeriodRange{ID: "h", Incarnation: "9", From: 1, To: 1}),
			"",
		},
		{leader, fileCommand(2, PeriodRange{ID: "g", Incarnation: "1", From: 1, To: 2}), "those up to 2"},
		{leader, fileCommand(2, PeriodRange{ID: "g", Incarnation: "1", From: 2, To: 3}), "those up to 2"},
		{leader, fileCommand(2, PeriodRange{ID: "g", Incarnation: "1", From: 4, To: 4}), "periods 4 to 4"},
		{
			leader,
			fileCommand(2, PeriodRange{ID: "h", Incarnation: "9", From: 2, To: 2},
				PeriodRange{ID: "g", Incarnation: "1", From: 4, To: 4}),
			"periods 4",
		},
		{
			leader,
			fileCommand(2, PeriodRange{ID: "g", Incarnation: "1", From: 3, To: 3},
				PeriodRange{ID: "g", Incarnation: "1", From: 4, To: 4, Last: true}),
			"",
		},
		// the periods of another incarnation begin at 1 again
		{leader, fileCommand(2, PeriodRange{ID: "g", Incarnation: "2", From: 1, To: 1}), ""},
		{
			leader,
			Command{
				Shards: 1,
				Role:   RoleOfShard(0),
				Term:   1,
				Gaps:   []Gap{{ID: "h", Incarnation: "9"}},
			},
			"term 1",
		},
	} {
		if r := apply(t, m, c.who, c.command); r.OK != (c.want == "") ||
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
	restored := NewMachine(nil)
	if err := restored.Restore(m.Snapshot()); err != nil ||
		string(restored.Snapshot()) != string(m.Snapshot()) {
		t.Errorf("the restored state is %s: %v", restored.Snapshot(), err)
	}
}

// A gap that was reported for an incarnation is removed when its last period is exported after all. A
// command with a gateway of another shard is rejected.
func TestGaps(t *testing.T) {
	m := newMachine(t)
	seen := Command{Shards: 1, Role: RoleOfShard(0), Term: 2, Seen: []Incarnation{{"g", "1"}}}
	gap := Command{
		Shards: 1,
		Role:   RoleOfShard(0),
		Term:   2,
		Gaps:   []Gap{{ID: "g", Incarnation: "1", After: 0, Reason: "lost"}},
	}
	for _, command := range []Command{seen, gap} {
		if r := apply(t, m, leader, command); !r.OK {
			t.Fatal(r)
		}
	}
	if progress := m.progress[incarnationKey{"g", "1"}]; progress == nil || progress.Gap != "lost" {
		t.Errorf("%+v", progress)
	}
	if r := apply(t, m, leader,
		fileCommand(2, PeriodRange{ID: "g", Incarnation: "1", From: 1, To: 1, Last: true})); !r.OK {
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
	if r := apply(t, m, leader,
		Command{
			Shards: 4,
			Role:   RoleOfShard(0),
			Term:   2,
			Seen:   []Incarnation{{other, "1"}},
		}); r.OK {
		t.Error("a command with another shard's gateway is applied")
	}
}
