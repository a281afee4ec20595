package policy

import "math"

// minRefillRate bounds the time until a bucket that does not fill holds some units, in units a
// second.
const minRefillRate = 1e-3

// tokenBucket holds units that come at a rate, up to a capacity.
type tokenBucket struct {
	level    float64 // units; may be below 0
	rate     float64 // units a second
	capacity float64 // units
	at       Time    // when the level was last brought up to date
}

// refill brings the level up to now and returns how many units did not fit.
func (b *tokenBucket) refill(now Time) float64 {
	b.level += b.rate * float64(now-b.at) / float64(second)
	b.at = now
	spill := math.Max(0, b.level-b.capacity)
	b.level = math.Min(b.level, b.capacity)
	return spill
}

// timeUntil returns how long it takes until a level has grown to the units.
func timeUntil(level, rate, units float64) Time {
	return Time((units - level) / math.Max(rate, minRefillRate) * float64(second))
}

// levelAfter returns the level after some time in which nothing was consumed.
func levelAfter(level, rate, limit float64, age Time) float64 {
	return math.Min(limit, level+rate*float64(age)/float64(second))
}
