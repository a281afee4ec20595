package gateway

import "mothcleat/internal/dataplane/policy"

// idleLimiter learns for how long an idle connection can still be trusted. A middlebox may silently
// drop idle connections; the next request on one then ends as a reset and may have been executed.
// It belongs to the event loop.
type idleLimiter struct {
	maxIdle      policy.Time // the limit while nothing speaks against it
	learnedLimit policy.Time // 0: none
	learnedAt    policy.Time
	lastBroken   policy.Time // when an idle connection last proved dead
}

const (
	// A connection that was dead before its use shows so soon after it.
	deadConnDetectionTime policy.Time = 20_000
	minIdleLimit          policy.Time = 30_000 // the least limit
	// The limit doubles in this time; two connections that break within it count.
	idleLimitRecovery policy.Time = 2_000_000
)

// limit returns for how long a connection that is used may have been idle.
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

// connBroken records that a connection that had been idle for some time was dead when used. A
// single one is taken for chance.
func (t *idleLimiter) connBroken(now, idle policy.Time) {
	if t.lastBroken != 0 && now-t.lastBroken < idleLimitRecovery {
		t.learnedLimit = max(minIdleLimit, min(t.limit(now), idle/2))
		t.learnedAt = now
	}
	t.lastBroken = now
}
