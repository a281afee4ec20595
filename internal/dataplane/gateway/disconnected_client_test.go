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

// disconnectKinds are the ways in which a client disconnects.
var disconnectKinds = map[string]func(c *testClient){
	"closed": func(c *testClient) { c.conn.Close() },
	"reset":  func(c *testClient) { _ = c.conn.(*net.TCPConn).SetLinger(0); c.conn.Close() },
	"ended":  func(c *testClient) { _ = c.conn.(*net.TCPConn).CloseWrite() },
}

// lookupCommands returns n requests of class lookup, with consecutive ids from first on.
func lookupCommands(first, n int) string {
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

// wantOnlyOtherSent sends a request of another client, lets the held dials finish, and checks that
// only that request reaches the backend.
func wantOnlyOtherSent(
	t *testing.T,
	r *testGateway,
	b *fakeBackend,
	dials *heldDials,
	other *testClient,
	id int,
) {
	t.Helper()
	other.sendLookup(id, "60000")
	waitUntil(
		t,
		r.gateway,
		"the other client's request",
		func(g *Gateway) bool { return g.requests.open == 1 },
	)
	close(dials.release)
	call := b.nextCommand(t)
	if got := string(call.args[2]); got != fmt.Sprintf("%016x", id) {
		t.Fatalf("request %s was sent although its client had disconnected", got)
	}
	call.replyValue(t, "ok")
	other.wantValue("ok")
	if n := onEventLoop(
		t,
		r.gateway,
		func(g *Gateway) int { return len(g.requests.byID) },
	); n != 0 ||
		len(b.commands) > 0 {
		t.Errorf("%d requests in the table, %d more commands at the backend", n, len(b.commands))
	}
}

// A client sends more commands than its pipeline holds, and disconnects. Its reader waits for a
// pipeline slot, and the close lies behind unread commands. The gateway must notice the disconnect
// nevertheless, and send none of the client's requests after it.
func TestDisconnectBehindFullPipelineSendsNothing(t *testing.T) {
	for name, disconnect := range disconnectKinds {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend(t)
			var dials *heldDials
			r := startGatewayWith(
				t,
				testConfig(t, newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready")), withLongDialTimeout),
				func(g *Gateway) { dials = holdDials(g) },
			)
			dials.started = make(chan string, 1024)
			gone, other := r.dialClient(t), r.dialClient(t)
			gone.writeRaw(lookupCommands(1, maxPipelined+50))
			waitUntil(t, r.gateway, "a full pipeline", func(g *Gateway) bool {
				for c := range g.clients.conns {
					if len(c.pipeline) == maxPipelined {
						return g.requests.open > 0 // rejections are queued in the pipeline as well
					}
				}
				return false
			})
			disconnect(gone)
			waitUntil(
				t,
				r.gateway,
				"the client's disconnect",
				func(g *Gateway) bool { return g.requests.open == 0 },
			)
			wantOnlyOtherSent(t, r, b, dials, other, maxPipelined+1000)
		})
	}
}

// The gateway ignores further commands of a client whose framing is lost or that sends too many
// invalid commands in a row. It must notice the client's disconnect nevertheless, and send none of
// its earlier requests after it.
func TestDisconnectAfterInvalidCommandsSendsNothing(t *testing.T) {
	for cause, invalid := range map[string]string{
		"lost framing": "*1\r\nnonsense\r\n", "consecutive errors": strings.Repeat("*1\r\n$7\r\nNOTHING\r\n", 2*maxConsecutiveErrors),
	} {
		for name, disconnect := range disconnectKinds {
			t.Run(cause+", "+name, func(t *testing.T) {
				b := newFakeBackend(t)
				var dials *heldDials
				r := startGatewayWith(
					t,
					testConfig(t, newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready")), withLongDialTimeout),
					func(g *Gateway) { dials = holdDials(g) },
				)
				gone, other := r.dialClient(t), r.dialClient(t)
				gone.writeRaw(lookupCommands(1, 3) + invalid)
				waitUntil(t, r.gateway, "the invalid commands", func(g *Gateway) bool {
					for c := range g.clients.conns {
						if c.ignoreInput.Load() {
							return true
						}
					}
					return false
				})
				disconnect(gone)
				waitUntil(
					t,
					r.gateway,
					"the client's disconnect",
					func(g *Gateway) bool { return g.requests.open == 0 },
				)
				wantOnlyOtherSent(t, r, b, dials, other, 1000)
			})
		}
	}
}

// blockEventLoop blocks the event loop until the test calls unblock; the loop then calls after.
func blockEventLoop(t *testing.T, g *Gateway, after func(g *Gateway)) (unblock func()) {
	t.Helper()
	blocked, unblocked := make(chan struct{}), make(chan struct{})
	g.post(inspect(func(g *Gateway) {
		close(blocked)
		<-unblocked
		after(g)
	}))
	wait(t, blocked, "the event loop")
	return func() { close(unblocked) }
}

// waitForQueuedEvents waits until n events are queued for a blocked event loop.
func waitForQueuedEvents(t *testing.T, g *Gateway, n int) {
	t.Helper()
	for timeout := time.After(waitTimeout); len(g.events) < n; {
		select {
		case <-timeout:
			t.Fatalf("%d events are queued, want %d", len(g.events), n)
		default:
			runtime.Gosched()
		}
	}
}

// When the event loop lags, its queue may hold the end of a dial before the client's close. Before
// it sends the request, the loop must check whether the client is still connected.
func TestBusyLoopChecksHangUpBeforeSend(t *testing.T) {
	for name, disconnect := range disconnectKinds {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend(t)
			var dials *heldDials
			r := startGatewayWith(
				t,
				testConfig(t, newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready")), withLongDialTimeout),
				func(g *Gateway) { dials = holdDials(g) },
			)
			gone := r.dialClient(t)
			gone.sendLookup(1, "60000")
			wait(t, dials.started, "the dial")
			var c *client
			onEventLoop(t, r.gateway, func(g *Gateway) bool {
				for _, request := range g.requests.byID {
					c = request.client
				}
				return true
			})
			unblock := blockEventLoop(
				t,
				r.gateway,
				func(*Gateway) { c.lastSeenOpen -= policy.Time(time.Second.Microseconds()) },
			) // as if the loop had been busy for a second
			dials.release <- true
			waitForQueuedEvents(t, r.gateway, 1) // the end of the dial
			disconnect(gone)
			waitForQueuedEvents(t, r.gateway, 2) // and the close
			unblock()
			waitUntil(
				t,
				r.gateway,
				"the client's disconnect",
				func(g *Gateway) bool { return g.requests.open == 0 && len(g.requests.byID) == 0 },
			)
			other := r.dialClient(t)
			other.sendLookup(2, "60000")
			call := b.nextCommand(t)
			if got := string(call.args[2]); got != fmt.Sprintf("%016x", 2) {
				t.Fatalf("request %s was sent although its client had disconnected", got)
			}
			call.replyValue(t, "ok")
			other.wantValue("ok")
		})
	}
}

// The failure of an attempt, which calls for a retry, is queued before the client's close. The
// retry must not be sent: no dial for it starts after the close was handled, and nothing is written
// to a connection whose dial started before.
func TestNoRetryAfterDisconnect(t *testing.T) {
	first, second := newFakeBackend(t), newFakeBackend(t)
	d := newFakeDiscovery(t, first.memberJSON("s-00000001", "Ready"))
	var dials *heldDials
	r := startGatewayWith(t, testConfig(t, d, func(f map[string]any) {
		withLongDialTimeout(f)
		// The retry is sent at once: its delay is a twentieth of the latency objective.
		f["settings"] = json.RawMessage(
			strings.Replace(
				string(f["settings"].(json.RawMessage)),
				`"promise-us":10000000`,
				`"promise-us":1000`,
				1,
			),
		)
	}), func(g *Gateway) { dials = holdDials(g) })
	gone := r.dialClient(t)
	gone.sendLookup(1, "900")
	wait(t, dials.started, "the first dial")
	dials.release <- true
	call := first.nextCommand(t)
	d.publish(first.memberJSON("s-00000001", "Terminating"), second.memberJSON("s-00000002", "Ready"))
	d.awaitWatch(t)
	var c *client
	onEventLoop(t, r.gateway, func(g *Gateway) bool {
		for _, request := range g.requests.byID {
			c = request.client
		}
		return true
	})
	unblock := blockEventLoop(
		t,
		r.gateway,
		func(*Gateway) { c.lastSeenOpen -= policy.Time(time.Second.Microseconds()) },
	)
	call.reply(t, "-ERR failed\r\n")
	waitForQueuedEvents(t, r.gateway, 1)
	gone.conn.Close()
	waitForQueuedEvents(t, r.gateway, 2)
	unblock()
	waitUntil(
		t,
		r.gateway,
		"the client's disconnect",
		func(g *Gateway) bool { return g.requests.open == 0 && len(g.requests.byID) == 0 },
	)
	close(dials.release)
	other := r.dialClient(t)
	other.sendLookup(2, "60000")
	next := second.nextCommand(t)
	if got := string(next.args[2]); got != fmt.Sprintf("%016x", 2) {
		t.Fatalf("request %s was retried although its client had disconnected", got)
	}
	next.replyValue(t, "ok")
	other.wantValue("ok")
}
