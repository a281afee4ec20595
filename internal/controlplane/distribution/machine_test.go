package distribution

import (
	"bytes"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustproto"
)

// testFence admits one term of one member.
type testFence struct {
	term uint64
	who  lease.Member
}

func (f *testFence) Fence(_ string, term uint64, who lease.Member) error {
	if term != f.term || who != f.who {
		return lease.ErrStaleTerm
	}
	return nil
}

var watcher = lease.Member{ID: "g-1", Incarnation: 1}

func command(term, epoch uint64, whole bool, changes ...Change) []byte {
	return mustproto.Marshal(&distributionpb.Command{
		Term:     term,
		Epoch:    epoch,
		Complete: whole,
		Changes:  ChangesProto(changes),
	})
}

func newTestMachine() (*Machine, *testFence, *[]Update) {
	fence := &testFence{1, watcher}
	m := NewMachine(fence)
	updates := &[]Update{}
	m.Updated = func(u Update) { *updates = append(*updates, u) }
	return m, fence, updates
}

func requireTaken(t fataler, m *Machine, body []byte) {
	t.Helper()
	if answer := m.Apply(0, 0, watcher, body); len(answer) > 0 {
		t.Fatalf("refused: %s", answer)
	}
}

// TestMachineAppliesCompleteListAsDifference checks that a new term's complete list is applied as
// its difference, and that no change makes no revision.
func TestMachineAppliesCompleteListAsDifference(t *testing.T) {
	m, fence, updates := newTestMachine()
	requireTaken(t, m, command(1, testEpoch, true, ready("a", 1), ready("b", 1)))
	requireTaken(t, m, command(1, 0, false, draining("a")))
	requireTaken(t, m, command(1, 0, false))
	fence.term = 2
	requireTaken(t, m, command(2, testEpoch+1, true, draining("a"), ready("c", 1)))
	requireTaken(t, m, command(2, testEpoch+1, true, draining("a"), ready("c", 1)))
	type update struct {
		changes  int
		revision uint64
		term     uint64
	}
	want := []update{{2, 1, 1}, {1, 2, 1}, {0, 2, 1}, {2, 3, 2}, {0, 3, 2}}
	for i, u := range *updates {
		got := update{0, u.State.Position().Revision, u.Term}
		if u.Delta != nil {
			got.changes = len(u.Delta.Changes)
		}
		if got != want[i] {
			t.Errorf("update %d: %v, want %v", i, got, want[i])
		}
	}
	if at := m.State().Position(); at.Epoch != testEpoch {
		t.Errorf("a later command changed the epoch: %v", at)
	}
	if m.Changes() != uint64(len(want)) || len(*updates) != len(want) {
		t.Errorf("%d changes, %d updates", m.Changes(), len(*updates))
	}
}

// TestMachineAcceptsDifferenceFromItsPosition checks that a new term may begin with a difference
// from the machine's position, and from no other.
func TestMachineAcceptsDifferenceFromItsPosition(t *testing.T) {
	m, fence, updates := newTestMachine()
	begin := func(term uint64, base Position, changes ...Change) string {
		fence.term = term
		return string(m.Apply(0, 0, watcher, mustproto.Marshal(&distributionpb.Command{
			Term: term, Epoch: testEpoch, Base: base.Proto(), Changes: ChangesProto(changes),
		})))
	}
	answer := begin(1, m.State().Position(), ready("a", 1))
	if !strings.Contains(answer, "complete state") {
		t.Errorf("a lineage begins with a difference: %q", answer)
	}
	requireTaken(t, m, command(1, testEpoch, true, ready("a", 1), ready("b", 1)))
	old := m.State().Position()
	requireTaken(t, m, command(1, 0, false, deleted("b")))
	before := m.Snapshot()
	other := m.State().Position()
	other.Digest.Low++
	for _, base := range []Position{old, other} {
		answer := begin(2, base, draining("a"))
		if !strings.Contains(answer, "a term begins with a difference to") {
			t.Errorf("%v is taken: %q", base, answer)
		}
	}
	if !bytes.Equal(before, m.Snapshot()) {
		t.Error("a refused command has changed the machine")
	}
	if answer := begin(2, m.State().Position(), draining("a")); answer != "" {
		t.Errorf("refused: %s", answer)
	}
	if last := (*updates)[len(*updates)-1]; last.Term != 2 || len(last.Delta.Changes) != 1 ||
		last.Delta.To != 3 {
		t.Errorf("%+v", last)
	}
}

// TestMachineRejectsInvalidCommands checks that a rejected command changes nothing and says why.
func TestMachineRejectsInvalidCommands(t *testing.T) {
	m, fence, updates := newTestMachine()
	refused := func(body []byte, why string) {
		t.Helper()
		before := m.Snapshot()
		update := len(*updates)
		if answer := string(m.Apply(0, 0, watcher, body)); !strings.Contains(answer, why) ||
			answer == "" {
			t.Errorf("%q does not say %q", answer, why)
		}
		if !bytes.Equal(before, m.Snapshot()) || len(*updates) != update {
			t.Errorf("a refused command (%s) has changed the machine", why)
		}
	}
	refused(command(1, testEpoch, false, ready("a", 1)), "complete state")
	refused(command(1, 0, true, ready("a", 1)), "epoch")
	refused(command(0, testEpoch, true), "term")
	refused([]byte{0xff}, "command")
	requireTaken(t, m, command(1, testEpoch, true, ready("a", 1)))
	refused(command(1, 0, false, Change{Record: Record{KindServer, "x", []byte{0xff}}}), `"x"`)
	refused(command(1, 0, false, ready("a", 2), deleted("a")), "two changes of one key")
	refused(command(1, 0, true, deleted("a")), "deleted in a complete")
	fence.term = 2
	refused(command(1, 0, false, deleted("a")), "term")
	refused(command(2, 0, false, deleted("a")), "complete state")
}

// TestMachinesAgree checks that machines that apply the same commands have the same bytes, also if
// one was restored in between.
func TestMachinesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, fence, _ := newTestMachine()
		other := NewMachine(fence)
		for range rapid.IntRange(1, 12).Draw(t, "commands") {
			whole := rapid.IntRange(0, 3).Draw(t, "whole") == 0
			if whole && rapid.Bool().Draw(t, "term") {
				fence.term++
			}
			changes := drawChanges(t)
			if whole {
				for i := range changes {
					if changes[i].Deleted {
						changes[i] = ready(changes[i].ID, 1)
					}
				}
			}
			body := command(fence.term, testEpoch, whole, changes...)
			a := m.Apply(0, 0, watcher, body)
			b := other.Apply(0, 0, watcher, body)
			if !bytes.Equal(a, b) {
				t.Fatalf("%q and %q", a, b)
			}
			if rapid.Bool().Draw(t, "restored") {
				other = NewMachine(fence)
				if err := other.Restore(m.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			if !bytes.Equal(m.Snapshot(), other.Snapshot()) {
				t.Fatal("two machines differ")
			}
		}
	})
}

// TestDamagedSnapshot checks that a damaged snapshot is rejected and the state kept.
func TestDamagedSnapshot(t *testing.T) {
	m, _, updates := newTestMachine()
	requireTaken(t, m, command(1, testEpoch, true, ready("a", 1), ready("b", 1)))
	good := m.Snapshot()
	var snapshot distributionpb.Snapshot
	if err := proto.Unmarshal(good, &snapshot); err != nil {
		t.Fatal(err)
	}
	snapshot.Records = snapshot.Records[1:]
	for _, raw := range [][]byte{mustproto.Marshal(&snapshot), good[:len(good)-3], {0xff}} {
		err := m.Restore(raw)
		if err == nil {
			t.Error("a damaged snapshot is taken")
			continue
		}
		requireTyped(t, err)
	}
	if !bytes.Equal(m.Snapshot(), good) || len(*updates) != 1 {
		t.Error("the machine has changed")
	}
	if err := m.Restore(good); err != nil {
		t.Error(err)
	}
	if last := (*updates)[1]; !last.Restored || last.State.Position() != m.State().Position() {
		t.Errorf("%+v", last)
	}
}

// TestMachineQuery checks both queries: the position, and the complete state.
func TestMachineQuery(t *testing.T) {
	m, _, _ := newTestMachine()
	requireTaken(t, m, command(1, testEpoch, true, ready("a", 1)))
	var head distributionpb.Heartbeat
	if err := proto.Unmarshal(m.Query(0, nil), &head); err != nil || head.Term != 1 {
		t.Fatalf("%v %v", err, &head)
	}
	if at, err := PositionFromProto(head.Position); err != nil || at != m.State().Position() {
		t.Errorf("%v %v", at, err)
	}
	if !bytes.Equal(m.Query(0, []byte(QuerySnapshot)), m.Snapshot()) {
		t.Error("the whole is another than the snapshot")
	}
}
