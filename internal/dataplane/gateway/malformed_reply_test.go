package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"

	"mothcleat/internal/dataplane/policy"
)

// A connection with bytes behind a complete answer is not reused: they would be taken for the
// answer to the next request.
func TestRepeatedAnswerIsDropped(t *testing.T) {
	const good = "+PONG\r\n"
	for name, answers := range map[string][]string{
		"in one write":  {good + good},
		"in two writes": {good, good}, // the second is read after the first was handled
	} {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend(t)
			g := newUnstartedGateway(t, newFakeDiscovery(t))
			m := member{ID: "s-00000001", HostPort: b.listener.Addr().String(), Phase: "Ready"}
			g.backends.updateEndpoints(g, policy.Complete, []member{m})
			first := &attempt{startedAt: g.now(), deadline: g.now() + 1e9}
			g.backends.startAttempt(g, first, 1)
			wait(t, g.events, "the dial").handle(g)
			used := first.conn
			call := b.nextCommand(t) // a health check, whose answer is read like any other
			call.reply(t, answers[0])
			wait(t, g.events, "the answer").handle(g)
			var late event
			if len(answers) > 1 {
				call.reply(t, answers[1])
				late = wait(t, g.events, "the second answer") // read, and not handled yet
			}
			second := &attempt{startedAt: g.now(), deadline: g.now() + 1e9}
			g.backends.startAttempt(g, second, 1)
			if late != nil {
				late.handle(g)
			}
			for redialed := false; !redialed; {
				e := wait(t, g.events, "another dial")
				_, redialed = e.(dialed)
				e.handle(g)
			}
			if !first.ended || second.ended || second.conn == nil || second.conn == used {
				t.Errorf("first attempt %+v, second %+v", first, second)
			}
		})
	}
}

// withCooldown sets the cooldown of connections to backends after an answer.
func withCooldown(cooldown policy.Time) func(*Gateway) {
	return func(g *Gateway) { g.backends.cooldown = cooldown }
}

// waitForCooldowns waits until the first backend has idle connections and all their cooldowns have
// ended.
func waitForCooldowns(t testing.TB, r *testGateway) {
	t.Helper()
	waitUntil(t, r.gateway, "the end of the connections' cooldowns", func(g *Gateway) bool {
		b := g.backends.byNumber[1]
		return len(b.idle) > 0 &&
			!slices.ContainsFunc(
				b.idle,
				func(c *backendConn) bool { return g.now() < c.cooldownUntil },
			)
	})
}

// A repeated answer that arrives after the next request was written would be taken for the answer
// to that request. The connection is therefore used neither for new nor for waiting attempts until
// its cooldown has ended, by when a repeated answer has arrived.
func TestLateRepeatedAnswerIsDropped(t *testing.T) {
	const value, repeated = "one", "*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n"
	t.Run("the next request", func(t *testing.T) {
		b := newFakeBackend(t)
		r := startGatewayWith(
			t,
			testConfig(t, newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready")), nil),
			withCooldown(1e12),
		)
		c := r.dialClient(t)
		c.sendLookup(1, "60000")
		first := b.nextCommand(t)
		first.replyValue(t, value)
		c.wantValue(value)
		c.sendLookup(2, "60000")
		waitUntil(
			t,
			r.gateway,
			"the next request",
			func(g *Gateway) bool { return g.requests.lastID == 2 },
		)
		first.reply(t, repeated)
		wait(t, b.disconnects, "the end of the connection with a repeated answer")
		b.nextCommand(t).replyValue(t, "two")
		c.wantValue("two")
	})
	t.Run("an attempt that waits for a connection", func(t *testing.T) {
		r, b, dials, first, c, other := startWithWaitingRequest(t, withCooldown(1e12))
		first.replyValue(t, value)
		c.wantValue(value)
		waitUntil(t, r.gateway, "the answer", func(g *Gateway) bool { return g.requests.open == 1 })
		first.reply(t, repeated)
		wait(t, b.disconnects, "the end of the connection with a repeated answer")
		close(dials.release)
		b.nextCommand(t).replyValue(t, "two")
		other.wantValue("two")
	})
}

// startWithWaitingRequest starts a gateway whose backend has received one client's request, while
// another client's request waits for a dial that is held.
func startWithWaitingRequest(
	t *testing.T,
	prepare func(*Gateway),
) (r *testGateway, b *fakeBackend, dials *heldDials, first *backendCall, c, other *testClient) {
	b = newFakeBackend(t)
	r = startGatewayWith(
		t,
		testConfig(t, newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready")), withLongDialTimeout),
		func(g *Gateway) {
			prepare(g)
			dials = holdDials(g)
		},
	)
	c, other = r.dialClient(t), r.dialClient(t)
	c.sendLookup(1, "60000")
	wait(t, dials.started, "the first dial")
	dials.release <- true
	first = b.nextCommand(t)
	other.sendLookup(2, "60000")
	wait(t, dials.started, "the second dial")
	return r, b, dials, first, c, other
}

// A request that arrives during a connection's cooldown waits for this connection and starts no
// dial. If the connection closes, a dial starts.
func TestNextRequestWaitsForCooldown(t *testing.T) {
	for _, closed := range []bool{false, true} {
		b := newFakeBackend(t)
		r := startGatewayWith(
			t,
			testConfig(t, newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready")), nil),
			withCooldown(1e12),
		)
		c := r.dialClient(t)
		c.sendLookup(1, "60000")
		first := b.nextCommand(t)
		first.replyValue(t, "one")
		c.wantValue("one")
		c.sendLookup(2, "60000")
		waitUntil(
			t,
			r.gateway,
			"the next request",
			func(g *Gateway) bool { return g.requests.lastID == 2 },
		)
		onEventLoop(t, r.gateway, func(g *Gateway) bool {
			b := g.backends.byNumber[1]
			if len(b.waiting) != 1 || b.dialing != 0 || len(b.idle) != 1 {
				t.Errorf(
					"%d attempts wait, %d dials, %d idle connections; want 1, 0, 1",
					len(b.waiting),
					b.dialing,
					len(b.idle),
				)
			}
			c := b.idle[0]
			if c.cooldownUntil = 0; closed {
				g.backends.closeIdleOf(b)
			}
			cooldownEnded{c}.due(g)
			return true
		})
		next := b.nextCommand(t)
		if (next.conn == first.conn) == closed {
			t.Errorf("connection closed: %t, used: %t", closed, next.conn == first.conn)
		}
		next.replyValue(t, "two")
		c.wantValue("two")
	}
}

// An attempt that waits for its dial is written to an idle connection if that connection's cooldown
// ends first.
func TestConnectionIsUsedAfterCooldown(t *testing.T) {
	_, b, dials, first, c, other := startWithWaitingRequest(t, func(*Gateway) {})
	defer close(dials.release)
	first.replyValue(t, "one")
	c.wantValue("one")
	next := b.nextCommand(t) // its own dial is still held
	if next.conn != first.conn {
		t.Error("the attempt was written to another connection")
	}
	next.replyValue(t, "two")
	other.wantValue("two")
}

// A malformed answer fails one attempt and closes one connection. Other connections to the backend
// stay open, because its process still runs.
func TestMalformedAnswerClosesOneConnection(t *testing.T) {
	for _, answer := range []string{
		"?\r\n", ":5\r\n", "+OK\r\n", "$2\r\nno\r\n", "*3\r\n*3\r\n*3\r\n", "*3\r\n$-7\r\n$-1\r\n$-1\r\n",
		"*1000000000\r\n", "*3\r\n$4\r\nabcdefgh\r\n$-1\r\n$-1\r\n", "*3\r\n$3221225472\r\nxxxx",
		strings.Repeat("x", 4096), "*3\r\n$100\r\nends here",
	} {
		t.Run(answer[:min(len(answer), 12)], func(t *testing.T) {
			r, b, _ := startWithOneBackend(t, nil)
			c, other := r.dialClient(t), r.dialClient(t)
			c.sendLookup(1, "60000")
			malformed := b.nextCommand(t)
			other.sendLookup(2, "60000")
			wellFormed := b.nextCommand(t)
			wellFormed.replyValue(t, "fine")
			other.wantValue("fine")
			waitForCooldowns(t, r)
			malformed.reply(t, answer)
			retry := b.nextCommand(t)
			retry.replyValue(t, "again")
			c.wantValue("again")
			if retry.conn != wellFormed.conn {
				t.Error("the idle connection was not used")
			}
			if err := wait(
				t,
				b.disconnects,
				"the end of the connection with the malformed answer",
			); errors.Is(
				err,
				io.ErrUnexpectedEOF,
			) {
				t.Error(err)
			}
		})
	}
}

// A malformed load report or usage figure does not affect the value before it.
func TestBadLoadReportKeepsTheValue(t *testing.T) {
	r, b, _ := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	for id, tail := range []string{"$-1\r\n$3\r\n=,=\r\n", ":12\r\n$-1\r\n", "$x\r\n$-1\r\n", "*9\r\n", "?"} {
		c.sendLookup(id, "60000")
		b.nextCommand(t).reply(t, "*3\r\n$4\r\ngood\r\n"+tail+"\r\n")
		c.wantValue("good")
	}
}

// A load report with missing, impossible or malformed figures does not reach the balancer.
func TestLoadReports(t *testing.T) {
	settings := strings.Replace(
		settingsText,
		`"names":[],"via":"silent"`,
		`"names":["busy_reqs","pending"],"via":"piggyback"`,
		1,
	)
	cfg := testConfig(
		t,
		newFakeDiscovery(t),
		func(f map[string]any) { f["settings"] = json.RawMessage(settings) },
	)
	g := &Gateway{cfg: cfg}
	if got := g.parseLoadReport(
		"pending=2,busy_reqs=7,other=1",
	); len(got) != 2 || got[0] != 7 ||
		got[1] != 2 {
		t.Errorf("a valid report: %v", got)
	}
	for _, text := range []string{
		"", "=,=", "busy_reqs=7", "busy_reqs=7,pending=", "busy_reqs=NaN,pending=1", "busy_reqs=-1,pending=1",
		"busy_reqs=1,pending=+Inf", "busy_reqs=1,pending=1e99",
	} {
		if got := g.parseLoadReport(text); got != nil {
			t.Errorf("%q: %v", text, got)
		}
	}
}
