package authz

import "math/rand/v2"

// breaker is a circuit breaker. After several consecutive failures it allows no calls for a time,
// and then a single probe; a failed probe doubles that time.
type breaker struct {
	rand     *rand.Rand
	failures int  // consecutive, while it is closed
	openTime Time // of the last opening, before jitter; 0: the breaker is closed
	until    Time // no probe is allowed before this time
	probing  bool // a probe is outstanding
}

func (b *breaker) open() bool { return b.openTime > 0 }

// allow reports whether a call may be made now, and whether it is the probe.
func (b *breaker) allow(now Time) (ok, probe bool) {
	if !b.open() {
		return true, false
	}
	if b.probing || now < b.until {
		return false, false
	}
	b.probing = true
	return true, true
}

// record updates the breaker with the result of a call. While the breaker is open, only the probe
// counts: calls made before it opened give no new information.
func (b *breaker) record(now Time, s *Settings, probe, failed bool) {
	switch {
	case probe && failed:
		b.probing = false
		b.trip(now, min(2*b.openTime, s.BreakerMaxOpen))
	case probe:
		b.close()
	case b.open():
	case failed:
		b.failures++
		if b.failures >= s.BreakerFailures {
			b.trip(now, s.BreakerMinOpen)
		}
	default:
		b.failures = 0
	}
}

// trip opens the breaker for a random time between half of openTime and openTime, so that gateways
// do not all probe at the same time.
func (b *breaker) trip(now, openTime Time) {
	b.openTime = openTime
	b.until = now + openTime/2 + b.rand.Int64N(openTime/2+1)
}

func (b *breaker) close() {
	b.failures = 0
	b.openTime = 0
	b.probing = false
}
