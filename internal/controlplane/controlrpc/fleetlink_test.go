package controlrpc

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"mothcleat/internal/controlplane/checkpoint"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/replica"
	"mothcleat/internal/storage/store"
)

var quiet = slog.New(slog.DiscardHandler)

// voters runs some voters in this process, over real links and folders.
func voters(t testing.TB, n int) (all []*controlpb.Voter, servers []*Server) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		name := fmt.Sprintf("v%d", i)
		all = append(all, &controlpb.Voter{Number: replica.BootstrapNumber("test", name), Name: name, Address: l.Addr().String()})
	}
	for i, l := range listeners {
		dir := filepath.Join(t.TempDir(), "log")
		if err := replica.Bootstrap(dir, "test", all[i].Name, all); err != nil {
			t.Fatal(err)
		}
		s := NewServer(ctx, "test", nil, nil)
		if err := s.StartReplica(ctx, replica.Options{Dir: dir, Address: all[i].Address, Log: quiet, NewStateMachines: func() map[string]consensus.StateMachine {
			d := lease.NewMachine(lease.DefaultConfig())
			return map[string]consensus.StateMachine{lease.MachineName: d, checkpoint.MachineName: checkpoint.NewMachine(d)}
		}}); err != nil {
			t.Fatal(err)
		}
		go func() { _ = s.Serve(l) }()
		servers = append(servers, s)
	}
	t.Cleanup(func() {
		cancel()
		for _, s := range servers {
			<-s.Replica().Done()
			s.Stop()
		}
	})
	return all, servers
}

func client(t testing.TB, id string, all []*controlpb.Voter) *Client {
	c := NewClient("test", lease.Member{ID: id, Incarnation: rand.Uint64()}, "", all, nil, quiet)
	t.Cleanup(c.Close)
	return c
}

// A command sent again in its session is applied once, whoever leads then; what another fleet says is refused.
func TestOnceAndByOneFleet(t *testing.T) {
	all, servers := voters(t, 3)
	c := client(t, "a", all)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	if _, err := c.Propose(ctx, checkpoint.MachineName, []byte(`{"key":"k","value":"1"}`)); err != nil {
		t.Fatal(err)
	}
	again := func() *controlpb.Answer {
		a, err := c.each(ctx, func(ctx context.Context, to controlpb.FleetClient) (*controlpb.Answer, error) {
			return to.Do(ctx, &controlpb.Command{Fleet: "test", Session: c.session, Seq: 77, Machine: checkpoint.MachineName, Member: c.member(),
				Body: []byte(`{"key":"k","value":"2"}`)})
		})
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	first := again()
	for _, s := range servers { // whoever leads gives that up
		s.Replica().TransferLeadership()
	}
	if second := again(); string(second.Body) != string(first.Body) {
		t.Errorf("%s, then %s", first.Body, second.Body)
	}
	other := NewClient("other", c.me, "", all, nil, quiet)
	defer other.Close()
	short, stop := context.WithTimeout(ctx, 300*time.Millisecond)
	defer stop()
	if _, err := other.Propose(short, checkpoint.MachineName, []byte(`{}`)); err == nil {
		t.Error("another fleet's command is taken")
	}
}

// A newer process of an id ends the older one's session for good.
func TestSuperseded(t *testing.T) {
	all, _ := voters(t, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	older, newer := client(t, "a", all), client(t, "a", all)
	for i, c := range []*Client{older, newer} {
		if _, err := c.Propose(ctx, "", nil); err != nil {
			t.Fatal(i, err)
		}
	}
	for range 2 {
		if _, err := older.Propose(ctx, "", nil); !errors.Is(err, ErrSuperseded) {
			t.Errorf("%v", err)
		}
	}
	if _, err := newer.Propose(ctx, "", nil); err != nil {
		t.Error(err)
	}
}

// Agreed entries a second, beside the bare store's durable commits on the same disk.
func BenchmarkAgreed(b *testing.B) {
	for _, n := range []int{3, 5} {
		for _, clients := range []int{1, 64} {
			b.Run(fmt.Sprintf("%d voters, %d clients", n, clients), func(b *testing.B) {
				all, _ := voters(b, n)
				var cs []*Client
				for i := range clients {
					c := client(b, fmt.Sprintf("c%d", i), all)
					if _, err := c.Propose(b.Context(), "", nil); err != nil {
						b.Fatal(err)
					}
					cs = append(cs, c)
				}
				var times sync.Map
				b.ResetTimer()
				var wg sync.WaitGroup
				for i, c := range cs {
					wg.Add(1)
					go func() {
						defer wg.Done()
						for k := i; k < b.N; k += clients {
							began := time.Now()
							if _, err := c.Propose(b.Context(), checkpoint.MachineName, fmt.Appendf(nil, `{"key":"%d","value":"%d"}`, i, k)); err != nil {
								b.Error(err)
								return
							}
							times.Store(k, time.Since(began))
						}
					}()
				}
				wg.Wait()
				b.StopTimer()
				report(b, &times)
			})
		}
	}
	b.Run("the store alone, 1 writer", func(b *testing.B) {
		s, err := store.Open(filepath.Join(b.TempDir(), "s"), store.Options{})
		if err != nil {
			b.Fatal(err)
		}
		defer s.Close()
		var times sync.Map
		for i := range b.N {
			var batch store.Batch
			batch.Put([]byte("key"), make([]byte, 100))
			began := time.Now()
			if err := s.Commit(&batch, store.Durable); err != nil {
				b.Fatal(err)
			}
			times.Store(i, time.Since(began))
		}
		report(b, &times)
	})
}

func report(b *testing.B, times *sync.Map) {
	var all []time.Duration
	times.Range(func(_, d any) bool { all = append(all, d.(time.Duration)); return true })
	if len(all) == 0 {
		return
	}
	slices.Sort(all)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "entries/s")
	b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds())/1000, "p99-ms")
}
