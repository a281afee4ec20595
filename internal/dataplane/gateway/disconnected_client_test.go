package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"mothcleat/internal/dataplane/policy"
)

// departures are the ways in which a client disconnects.
var departures = map[string]func(c *testClient){
	"closed": func(c *testClient) { c.conn.Close() },
	"reset":  func(c *testClient) { _ = c.conn.(*net.TCPConn).SetLinger(0); c.conn.Close() },
	"ended":  func(c *testClient) { _ = c.conn.(*net.TCPConn).CloseWrite() },
}

// lookups returns a number of requests, with ids from a number on, to be written at once.
func lookups(first, n int) string {
	var b strings.Builder
	for id := first; id < first+n; id++ {
		fmt.Fprintf(
			&b,
			"*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000000000000007\r\n$16\r\n%016x\r\n$50\r\nc=lookup,t=team,d=60000,units=1,spread=1,first=000\r\n",
			id,
		)
	}
	return b.String()
}

// onlyTheOther lets held dials finish, and checks that only the other client's request reaches the
// backend.
func onlyTheOther(
	t *testing.T,
	r *rig,
	b *fakeBackend,
	dials *heldDials,
	other *testClient,
	id int,
) {
	t.Helper()
	other.lookup(id, "60000")
	until(
		t,
		r.gateway,
		"the other's request",
		func(g *Gateway) bool { return g.requests.open == 1 },
	)
	close(dials.goOn)
	call := b.next(t)
	if got := string(call.args[2]); got != fmt.Sprintf("%016x", id) {
		t.Fatalf("request %s was sent on, its client has left", got)
	}
	call.serve(t, "ok")
	other.value("ok")
	if n := ask(
		t,
		r.gateway,
		func(g *Gateway) int { return len(g.requests.byID) },
	); n != 0 ||
		len(b.got) > 0 {
		t.Errorf("%d requests in the table, %d commands more at the backend", n, len(b.got))
	}
}

// The disconnect of a client that has sent more commands than its pipeline holds is noticed
// although its reader waits for a slot and the close lies behind unread commands: none of its
// requests is sent after that.
func TestDisconnectBehindFullPipelineSendsNothing(t *testing.T) {
	for name, leave := range departures {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t)
			var dials *heldDials
			r := beginWith(
				t,
				configure(t, newFakeDiscovery(t, b.entry("s-00000001", "Ready")), slowDials),
				func(g *Gateway) { dials = holdDials(g) },
			)
			dials.begun = make(chan string, 1024)
			gone, other := r.client(t), r.client(t)
			gone.raw(lookups(1, maxPipelined+50))
			until(t, r.gateway, "a full line", func(g *Gateway) bool {
				for c := range g.clients.conns {
					if len(c.pipeline) == maxPipelined {
						return g.requests.open > 0 // rejections wait for their turn as well
					}
				}
				return false
			})
			leave(gone)
			until(
				t,
				r.gateway,
				"the client's leaving",
				func(g *Gateway) bool { return g.requests.open == 0 },
			)
			onlyTheOther(t, r, b, dials, other, maxPipelined+1000)
		})
	}
}

// A client whose framing is lost, or that errs again and again, is read no more. Its disconnect is
// noticed all the same, and its requests before the invalid commands are not sent after that.
func TestDisconnectAfterInvalidCommandsSendsNothing(t *testing.T) {
	for what, bad := range map[string]string{
		"lost framing": "*1\r\nnonsense\r\n", "errors in a row": strings.Repeat("*1\r\n$7\r\nNOTHING\r\n", 2*maxConsecutiveErrors),
	} {
		for name, leave := range departures {
			t.Run(what+", "+name, func(t *testing.T) {
				b := newBackend(t)
				var dials *heldDials
				r := beginWith(
					t,
					configure(t, newFakeDiscovery(t, b.entry("s-00000001", "Ready")), slowDials),
					func(g *Gateway) { dials = holdDials(g) },
				)
				gone, other := r.client(t), r.client(t)
				gone.raw(lookups(1, 3) + bad)
				until(t, r.gateway, "the bad commands", func(g *Gateway) bool {
					for c := range g.clients.conns {
						if c.ignoreInput.Load() {
							return true
						}
					}
					return false
				})
				leave(gone)
				until(
					t,
					r.gateway,
					"the client's leaving",
					func(g *Gateway) bool { return g.requests.open == 0 },
				)
				onlyTheOther(t, r, b, dials, other, 1000)
			})
		}
	}
}

// occupied blocks the event loop until the test lets it go on.
func occupied(t *testing.T, g *Gateway, meanwhile func(g *Gateway)) (goOn func()) {
	t.Helper()
	begun, over := make(chan struct{}), make(chan struct{})
	g.post(inspect(func(g *Gateway) {
		close(begun)
		<-over
		meanwhile(g)
	}))
	wait(t, begun, "the loop")
	return func() { close(over) }
}

// queuedEvents waits until a number of events is queued for a blocked event loop.
func queuedEvents(t *testing.T, g *Gateway, n int) {
	t.Helper()
	for late := time.After(patience); len(g.events) < n; {
		select {
		case <-late:
			t.Fatalf("%d events wait, want %d", len(g.events), n)
		default:
			runtime.Gosched()
		}
	}
}

// An event loop that is behind has the end of a dial in its queue before a client's close: before
// it sends the request it checks whether the client is still connected.
func TestBusyLoopChecksHangUpBeforeSend(t *testing.T) {
	for name, leave := range departures {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t)
			var dials *heldDials
			r := beginWith(
				t,
				configure(t, newFakeDiscovery(t, b.entry("s-00000001", "Ready")), slowDials),
				func(g *Gateway) { dials = holdDials(g) },
			)
			gone := r.client(t)
			gone.lookup(1, "60000")
			wait(t, dials.begun, "the dial")
			var k *client
			ask(t, r.gateway, func(g *Gateway) bool {
				for _, request := range g.requests.byID {
					k = request.client
				}
				return true
			})
			goOn := occupied(
				t,
				r.gateway,
				func(*Gateway) { k.lastSeenOpen -= policy.Time(time.Second.Microseconds()) },
			) // the loop has been busy for that long
			dials.goOn <- true
			queuedEvents(t, r.gateway, 1) // the dial's end
			leave(gone)
			queuedEvents(t, r.gateway, 2) // the close, behind it
			goOn()
			until(
				t,
				r.gateway,
				"the client's leaving",
				func(g *Gateway) bool { return g.requests.open == 0 && len(g.requests.byID) == 0 },
			)
			other := r.client(t)
			other.lookup(2, "60000")
			call := b.next(t)
			if got := string(call.args[2]); got != fmt.Sprintf("%016x", 2) {
				t.Fatalf("request %s was sent on, its client has left", got)
			}
			call.serve(t, "ok")
			other.value("ok")
		})
	}
}

// A retry that an outcome asks for while the client's close is queued behind it is not sent: a dial
// for it is never begun after the close was handled, and nothing is written to one begun before.
func TestNoRetryAfterDisconnect(t *testing.T) {
	first, second := newBackend(t), newBackend(t)
	d := newFakeDiscovery(t, first.entry("s-00000001", "Ready"))
	var dials *heldDials
	r := beginWith(t, configure(t, d, func(f map[string]any) {
		slowDials(f)
		// Sent again at once: a twentieth of the aim is a moment.
		f["settings"] = json.RawMessage(
			strings.Replace(
				string(f["settings"].(json.RawMessage)),
				`"promise-us":10000000`,
				`"promise-us":1000`,
				1,
			),
		)
	}), func(g *Gateway) { dials = holdDials(g) })
	gone := r.client(t)
	gone.lookup(1, "900")
	wait(t, dials.begun, "the first dial")
	dials.goOn <- true
	call := first.next(t)
	d.tell(first.entry("s-00000001", "Terminating"), second.entry("s-00000002", "Ready"))
	d.settled(t)
	var k *client
	ask(t, r.gateway, func(g *Gateway) bool {
		for _, request := range g.requests.byID {
			k = request.client
		}
		return true
	})
	goOn := occupied(
		t,
		r.gateway,
		func(*Gateway) { k.lastSeenOpen -= policy.Time(time.Second.Microseconds()) },
	)
	call.answer(t, "-ERR failed\r\n")
	queuedEvents(t, r.gateway, 1)
	gone.conn.Close()
	queuedEvents(t, r.gateway, 2)
	goOn()
	until(
		t,
		r.gateway,
		"the client's leaving",
		func(g *Gateway) bool { return g.requests.open == 0 && len(g.requests.byID) == 0 },
	)
	close(dials.goOn)
	other := r.client(t)
	other.lookup(2, "60000")
	next := second.next(t)
	if got := string(next.args[2]); got != fmt.Sprintf("%016x", 2) {
		t.Fatalf("request %s was sent on once more, its client has left", got)
	}
	next.serve(t, "ok")
	other.value("ok")
}
