package consensus

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"mothcleat/internal/controlplane/controlpb"
)

// process has a voter save and answer what it has to, and gives the messages that it sends.
func (w *threeVoters) process(n *Node) (messages []*raftpb.Message) {
	w.t.Helper()
	for {
		if _, ok := n.Ready(w.now); !ok {
			return messages
		}
		sent, err := n.Advance(w.now)
		if err != nil {
			w.t.Fatal(err)
		}
		messages = append(messages, sent...)
	}
}

// deliver has messages arrive at the other voters, and gives what these send in return.
func (w *threeVoters) deliver(messages []*raftpb.Message) (returned []*raftpb.Message) {
	w.t.Helper()
	for _, m := range messages {
		w.nodes[m.GetTo()].Step(m)
	}
	for _, number := range slices.Sorted(maps.Keys(w.nodes)) {
		returned = append(returned, w.process(w.nodes[number])...)
	}
	return returned
}

// completedTags are the tags of the requests that a voter has answered.
func completedTags(n *Node) (tags []any) {
	for _, d := range n.Completions() {
		if d.Answer.Code == controlpb.Code_OK {
			tags = append(tags, d.Tag)
		}
	}
	return tags
}

// Many reads at once cost two exchanges with the other voters: the first one's, and one for all that came during it.
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
		t.Errorf("%d messages for %d reads, %d wanted", sent, reads, 2*others)
	}
	if len(answered) != reads {
		t.Fatalf("%d of %d reads were answered", len(answered), reads)
	}
	for i, tag := range answered {
		if tag != i {
			t.Fatalf("read %v is answered as number %d", tag, i)
		}
	}
}

// A read that arrives while a quorum confirms an earlier one is not confirmed with it: another voter may lead, and have
// agreed to something, since the quorum was asked.
func TestAReadWaitsForARoundOfItsOwn(t *testing.T) {
	w := newThreeVoters(t, 6)
	_, leader := w.leader()
	leader.Completions()
	leader.Read(MembershipName, nil, "first")
	asked := w.process(leader)
	var confirmations []*raftpb.Message
	for _, m := range asked {
		w.nodes[m.GetTo()].Step(m)
		confirmations = append(confirmations, w.process(w.nodes[m.GetTo()])...)
	}
	leader.Read(MembershipName, nil, "second") // after the others have confirmed the first
	for _, m := range confirmations {
		leader.Step(m)
	}
	next := w.process(leader)
	if got := fmt.Sprint(completedTags(leader)); got != "[first]" {
		t.Errorf("the first round answers %s", got)
	}
	for len(next) > 0 {
		next = w.deliver(next)
	}
	if got := fmt.Sprint(completedTags(leader)); got != "[second]" {
		t.Errorf("the second round answers %s", got)
	}
}

// A leader that is followed by another ends all reads, those that wait as those that are being confirmed, and none twice.
func TestReadsEndWithTheLeadership(t *testing.T) {
	w := newThreeVoters(t, 7)
	number, leader := w.leader()
	leader.Completions()
	for i := range 3 {
		leader.Read(MembershipName, nil, i)
	}
	delete(w.nodes, number) // nothing reaches it any more
	successor, next := w.leader()
	if successor == number {
		t.Fatal("it leads still")
	}
	heard := next.Leadership().Term
	leader.Step(&raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), From: &successor, To: &number, Term: &heard, Commit: new(uint64(0))})
	w.process(leader)
	var refused []any
	for _, d := range leader.Completions() {
		if d.Answer.Code != controlpb.Code_NOT_LEADER {
			t.Errorf("%v", d.Answer)
		}
		refused = append(refused, d.Tag)
	}
	if got := fmt.Sprint(refused); got != "[0 1 2]" {
		t.Errorf("reads that ended: %s", got)
	}
}
