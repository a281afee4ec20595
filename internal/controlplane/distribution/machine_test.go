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

// testFence accepts the commands of one member in one term.
type testFence struct {
	term   uint64
	member lease.Member
}

func (f *testFence) Fence(_ string, term uint64, member lease.Member) error {
	if term != f.term || member != f.member {
		return lease.ErrStaleTerm
	}
	return nil
}

var testLeader = lease.Member{ID: "g-1", Incarnation: 1}

func command(term, epoch uint64, complete bool, changes ...Change) []byte {
	return mustproto.Marshal(&distributionpb.Command{
		Term:     term,
		Epoch:    epoch,
		Complete: complete,
		Changes:  ChangesProto(changes),
	})
}

func newTestMachine() (*Machine, *testFence, *[]Update) {
	fence := &testFence{1, testLeader}
	m := NewMachine(fence)
	updates := &[]Update{}
	m.Updated = func(u Update) { *updates = append(*updates, u) }
	return m, fence, updates
}

func requireAccepted(t fatalReporter, m *Machine, body []byte) {
	t.Helper()
	if answer := m.Apply(0, 0, testLeader, body); len(answer) > 0 {
		t.Fatalf("the command was rejected: %s", answer)
	}
}

// TestMachineAppliesCompleteListAsDifference checks that the complete list of a new term is applied
// as its difference from the state, and that a command without effect creates no revision.
func TestMachineAppliesCompleteListAsDifference(t *testing.T) {
	m, fence, updates := newTestMachine()
	requireAccepted(t, m, command(1, testEpoch, true, ready("a", 1), ready("b", 1)))
	requireAccepted(t, m, command(1, 0, false, draining("a")))
	requireAccepted(t, m, command(1, 0, false))
	fence.term = 2
	requireAccepted(t, m, command(2, testEpoch+1, true, draining("a"), ready("c", 1)))
	requireAccepted(t, m, command(2, testEpoch+1, true, draining("a"), ready("c", 1)))
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
		t.Errorf("%d changes and %d updates, want %d", m.Changes(), len(*updates), len(want))
	}
}

// TestMachineAcceptsDifferenceFromItsPosition checks that a new term may begin with a difference
// from the machine's position, and from no other.
func TestMachineAcceptsDifferenceFromItsPosition(t *testing.T) {
	m, fence, updates := newTestMachine()
	firstCommand := func(term uint64, base Position, changes ...Change) string {
		fence.term = term
		return string(m.Apply(0, 0, testLeader, mustproto.Marshal(&distributionpb.Command{
			Term: term, Epoch: testEpoch, Base: base.Proto(), Changes: ChangesProto(changes),
		})))
	}
	answer := firstCommand(1, m.State().Position(), ready("a", 1))
	if !strings.Contains(answer, "complete state") {
		t.Errorf("a difference as the first command of a lineage: answer %q", answer)
	}
	requireAccepted(t, m, command(1, testEpoch, true, ready("a", 1), ready("b", 1)))
	old := m.State().Position()
	requireAccepted(t, m, command(1, 0, false, deleted("b")))
	before := m.Snapshot()
	other := m.State().Position()
	other.Digest.Low++
	for _, base := range []Position{old, other} {
		answer := firstCommand(2, base, draining("a"))
		if !strings.Contains(answer, "a term begins with a difference to") {
			t.Errorf("a difference from base %v: answer %q", base, answer)
		}
	}
	if !bytes.Equal(before, m.Snapshot()) {
		t.Error("a rejected command changed the machine")
	}
	if answer := firstCommand(2, m.State().Position(), draining("a")); answer != "" {
		t.Errorf("the command was rejected: %s", answer)
	}
	if last := (*updates)[len(*updates)-1]; last.Term != 2 || len(last.Delta.Changes) != 1 ||
		last.Delta.To != 3 {
		t.Errorf("the last update is %+v", last)
	}
}

// TestMachineRejectsInvalidCommands checks that an invalid command changes nothing and that the
// answer gives the reason.
func TestMachineRejectsInvalidCommands(t *testing.T) {
	m, fence, updates := newTestMachine()
	checkRejected := func(body []byte, reason string) {
		t.Helper()
		before := m.Snapshot()
		update := len(*updates)
		if answer := string(m.Apply(0, 0, testLeader, body)); !strings.Contains(answer, reason) ||
			answer == "" {
			t.Errorf("the answer is %q, want it to contain %q", answer, reason)
		}
		if !bytes.Equal(before, m.Snapshot()) || len(*updates) != update {
			t.Errorf("a rejected command (%s) changed the machine", reason)
		}
	}
	checkRejected(command(1, testEpoch, false, ready("a", 1)), "complete state")
	checkRejected(command(1, 0, true, ready("a", 1)), "epoch")
	checkRejected(command(0, testEpoch, true), "term")
	checkRejected([]byte{0xff}, "command")
	requireAccepted(t, m, command(1, testEpoch, true, ready("a", 1)))
	checkRejected(
		command(1, 0, false, Change{Record: Record{KindServer, "x", []byte{0xff}}}), `"x"`,
	)
	checkRejected(command(1, 0, false, ready("a", 2), deleted("a")), "two changes of one key")
	checkRejected(command(1, 0, true, deleted("a")), "deleted in a complete")
	fence.term = 2
	checkRejected(command(1, 0, false, deleted("a")), "term")
	checkRejected(command(2, 0, false, deleted("a")), "complete state")
}

// TestMachinesStayIdentical checks that machines that apply the same commands return the same
// answers and have the same snapshots, also if one of them was restored from a snapshot in between.
func TestMachinesStayIdentical(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, fence, _ := newTestMachine()
		other := NewMachine(fence)
		for range rapid.IntRange(1, 12).Draw(t, "commands") {
			complete := rapid.IntRange(0, 3).Draw(t, "whole") == 0
			if complete && rapid.Bool().Draw(t, "term") {
				fence.term++
			}
			changes := drawChanges(t)
			if complete {
				for i := range changes {
					if changes[i].Deleted {
						changes[i] = ready(changes[i].ID, 1)
					}
				}
			}
			body := command(fence.term, testEpoch, complete, changes...)
			a := m.Apply(0, 0, testLeader, body)
			b := other.Apply(0, 0, testLeader, body)
			if !bytes.Equal(a, b) {
				t.Fatalf("the answers are %q and %q", a, b)
			}
			if rapid.Bool().Draw(t, "restored") {
				other = NewMachine(fence)
				if err := other.Restore(m.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			if !bytes.Equal(m.Snapshot(), other.Snapshot()) {
				t.Fatal("the snapshots of the machines differ")
			}
		}
	})
}

// TestDamagedSnapshot checks that a damaged snapshot is rejected and the machine keeps its state.
func TestDamagedSnapshot(t *testing.T) {
	m, _, updates := newTestMachine()
	requireAccepted(t, m, command(1, testEpoch, true, ready("a", 1), ready("b", 1)))
	good := m.Snapshot()
	var snapshot distributionpb.Snapshot
	if err := proto.Unmarshal(good, &snapshot); err != nil {
		t.Fatal(err)
	}
	snapshot.Records = snapshot.Records[1:]
	for _, raw := range [][]byte{mustproto.Marshal(&snapshot), good[:len(good)-3], {0xff}} {
		err := m.Restore(raw)
		if err == nil {
			t.Error("a damaged snapshot was accepted")
			continue
		}
		requirePackageError(t, err)
	}
	if !bytes.Equal(m.Snapshot(), good) || len(*updates) != 1 {
		t.Error("a damaged snapshot changed the machine")
	}
	if err := m.Restore(good); err != nil {
		t.Error(err)
	}
	if last := (*updates)[1]; !last.Restored || last.State.Position() != m.State().Position() {
		t.Errorf("the last update is %+v", last)
	}
}

// TestMachineQuery checks the queries for the position and for the complete state.
func TestMachineQuery(t *testing.T) {
	m, _, _ := newTestMachine()
	requireAccepted(t, m, command(1, testEpoch, true, ready("a", 1)))
	var head distributionpb.Heartbeat
	if err := proto.Unmarshal(m.Query(0, nil), &head); err != nil || head.Term != 1 {
		t.Fatalf("heartbeat %v, error %v", &head, err)
	}
	if at, err := PositionFromProto(head.Position); err != nil || at != m.State().Position() {
		t.Errorf("position %v, error %v", at, err)
	}
	if !bytes.Equal(m.Query(0, []byte(QuerySnapshot)), m.Snapshot()) {
		t.Error("the complete state differs from the snapshot")
	}
}
