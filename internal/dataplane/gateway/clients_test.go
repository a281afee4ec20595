package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"mothcleat/internal/dataplane/policy"
)

// A connection that sends nothing, or stops in the middle of a command, is closed. One with an open
// request is not.
func TestSilentAndStalledClientsAreDisconnected(t *testing.T) {
	t.Parallel() // it takes seconds
	r, b, _ := startWithOneBackend(t, nil)
	good := r.dialClient(t)
	good.sendLookup(1, "60000")
	call := b.nextCommand(t)
	silent, half, slow := r.dialClient(t), r.dialClient(t), r.dialClient(t)
	half.writeRaw("*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000")
	slow.send("PING")
	slow.wantLine("+PONG")
	slow.writeRaw("*1\r\n$4\r\nPI")
	silent.wantClosed()
	for _, c := range []*testClient{half, slow} {
		if got := c.readLine(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("reply %q, want an error", got)
		}
		c.wantDisconnected()
	}
	call.replyValue(t, "ok")
	good.wantValue("ok")
}

// A value whose length is far beyond the limit is not read: the error is sent before its data
// arrives.
func TestOversizedCommandIsNotRead(t *testing.T) {
	r, _, _ := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	c.writeRaw("*5\r\n$9\r\nAPI.WRITE\r\n$62914560\r\n")
	if got := c.readLine(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("reply %q, want an error", got)
	}
	c.wantDisconnected()
}

// A client that sends too many invalid commands in a row is disconnected. One that sends valid
// commands in between is not.
func TestConsecutiveErrorsCloseConnection(t *testing.T) {
	r, _, _ := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	for range 2 * maxConsecutiveErrors {
		c.send("NOTHING")
		if got := c.readLine(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("reply %q, want an error", got)
		}
		c.send("PING")
		c.wantLine("+PONG")
	}
	var flood strings.Builder
	for range 300 {
		flood.WriteString("*1\r\n$7\r\nNOTHING\r\n")
	}
	go func() { _, _ = io.WriteString(c.conn, flood.String()) }() // the gateway may close meanwhile
	for range maxConsecutiveErrors {
		if got := c.readLine(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("reply %q, want an error", got)
		}
	}
	c.wantDisconnected()
}

// A request that has the id of another client's open request is answered with an error, and the
// open one is served. Once that has ended, the id can be used again.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	r, b, _ := startWithOneBackend(t, nil)
	c, other := r.dialClient(t), r.dialClient(t)
	c.sendLookup(1, "60000")
	call := b.nextCommand(t)
	other.sendLookup(1, "60000")
	if got := other.readLine(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("reply %q, want an error", got)
	}
	call.replyValue(t, "ok")
	c.wantValue("ok")
	c.sendLookup(1, "60000") // the first request with this id has ended
	b.nextCommand(t).replyValue(t, "again")
	c.wantValue("again")
}

// Connections without a command are evicted first, then those with one command, then the others,
// each time the one that has been idle longest. Neither a connection with an open request nor the
// one that needs the slot is evicted.
func TestEvictionOrder(t *testing.T) {
	d := newFakeDiscovery(t)
	g := newUnstartedGateway(t, d)
	now := g.now()
	add := func(commands int, idle policy.Time) *client {
		conn, err := net.DialTCP("tcp", nil, g.clients.listener.Addr().(*net.TCPAddr))
		if err != nil {
			t.Fatal(err)
		}
		c := &client{
			conn:        conn,
			out:         newSender(conn),
			done:        make(chan struct{}),
			commands:    commands,
			lastCommand: now - idle,
		}
		g.clients.conns[c] = true
		g.clients.slots <- struct{}{}
		return c
	}
	front, gone := add(9, 1e6), add(9, 60e6)
	once, onceOld := add(1, 0), add(1, 1e6)
	busy, newcomer := add(1, 90e6), add(0, -60e6)
	busy.pipeline = []*request{{answered: true}}
	old, older := add(0, 10e6), add(0, 20e6)
	for i, c := range []struct {
		requesting *client // its command needs the slot; nil: a new connection needs it
		evicted    *client // nil: none
	}{{nil, older}, {nil, old}, {nil, onceOld}, {nil, gone}, {newcomer, once}, {newcomer, front}, {newcomer, nil}} {
		if freed := g.clients.evict(
			g,
			c.requesting,
		); freed != (c.evicted != nil) ||
			c.evicted != nil && !c.evicted.closed {
			t.Fatalf("step %d: a slot was freed: %t", i, freed)
		}
	}
	if busy.closed || newcomer.closed || len(g.clients.slots) != 2 {
		t.Error("a connection with an open request, or the one that needs the slot, was evicted")
	}
}

// Connections that sent one command and stay open do not keep slots from new ones.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	r, b := startWithFourBackends(t, 40) // slots for 6 clients, and for 4 that may be rejected
	for id := range 30 {
		c := r.dialClient(t)
		c.sendLookup(id, "60000")
		b.nextCommand(t).replyValue(t, "ok")
		c.wantValue("ok")
	}
}

// inspect runs a function on the event loop's goroutine.
type inspect func(g *Gateway)

func (f inspect) handle(g *Gateway) { f(g) }

// A request that has ended leaves no timer and no other state in the gateway.
func TestEndedRequestsCancelTimers(t *testing.T) {
	r, b, _ := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	const many = 50
	for id := range many {
		c.sendLookup(id, "80000000")
		b.nextCommand(t).replyValue(t, "ok")
		c.wantValue("ok")
	}
	remaining := make(chan string, 1)
	r.gateway.post(inspect(func(g *Gateway) {
		timers := 0
		for _, timer := range g.timers {
			switch timer.task.(type) {
			case deadlineBackstop, attemptTimeout:
				timers++
			}
		}
		remaining <- fmt.Sprint(timers, len(g.requests.byID), len(g.requests.byClientID), g.requests.heldBytes, g.requests.open)
	}))
	if got := wait(t, remaining, "the event loop"); got != "0 0 0 0 0" {
		t.Errorf("timers, requests, ids, bytes, open: %s", got)
	}
}

// At the connection limit, silent and stalled connections are evicted. One that is sending its
// command, however slowly, is not, because its request would be lost.
func TestSlowSendersAreNotEvicted(t *testing.T) {
	g := newUnstartedGateway(t, newFakeDiscovery(t))
	now := g.now()
	add := func(lastCommand, lastByte policy.Time, midCommand bool) *client {
		conn, _ := newConnPair(t)
		c := &client{
			conn:          conn,
			out:           newSender(conn),
			pipelineSlots: make(chan struct{}, 1),
			done:          make(chan struct{}),
			lastCommand:   lastCommand,
		}
		c.lastByte.Store(lastByte)
		c.midCommand.Store(midCommand)
		g.clients.slots <- struct{}{}
		g.clients.conns[c] = true
		return c
	}
	slow := add(now-2_000_000, now, true)
	halted := add(now-3_000_000, now-2_500_000, true)
	silent := add(now-2_700_000, 0, false)
	paused := add(now-1_000_000, now-200_000, false) // sent bytes lately, is in no command
	for i, want := range []*client{silent, halted, paused} {
		if !g.clients.evict(g, nil) {
			t.Fatalf("no connection was evicted, %d are left", len(g.clients.conns))
		}
		if !want.closed {
			t.Fatalf(
				"eviction %d: closed: slow %v, halted %v, silent %v, paused %v",
				i,
				slow.closed,
				halted.closed,
				silent.closed,
				paused.closed,
			)
		}
	}
	if g.clients.evict(g, nil) || slow.closed {
		t.Error("a connection was evicted while it sent a command")
	}
}
