package replica

import (
	"fmt"
	"log/slog"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/monotonic"
)

// noTransport is the link of a voter that is alone.
type noTransport struct{}

func (noTransport) Send(*controlpb.Voter, *controlpb.Voter, []*raftpb.Message) {}
func (noTransport) Verify(*controlpb.Voter, *controlpb.Position, func(answer *controlpb.VerificationReply)) {
}

// newLeader is a voter that is alone and leads. Its goroutine does not run: a test does what it does.
func newLeader(t *testing.T) *Replica {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "log")
	if err := Bootstrap(dir, "f", "a", three[:1]); err != nil {
		t.Fatal(err)
	}
	v := &Replica{link: noTransport{}, opt: Options{
		Dir: dir, ElectionTicks: defaultElectionTicks, Log: slog.New(slog.DiscardHandler),
		NewStateMachines: func() map[string]consensus.StateMachine { return map[string]consensus.StateMachine{} },
	}}
	if err := v.open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { v.end("the test has ended") })
	for ticks := 0; !v.node.Leadership().IsLeader; ticks++ {
		if ticks > 100*defaultElectionTicks {
			t.Fatal("it does not lead")
		}
		v.tick()
		if err := v.work(); err != nil {
			t.Fatal(err)
		}
	}
	return v
}

// What a voter does after each round of its goroutine costs the same with hundreds of sessions as with none: it is done
// after every message.
func TestPublishingDoesNotGrowWithTheFleet(t *testing.T) {
	publishing := func(sessions int) float64 {
		v := newLeader(t)
		for i := range sessions {
			open := &controlpb.Command{Member: &controlpb.Member{Id: fmt.Sprintf("g%d", i), Incarnation: 1}}
			v.node.Propose(monotonic.Now(), open, func(*controlpb.Answer) {})
		}
		if err := v.work(); err != nil {
			t.Fatal(err)
		}
		if n := len(v.node.Members()); n != sessions {
			t.Fatalf("%d sessions, %d wanted", n, sessions)
		}
		return testing.AllocsPerRun(20, v.publish)
	}
	if alone, many := publishing(0), publishing(400); many > alone {
		t.Errorf("%v allocations with 400 sessions, %v with none", many, alone)
	}
}
