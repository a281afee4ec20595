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

// Bytes behind a good answer would be taken for the answer to the next request: the connection is
// not used again.
func TestRepeatedAnswerIsDropped(t *testing.T) {
	const good = "+PONG\r\n"
	for name, answers := range map[string][]string{
		"at once": {good + good},
		"behind":  {good, good}, // read when the first has long been handled
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t)
			g := unstarted(t, newFakeDiscovery(t))
			m := member{ID: "s-00000001", HostPort: b.listener.Addr().String(), Phase: "Ready"}
			g.backends.updateEndpoints(g, policy.Complete, []member{m})
			first := &attempt{startedAt: g.now(), deadline: g.now() + 1e9}
			g.backends.startAttempt(g, first, 1)
			wait(t, g.events, "the dial").handle(g)
			used := first.conn
			call := b.next(t) // a health check: its answer is read like any other
			call.answer(t, answers[0])
			wait(t, g.events, "the answer").handle(g)
			var late event
			if len(answers) > 1 {
				call.answer(t, answers[1])
				late = wait(t, g.events, "what follows") // read, and not handled yet
			}
			second := &attempt{startedAt: g.now(), deadline: g.now() + 1e9}
			g.backends.startAttempt(g, second, 1)
			if late != nil {
				late.handle(g)
			}
			for again := false; !again; {
				e := wait(t, g.events, "another dial")
				_, again = e.(dialed)
				e.handle(g)
			}
			if !first.ended || second.ended || second.conn == nil || second.conn == used {
				t.Errorf("first attempt %+v, second %+v", first, second)
			}
		})
	}
}

// restsFor has connections to backends rest after an answer for a given time.
func restsFor(rest policy.Time) func(*Gateway) {
	return func(g *Gateway) { g.backends.cooldown = rest }
}

// haveRested ends the rest of the idle connections to a backend.
func haveRested(t testing.TB, r *rig) {
	t.Helper()
	until(t, r.gateway, "connections that have rested", func(g *Gateway) bool {
		b := g.backends.byNumber[1]
		return len(b.idle) > 0 &&
			!slices.ContainsFunc(
				b.idle,
				func(c *backendConn) bool { return g.now() < c.cooldownUntil },
			)
	})
}

// A repetition of an answer may come when the next request has long been written, and would be
// taken for its answer: the connection is not used, neither for new attempts nor for waiting ones,
// until the repetition can't be on its way any more.
func TestLateRepeatedAnswerIsDropped(t *testing.T) {
	const value, second = "one", "*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n"
	t.Run("the next request", func(t *testing.T) {
		b := newBackend(t)
		r := beginWith(
			t,
			configure(t, newFakeDiscovery(t, b.entry("s-00000001", "Ready")), nil),
			restsFor(1e12),
		)
		c := r.client(t)
		c.lookup(1, "60000")
		first := b.next(t)
		first.serve(t, value)
		c.value(value)
		c.lookup(2, "60000")
		until(
			t,
			r.gateway,
			"the next request",
			func(g *Gateway) bool { return g.requests.lastID == 2 },
		)
		first.answer(t, second)
		wait(t, b.ended, "the end of the connection with a second answer")
		b.next(t).serve(t, "two")
		c.value("two")
	})
	t.Run("what waits for a connection", func(t *testing.T) {
		r, b, dials, first, c, other := oneWaitsForItsDial(t, restsFor(1e12))
		first.serve(t, value)
		c.value(value)
		until(t, r.gateway, "the answer", func(g *Gateway) bool { return g.requests.open == 1 })
		first.answer(t, second)
		wait(t, b.ended, "the end of the connection with a second answer")
		close(dials.goOn)
		b.next(t).serve(t, "two")
		other.value("two")
	})
}

// oneWaitsForItsDial returns a backend that has received one client's request, while another's
// waits for a dial that is held.
func oneWaitsForItsDial(
	t *testing.T,
	prepare func(*Gateway),
) (r *rig, b *fakeBackend, dials *heldDials, first *backendCall, c, other *testClient) {
	b = newBackend(t)
	r = beginWith(
		t,
		configure(t, newFakeDiscovery(t, b.entry("s-00000001", "Ready")), slowDials),
		func(g *Gateway) {
			prepare(g)
			dials = holdDials(g)
		},
	)
	c, other = r.client(t), r.client(t)
	c.lookup(1, "60000")
	wait(t, dials.begun, "the first dial")
	dials.goOn <- true
	first = b.next(t)
	other.lookup(2, "60000")
	wait(t, dials.begun, "the second dial")
	return r, b, dials, first, c, other
}

// A request that comes while a connection rests waits for it without a dial; if the connection
// ends, it is dialed for.
func TestNextRequestWaitsForRestingConnection(t *testing.T) {
	for _, ends := range []bool{false, true} {
		b := newBackend(t)
		r := beginWith(
			t,
			configure(t, newFakeDiscovery(t, b.entry("s-00000001", "Ready")), nil),
			restsFor(1e12),
		)
		c := r.client(t)
		c.lookup(1, "60000")
		first := b.next(t)
		first.serve(t, "one")
		c.value("one")
		c.lookup(2, "60000")
		until(
			t,
			r.gateway,
			"the next request",
			func(g *Gateway) bool { return g.requests.lastID == 2 },
		)
		ask(t, r.gateway, func(g *Gateway) bool {
			b := g.backends.byNumber[1]
			if len(b.waiting) != 1 || b.dialing != 0 || len(b.idle) != 1 {
				t.Errorf(
					"%d wait, %d dials, %d idle connections",
					len(b.waiting),
					b.dialing,
					len(b.idle),
				)
			}
			c := b.idle[0]
			if c.cooldownUntil = 0; ends {
				g.backends.closeIdleOf(b)
			}
			cooldownEnded{c}.due(g)
			return true
		})
		next := b.next(t)
		if (next.conn == first.conn) == ends {
			t.Errorf("the connection, ended %t, was used %t", ends, next.conn == first.conn)
		}
		next.serve(t, "two")
		c.value("two")
	}
}

// An attempt that waits for its dial is written to a connection that has rested, if that is sooner.
func TestRestedConnectionIsUsed(t *testing.T) {
	_, b, dials, first, c, other := oneWaitsForItsDial(t, func(*Gateway) {})
	defer close(dials.goOn)
	first.serve(t, "one")
	c.value("one")
	next := b.next(t) // its own dial is held all along
	if next.conn != first.conn {
		t.Error("it went by another connection")
	}
	next.serve(t, "two")
	other.value("two")
}

// An answer that can't be read is one failed attempt and closes one connection. The others to that
// backend go on: its process has not died.
func TestMalformedAnswerClosesOneConnection(t *testing.T) {
	for _, answer := range []string{
		"?\r\n", ":5\r\n", "+OK\r\n", "$2\r\nno\r\n", "*3\r\n*3\r\n*3\r\n", "*3\r\n$-7\r\n$-1\r\n$-1\r\n",
		"*1000000000\r\n", "*3\r\n$4\r\nabcdefgh\r\n$-1\r\n$-1\r\n", "*3\r\n$3221225472\r\nxxxx",
		strings.Repeat("x", 4096), "*3\r\n$100\r\nends here",
	} {
		t.Run(answer[:min(len(answer), 12)], func(t *testing.T) {
			r, b, _ := oneBackend(t, nil)
			c, other := r.client(t), r.client(t)
			c.lookup(1, "60000")
			spoilt := b.next(t)
			other.lookup(2, "60000")
			fine := b.next(t)
			fine.serve(t, "fine")
			other.value("fine")
			haveRested(t, r)
			spoilt.answer(t, answer)
			again := b.next(t)
			again.serve(t, "again")
			c.value("again")
			if again.conn != fine.conn {
				t.Error("the idle connection was not used")
			}
			if err := wait(
				t,
				b.ended,
				"the end of the spoilt connection",
			); errors.Is(
				err,
				io.ErrUnexpectedEOF,
			) {
				t.Error(err)
			}
		})
	}
}

// A load report or a figure on use that can't be read leaves the value good.
func TestBadLoadReportKeepsTheValue(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c := r.client(t)
	for id, tail := range []string{"$-1\r\n$3\r\n=,=\r\n", ":12\r\n$-1\r\n", "$x\r\n$-1\r\n", "*9\r\n", "?"} {
		c.lookup(id, "60000")
		b.next(t).answer(t, "*3\r\n$4\r\ngood\r\n"+tail+"\r\n")
		c.value("good")
	}
}

// A report with an impossible load must not reach the balancer.
func TestLoadReports(t *testing.T) {
	settings := strings.Replace(
		settingsText,
		`"names":[],"via":"silent"`,
		`"names":["busy_reqs","pending"],"via":"piggyback"`,
		1,
	)
	cfg := configure(
		t,
		newFakeDiscovery(t),
		func(f map[string]any) { f["settings"] = json.RawMessage(settings) },
	)
	g := &Gateway{cfg: cfg}
	if got := g.parseLoadReport(
		"pending=2,busy_reqs=7,other=1",
	); len(got) != 2 || got[0] != 7 ||
		got[1] != 2 {
		t.Errorf("a good report: %v", got)
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
