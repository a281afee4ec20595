package lifecycle

import (
	"math/rand/v2"
	"testing"
)

// conn is a connection of a front end to the process.
type conn struct {
	lastUsed  Time
	busyUntil Time // when its open request is answered; 0: it has none
}

// TestDrainClosesAllConnections simulates a front end that behaves as the platform specifies: it
// notices the drain within 0.1 s, opens connections for 0.2 s more, and sends requests on the
// connections that stay open. All connections must be closed 4 s after the start of the drain.
func TestDrainClosesAllConnections(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		p := New(SettingsFor(3_000_000))
		p.Ready()
		const drainStart = Time(10_000_000)
		var conns []conn
		for range r.IntN(40) {
			conns = append(conns, conn{lastUsed: drainStart - r.Int64N(3_000_000)})
		}
		p.Drain(drainStart)
		opensUntil := drainStart + r.Int64N(300_000)
		lastRequest := drainStart
		for now := drainStart; now < drainStart+4_000_000; now += 10_000 {
			if serves, _ := p.Serves(); serves {
				t.Fatalf("seed %d: passes the health check %d us after the start of the drain", seed, now-drainStart)
			}
			if p.AcceptingEnded(now) || !p.AdmitsRequests(now) {
				t.Fatalf("seed %d: a drained process must still accept connections and admit requests", seed)
			}
			if now < opensUntil && r.IntN(5) == 0 {
				conns = append(conns, conn{lastUsed: now})
			}
			stillOpen := conns[:0]
			for _, c := range conns {
				switch {
				case c.busyUntil > now:
				case c.busyUntil > 0:
					if c.busyUntil = 0; p.ClosesAfterAnswer(now) {
						continue
					}
				case p.ClosesIdle(now, c.lastUsed):
					continue
				case r.IntN(60) == 0:
					c.lastUsed, c.busyUntil, lastRequest = now, now+20_000+r.Int64N(300_000), now
				}
				stillOpen = append(stillOpen, c)
			}
			conns = stillOpen
		}
		if len(conns) > 0 {
			t.Fatalf("seed %d: %d connections are open 4 s after the start of the drain", seed, len(conns))
		}
		if lastRequest > drainStart+2_000_000 {
			t.Fatalf(
				"seed %d: a connection that stayed open sent a request %d us after the start of the drain",
				seed,
				lastRequest-drainStart,
			)
		}
		p.Resume()
		if serves, reason := p.Serves(); !serves || p.ClosesAfterAnswer(drainStart+5_000_000) ||
			p.ClosesIdle(drainStart+5_000_000, 0) {
			t.Fatalf("seed %d: does not serve normally after the drain has ended: %q", seed, reason)
		}
	}
}

// TestInvariantsInAnyOrder makes the calls in random order and checks after each one what must
// always hold.
func TestInvariantsInAnyOrder(t *testing.T) {
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 2))
		longest := r.Int64N(20_000_000)
		set := SettingsFor(longest)
		kill := min(longest, 3_000_000) + 700_000
		p := New(set)
		var now, stopped Time
		ready, draining, handedOver, stopping, closed := false, false, false, false, false
		for range 60 {
			now += r.Int64N(400_000)
			switch r.IntN(9) {
			case 0:
				p.Ready()
				ready = true
			case 1:
				p.Drain(now)
				draining = true
			case 2:
				p.Resume()
				draining = false
			case 3:
				if r.IntN(3) == 0 {
					p.HandOver(r.IntN(2) == 0)
					handedOver = true
				}
			case 4:
				if r.IntN(3) == 0 {
					if !stopping {
						stopped = now
					}
					p.Stop(now)
					stopping = true
				}
			}
			if serves, reason := p.Serves(); serves != (ready && !draining && !handedOver) ||
				serves != (reason == "") {
				t.Fatalf(
					"seed %d: serves %v %q with ready %v draining %v handedOver %v",
					seed,
					serves,
					reason,
					ready,
					draining,
					handedOver,
				)
			}
			if p.AdmitsRequests(now) && handedOver {
				t.Fatalf("seed %d: admits a request that the successor must serve", seed)
			}
			if closed && !p.AcceptingEnded(now) {
				t.Fatalf("seed %d: accepts again after accepting has ended", seed)
			}
			closed = p.AcceptingEnded(now)
			if stopping && now < stopped+set.AcceptTime && !handedOver && closed {
				t.Fatalf("seed %d: accepting has ended while new connections still arrive", seed)
			}
			if !stopping && p.Done(now, 0, 0) {
				t.Fatalf("seed %d: done without a shutdown", seed)
			}
			if stopping && now >= stopped+set.AnswerTime+set.LingerTime &&
				!p.Done(now, 1+r.IntN(3), 1) {
				t.Fatalf("seed %d: not done after AnswerTime and LingerTime", seed)
			}
			if stopping && now >= stopped+kill && !p.Done(now, 1, 1) {
				t.Fatalf(
					"seed %d: not done when SIGKILL may come, with a longest deadline of %d us",
					seed,
					longest,
				)
			}
			if p.Done(now, 1, 1) && now < stopped+set.AnswerTime {
				t.Fatalf("seed %d: done with an open request", seed)
			}
			if next, ok := p.NextChange(now); ok && next <= now {
				t.Fatalf("seed %d: next change at %d, now %d", seed, next, now)
			}
			// Between now and NextChange, these decisions do not change.
			if next, ok := p.NextChange(now); ok && r.IntN(2) == 0 {
				mid := now + (next-now)/2
				if p.ClosesAfterAnswer(mid) != p.ClosesAfterAnswer(now) ||
					p.AcceptingEnded(mid) != p.AcceptingEnded(now) ||
					p.AdmitsRequests(mid) != p.AdmitsRequests(now) ||
					p.FailsOpenRequests(mid) != p.FailsOpenRequests(now) {
					t.Fatalf(
						"seed %d: a decision changed between %d and %d, before NextChange",
						seed,
						now,
						next,
					)
				}
			}
		}
	}
}

// However long clients wait, all requests are answered before SIGKILL may come, and accepting does
// not end while new connections may still arrive.
func TestSettingsFitAnyDeadline(t *testing.T) {
	for _, longest := range []Time{1, 10_000, 100_000, 300_000, 700_000, 1_000_000, 2_999_999, 3_000_000, 15_000_000, 0} {
		kill := Time(3_700_000)
		if longest > 0 && longest < 3_000_000 {
			kill = longest + 700_000
		}
		s := SettingsFor(longest)
		if s.AcceptTime <= 400_000 || s.AnswerTime < s.AcceptTime ||
			s.AnswerTime+s.LingerTime >= kill {
			t.Errorf("longest %d: SIGKILL at %d, steps %+v", longest, kill, s)
		}
	}
}

// LingerTime starts anew after each pending work: an earlier moment without pending work does not
// shorten the time that an open connection has to close.
func TestLingerTimeRestartsAfterNewWork(t *testing.T) {
	set := SettingsFor(0)
	p := New(set)
	p.Stop(0)
	now := set.AcceptTime
	if p.Done(now, 0, 2) {
		t.Fatal("done with open connections before LingerTime")
	}
	now += set.LingerTime / 2
	if p.Done(now, 1, 2) {
		t.Fatal("done with an open request")
	}
	now += set.LingerTime
	if p.Done(now, 0, 2) {
		t.Fatal("done as soon as the request was answered: its connection had no time to close")
	}
	if now += set.LingerTime; !p.Done(now, 0, 2) {
		t.Fatal("not done after LingerTime")
	}
}
