package membership

import (
	"math/rand/v2"
	"testing"
)

// TestPacerRecovers simulates a registry with capacity for perSecond calls a second, and a fleet
// whose calls all fail at the same time. All gateways must be served soon, and their retries must
// not keep the registry overloaded.
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
						"%d gateways, seed %d: only %d of them were served after 30 s",
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

// TestPacerBounds checks that all waits are short enough to act on a drain in time.
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
			t.Fatalf("registry with enough capacity: the next watch after %d us", after)
		}
		if after := p.Failed(false, 0); after > 100_000 {
			t.Fatalf("the first failure after successes: again after %d us", after)
		}
	}
}

// Where lists are pushed, another call follows a silent or failed one within a fraction of the time
// within which a change must be acted on.
func TestPacerSilenceTimeoutFollowsGracePeriod(t *testing.T) {
	for _, grace := range []Time{0, 100_000, 250_000, 600_000, 2_000_000, 60_000_000} {
		p := NewPacer(300, 7).SetPushed(grace)
		timeout := p.SilenceTimeout()
		if timeout < 50_000 || timeout > 500_000 || grace >= 200_000 && timeout > grace/4 {
			t.Errorf("grace %d: silence timeout %d", grace, timeout)
		}
		for range 20 {
			if again := p.Failed(false, 0); again > timeout {
				t.Errorf("grace %d: retry after %d, silence timeout %d", grace, again, timeout)
			}
		}
		p.Succeeded()
		for range 20 {
			if wait := p.WatchTimeout(); wait < 2_000_000 || wait+timeout > 4_000_000 {
				t.Errorf(
					"grace %d: a watch waits %d, and another call follows after a silence of %d",
					grace,
					wait,
					timeout,
				)
			}
		}
		if again := p.Failed(true, 0); again < 300*60_000*3/4 && again < 3_000_000 {
			t.Errorf("grace %d: retry %d after a rejected call", grace, again)
		}
	}
	if p := NewPacer(300, 7); p.SilenceTimeout() != 0 {
		t.Error("a silence timeout is set although lists are polled")
	}
}

// However a registry treats the calls of one gateway, the next call begins soon enough after one that
// failed, was rejected or was abandoned: a change must be acted on within 6 s after the registry has
// it and is reachable, and the call itself takes time.
func TestPacerBoundsCallSpacing(t *testing.T) {
	const (
		whole  = 4_000_000 // from the start of a call to the start of the next, which has 2 s left
		slack  = 1_000_000 // time for the answer to a watch after its wait
		hung   = 2_000_000 // timeout of a call for the complete list
		rounds = 200
	)
	for _, grace := range []Time{-1, 0, 250_000, 2_000_000} { // -1: lists are polled
		for gateways := range 620 {
			p := NewPacer(gateways, uint64(gateways))
			if grace >= 0 {
				p.SetPushed(grace)
			}
			random := rand.New(rand.NewPCG(uint64(gateways), uint64(grace)))
			failed := false
			for range rounds {
				spent, rejected := Time(0), false
				switch random.IntN(5) {
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
					rejected = true
				case 2:
					spent = hung
				case 3:
					watch := p.WatchTimeout()
					if !failed {
						continue // a watch after a success may hang for longer: its wait is not the minimum
					}
					spent = watch + slack
				}
				if after := p.Failed(rejected, spent); spent+after > whole {
					t.Fatalf(
						"%d gateways, grace %d: a call failed after %d us, rejected %t, and the next is made %d us later",
						gateways,
						grace,
						spent,
						rejected,
						after,
					)
				}
				failed = true
			}
		}
	}
}
