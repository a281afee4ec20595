package gateway

import "mothcleat/internal/dataplane/policy"

// keep learns for how long an idle connection can still be trusted. Something on
// the way may forget connections that stand idle, and tell nobody: the next
// request then ends as a reset, and may have run.
type keep struct {
	longest  policy.Time // where nothing speaks against it
	learnt   policy.Time // 0: nothing
	learntAt policy.Time
	brokeAt  policy.Time // when a kept connection last proved dead
}

const (
	atOnce    = 20_000    // so soon a dead connection shows when it is used
	keepLeast = 30_000    // what is learnt is never less,
	keepHeals = 2_000_000 // doubles in this time, and two that break within it count
)

// most is how long a connection may have been idle.
func (k *keep) most(now policy.Time) policy.Time {
	if k.learnt == 0 {
		return k.longest
	}
	most := k.learnt
	for healed := k.learntAt + keepHeals; healed <= now && most < k.longest; healed += keepHeals {
		most *= 2
	}
	return min(most, k.longest)
}

// broke takes in that a connection that was idle for so long was dead when used.
// Once is chance.
func (k *keep) broke(now, idle policy.Time) {
	if k.brokeAt != 0 && now-k.brokeAt < keepHeals {
		k.learnt, k.learntAt = max(keepLeast, min(k.most(now), idle/2)), now
	}
	k.brokeAt = now
}
