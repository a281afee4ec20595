package gateway

import "mothcleat/internal/dataplane/policy"

// idleTrust learns for how long an idle connection can still be trusted. Something on
// the way may forget connections that stand idle, and tell nobody: the next
// request then ends as a reset, and may have run.
type idleTrust struct {
	maxIdle      policy.Time // where nothing speaks against it
	learnedLimit policy.Time // 0: nothing
	learnedAt    policy.Time
	lastBroken   policy.Time // when a kept connection last proved dead
}

const (
	deadConnDetectionTime = 20_000    // so soon a dead connection shows when it is used
	minIdleTrust          = 30_000    // what is learnt is never less,
	idleTrustRecovery     = 2_000_000 // doubles in this time, and two that break within it count
)

// limit is how long a connection may have been idle.
func (k *idleTrust) limit(now policy.Time) policy.Time {
	if k.learnedLimit == 0 {
		return k.maxIdle
	}
	most := k.learnedLimit
	for healed := k.learnedAt + idleTrustRecovery; healed <= now && most < k.maxIdle; healed += idleTrustRecovery {
		most *= 2
	}
	return min(most, k.maxIdle)
}

// connBroken takes in that a connection that was idle for so long was dead when used.
// Once is chance.
func (k *idleTrust) connBroken(now, idle policy.Time) {
	if k.lastBroken != 0 && now-k.lastBroken < idleTrustRecovery {
		k.learnedLimit, k.learnedAt = max(minIdleTrust, min(k.limit(now), idle/2)), now
	}
	k.lastBroken = now
}
