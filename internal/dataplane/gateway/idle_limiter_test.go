package gateway

import (
	"net"
	"syscall"
	"testing"

	"mothcleat/internal/dataplane/policy"
)

// Idle connections that break on reuse lower the idle limit, which then recovers over time.
func TestIdleLimitLearnsAndRecovers(t *testing.T) {
	l := idleLimiter{maxIdle: 15_000_000}
	now := policy.Time(1e9)
	want := func(limit policy.Time) {
		t.Helper()
		if got := l.limit(now); got != limit {
			t.Errorf("idle limit %d us, want %d us", got, limit)
		}
	}
	l.connBroken(now, 400_000)
	want(15_000_000) // a single broken connection may be a coincidence
	now += 100_000
	l.connBroken(now, 400_000)
	want(200_000)
	now += 1
	l.connBroken(now, 1000)
	want(minIdleLimit)
	now += 2 * idleLimitRecovery
	want(4 * minIdleLimit)
	now += 60e6
	want(15_000_000)
}

// A dial that is reset is repeated once before the backend counts as unreachable: no request was
// sent, and a reset shows that some process listens there.
func TestResetDialIsRepeatedOnce(t *testing.T) {
	b := newFakeBackend(t)
	g := newUnstartedGateway(t, newFakeDiscovery(t))
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
