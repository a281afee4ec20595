package replica

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/checkpoint"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/monotonic"
	"mothcleat/internal/storage/store"
)

// BenchmarkRecover measures how long a single voter takes to open its storage and apply the entries
// after its snapshot again, by the number of entries.
func BenchmarkRecover(b *testing.B) {
	for _, entries := range []int{0, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(entries, " entries"), func(b *testing.B) {
			dir := filepath.Join(b.TempDir(), "log")
			last := storeEntries(b, dir, entries)
			b.ResetTimer()
			for range b.N {
				recoverEntries(b, dir, last)
			}
		})
	}
}

// storeEntries creates the storage of a voter whose log has count commands of one session, and
// returns the index of the last entry.
func storeEntries(b *testing.B, dir string, count int) (last uint64) {
	b.Helper()
	if err := Bootstrap(dir, "f", "a", threeVoters[:1]); err != nil {
		b.Fatal(err)
	}
	s, err := OpenStorage(dir, store.Options{})
	if err != nil {
		b.Fatal(err)
	}
	ready := consensus.Ready{MustSync: true}
	last = 1
	add := func(e *controlpb.Entry) {
		data, err := proto.Marshal(e)
		if err != nil {
			b.Fatal(err)
		}
		last++
		ready.Entries = append(ready.Entries,
			&raftpb.Entry{Index: new(last), Term: new(uint64(1)), Data: data})
	}
	add(&controlpb.Entry{Member: &controlpb.Member{Id: "m", Incarnation: 1}})
	session := last
	for i := range count {
		add(&controlpb.Entry{
			Session:  session,
			Seq:      uint64(i + 1),
			AckedSeq: uint64(i),
			Machine:  checkpoint.MachineName,
			Body:     fmt.Appendf(nil, `{"key":"%d","value":"%d"}`, i%100, i),
		})
	}
	ready.HardState = &raftpb.HardState{
		Term:   new(uint64(1)),
		Vote:   new(s.Identity().Number),
		Commit: new(last),
	}
	if err := s.Save(ready); err != nil {
		b.Fatal(err)
	}
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
	return last
}

// recoverEntries opens a storage and applies its entries up to an index.
func recoverEntries(b *testing.B, dir string, last uint64) {
	b.Helper()
	s, err := OpenStorage(dir, store.Options{})
	if err != nil {
		b.Fatal(err)
	}
	stored, err := s.Load()
	if err != nil {
		b.Fatal(err)
	}
	leases := lease.NewMachine(lease.DefaultConfig())
	node, err := consensus.Open(monotonic.Now(), consensus.Config{
		Number:         s.Identity().Number,
		Random:         rand.New(rand.NewPCG(1, 1)),
		ElectionTicks:  defaultElectionTicks,
		HeartbeatTicks: heartbeatTicks,
		Logger:         raftLogger{slog.New(slog.DiscardHandler)},
		StateMachines: map[string]consensus.StateMachine{
			lease.MachineName:      leases,
			checkpoint.MachineName: checkpoint.NewMachine(leases),
		},
	}, stored)
	if err != nil {
		b.Fatal(err)
	}
	if err := node.Start(1); err != nil {
		b.Fatal(err)
	}
	for node.AppliedIndex() < last {
		if _, ok := node.Ready(monotonic.Now()); !ok {
			b.Fatalf("nothing is ready although only %d of %d entries are applied",
				node.AppliedIndex(), last)
		}
		if _, err := node.Advance(monotonic.Now()); err != nil {
			b.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
}
