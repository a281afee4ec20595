package voter

import (
	"fmt"
	"log/slog"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"mothcleat/agree"
	"mothcleat/internal/fleetpb"
	"mothcleat/internal/monotonic"
)

// noLink is the link of a voter that is alone.
type noLink struct{}

func (noLink) Send(*fleetpb.Voter, *fleetpb.Voter, []*raftpb.Message)                 {}
func (noLink) Prove(*fleetpb.Voter, *fleetpb.Position, func(answer *fleetpb.Witness)) {}

// newLeader is a voter that is alone and leads. Its goroutine does not run: a test does what it does.
func newLeader(t *testing.T) *Voter {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "log")
	if err := Found(dir, "f", "a", three[:1]); err != nil {
		t.Fatal(err)
	}
	v := &Voter{link: noLink{}, opt: Options{
		Dir: dir, Election: defaultElectionTicks, Log: slog.New(slog.DiscardHandler),
		Machines: func() map[string]agree.Machine { return map[string]agree.Machine{} },
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
			open := &fleetpb.Command{Member: &fleetpb.Member{Id: fmt.Sprintf("g%d", i), Boot: 1}}
			v.node.Submit(monotonic.Now(), open, func(*fleetpb.Answer) {})
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
