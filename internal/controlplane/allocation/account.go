package allocation

import (
	"math"
	"time"

	"mothcleat/internal/controlplane/lease"
)

// member is one process that uses budgets of the shard.
type member struct {
	heard   time.Duration // when it was last renewed
	number  uint64        // up to which it has acted on words
	started time.Duration // about
	gone    bool          // it runs no more, or uses nothing any more: by its own word or its heir's
	budgets map[uint64]bool
}

// account is a budget as its owner keeps it.
type account struct {
	whole    Share
	version  uint64        // of the terms that it is by
	known    uint64        // the version as is agreed
	proposed uint64        // and as is proposed
	from     time.Duration // when the process was started that said so
	spread   int
	holds    map[lease.Member]*hold
	held     Share         // what members may be using, as agreed
	rising   Share         // and what is proposed beside that: it is given already, as an entry may be agreed whatever becomes of its answer
	bank     bank          // units of the reserve: what no member holds
	spare    float64       // units of the bank that are lent no one, as agreed: the next owner begins with them
	saving   float64       // and as is proposed; below 0: nothing is
	usual    float64       // units of a loan
	short    float64       // units of the largest loan that waits for less to be kept
	room     *rooms        // nil: nothing was ever given back
	next     time.Duration // it is not divided anew before
}

// hold is a member's part.
type hold struct {
	agreed   Held
	word     Held          // what the member was told last: never more than agreed
	number   uint64        // of that word
	given    float64       // units that went with words
	returned float64       // units that it has told of
	late     float64       // of those, units that come free with what the member was told to lessen
	since    time.Duration // units that it has not told of yet came free after that; 0: not known
	claim    Claim
	at       time.Duration // of the claim
	wanted   time.Duration // when it was last asked for any
	wants    bool          // it was, since the budget was last divided
}

// sum recomputes what members hold.
func (a *account) sum() {
	a.held = Share{}
	for _, who := range sorted(a.holds) {
		a.held = a.held.plus(a.holds[who].agreed.Part)
	}
}

// fill brings the reserve's units up to a time, at the rate and burst of s.
func (a *account) fill(at time.Duration, s Share) {
	a.bank.refill(at, s)
	if a.room != nil {
		a.room.note(at, s.Burst-a.bank.level)
	}
}

// window is the time over which a budget's demand is averaged. A small quota is asked for seldom, and its
// parts should not follow single requests.
func (a *account) window() time.Duration {
	if a.whole.Rate <= 0 {
		return maxDemandWindow
	}
	return min(maxDemandWindow, max(minDemandWindow, time.Duration(2*a.whole.Burst/a.whole.Rate*float64(time.Second))))
}

// wanting reports whether a member asked for units since the budget was last divided.
func (a *account) wanting() bool {
	for _, h := range a.holds {
		if h.wants {
			return true
		}
	}
	return false
}

// keep is how many units of the reserve are kept for the next owner: those that will probably not be lent
// before the next round.
func (a *account) keep() float64 {
	demand := 0.0
	for _, h := range a.holds {
		demand += h.claim.Demand
	}
	return math.Max(0, a.bank.level-2*a.usual-a.short-math.Min(demand, a.whole.Rate)*roundTime.Seconds())
}
