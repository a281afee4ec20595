package consensus

import (
	"fmt"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"mothcleat/internal/controlplane/controlpb"
)

// Many simultaneous reads cost two exchanges with the other voters: one for the first read, and one
// for all reads that arrived during the first exchange.
func TestReadsShareTheirRounds(t *testing.T) {
	w := newThreeVoters(t, 5)
	_, leader := w.leader()
	leader.Completions()
	const reads = 100
	for i := range reads {
		leader.Read(MembershipName, nil, i)
	}
	sent := 0
	var answered []any
	for messages := w.process(leader); len(messages) > 0; messages = w.deliver(messages) {
		for _, m := range messages {
			if m.GetType() == raftpb.MsgHeartbeat {
				sent++
			}
		}
		answered = append(answered, completedTags(leader)...)
	}
	answered = append(answered, completedTags(leader)...)
	if others := len(w.nodes) - 1; sent != 2*others {
		t.Errorf("%d messages for %d reads, want %d", sent, reads, 2*others)
	}
	if len(answered) != reads {
		t.Fatalf("%d of %d reads were answered", len(answered), reads)
	}
	for i, tag := range answered {
		if tag != i {
			t.Fatalf("read %v was answered at position %d", tag, i)
		}
	}
}

// A read that arrives while a quorum confirms an earlier one is not confirmed with it: another
// voter may have become the leader and committed an entry since the quorum was queried.
func TestReadWaitsForARoundOfItsOwn(t *testing.T) {
	w := newThreeVoters(t, 6)
	_, leader := w.leader()
	leader.Completions()
	leader.Read(MembershipName, nil, "first")
	queries := w.process(leader)
	var confirmations []*raftpb.Message
	for _, m := range queries {
		w.nodes[m.GetTo()].Step(m)
		confirmations = append(confirmations, w.process(w.nodes[m.GetTo()])...)
	}
	leader.Read(MembershipName, nil, "second") // after the others have confirmed the first
	for _, m := range confirmations {
		leader.Step(m)
	}
	next := w.process(leader)
	if got := fmt.Sprint(completedTags(leader)); got != "[first]" {
		t.Errorf("the first round answered %s", got)
	}
	for len(next) > 0 {
		next = w.deliver(next)
	}
	if got := fmt.Sprint(completedTags(leader)); got != "[second]" {
		t.Errorf("the second round answered %s", got)
	}
}

// A leader that is replaced by another rejects each of its reads exactly once, both those that wait
// and those in a round.
func TestReadsEndWithTheLeadership(t *testing.T) {
	w := newThreeVoters(t, 7)
	number, leader := w.leader()
	leader.Completions()
	for i := range 3 {
		leader.Read(MembershipName, nil, i)
	}
	delete(w.nodes, number) // the voter is unreachable from now on
	successor, next := w.leader()
	if successor == number {
		t.Fatal("the unreachable voter is still the leader")
	}
	term := next.Leadership().Term
	leader.Step(&raftpb.Message{
		Type: raftpb.MsgHeartbeat.Enum(), From: &successor, To: &number, Term: &term,
		Commit: new(uint64(0)),
	})
	w.process(leader)
	var rejected []any
	for _, completion := range leader.Completions() {
		if completion.Answer.Code != controlpb.Code_NOT_LEADER {
			t.Errorf("%v", completion.Answer)
		}
		rejected = append(rejected, completion.Tag)
	}
	if got := fmt.Sprint(rejected); got != "[0 1 2]" {
		t.Errorf("rejected reads: %s", got)
	}
}
