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

// BenchmarkRecover is how long a lone voter takes from its folder to having applied all entries again, by
// how many it holds behind its snapshot.
func BenchmarkRecover(b *testing.B) {
	for _, entries := range []int{0, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(entries, " entries"), func(b *testing.B) {
			dir := filepath.Join(b.TempDir(), "log")
			if err := Bootstrap(dir, "f", "a", three[:1]); err != nil {
				b.Fatal(err)
			}
			f, err := OpenStorage(dir, store.Options{})
			if err != nil {
				b.Fatal(err)
			}
			var w consensus.Ready
			last := uint64(1)
			add := func(e *controlpb.Entry) {
				raw, err := proto.Marshal(e)
				if err != nil {
					b.Fatal(err)
				}
				last++
				w.Entries = append(w.Entries, &raftpb.Entry{Index: new(last), Term: new(uint64(1)), Data: raw})
			}
			add(&controlpb.Entry{Member: &controlpb.Member{Id: "m", Incarnation: 1}})
			for i := range entries {
				add(&controlpb.Entry{Session: 2, Seq: uint64(i + 1), AckedSeq: uint64(i), Machine: checkpoint.MachineName,
					Body: fmt.Appendf(nil, `{"key":"%d","value":"%d"}`, i%100, i)})
			}
			w.HardState, w.MustSync = &raftpb.HardState{Term: new(uint64(1)), Vote: new(f.Identity().Number), Commit: new(last)}, true
			if err := f.Save(w); err != nil {
				b.Fatal(err)
			}
			if err := f.Close(); err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for range b.N {
				f, err := OpenStorage(dir, store.Options{})
				if err != nil {
					b.Fatal(err)
				}
				saved, err := f.Load()
				if err != nil {
					b.Fatal(err)
				}
				d := lease.NewMachine(lease.DefaultConfig())
				n, err := consensus.Open(monotonic.Now(), consensus.Config{Number: f.Identity().Number, Random: rand.New(rand.NewPCG(1, 1)), ElectionTicks: 10,
					HeartbeatTicks: 2, Logger: raftLogger{slog.New(slog.DiscardHandler)},
					StateMachines: map[string]consensus.StateMachine{lease.MachineName: d, checkpoint.MachineName: checkpoint.NewMachine(d)}}, saved)
				if err != nil {
					b.Fatal(err)
				}
				if err := n.Start(1); err != nil {
					b.Fatal(err)
				}
				for n.AppliedIndex() < last {
					if _, ok := n.Ready(monotonic.Now()); !ok {
						b.Fatalf("stands at %d of %d", n.AppliedIndex(), last)
					}
					if _, err := n.Advance(monotonic.Now()); err != nil {
						b.Fatal(err)
					}
				}
				if err := f.Close(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
