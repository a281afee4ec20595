package lifecycle

import (
	"math/rand/v2"
	"testing"
)

// conn is a connection as a front end would use it.
type conn struct {
	used Time
	busy Time // until then it has a request open; 0: none
}

// TestDrainClosesAllConnections plays a front end that behaves as the platform says: it learns of
// the drain within 0.1 s, opens connections for 0.2 s more and uses those that stay open.
func TestDrainClosesAllConnections(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		p := New(SettingsFor(3_000_000))
		p.Ready()
		const begun = Time(10_000_000)
		var conns []conn
		for range r.IntN(40) {
			conns = append(conns, conn{used: begun - r.Int64N(3_000_000)})
		}
		p.Drain(begun)
		heard := begun + r.Int64N(300_000)
		lastAsked := begun
		for now := begun; now < begun+4_000_000; now += 10_000 {
			if yes, _ := p.Serves(); yes {
				t.Fatalf("seed %d: says yes %d us after the drain began", seed, now-begun)
			}
			if p.AcceptingEnded(now) || !p.AdmitsRequests(now) {
				t.Fatalf("seed %d: a drained process keeps running and takes what comes", seed)
			}
			if now < heard && r.IntN(5) == 0 {
				conns = append(conns, conn{used: now})
			}
			kept := conns[:0]
			for _, c := range conns {
				switch {
				case c.busy > now:
				case c.busy > 0:
					if c.busy = 0; p.ClosesAfterAnswer(now) {
						continue
					}
				case p.ClosesIdle(now, c.used):
					continue
				case r.IntN(60) == 0:
					c.used, c.busy, lastAsked = now, now+20_000+r.Int64N(300_000), now
				}
				kept = append(kept, c)
			}
			conns = kept
		}
		if len(conns) > 0 {
			t.Fatalf("seed %d: %d connections 4 s after the drain began", seed, len(conns))
		}
		if lastAsked > begun+2_000_000 {
			t.Fatalf(
				"seed %d: a kept connection brought a request %d us after the drain began",
				seed,
				lastAsked-begun,
			)
		}
		p.Resume()
		if yes, why := p.Serves(); !yes || p.ClosesAfterAnswer(begun+5_000_000) ||
			p.ClosesIdle(begun+5_000_000, 0) {
			t.Fatalf("seed %d: not back to work: %s", seed, why)
		}
	}
}

// TestInvariantsInAnyOrder makes all calls in random order and checks what must hold at every
// moment.
func TestInvariantsInAnyOrder(t *testing.T) {
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 2))
		longest := r.Int64N(20_000_000)
		set := SettingsFor(longest)
		kill := min(longest, 3_000_000) + 700_000
		p := New(set)
		var now, stopped Time
		ready, draining, parted, stopping, closed := false, false, false, false, false
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
					parted = true
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
			if yes, why := p.Serves(); yes != (ready && !draining && !parted) ||
				yes != (why == "") {
				t.Fatalf(
					"seed %d: serves %v %q with ready %v draining %v parted %v",
					seed,
					yes,
					why,
					ready,
					draining,
					parted,
				)
			}
			if p.AdmitsRequests(now) && parted {
				t.Fatalf("seed %d: takes a request that is the newer process's", seed)
			}
			if closed && !p.AcceptingEnded(now) {
				t.Fatalf("seed %d: opened again", seed)
			}
			closed = p.AcceptingEnded(now)
			if stopping && now < stopped+set.AcceptTime && !parted && closed {
				t.Fatalf("seed %d: closed while connections still come", seed)
			}
			if !stopping && p.Done(now, 0, 0) {
				t.Fatalf("seed %d: ends without being told", seed)
			}
			if stopping && now >= stopped+set.AnswerTime+set.LingerTime &&
				!p.Done(now, 1+r.IntN(3), 1) {
				t.Fatalf("seed %d: still there when SIGKILL comes", seed)
			}
			if stopping && now >= stopped+kill && !p.Done(now, 1, 1) {
				t.Fatalf(
					"seed %d: still there when SIGKILL may come, with a longest deadline of %d us",
					seed,
					longest,
				)
			}
			if p.Done(now, 1, 1) && now < stopped+set.AnswerTime {
				t.Fatalf("seed %d: ends with a request open", seed)
			}
			if next, ok := p.NextChange(now); ok && next <= now {
				t.Fatalf("seed %d: next change at %d, now %d", seed, next, now)
			}
			// Between now and NextChange nothing changes for a connection of either kind.
			if next, ok := p.NextChange(now); ok && r.IntN(2) == 0 {
				mid := now + (next-now)/2
				if p.ClosesAfterAnswer(mid) != p.ClosesAfterAnswer(now) ||
					p.AcceptingEnded(mid) != p.AcceptingEnded(now) ||
					p.AdmitsRequests(mid) != p.AdmitsRequests(now) ||
					p.FailsOpenRequests(mid) != p.FailsOpenRequests(now) {
					t.Fatalf(
						"seed %d: something changed between %d and %d unannounced",
						seed,
						now,
						next,
					)
				}
			}
		}
	}
}

// However long clients wait, all requests are answered before SIGKILL may come, and connections
// that were on their way are accepted.
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

// A single moment without work does not end the time for commands on a connection that is still
// open.
func TestWorkAfterAnEmptyMomentHasItsTime(t *testing.T) {
	set := SettingsFor(0)
	p := New(set)
	p.Stop(0)
	now := set.AcceptTime
	if p.Done(now, 0, 2) {
		t.Fatal("ends with connections open")
	}
	now += set.LingerTime / 2
	if p.Done(now, 1, 2) {
		t.Fatal("ends with a request open")
	}
	now += set.LingerTime
	if p.Done(now, 0, 2) {
		t.Fatal("the request was answered this moment: its connection has had no time to close")
	}
	if now += set.LingerTime; !p.Done(now, 0, 2) {
		t.Fatal("does not end")
	}
}
