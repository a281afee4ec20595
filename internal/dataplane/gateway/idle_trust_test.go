package gateway

import (
	"net"
	"syscall"
	"testing"

	"mothcleat/internal/dataplane/policy"
)

// Idle connections that break when used are trusted for a shorter time, until that recovers.
func TestIdleTrustLearnsAndRecovers(t *testing.T) {
	k := idleLimiter{maxIdle: 15_000_000}
	now := policy.Time(1e9)
	want := func(most policy.Time) {
		t.Helper()
		if got := k.limit(now); got != most {
			t.Errorf("trusted for %d, want %d", got, most)
		}
	}
	k.connBroken(now, 400_000)
	want(15_000_000) // a single one is taken for chance
	now += 100_000
	k.connBroken(now, 400_000)
	want(200_000)
	now += 1
	k.connBroken(now, 1000)
	want(minIdleLimit)
	now += 2 * idleLimitRecovery
	want(4 * minIdleLimit)
	now += 60e6
	want(15_000_000)
}

// A dial that is reset is repeated once before the backend counts as unreachable: nothing was sent,
// and something listens there.
func TestResetDialIsRepeatedOnce(t *testing.T) {
	b := newBackend(t)
	g := unstarted(t, newFakeDiscovery(t))
	g.backends.updateEndpoints(
		g,
		policy.Complete,
		[]member{{ID: "s-00000001", HostPort: b.listener.Addr().String(), Phase: "Ready"}},
	)
	a := &attempt{startedAt: g.now(), deadline: g.now() + 1e9}
	g.backends.startAttempt(g, a, 1)
	for i, want := range []bool{false, true} {
		e := wait(t, g.events, "a dial").(dialed)
		if e.err != nil {
			t.Fatal(e.err)
		}
		_ = e.conn.Close()
		e.conn, e.err = nil, &net.OpError{Op: "dial", Err: syscall.ECONNRESET}
		e.handle(g)
		if a.ended != want {
			t.Fatalf("after %d resets the attempt has ended: %t", i+1, a.ended)
		}
	}
	if got := g.queue[len(g.queue)-1].(attemptOutcome).result; got != policy.ConnectFailed {
		t.Errorf("result %d", got)
	}
}
