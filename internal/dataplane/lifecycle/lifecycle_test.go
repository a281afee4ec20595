package lifecycle

import (
	"math/rand/v2"
	"testing"
)

// conn is a connection as a front would use it.
type conn struct {
	used Time
	busy Time // until then it has a request open; 0: none
}

// TestDrainEmpties plays a front that goes on as the platform says: it hears of the
// drain within 0.1 s, opens connections for 0.2 s more and uses those that stay open.
func TestDrainEmpties(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		p := New(For(3_000_000))
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
			if p.Closed(now) || !p.Takes(now) {
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
					if c.busy = 0; p.EndsBusy(now) {
						continue
					}
				case p.EndsIdle(now, c.used):
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
			t.Fatalf("seed %d: a kept connection brought a request %d us after the drain began", seed, lastAsked-begun)
		}
		p.Resume()
		if yes, why := p.Serves(); !yes || p.EndsBusy(begun+5_000_000) || p.EndsIdle(begun+5_000_000, 0) {
			t.Fatalf("seed %d: not back to work: %s", seed, why)
		}
	}
}

// TestAnyOrder gives a process all calls in any order and holds what must be so at
// every moment.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 2))
		longest := r.Int64N(20_000_000)
		set := For(longest)
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
					p.Part(r.IntN(2) == 0)
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
			if yes, why := p.Serves(); yes != (ready && !draining && !parted) || yes != (why == "") {
				t.Fatalf("seed %d: serves %v %q with ready %v draining %v parted %v", seed, yes, why, ready, draining, parted)
			}
			if p.Takes(now) && parted {
				t.Fatalf("seed %d: takes a request that is the newer process's", seed)
			}
			if closed && !p.Closed(now) {
				t.Fatalf("seed %d: opened again", seed)
			}
			closed = p.Closed(now)
			if stopping && now < stopped+set.AcceptFor && !parted && closed {
				t.Fatalf("seed %d: closed while connections still come", seed)
			}
			if !stopping && p.Over(now, 0, 0) {
				t.Fatalf("seed %d: ends without being told", seed)
			}
			if stopping && now >= stopped+set.AnswerFor+set.CloseFor && !p.Over(now, 1+r.IntN(3), 1) {
				t.Fatalf("seed %d: still there when SIGKILL comes", seed)
			}
			if stopping && now >= stopped+kill && !p.Over(now, 1, 1) {
				t.Fatalf("seed %d: still there when SIGKILL may come, with a longest deadline of %d us", seed, longest)
			}
			if p.Over(now, 1, 1) && now < stopped+set.AnswerFor {
				t.Fatalf("seed %d: ends with a request open", seed)
			}
			if next, ok := p.Next(now); ok && next <= now {
				t.Fatalf("seed %d: next change at %d, now %d", seed, next, now)
			}
			// Between now and Next nothing changes for a connection of either kind.
			if next, ok := p.Next(now); ok && r.IntN(2) == 0 {
				mid := now + (next-now)/2
				if p.EndsBusy(mid) != p.EndsBusy(now) || p.Closed(mid) != p.Closed(now) || p.Takes(mid) != p.Takes(now) ||
					p.Abandons(mid) != p.Abandons(now) {
					t.Fatalf("seed %d: something changed between %d and %d unannounced", seed, now, next)
				}
			}
		}
	}
}

// TestStepsFitAnyDeadline: whatever clients wait at the most, all is answered before SIGKILL may come, and connections that
// were on their way are accepted.
func TestStepsFitAnyDeadline(t *testing.T) {
	for _, longest := range []Time{1, 10_000, 100_000, 300_000, 700_000, 1_000_000, 2_999_999, 3_000_000, 15_000_000, 0} {
		kill := Time(3_700_000)
		if longest > 0 && longest < 3_000_000 {
			kill = longest + 700_000
		}
		s := For(longest)
		if s.AcceptFor <= 400_000 || s.AnswerFor < s.AcceptFor || s.AnswerFor+s.CloseFor >= kill {
			t.Errorf("longest %d: SIGKILL at %d, steps %+v", longest, kill, s)
		}
	}
}

// TestWhatComesAfterAnEmptyMomentHasItsTime: one moment without work is not the end of what comes on a connection that is
// still open.
func TestWhatComesAfterAnEmptyMomentHasItsTime(t *testing.T) {
	set := For(0)
	p := New(set)
	p.Stop(0)
	now := set.AcceptFor
	if p.Over(now, 0, 2) {
		t.Fatal("ends with connections open")
	}
	now += set.CloseFor / 2
	if p.Over(now, 1, 2) {
		t.Fatal("ends with a request open")
	}
	now += set.CloseFor
	if p.Over(now, 0, 2) {
		t.Fatal("the request was answered this moment: its connection has had no time to close")
	}
	if now += set.CloseFor; !p.Over(now, 0, 2) {
		t.Fatal("does not end")
	}
}
