package allocation

import (
	"math"
	"time"
)

const (
	headroomInterval  = 100 * time.Millisecond
	headroomIntervals = 32
)

// headroomHistory records the minimum headroom of the pool's bucket in each of the last
// headroomIntervals intervals of headroomInterval. Units that a member returns count as in the pool
// since they became free: those that would have overflowed the pool are lost. Otherwise the units
// in buckets and in flight could exceed the burst.
type headroomHistory struct {
	minimum      [headroomIntervals]float64 // units, by interval number modulo headroomIntervals
	lastInterval int64                      // number of the interval recorded last; 0: none yet
	startedAt    time.Duration
}

// record records the headroom, in units, at a time.
func (h *headroomHistory) record(at time.Duration, headroom float64) {
	interval := int64(at / headroomInterval)
	if h.lastInterval == 0 {
		h.startedAt = at
	}
	// Between two calls the bucket only fills, so its headroom was larger than at the second call.
	for i := max(h.lastInterval+1, interval-headroomIntervals+1); i <= interval; i++ {
		h.minimum[i%headroomIntervals] = headroom
	}
	if interval >= h.lastInterval-headroomIntervals+1 {
		slot := interval % headroomIntervals
		h.minimum[slot] = math.Min(h.minimum[slot], headroom)
	}
	h.lastInterval = max(h.lastInterval, interval)
}

// take reduces the headroom from a time on by units that became free after it, as if they had been
// in the pool since then. It returns how many units had headroom; the others would have overflowed.
func (h *headroomHistory) take(since time.Duration, units float64) float64 {
	units = math.Min(units, h.minimumSince(since))
	if units <= 0 {
		return 0
	}
	for i := int64(since / headroomInterval); i <= h.lastInterval; i++ {
		h.minimum[i%headroomIntervals] -= units
	}
	return units
}

// minimumSince returns the minimum headroom, in units, from a time on. It returns 0 for a time
// before the start of the history.
func (h *headroomHistory) minimumSince(at time.Duration) float64 {
	interval := int64(at / headroomInterval)
	if interval <= h.lastInterval-headroomIntervals+1 || at < h.startedAt {
		return 0
	}
	least := math.Inf(1)
	for ; interval <= h.lastInterval; interval++ {
		least = math.Min(least, h.minimum[interval%headroomIntervals])
	}
	return math.Max(0, least)
}
