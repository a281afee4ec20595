package rollout

import (
	"log/slog"
	"testing"
	"time"

	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/monotonic"
)

// Guards against a check that reads the clock before it waits for the agent's mutex: a lease that
// expires during the wait must count as expired.
func TestLeaseThatExpiresWhileTheCheckWaits(t *testing.T) {
	a := New(configversion.DefaultConfig(), nil, nil, nil, slog.New(slog.DiscardHandler))
	sent := monotonic.Now()
	a.holder.HandleLease(sent, sent, &configversion.LeaseResponse{})
	until, generation := a.Current()
	if until == 0 || a.Expired(until, generation) {
		t.Fatalf("the lease is valid until %v at %v", until, monotonic.Now())
	}
	until = monotonic.Now() + 50*time.Millisecond
	a.mu.Lock()
	expired := make(chan bool)
	checking := make(chan struct{})
	go func() {
		close(checking)
		expired <- a.Expired(until, generation)
	}()
	<-checking
	for monotonic.Now() < until {
		time.Sleep(time.Millisecond)
	}
	a.mu.Unlock()
	if !<-expired {
		t.Error("a lease that expired before the check got the mutex counts as valid")
	}
}
