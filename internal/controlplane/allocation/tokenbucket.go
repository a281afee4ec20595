package allocation

import "time"

// tokenBucket stores units that arrive at a rate, up to a burst. Both are arguments of refill,
// because they change with each division.
type tokenBucket struct {
	level float64       // units
	at    time.Duration // time of the last refill
}

// refill refills the bucket up to now. It returns the number of units that overflowed.
func (b *tokenBucket) refill(now time.Duration, s Share) (overflow float64) {
	if now > b.at {
		b.level += s.Rate * (now - b.at).Seconds()
		b.at = now
	}
	overflow = b.level - s.Burst
	if overflow <= 0 {
		return 0
	}
	b.level = s.Burst
	return overflow
}
