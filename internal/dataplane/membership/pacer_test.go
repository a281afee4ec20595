package membership

import (
	"math/rand/v2"
	"testing"
)

// TestPacerRecovers plays a registry with capacity for so many calls a second and a fleet that
// fails all at once: all gateways must be served soon, and retries must not keep the registry
// overloaded.
func TestPacerRecovers(t *testing.T) {
	const perSecond = 20 // a fleet that retried each 100 ms would make up to 480
	for _, gateways := range []int{1, 3, 8, 24, 48} {
		for seed := range uint64(20) {
			paces, due := make([]*Pacer, gateways), make([]Time, gateways)
			for i := range paces {
				paces[i] = NewPacer(gateways, seed<<8|uint64(i))
				due[i] = paces[i].Failed(true, 0)
			}
			served, tokens, calls := 0, 0.0, 0
			now := Time(0)
			for ; served < gateways; now += 1000 {
				if now > 30_000_000 {
					t.Fatalf(
						"%d gateways, seed %d: %d of them are served after 30 s",
						gateways,
						seed,
						served,
					)
				}
				tokens = min(perSecond, tokens+perSecond/1000.0)
				for i := range due {
					if due[i] < 0 || due[i] > now {
						continue
					}
					calls++
					// a rejected call costs the registry half of one that it serves
					if tokens -= 0.5; tokens >= 0.5 {
						tokens -= 0.5
						due[i] = -1
						served++
						paces[i].Succeeded()
					} else {
						tokens = max(tokens, -perSecond)
						due[i] = now + paces[i].Failed(true, 0)
					}
				}
			}
			if calls > 30*gateways {
				t.Errorf("%d gateways, seed %d: %d calls", gateways, seed, calls)
			}
		}
	}
}

// TestPacerBounds checks the waits against the time that a drain allows.
func TestPacerBounds(t *testing.T) {
	for gateways := range 200 {
		p := NewPacer(gateways, 7)
		if w := p.WatchTimeout(); w < 2_000_000 || w > 20_000_000 ||
			gateways <= 6 && w != 2_000_000 {
			t.Fatalf("a watch of %d gateways waits %d us", gateways, w)
		}
		last := Time(0)
		for n := range 100 {
			after := p.Failed(n%2 == 0, 0)
			if after < 50_000 || after > 4_000_000 {
				t.Fatalf("failure %d: again after %d us", n+1, after)
			}
			last = after
		}
		if last < 1_500_000 {
			t.Fatalf("after 100 failures: again after %d us", last)
		}
		for range 60 {
			p.Succeeded()
		}
		if after := p.Succeeded(); after != 0 {
			t.Fatalf("a register with room: the next watch after %d us", after)
		}
		if after := p.Failed(false, 0); after > 100_000 {
			t.Fatalf("the first failure after successes: again after %d us", after)
		}
	}
}

// Where changes bind at once, silence and failures end within a part of the time that is given to
// act on a change.
func TestPacerSilenceTimeoutFollowsGracePeriod(t *testing.T) {
	for _, grace := range []Time{0, 100_000, 250_000, 600_000, 2_000_000, 60_000_000} {
		p := NewPacer(300, 7).SetPushed(grace)
		soon := p.SilenceTimeout()
		if soon < 50_000 || soon > 500_000 || grace >= 200_000 && soon > grace/4 {
			t.Errorf("grace %d: patience %d", grace, soon)
		}
		for range 20 {
			if again := p.Failed(false, 0); again > soon {
				t.Errorf("grace %d: %d after a failure, patience %d", grace, again, soon)
			}
		}
		p.Succeeded()
		for range 20 {
			if wait := p.WatchTimeout(); wait < 2_000_000 || wait+soon > 4_000_000 {
				t.Errorf(
					"grace %d: a watch waits %d, and is then silent for %d until another call is made",
					grace,
					wait,
					soon,
				)
			}
		}
		if again := p.Failed(true, 0); again < 300*60_000*3/4 && again < 3_000_000 {
			t.Errorf("grace %d: turned away, and again after %d", grace, again)
		}
	}
	if p := NewPacer(300, 7); p.SilenceTimeout() != 0 {
		t.Error("impatient without a reason")
	}
}

// Whatever a registry does with the calls of one gateway, the next call begins soon enough after
// one that failed, was rejected or given up: a change binds 6 s after the registry had it and could
// be reached, and the call itself takes time.
func TestPacerBoundsCallSpacing(t *testing.T) {
	const (
		whole  = 4_000_000 // from the beginning of a call to that of the next; 2 s are left for that one
		slack  = 1_000_000 // that a watch is given beyond its wait
		hung   = 2_000_000 // that a call for the whole list is given
		rounds = 200
	)
	for _, grace := range []Time{-1, 0, 250_000, 2_000_000} { // -1: lists are polled
		for gateways := range 620 {
			p := NewPacer(gateways, uint64(gateways))
			if grace >= 0 {
				p.SetPushed(grace)
			}
			chance := rand.New(rand.NewPCG(uint64(gateways), uint64(grace)))
			failed := false
			for range rounds {
				spent, turnedAway := Time(0), false
				switch chance.IntN(5) {
				case 0:
					if gap := p.Succeeded(); gap > whole {
						t.Fatalf(
							"%d gateways, grace %d: the next call %d us after an answer",
							gateways,
							grace,
							gap,
						)
					}
					failed = false
					continue
				case 1:
					turnedAway = true
				case 2:
					spent = hung
				case 3:
					watch := p.WatchTimeout()
					if !failed {
						continue // such a watch has a wait of its own, in which it may hang
					}
					spent = watch + slack
				}
				if after := p.Failed(turnedAway, spent); spent+after > whole {
					t.Fatalf(
						"%d gateways, grace %d: a call failed after %d us, turned away %t, and the next is made %d us later",
						gateways,
						grace,
						spent,
						turnedAway,
						after,
					)
				}
				failed = true
			}
		}
	}
}
