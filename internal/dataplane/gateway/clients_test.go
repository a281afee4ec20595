package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"mothcleat/internal/dataplane/policy"
)

// A connection that sends nothing, or half a command, is closed; one with an open request is not.
func TestSilentAndStalledClientsAreCutOff(t *testing.T) {
	t.Parallel() // it waits for seconds
	r, b, _ := oneBackend(t, nil)
	good := r.client(t)
	good.lookup(1, "60000")
	call := b.next(t)
	silent, half, slow := r.client(t), r.client(t), r.client(t)
	half.raw("*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000")
	slow.send("PING")
	slow.want("+PONG")
	slow.raw("*1\r\n$4\r\nPI")
	silent.closed()
	for _, c := range []*testClient{half, slow} {
		if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("answer %q", got)
		}
		c.ended()
	}
	call.serve(t, "ok")
	good.value("ok")
}

// Values far beyond any limit are not read: the error comes before their data.
func TestOversizedCommandIsNotRead(t *testing.T) {
	r, _, _ := oneBackend(t, nil)
	c := r.client(t)
	c.raw("*5\r\n$9\r\nAPI.WRITE\r\n$62914560\r\n")
	if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("answer %q", got)
	}
	c.ended()
}

// A client that sends only invalid commands is cut off; one that errs now and then is not.
func TestConsecutiveErrorsCloseConnection(t *testing.T) {
	r, _, _ := oneBackend(t, nil)
	c := r.client(t)
	for range 2 * maxConsecutiveErrors {
		c.send("NOTHING")
		if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("answer %q", got)
		}
		c.send("PING")
		c.want("+PONG")
	}
	var flood strings.Builder
	for range 300 {
		flood.WriteString("*1\r\n$7\r\nNOTHING\r\n")
	}
	go func() { _, _ = io.WriteString(c.conn, flood.String()) }() // may be cut off before its end
	for range maxConsecutiveErrors {
		if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("answer %q", got)
		}
	}
	c.ended()
}

// A request with the id of another client's open request is rejected, and the open one is served.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c, other := r.client(t), r.client(t)
	c.lookup(1, "60000")
	call := b.next(t)
	other.lookup(1, "60000")
	if got := other.line(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("answer %q", got)
	}
	call.serve(t, "ok")
	c.value("ok")
	c.lookup(1, "60000") // it has ended
	b.next(t).serve(t, "again")
	c.value("again")
}

// Connections without a command are evicted first, then those with one command.
func TestEvictionOrder(t *testing.T) {
	d := newFakeDiscovery(t)
	g := unstarted(t, d)
	now := g.now()
	add := func(asked int, idle policy.Time) *client {
		near, err := net.DialTCP("tcp", nil, g.clients.listener.Addr().(*net.TCPAddr))
		if err != nil {
			t.Fatal(err)
		}
		c := &client{
			conn:        near,
			out:         newSender(near),
			done:        make(chan struct{}),
			commands:    asked,
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
		asking *client
		gone   *client
	}{{nil, older}, {nil, old}, {nil, onceOld}, {nil, gone}, {newcomer, once}, {newcomer, front}, {newcomer, nil}} {
		if made := g.clients.evict(
			g,
			c.asking,
		); made != (c.gone != nil) ||
			c.gone != nil && !c.gone.closed {
			t.Fatalf("step %d: room made %t", i, made)
		}
	}
	if busy.closed || newcomer.closed || len(g.clients.slots) != 2 {
		t.Error("one with an open request, or just come, made room")
	}
}

// Connections that sent one command and stay open take no slots from new ones.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	r, b := fourBackends(t, 40) // 6 clients, and 4 that may be rejected
	for id := range 30 {
		c := r.client(t)
		c.lookup(id, "60000")
		b.next(t).serve(t, "ok")
		c.value("ok")
	}
}

// inspect runs a function on the event loop's goroutine.
type inspect func(g *Gateway)

func (f inspect) handle(g *Gateway) { f(g) }

// A request that has ended leaves no timer and no state behind.
func TestEndedRequestsCancelTimers(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c := r.client(t)
	const many = 50
	for id := range many {
		c.lookup(id, "80000000")
		b.next(t).serve(t, "ok")
		c.value("ok")
	}
	left := make(chan string, 1)
	r.gateway.post(inspect(func(g *Gateway) {
		timers := 0
		for _, timer := range g.timers {
			switch timer.task.(type) {
			case deadlineBackstop, attemptTimeout:
				timers++
			}
		}
		left <- fmt.Sprint(timers, len(g.requests.byID), len(g.requests.byClientID), g.requests.heldBytes, g.requests.open)
	}))
	if got := wait(t, left, "the loop"); got != "0 0 0 0 0" {
		t.Errorf("timers, requests, ids, bytes, open: %s", got)
	}
}

// At the limit of connections, silent and stalled ones are evicted. One that is sending its
// command, however slowly, is not: its request would be lost.
func TestSlowSendersAreNotEvicted(t *testing.T) {
	g := unstarted(t, newFakeDiscovery(t))
	now := g.now()
	make := func(used, heard policy.Time, amid bool) *client {
		here, _ := pipe(t)
		c := &client{
			conn:          here,
			out:           newSender(here),
			pipelineSlots: make(chan struct{}, 1),
			done:          make(chan struct{}),
			lastCommand:   used,
		}
		c.lastByte.Store(heard)
		c.midCommand.Store(amid)
		g.clients.slots <- struct{}{}
		g.clients.conns[c] = true
		return c
	}
	slow := make(now-2_000_000, now, true)
	halted := make(now-3_000_000, now-2_500_000, true)
	silent := make(now-2_700_000, 0, false)
	drips := make(now-1_000_000, now-200_000, false) // it pauses between two pieces
	for i, want := range []*client{silent, halted, drips} {
		if !g.clients.evict(g, nil) {
			t.Fatalf("nobody makes room, %d connections left", len(g.clients.conns))
		}
		if !want.closed {
			t.Fatalf(
				"eviction %d: slow %v, halted %v, silent %v, drips %v",
				i,
				slow.closed,
				halted.closed,
				silent.closed,
				drips.closed,
			)
		}
	}
	if g.clients.evict(g, nil) || slow.closed {
		t.Error("a request on its way was cut off for want of places")
	}
}
