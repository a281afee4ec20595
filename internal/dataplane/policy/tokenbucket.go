package policy

import "math"

// minRefillRate, in units a second, bounds the computed refill time of a bucket that does not fill.
const minRefillRate = 1e-3

// tokenBucket holds units that arrive at a rate, up to a capacity.
type tokenBucket struct {
	level    float64 // units; may be below 0
	rate     float64 // units a second
	capacity float64 // units
	at       Time    // when the level was last brought up to date
}

// refill brings the level up to date and returns how many units did not fit.
func (b *tokenBucket) refill(now Time) float64 {
	b.level += b.rate * float64(now-b.at) / float64(second)
	b.at = now
	spill := math.Max(0, b.level-b.capacity)
	b.level = math.Min(b.level, b.capacity)
	return spill
}

// timeUntil returns the time until a level that grows at a rate reaches the units.
func timeUntil(level, rate, units float64) Time {
	return Time((units - level) / math.Max(rate, minRefillRate) * float64(second))
}

// levelAfter returns the level after a time without consumption, at most the limit.
func levelAfter(level, rate, limit float64, age Time) float64 {
	return math.Min(limit, level+rate*float64(age)/float64(second))
}
