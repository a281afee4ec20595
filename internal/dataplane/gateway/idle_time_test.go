package gateway

import (
	"net"
	"testing"
	"time"

	"mothcleat/internal/dataplane/policy"
)

// The idle time of a dead connection ends when the request is written, not when its attempt starts.
// An attempt that waits for the connection's cooldown starts before the connection becomes idle:
// the difference would be negative, and the gateway would reuse no idle connection any more.
func TestIdleTimeEndsAtTheWrite(t *testing.T) {
	const idleTime = 5 * time.Second
	b := newFakeBackend(t)
	r := startGatewayWith(
		t,
		testConfig(t, newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready")), nil),
		func(g *Gateway) {
			g.backends.cooldown = policy.Time(
				time.Hour.Microseconds(),
			) // in effect until the test ends it
		},
	)
	c, other := r.dialClient(t), r.dialClient(t)
	c.sendLookup(1, "60000")
	b.nextCommand(t).replyValue(t, "one")
	c.wantValue("one")
	other.sendLookup(2, "60000")
	waitUntil(
		t,
		r.gateway,
		"a request that waits for the connection's cooldown",
		func(g *Gateway) bool {
			return len(g.backends.byNumber[1].waiting) == 1
		},
	)
	onEventLoop(t, r.gateway, func(g *Gateway) bool {
		server := g.backends.byNumber[1]
		conn, waiting := server.idle[0], server.waiting[0]
		conn.idleSince -= idleTime.Microseconds()
		waiting.startedAt = conn.idleSince - idleTime.Microseconds()
		conn.cooldownUntil = g.now()
		g.backends.idleLimiter.lastBroken = g.now() // the first broken connection lowers no limit
		cooldownEnded{conn}.due(g)
		// The connection counts as broken right after the write, however slow the machine is.
		waiting.writtenAt += time.Hour.Microseconds()
		return true
	})
	call := b.nextCommand(t)
	_ = call.conn.(*net.TCPConn).SetLinger(0)
	call.conn.Close()
	b.nextCommand(t).replyValue(t, "two") // on another connection
	other.wantValue("two")
	if limit := onEventLoop(
		t,
		r.gateway,
		func(g *Gateway) policy.Time { return g.backends.idleLimiter.learnedLimit },
	); limit < idleTime.Microseconds()/2 {
		t.Errorf(
			"the learned idle limit is %d us; the broken connection had been idle for %d us",
			limit,
			idleTime.Microseconds(),
		)
	}
}
