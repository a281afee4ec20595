package distribution

import (
	"math/rand/v2"
	"time"
)

// admission lets a few resyncs in at a time, gives the rest a time to come back, and holds their
// bytes to a rate.
type admission struct {
	settings   *PublisherSettings
	admittedAt map[StreamID]time.Duration // since when
	nextSlot   time.Duration              // the earliest that was not promised to anybody

	tokens     float64 // bytes that may be sent at once; negative: owed
	refilledAt time.Duration
}

func (a *admission) start(now time.Duration) {
	a.tokens, a.refilledAt = float64(a.settings.BulkBurstBytes), now
}

// admit lets a stream in, or tells after which time it is to come back. Each one that is sent away
// is given a later slot, as far apart as the rate takes for a resync of so many bytes, and jitter
// of one such distance.
func (a *admission) admit(
	now time.Duration, id StreamID, bytes int, random *rand.Rand,
) (after time.Duration, ok bool) {
	active := 0
	for _, since := range a.admittedAt {
		if now-since < a.settings.ResyncSlotTimeout {
			active++
		}
	}
	if active < a.settings.MaxResyncs {
		a.admittedAt[id] = now
		return 0, true
	}
	spacing := max(a.duration(bytes), time.Millisecond)
	a.nextSlot = max(a.nextSlot, now) + spacing
	a.nextSlot = min(a.nextSlot, now+a.settings.MaxRetryDelay)
	after = a.nextSlot - now +
		time.Duration(random.Int64N(int64(max(spacing, a.settings.MinRetryDelay))))
	return min(max(after, a.settings.MinRetryDelay), a.settings.MaxRetryDelay), false
}

// release tells that a stream's resync has ended. It may not have been let in.
func (a *admission) release(id StreamID) { delete(a.admittedAt, id) }

// duration is how long bytes take at the rate.
func (a *admission) duration(bytes int) time.Duration {
	return time.Duration(
		float64(bytes) / float64(a.settings.BulkBytesPerSecond) * float64(time.Second),
	)
}

// refill adds what the rate gave since.
func (a *admission) refill(now time.Duration) {
	a.tokens += (now - a.refilledAt).Seconds() * float64(a.settings.BulkBytesPerSecond)
	a.tokens = min(a.tokens, float64(a.settings.BulkBurstBytes))
	a.refilledAt = now
}

// available tells whether bulk may be sent now.
func (a *admission) available(now time.Duration) bool {
	a.refill(now)
	return a.tokens > 0
}

// availableAt is when it may.
func (a *admission) availableAt(now time.Duration) time.Duration {
	a.refill(now)
	if a.tokens > 0 {
		return now
	}
	return now + a.duration(int(-a.tokens)+1) + time.Microsecond
}

// spend takes bytes that are sent; the level may go below zero by one message.
func (a *admission) spend(bytes int) { a.tokens -= float64(bytes) }
