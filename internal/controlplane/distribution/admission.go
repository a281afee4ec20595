package distribution

import (
	"math/rand/v2"
	"time"
)

// admission lets a few resyncs in at a time, gives the rest a time to come back, and holds their bytes to a rate.
type admission struct {
	settings *PublisherSettings
	holders  map[StreamID]time.Duration // since when
	nextSlot time.Duration              // the earliest that was not promised to anybody

	level   float64 // bytes that may be sent at once; negative: owed
	levelAt time.Duration
}

func (a *admission) begin(now time.Duration) {
	a.level, a.levelAt = float64(a.settings.BulkBurstBytes), now
}

// enter lets a stream in, or tells after which time it is to come back. Each one that is sent away is given a later
// slot, as far apart as the rate takes for a resync of so many bytes, and jitter of one such distance.
func (a *admission) enter(now time.Duration, id StreamID, bytes int, random *rand.Rand) (after time.Duration, ok bool) {
	active := 0
	for _, since := range a.holders {
		if now-since < a.settings.ResyncHold {
			active++
		}
	}
	if active < a.settings.MaxResyncs {
		a.holders[id] = now
		return 0, true
	}
	spacing := max(a.duration(bytes), time.Millisecond)
	a.nextSlot = max(a.nextSlot, now) + spacing
	a.nextSlot = min(a.nextSlot, now+a.settings.MaxRetry)
	after = a.nextSlot - now + time.Duration(random.Int64N(int64(max(spacing, a.settings.MinRetry))))
	return min(max(after, a.settings.MinRetry), a.settings.MaxRetry), false
}

// leave tells that a stream's resync has ended. It may not have been let in.
func (a *admission) leave(id StreamID) { delete(a.holders, id) }

// duration is how long bytes take at the rate.
func (a *admission) duration(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(a.settings.BulkBytesPerSecond) * float64(time.Second))
}

// refill adds what the rate gave since.
func (a *admission) refill(now time.Duration) {
	a.level += (now - a.levelAt).Seconds() * float64(a.settings.BulkBytesPerSecond)
	a.level = min(a.level, float64(a.settings.BulkBurstBytes))
	a.levelAt = now
}

// tokens tells whether bulk may be sent now.
func (a *admission) tokens(now time.Duration) bool {
	a.refill(now)
	return a.level > 0
}

// tokensAt is when it may.
func (a *admission) tokensAt(now time.Duration) time.Duration {
	a.refill(now)
	if a.level > 0 {
		return now
	}
	return now + a.duration(int(-a.level)+1) + time.Microsecond
}

// spend takes bytes that are sent; the level may go below zero by one message.
func (a *admission) spend(bytes int) { a.level -= float64(bytes) }
