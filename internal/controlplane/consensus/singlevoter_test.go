package consensus

import (
	"io"
	"log"
	"math/rand/v2"
	"testing"
	"time"

	"go.etcd.io/raft/v3"

	"mothcleat/internal/controlplane/controlpb"
)

// testConfig returns the configuration of a test's voter.
func testConfig(number uint64, machines map[string]StateMachine) Config {
	return Config{
		Number:         number,
		StateMachines:  machines,
		Random:         rand.New(rand.NewPCG(number, 1)),
		ElectionTicks:  10,
		HeartbeatTicks: 2,
		Logger:         &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	}
}

// singleVoter is a fleet of one voter in virtual time.
type singleVoter struct {
	t    *testing.T
	node *Node
	now  time.Duration
}

func newSingleVoter(t *testing.T, machines map[string]StateMachine) *singleVoter {
	t.Helper()
	saved, err := BootstrapState("test", []*controlpb.Voter{{Number: 7, Name: "v"}})
	if err != nil {
		t.Fatal(err)
	}
	a := &singleVoter{t: t}
	a.start(machines, saved)
	return a
}

// start opens the voter with a stored state, and advances until it leads.
func (a *singleVoter) start(machines map[string]StateMachine, stored StoredState) {
	a.t.Helper()
	n, err := Open(a.now, testConfig(7, machines), stored)
	if err != nil {
		a.t.Fatal(err)
	}
	if err := n.Start(0); err != nil {
		a.t.Fatal(err)
	}
	a.node = n
	for deadline := a.now + time.Minute; !n.Leadership().IsLeader; {
		a.advance(40 * time.Millisecond)
		if a.now > deadline {
			a.t.Fatal("the voter does not become the leader")
		}
	}
}

// advance advances the clock, and stores and applies what is ready.
func (a *singleVoter) advance(d time.Duration) {
	a.now += d
	a.node.Tick(a.now)
	for {
		if _, ok := a.node.Ready(a.now); !ok {
			return
		}
		if _, err := a.node.Advance(a.now); err != nil {
			a.t.Fatal(err)
		}
	}
}

// propose proposes a command and returns its answer.
func (a *singleVoter) propose(c *controlpb.Command) *controlpb.Answer {
	a.t.Helper()
	a.node.Propose(a.now, c, c)
	a.advance(0)
	for _, completion := range a.node.Completions() {
		if completion.Tag == c {
			return completion.Answer
		}
	}
	a.t.Fatal("no answer")
	return nil
}

// open opens a session for a member and returns its number.
func (a *singleVoter) open(id string, incarnation uint64) uint64 {
	a.t.Helper()
	member := &controlpb.Member{Id: id, Incarnation: incarnation, Address: "at-" + id}
	answer := a.propose(&controlpb.Command{Member: member})
	if answer.Code != controlpb.Code_OK {
		a.t.Fatalf("opening %s/%d: %v", id, incarnation, answer)
	}
	return answer.Session
}

// keepAlive sends a command that only keeps a session alive.
func (a *singleVoter) keepAlive(session, seq uint64) {
	a.t.Helper()
	answer := a.propose(&controlpb.Command{
		Session: session, Seq: seq, AckedSeq: seq - 1, Member: &controlpb.Member{},
	})
	if answer.Code != controlpb.Code_OK {
		a.t.Fatalf("session %d: %v", session, answer)
	}
}

// read reads the membership.
func (a *singleVoter) read(body []byte) *controlpb.Answer {
	a.t.Helper()
	tag := new(int)
	a.node.Read(MembershipName, body, tag)
	a.advance(0)
	for _, completion := range a.node.Completions() {
		if completion.Tag == tag {
			return completion.Answer
		}
	}
	a.t.Fatal("no answer")
	return nil
}

// refresh updates a cache and returns the size of the answer in bytes.
func (a *singleVoter) refresh(c *MemberCache) int {
	a.t.Helper()
	answer := a.read(c.Query())
	if answer.Code != controlpb.Code_OK {
		a.t.Fatal(answer)
	}
	if err := c.Update(answer.Body); err != nil {
		a.t.Fatal(err)
	}
	return len(answer.Body)
}

// restart opens the voter again with a snapshot of its state.
func (a *singleVoter) restart() {
	a.t.Helper()
	if err := a.node.CreateSnapshot(); err != nil {
		a.t.Fatal(err)
	}
	ready, ok := a.node.SnapshotSince(0)
	if !ok {
		a.t.Fatal("no snapshot")
	}
	a.start(nil, StoredState{HardState: ready.HardState, Snapshot: ready.Snapshot})
}
