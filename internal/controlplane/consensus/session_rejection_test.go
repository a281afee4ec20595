package consensus

import (
	"testing"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// A process that requests a lease held by another process is rejected each time, mostly without a
// log entry. Its session must stay alive nevertheless, so that the lease can be transferred to it.
func TestMemberThatIsAlwaysRejectedKeepsItsSession(t *testing.T) {
	a := newSingleVoter(t, map[string]StateMachine{
		lease.MachineName: lease.NewMachine(lease.DefaultConfig()),
	})
	members := []*controlpb.Member{{Id: "holder", Incarnation: 1}, {Id: "other", Incarnation: 2}}
	var sessions, seqs [2]uint64
	acquire := func(i int) *controlpb.Answer {
		seqs[i]++
		op := lease.Command{Action: lease.ActionAcquire, Role: "d", Term: 1}
		return a.propose(&controlpb.Command{
			Session:  sessions[i],
			Seq:      seqs[i],
			AckedSeq: seqs[i] - 1,
			Machine:  lease.MachineName,
			Body:     op.Encode(),
			Member:   members[i],
		})
	}
	for i := range members {
		sessions[i] = a.propose(&controlpb.Command{Member: members[i]}).Session
	}
	const interval = 500 * time.Millisecond
	indexBefore := a.node.appliedIndex
	for a.now = 0; a.now < 10*SessionTTL; a.advance(interval) {
		for i := range members {
			if answer := acquire(i); answer.Code != controlpb.Code_OK {
				t.Fatalf("at %v: %v", a.now, answer)
			}
		}
		for _, m := range a.node.sessions.members() {
			if a.node.lastTimestamp-m.LastSeen > SessionTTL/4 {
				t.Fatalf("at %v %s was last seen at %v", a.node.lastTimestamp, m.ID, m.LastSeen)
			}
		}
	}
	if n := len(a.node.sessions.members()); n != 2 {
		t.Fatalf("got %d members", n)
	}
	entries := a.node.appliedIndex - indexBefore
	if renewals := uint64(10 * SessionTTL / interval); entries > renewals+renewals/4 {
		t.Errorf("%d entries for %d renewals: rejections wrote entries", entries, renewals)
	}
}
