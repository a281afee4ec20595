package lab

import (
	"context"
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/testing/harness"
)

// expiredAttempts returns the number of attempts that reached a server after their client's deadline,
// by the records of servers and clients.
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

// A gateway that was stopped by SIGSTOP and resumes must not send requests to servers whose client's
// deadline has passed: neither unread ones from its sockets nor those that it had accepted.
func TestAWokenGatewaySendsOnNothingStale(t *testing.T) {
	w, ctx := testWorld(t, Options{Seed: 4, Gateways: 3, Servers: 6, Load: 0.55})
	trafficContext, stopTraffic := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Clients.Run(trafficContext)
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
	stopTraffic()
	<-done
	if n := expiredAttempts(w.Record); n > 0 {
		t.Errorf("%d attempts reached a server after their client's deadline", n)
	}
	paused := 0
	for _, l := range w.Record.ProcessEvents {
		if l.Event == harness.Paused {
			paused++
		}
	}
	if paused != 2 || len(w.Record.Attempts) == 0 {
		t.Errorf("%d pauses, %d attempts: the run proves nothing", paused, len(w.Record.Attempts))
	}
}
