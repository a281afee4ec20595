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

// noTransport is the transport of a single voter.
type noTransport struct{}

func (noTransport) Send(*controlpb.Voter, *controlpb.Voter, []*raftpb.Message) {}

func (noTransport) Verify(
	*controlpb.Voter, *controlpb.Position, func(*controlpb.VerificationReply),
) {
}

// newLeader returns a single replica that is the leader. The replica's goroutine does not run; the
// test calls its steps instead.
func newLeader(t *testing.T) *Replica {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "log")
	if err := Bootstrap(dir, "f", "a", threeVoters[:1]); err != nil {
		t.Fatal(err)
	}
	r := &Replica{transport: noTransport{}, options: Options{
		Dir:           dir,
		ElectionTicks: defaultElectionTicks,
		Log:           slog.New(slog.DiscardHandler),
		NewStateMachines: func() map[string]consensus.StateMachine {
			return map[string]consensus.StateMachine{}
		},
	}}
	if err := r.open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.stop("the test has ended") })
	for ticks := 0; !r.node.Leadership().IsLeader; ticks++ {
		if ticks > 100*defaultElectionTicks {
			t.Fatal("the replica does not become the leader")
		}
		r.tick()
		if err := r.processReady(); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// The replica publishes its status after each round of its goroutine, and so after every message.
// This must cost the same with hundreds of sessions as with none.
func TestPublishingDoesNotGrowWithTheFleet(t *testing.T) {
	allocations := func(sessions int) float64 {
		r := newLeader(t)
		for i := range sessions {
			member := &controlpb.Member{Id: fmt.Sprintf("g%d", i), Incarnation: 1}
			open := &controlpb.Command{Member: member}
			r.node.Propose(monotonic.Now(), open, func(*controlpb.Answer) {})
		}
		if err := r.processReady(); err != nil {
			t.Fatal(err)
		}
		if n := len(r.node.Members()); n != sessions {
			t.Fatalf("got %d sessions, want %d", n, sessions)
		}
		return testing.AllocsPerRun(20, r.publish)
	}
	if none, many := allocations(0), allocations(400); many > none {
		t.Errorf("%v allocations with 400 sessions, %v with none", many, none)
	}
}
