package consensus

import (
	"io"
	"log"
	"math/rand/v2"
	"testing"
	"time"

	"go.etcd.io/raft/v3"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// testConfig is how a voter of a test is set up.
func testConfig(number uint64, machines map[string]StateMachine) Config {
	return Config{Number: number, StateMachines: machines, Random: rand.New(rand.NewPCG(number, 1)), ElectionTicks: 10, HeartbeatTicks: 2,
		Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}}
}

// singleVoter is a fleet of one voter, in virtual time.
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

// start opens the voter from what was saved, and has it lead.
func (a *singleVoter) start(machines map[string]StateMachine, from StoredState) {
	a.t.Helper()
	n, err := Open(a.now, testConfig(7, machines), from)
	if err != nil {
		a.t.Fatal(err)
	}
	if err := n.Start(0); err != nil {
		a.t.Fatal(err)
	}
	a.node = n
	for until := a.now + time.Minute; !n.Leadership().IsLeader; {
		if a.advance(40 * time.Millisecond); a.now > until {
			a.t.Fatal("it does not lead")
		}
	}
}

// advance has time go by, and does what follows.
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

// propose has a command carried out and gives its answer.
func (a *singleVoter) propose(c *controlpb.Command) *controlpb.Answer {
	a.t.Helper()
	a.node.Propose(a.now, c, c)
	a.advance(0)
	for _, d := range a.node.Completions() {
		if d.Tag == c {
			return d.Answer
		}
	}
	a.t.Fatal("no answer")
	return nil
}

// A process that asks for what another holds is refused each time, mostly without an entry: its session lasts all the
// same, and so it is one that a duty can be handed on to.
func TestOneThatIsAlwaysRefusedStaysAMember(t *testing.T) {
	a := newSingleVoter(t, map[string]StateMachine{lease.MachineName: lease.NewMachine(lease.DefaultConfig())})
	var sessions, seqs [2]uint64
	who := []lease.Member{{ID: "owner", Incarnation: 1}, {ID: "other", Incarnation: 2}}
	ask := func(i int) *controlpb.Answer {
		seqs[i]++
		return a.propose(&controlpb.Command{Session: sessions[i], Seq: seqs[i], AckedSeq: seqs[i] - 1, Machine: lease.MachineName, Body: lease.Op{Action: lease.ActionAcquire, Role: "d", Term: 1}.Encode(),
			Member: &controlpb.Member{Id: who[i].ID, Incarnation: who[i].Incarnation}})
	}
	for i := range who {
		sessions[i] = a.propose(&controlpb.Command{Member: &controlpb.Member{Id: who[i].ID, Incarnation: who[i].Incarnation}}).Session
	}
	entries := a.node.appliedIndex
	for a.now = 0; a.now < 10*SessionTTL; a.advance(500 * time.Millisecond) {
		for i := range who {
			if answer := ask(i); answer.Code != controlpb.Code_OK {
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
		t.Fatalf("%d members", n)
	}
	if rounds := uint64(10 * SessionTTL / (500 * time.Millisecond)); a.node.appliedIndex-entries > rounds+rounds/4 {
		t.Errorf("%d entries for %d renewals: refusals are entries", a.node.appliedIndex-entries, rounds)
	}
}
