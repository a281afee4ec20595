package allocation

import (
	"math"
	"time"

	"mothcleat/internal/controlplane/lease"
)

// memberRecord is one process that uses budgets of the shard.
type memberRecord struct {
	lastRenewal   time.Duration // when it was last renewed
	appliedUpdate uint64        // up to which it has acted on words
	startedAt     time.Duration // about
	ended         bool          // it runs no more, or uses nothing any more: by its own word or its heir's
	budgets       map[uint64]bool
}

// budgetState is a budget as its owner keeps it.
type budgetState struct {
	limit             Share
	limitVersion      uint64        // of the terms that it is by
	committedVersion  uint64        // the version as is agreed
	proposedVersion   uint64        // and as is proposed
	limitSetBy        time.Duration // when the process was started that said so
	maxMembers        int
	members           map[lease.Member]*memberState
	allocated         Share            // what members may be using, as agreed
	pendingIncrease   Share            // and what is proposed beside that: it is given already, as an entry may be agreed whatever becomes of its answer
	bucket            tokenBucket      // units of the reserve: what no member holds
	carryover         float64          // units of the bank that are lent no one, as agreed: the next owner begins with them
	proposedCarryover float64          // and as is proposed; below 0: nothing is
	meanGrant         float64          // units of a loan
	deferredGrant     float64          // units of the largest loan that waits for less to be kept
	headroom          *headroomHistory // nil: nothing was ever given back
	nextDivision      time.Duration    // it is not divided anew before
}

// memberState is a member's part.
type memberState struct {
	committed      Allocation
	announced      Allocation    // what the member was told last: never more than agreed
	update         uint64        // of that word
	unitsGranted   float64       // units that went with words
	unitsReturned  float64       // units that it has told of
	lateUnits      float64       // of those, units that come free with what the member was told to lessen
	returnedBefore time.Duration // units that it has not told of yet came free after that; 0: not known
	claim          Claim
	claimedAt      time.Duration // of the claim
	lastDemand     time.Duration // when it was last asked for any
	newDemand      bool          // it was, since the budget was last divided
}

// updateAllocated recomputes what members hold.
func (a *budgetState) updateAllocated() {
	a.allocated = Share{}
	for _, who := range sortedMembers(a.members) {
		a.allocated = a.allocated.plus(a.members[who].committed.Total)
	}
}

// refill brings the reserve's units up to a time, at the rate and burst of s.
func (a *budgetState) refill(at time.Duration, s Share) {
	a.bucket.refill(at, s)
	if a.headroom != nil {
		a.headroom.record(at, s.Burst-a.bucket.level)
	}
}

// demandWindow is the time over which a budget's demand is averaged. A small quota is asked for seldom, and its
// parts should not follow single requests.
func (a *budgetState) demandWindow() time.Duration {
	if a.limit.Rate <= 0 {
		return maxDemandWindow
	}
	return min(maxDemandWindow, max(minDemandWindow, time.Duration(2*a.limit.Burst/a.limit.Rate*float64(time.Second))))
}

// hasNewDemand reports whether a member asked for units since the budget was last divided.
func (a *budgetState) hasNewDemand() bool {
	for _, h := range a.members {
		if h.newDemand {
			return true
		}
	}
	return false
}

// targetCarryover is how many units of the reserve are kept for the next owner: those that will probably not be lent
// before the next round.
func (a *budgetState) targetCarryover() float64 {
	demand := 0.0
	for _, h := range a.members {
		demand += h.claim.Demand
	}
	return math.Max(0, a.bucket.level-2*a.meanGrant-a.deferredGrant-math.Min(demand, a.limit.Rate)*roundTime.Seconds())
}
