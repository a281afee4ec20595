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

// noLink is the link of a voter that is alone.
type noLink struct{}

func (noLink) Send(*controlpb.Voter, *controlpb.Voter, []*raftpb.Message)                   {}
func (noLink) Prove(*controlpb.Voter, *controlpb.Position, func(answer *controlpb.Witness)) {}

// newLeader is a voter that is alone and leads. Its goroutine does not run: a test does what it does.
func newLeader(t *testing.T) *Voter {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "log")
	if err := Found(dir, "f", "a", three[:1]); err != nil {
		t.Fatal(err)
	}
	v := &Voter{link: noLink{}, opt: Options{
		Dir: dir, Election: defaultElectionTicks, Log: slog.New(slog.DiscardHandler),
		Machines: func() map[string]consensus.Machine { return map[string]consensus.Machine{} },
	}}
	if err := v.open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { v.end("the test has ended") })
	for ticks := 0; !v.node.Role().Leads; ticks++ {
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
			v.node.Submit(monotonic.Now(), open, func(*controlpb.Answer) {})
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
