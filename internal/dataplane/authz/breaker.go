package authz

import "math/rand/v2"

// breaker is a circuit breaker: after several failures in a row it lets no call through for a time,
// and then a single probe, whose failure doubles that time.
type breaker struct {
	rand     *rand.Rand
	failures int  // in a row, while it is closed
	openTime Time // of the last opening, before jitter; 0: it is closed
	until    Time // no probe before
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

// record learns from the result of a call. While the breaker is open only the probe counts: calls
// made before it opened say nothing new.
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

// trip opens the breaker for a random time from half of openTime to all of it, so that gateways do
// not all probe at the same moment.
func (b *breaker) trip(now, openTime Time) {
	b.openTime = openTime
	b.until = now + openTime/2 + b.rand.Int64N(openTime/2+1)
}

func (b *breaker) close() {
	b.failures = 0
	b.openTime = 0
	b.probing = false
}
