package controlrpc

import (
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"mothcleat/internal/controlplane/checkpoint"
	"mothcleat/internal/storage/store"
)

// BenchmarkAgreed measures the committed entries per second, and for comparison the durable commits
// per second of the store alone on the same disk.
func BenchmarkAgreed(b *testing.B) {
	for _, voters := range []int{3, 5} {
		for _, clients := range []int{1, 64} {
			b.Run(fmt.Sprintf("%d voters, %d clients", voters, clients), func(b *testing.B) {
				benchmarkCommands(b, voters, clients)
			})
		}
	}
	b.Run("the store alone, 1 writer", benchmarkStore)
}

func benchmarkCommands(b *testing.B, voterCount, clientCount int) {
	voters, _ := startVoters(b, voterCount)
	var clients []*Client
	for i := range clientCount {
		c := newTestClient(b, fmt.Sprintf("c%d", i), voters)
		if _, err := c.Propose(b.Context(), "", nil); err != nil {
			b.Fatal(err)
		}
		clients = append(clients, c)
	}
	var durations sync.Map // by command number
	b.ResetTimer()
	var wg sync.WaitGroup
	for i, c := range clients {
		wg.Go(func() {
			for k := i; k < b.N; k += clientCount {
				body := fmt.Appendf(nil, `{"key":"%d","value":"%d"}`, i, k)
				start := time.Now()
				if _, err := c.Propose(b.Context(), checkpoint.MachineName, body); err != nil {
					b.Error(err)
					return
				}
				durations.Store(k, time.Since(start))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	reportDurations(b, &durations)
}

func benchmarkStore(b *testing.B) {
	s, err := store.Open(filepath.Join(b.TempDir(), "s"), store.Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	var durations sync.Map // by commit number
	for i := range b.N {
		var batch store.Batch
		batch.Put([]byte("key"), make([]byte, 100))
		start := time.Now()
		if err := s.Commit(&batch, store.Durable); err != nil {
			b.Fatal(err)
		}
		durations.Store(i, time.Since(start))
	}
	reportDurations(b, &durations)
}

// reportDurations reports the rate per second, and the median and the 99th percentile of the
// durations in milliseconds.
func reportDurations(b *testing.B, durations *sync.Map) {
	var sorted []time.Duration
	durations.Range(func(_, d any) bool {
		sorted = append(sorted, d.(time.Duration))
		return true
	})
	if len(sorted) == 0 {
		return
	}
	slices.Sort(sorted)
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "entries/s")
	b.ReportMetric(milliseconds(sorted[len(sorted)/2]), "p50-ms")
	b.ReportMetric(milliseconds(sorted[len(sorted)*99/100]), "p99-ms")
}
