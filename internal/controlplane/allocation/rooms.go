package allocation

import (
	"math"
	"time"
)

// rooms records the least room that the reserve's bucket had in each of the last roomCount intervals of
// roomSpan. Units that are given back count from when they came free: those that would have overflowed
// since are lost. Otherwise more units could be in buckets and on their way than the whole burst.
type rooms struct {
	least [roomCount]float64
	last  int64 // the interval noted last
	begun time.Duration
}

const (
	roomSpan  = 100 * time.Millisecond
	roomCount = 32
)

// note takes in how much room there is at a time.
func (r *rooms) note(at time.Duration, room float64) {
	m := int64(at / roomSpan)
	if r.last == 0 {
		r.begun = at
	}
	// Between two notes the bank only filled, so that it had more room than at the second.
	for k := max(r.last+1, m-roomCount+1); k <= m; k++ {
		r.least[k%roomCount] = room
	}
	if m >= r.last-roomCount+1 {
		r.least[m%roomCount] = math.Min(r.least[m%roomCount], room)
	}
	r.last = max(r.last, m)
}

// since returns the least room from a time on, 0 if that is too long ago.
func (r *rooms) since(at time.Duration) float64 {
	m := int64(at / roomSpan)
	if m <= r.last-roomCount+1 || at < r.begun {
		return 0
	}
	least := math.Inf(1)
	for ; m <= r.last; m++ {
		least = math.Min(least, r.least[m%roomCount])
	}
	return math.Max(0, least)
}
