package allocation

import (
	"math"
	"time"

	"mothcleat/internal/controlplane/lease"
)

const (
	// Bounds of the time over which demand is averaged.
	minDemandWindow = 2 * time.Second
	maxDemandWindow = 20 * time.Second

	// roundTime is the time until a round is committed, unless the log's leader changes.
	roundTime = 300 * time.Millisecond
)

// memberRecord is the state of one process that uses budgets of the shard.
type memberRecord struct {
	lastRenewal   time.Duration // by the leader's clock, like all times in this file
	appliedUpdate uint64        // number of the last update that the member acknowledged
	startedAt     time.Duration // estimated from the age that the member reports; 0: not known yet
	ended         bool          // the member has left, or its successor reported that it has exited
	budgets       map[uint64]bool
}

// budgetState is the leader's state of a budget.
type budgetState struct {
	limit            Share
	limitVersion     uint64        // version of the plans that defines the limit
	committedVersion uint64        // limitVersion in the replicated state
	proposedVersion  uint64        // limitVersion in the pending round
	limitSetBy       time.Duration // start time of the process that reported the limit
	maxMembers       int           // maximum number of members that share the limit
	holdings         map[lease.Member]*holding
	allocated        Share // the sum of all committed allocations

	// pendingIncrease is what the pending round adds to allocated. It already counts as allocated,
	// because an entry may be committed even when its response is lost.
	pendingIncrease Share

	bucket tokenBucket // units of the pool

	// carryover is the number of units of the pool that are not granted, because the next leader
	// starts with them.
	carryover         float64
	proposedCarryover float64 // in the pending round; below 0: there is none

	meanGrant     float64 // moving average of the units of on-demand requests
	deferredGrant float64 // units of the largest such request that waits for a smaller carryover

	headroom     *headroomHistory // nil: no units were returned yet
	nextDivision time.Duration    // earliest time of the next division
}

// holding is one member's allocation of one budget.
type holding struct {
	committed Allocation
	announced Allocation // in the last update for the member: never more than is committed
	update    uint64     // number of the update that announced it

	// Totals under the leader's term, in units.
	unitsGranted  float64 // granted to the member with updates
	forfeited     float64 // of those, granted before the allocation last expired
	unitsReturned float64 // returned by the member

	releasedUnits float64 // of those returned, units that become free with the announced reduction
	releasedBy    uint64  // number of the last update for which releasedUnits was recorded

	// unreportedSince is a lower bound: units that the member has yet to report as returned became
	// free after this time. 0: not known.
	unreportedSince time.Duration

	claim      Claim
	claimedAt  time.Duration
	lastDemand time.Duration
	newDemand  bool // since the last division, the member had demand or a change was deferred
}

// updateAllocated recomputes the sum of the committed allocations.
func (b *budgetState) updateAllocated() {
	b.allocated = Share{}
	for _, member := range sortedMembers(b.holdings) {
		b.allocated = b.allocated.plus(b.holdings[member].committed.Total)
	}
}

// refill refills the pool's bucket up to a time, at the pool's rate and burst.
func (b *budgetState) refill(at time.Duration, pool Share) {
	b.bucket.refill(at, pool)
	if b.headroom != nil {
		b.headroom.record(at, pool.Burst-b.bucket.level)
	}
}

// demandWindow returns the time over which a budget's demand is averaged. It is longer for a small
// limit: requests for it are rare, and its division should not follow single requests.
func (b *budgetState) demandWindow() time.Duration {
	if b.limit.Rate <= 0 {
		return maxDemandWindow
	}
	window := time.Duration(2 * b.limit.Burst / b.limit.Rate * float64(time.Second))
	return min(maxDemandWindow, max(minDemandWindow, window))
}

// hasNewDemand reports whether newDemand is set for any member.
func (b *budgetState) hasNewDemand() bool {
	for _, h := range b.holdings {
		if h.newDemand {
			return true
		}
	}
	return false
}

// targetCarryover returns the number of units of the pool to carry over to the next leader: those
// that will probably not be granted before the next round.
func (b *budgetState) targetCarryover() float64 {
	demand := 0.0
	for _, h := range b.holdings {
		demand += h.claim.Demand
	}
	untilNextRound := math.Min(demand, b.limit.Rate) * roundTime.Seconds()
	return math.Max(0, b.bucket.level-2*b.meanGrant-b.deferredGrant-untilNextRound)
}

// carryoverNeedsRound reports whether a round has to change the committed carryover to target.
// Small changes wait, unless the carryover leaves too few units for a grant.
func (b *budgetState) carryoverNeedsRound(target, threshold float64) bool {
	if b.deferredGrant != 0 {
		return true
	}
	if math.Abs(target-b.carryover) >= b.limit.Burst*threshold {
		return true
	}
	return target < b.carryover && b.bucket.level-b.carryover < b.meanGrant
}
