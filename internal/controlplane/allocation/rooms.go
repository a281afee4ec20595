package allocation

import (
	"math"
	"time"
)

// headroomHistory records the least room that the reserve's bucket had in each of the last roomCount intervals of
// roomSpan. Units that are given back count from when they came free: those that would have overflowed
// since are lost. Otherwise more units could be in buckets and on their way than the whole burst.
type headroomHistory struct {
	minimum      [headroomIntervals]float64
	lastInterval int64 // the interval noted last
	startedAt    time.Duration
}

const (
	headroomInterval  = 100 * time.Millisecond
	headroomIntervals = 32
)

// record takes in how much room there is at a time.
func (r *headroomHistory) record(at time.Duration, room float64) {
	m := int64(at / headroomInterval)
	if r.lastInterval == 0 {
		r.startedAt = at
	}
	// Between two notes the bank only filled, so that it had more room than at the second.
	for k := max(r.lastInterval+1, m-headroomIntervals+1); k <= m; k++ {
		r.minimum[k%headroomIntervals] = room
	}
	if m >= r.lastInterval-headroomIntervals+1 {
		r.minimum[m%headroomIntervals] = math.Min(r.minimum[m%headroomIntervals], room)
	}
	r.lastInterval = max(r.lastInterval, m)
}

// minimumSince returns the least room from a time on, 0 if that is too long ago.
func (r *headroomHistory) minimumSince(at time.Duration) float64 {
	m := int64(at / headroomInterval)
	if m <= r.lastInterval-headroomIntervals+1 || at < r.startedAt {
		return 0
	}
	least := math.Inf(1)
	for ; m <= r.lastInterval; m++ {
		least = math.Min(least, r.minimum[m%headroomIntervals])
	}
	return math.Max(0, least)
}
