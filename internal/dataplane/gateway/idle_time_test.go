package gateway

import (
	"net"
	"testing"
	"time"

	"mothcleat/internal/dataplane/policy"
)

// The idle time of a connection that proved dead ends with the write of the request, not with the
// start of its attempt: an attempt that waits while its connection rests starts before the
// connection becomes idle, and the negative difference would make the gateway trust no idle
// connection any more.
func TestIdleTimeEndsAtTheWrite(t *testing.T) {
	const stood = 5 * time.Second
	b := newBackend(t)
	r := beginWith(
		t,
		configure(t, newFakeDiscovery(t, b.entry("s-00000001", "Ready")), nil),
		func(g *Gateway) {
			g.backends.cooldown = policy.Time(
				time.Hour.Microseconds(),
			) // until the test ends it
		},
	)
	c, other := r.client(t), r.client(t)
	c.lookup(1, "60000")
	b.next(t).serve(t, "one")
	c.value("one")
	other.lookup(2, "60000")
	until(
		t,
		r.gateway,
		"a request that waits for the connection to have rested",
		func(g *Gateway) bool {
			return len(g.backends.byNumber[1].waiting) == 1
		},
	)
	ask(t, r.gateway, func(g *Gateway) bool {
		server := g.backends.byNumber[1]
		conn, waiting := server.idle[0], server.waiting[0]
		conn.idleSince -= stood.Microseconds()
		waiting.startedAt = conn.idleSince - stood.Microseconds()
		conn.cooldownUntil = g.now()
		g.backends.idleLimiter.lastBroken = g.now() // a single one is taken for chance
		cooldownEnded{conn}.due(g)
		waiting.writtenAt += time.Hour.Microseconds() // it breaks at once, however late this machine sees it
		return true
	})
	call := b.next(t)
	_ = call.conn.(*net.TCPConn).SetLinger(0)
	call.conn.Close()
	b.next(t).serve(t, "two") // by another
	other.value("two")
	if learnt := ask(
		t,
		r.gateway,
		func(g *Gateway) policy.Time { return g.backends.idleLimiter.learnedLimit },
	); learnt < stood.Microseconds()/2 {
		t.Errorf(
			"a connection is trusted for %d us, this one had stood idle for %d",
			learnt,
			stood.Microseconds(),
		)
	}
}
