package gateway

import "mothcleat/internal/dataplane/policy"

// idleLimiter learns how long a connection may be idle and still be reused. A middlebox may
// silently drop idle connections; the next request on such a connection ends with a reset and may
// have been executed. idleLimiter belongs to the event loop.
type idleLimiter struct {
	maxIdle      policy.Time // the limit before a lower one is learned
	learnedLimit policy.Time // 0: none learned
	learnedAt    policy.Time
	lastBroken   policy.Time // when a reused connection was last found dead
}

const (
	// A connection that was dead before its reuse breaks within this time after the write.
	deadConnDetectionTime policy.Time = 20_000
	minIdleLimit          policy.Time = 30_000 // lower bound of the learned limit
	// The learned limit doubles each time this period passes. Two broken connections within it
	// lower the limit.
	idleLimitRecovery policy.Time = 2_000_000
)

// limit returns how long a connection may have been idle to be reused.
func (t *idleLimiter) limit(now policy.Time) policy.Time {
	if t.learnedLimit == 0 {
		return t.maxIdle
	}
	limit := t.learnedLimit
	recovered := t.learnedAt + idleLimitRecovery
	for recovered <= now && limit < t.maxIdle {
		limit *= 2
		recovered += idleLimitRecovery
	}
	return min(limit, t.maxIdle)
}

// connBroken records that a connection was dead when reused after being idle for the given time. A
// single broken connection does not change the limit, because it may be a coincidence.
func (t *idleLimiter) connBroken(now, idle policy.Time) {
	if t.lastBroken != 0 && now-t.lastBroken < idleLimitRecovery {
		t.learnedLimit = max(minIdleLimit, min(t.limit(now), idle/2))
		t.learnedAt = now
	}
	t.lastBroken = now
}
