package lab

import (
	"context"
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/testing/harness"
)

// stale are the attempts that reached a server when their client waited no more, as the servers and
// clients saw it.
func expiredAttempts(rec *harness.Record) (n int) {
	until := map[string]time.Duration{}
	for _, t := range rec.Tries {
		until[t.ID] = t.SentAt + t.Wait
	}
	for _, a := range rec.Attempts {
		if end, ok := until[a.ID]; ok && a.ReceivedAt > end {
			n++
		}
	}
	return n
}

// Gateways that lie stopped and wake send nothing on whose client waits no more: neither what lay
// in their sockets, nor what they had taken.
func TestAWokenGatewaySendsOnNothingStale(t *testing.T) {
	w, ctx := testWorld(t, Options{Seed: 4, Gateways: 3, Servers: 6, Load: 0.55})
	asking, over := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Clients.Run(asking)
	}()
	sleep(ctx, 2*time.Second)
	for _, g := range w.Gateways[:2] {
		if err := g.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		sleep(ctx, 5*time.Second) // clients wait for 3 s and 15 s
		if err := g.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		sleep(ctx, 2*time.Second)
	}
	over()
	<-done
	if n := expiredAttempts(w.Record); n > 0 {
		t.Errorf("%d attempts reached a server after their client's time", n)
	}
	paused := 0
	for _, l := range w.Record.ProcessEvents {
		if l.Event == harness.Paused {
			paused++
		}
	}
	if paused != 2 || len(w.Record.Attempts) == 0 {
		t.Errorf("%d pauses, %d attempts: nothing was shown", paused, len(w.Record.Attempts))
	}
}
