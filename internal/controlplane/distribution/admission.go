package distribution

import (
	"math/rand/v2"
	"time"
)

// admission limits resyncs. It admits a few streams at a time and gives the others a delay after
// which to retry. A token bucket limits the bytes sent by all resyncs together.
type admission struct {
	settings *PublisherSettings
	// admittedAt is the time of admission of each stream that is resyncing.
	admittedAt map[StreamID]time.Duration
	// nextSlot is the latest retry slot assigned so far. The next one is later.
	nextSlot time.Duration

	// tokens is the number of bytes that may be sent now. It may be negative by up to one message.
	tokens     float64
	refilledAt time.Duration
}

func (a *admission) start(now time.Duration) {
	a.tokens, a.refilledAt = float64(a.settings.BulkBurstBytes), now
}

// admit admits a stream's resync of approximately the given size, or returns the delay after which
// the replica should retry. Each rejected stream gets a later slot than the one before, up to
// MaxRetryDelay. Slots are spaced by the time that such a resync takes at the configured rate, with
// jitter of one slot.
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
	spacing := max(a.transferTime(bytes), time.Millisecond)
	a.nextSlot = max(a.nextSlot, now) + spacing
	a.nextSlot = min(a.nextSlot, now+a.settings.MaxRetryDelay)
	after = a.nextSlot - now +
		time.Duration(random.Int64N(int64(max(spacing, a.settings.MinRetryDelay))))
	return min(max(after, a.settings.MinRetryDelay), a.settings.MaxRetryDelay), false
}

// release frees the slot of a stream's resync. It does nothing for a stream that was not admitted.
func (a *admission) release(id StreamID) { delete(a.admittedAt, id) }

// transferTime returns the time that the bytes take at the configured rate.
func (a *admission) transferTime(bytes int) time.Duration {
	return time.Duration(
		float64(bytes) / float64(a.settings.BulkBytesPerSecond) * float64(time.Second),
	)
}

// refill adds the tokens gained since the last call.
func (a *admission) refill(now time.Duration) {
	a.tokens += (now - a.refilledAt).Seconds() * float64(a.settings.BulkBytesPerSecond)
	a.tokens = min(a.tokens, float64(a.settings.BulkBurstBytes))
	a.refilledAt = now
}

// available reports whether digests and buckets may be sent now.
func (a *admission) available(now time.Duration) bool {
	a.refill(now)
	return a.tokens > 0
}

// availableAt returns the time at which digests and buckets may be sent again.
func (a *admission) availableAt(now time.Duration) time.Duration {
	a.refill(now)
	if a.tokens > 0 {
		return now
	}
	return now + a.transferTime(int(-a.tokens)+1) + time.Microsecond
}

// spend deducts the tokens of a message. The balance may fall below zero by up to one message.
func (a *admission) spend(bytes int) { a.tokens -= float64(bytes) }
