package gateway

import (
	"net"
	"testing"

	"mothcleat/internal/dataplane/policy"
)

// Clients that write a command for long, or have stopped in the middle of one, do not keep new
// connections waiting until their time is over. Without that pressure they may go on.
func TestSlowWritersGiveWay(t *testing.T) {
	g := newUnstartedGateway(t, newFakeDiscovery(t))
	now := g.now()
	add := func(commands int, writingFor, silentFor policy.Time) *client {
		conn, err := net.DialTCP("tcp", nil, g.clients.listener.Addr().(*net.TCPAddr))
		if err != nil {
			t.Fatal(err)
		}
		c := newClient(conn, now)
		c.commands = commands
		c.midCommand.Store(true)
		c.commandSince.Store(now - writingFor)
		c.lastByte.Store(now - silentFor)
		g.clients.conns[c] = true
		g.clients.slots <- struct{}{}
		return c
	}
	recent := add(0, slowCommandTimeout/2, 0)
	slow := add(0, slowCommandTimeout, 0)
	stalled := add(3, stalledCommandTimeout, stalledCommandTimeout)
	requesting := add(1, 0, 0)
	if g.clients.evict(g, nil) {
		t.Fatal("a connection was evicted although no other waits for a slot")
	}
	g.clients.slotWanted.Store(true)
	if !g.clients.evict(g, nil) || !slow.closed {
		t.Fatal("the client that writes for long keeps its slot")
	}
	g.clients.slotWanted.Store(false)
	if !g.clients.evict(g, requesting) || !stalled.closed {
		t.Fatal("the client that has stopped keeps its slot from a whole command")
	}
	if g.clients.evict(g, requesting) || recent.closed || requesting.closed {
		t.Fatal("a client was evicted that has not been writing for long")
	}
}

// A request's time runs from when it arrived, not from when its connection was accepted.
func TestTimeInBacklogCounts(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t)
	d := newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready"))
	r := startGatewayWith(t, testConfig(t, d, nil), func(g *Gateway) {
		g.clients.slots = make(chan struct{}, 1)
	})
	first := r.dialClient(t)
	first.sendLookup(1, "2000")
	call := b.nextCommand(t)
	waiting := r.dialClient(t) // no slot is free for it
	waiting.sendLookup(2, "2000")
	const inBacklog = 500_000
	r.awaitClock(t, inBacklog)
	call.replyValue(t, "one")
	first.wantValue("one")
	first.conn.Close()
	second := b.nextCommand(t)
	if told := second.toldTimeout(t); told > 2000-inBacklog/1000 {
		t.Errorf("the backend was told %d ms, more than is left to the client", told)
	}
	second.replyValue(t, "two")
	waiting.wantValue("two")
}
