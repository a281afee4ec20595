package allocation

import (
	"math"
	"slices"
	"time"

	"mothcleat/internal/controlplane/lease"
)

const (
	minDivisionInterval = time.Second // between two divisions of one budget
	minDemand           = 0.01        // units per second; a lower demand counts as none
)

// division plans the changes of one budget for the next round: the allocations that became free,
// and those that follow from dividing the budget by demand.
type division struct {
	leader   *Leader
	now      time.Duration
	id       uint64
	budget   *budgetState
	members  []lease.Member // all members that have a holding, sorted
	free     Share          // the part of the limit that may still be allocated
	reserved Share          // the sum of all reserved minimums
	changes  []plannedChange
}

// redivide returns a budget's changes for the next round, and announces reductions to the members.
func (l *Leader) redivide(now time.Duration, id uint64, b *budgetState) []plannedChange {
	d := &division{
		leader:  l,
		now:     now,
		id:      id,
		budget:  b,
		members: sortedMembers(b.holdings),
		free:    l.pool(now, b),
	}
	d.planReleases()
	active, claims := d.collectClaims()
	if now < b.nextDivision {
		if len(active) > 0 {
			l.dirty[id] = true // check again when the division is due
		}
		return d.changes
	}
	d.divide(active, claims)
	b.nextDivision = now + max(minDivisionInterval, b.demandWindow()/4)
	if b.hasNewDemand() {
		l.dirty[id] = true
		b.nextDivision = now + l.config.RenewInterval
	}
	return d.changes
}

// planReleases plans to free the allocations that have expired, and the differences of reductions
// that were acknowledged.
func (d *division) planReleases() {
	l := d.leader
	for _, member := range d.members {
		h, record := d.budget.holdings[member], l.members[member]
		if to := l.unexpired(d.now, record, h.committed); to != h.committed {
			// If the member renews before the round is committed, the response has the reduction.
			l.announce(h, to)
			// Granted units that have not reached the member expired with the allocation.
			h.forfeited = h.unitsGranted
			d.changes = append(d.changes, plannedChange{budget: d.id, member: member, to: to})
			l.stats.Expired++
		} else if h.announced != h.committed && h.update <= record.appliedUpdate {
			to = h.announced
			d.changes = append(d.changes, plannedChange{budget: d.id, member: member, to: to})
			l.stats.Reduced++
		}
	}
}

// announce sets the smaller allocation that the response to the member's next renewal contains.
func (l *Leader) announce(h *holding, to Allocation) {
	l.lastUpdate++
	h.announced = to
	h.update = l.lastUpdate
}

// collectClaims returns the members whose allocations have not expired, with their claims.
func (d *division) collectClaims() (active []lease.Member, claims []Claim) {
	for _, member := range d.members {
		record := d.leader.members[member]
		if record.ended || d.now-record.lastRenewal >= d.leader.config.TTL {
			continue
		}
		active = append(active, member)
		claims = append(claims, d.claim(d.budget.holdings[member]))
	}
	return active, claims
}

// claim returns a member's claim, decayed to now.
func (d *division) claim(h *holding) Claim {
	c := h.claim
	c.Demand *= math.Exp(-max(0, d.now-h.claimedAt).Seconds() / d.budget.demandWindow().Seconds())
	if c.Demand < minDemand {
		c.Demand = 0
	}
	c.Idle = d.now-h.lastDemand > d.leader.config.IdleTimeout
	return c
}

// divide divides the budget among the active members by their claims.
func (d *division) divide(active []lease.Member, claims []Claim) {
	l, b := d.leader, d.budget
	// A reserved minimum stays allocated until its member returns it or its TTL has passed, even if
	// the member has exited without notice. A new member beyond maxMembers waits for it.
	for _, member := range d.members {
		d.reserved = d.reserved.plus(b.holdings[member].committed.ReservedMin)
	}
	reservedMin := l.config.ReservedMin(b.limit, max(b.maxMembers, len(claims)))
	for i, total := range Divide(b.limit, b.maxMembers, &l.config, claims) {
		d.assign(active[i], Allocation{total, reservedMin.min(total)})
	}
}

// assign changes a member's allocation towards the result of the division. A member has at most one
// change in progress: while there is one, assign leaves the rest to a later division.
func (d *division) assign(member lease.Member, to Allocation) {
	b := d.budget
	h := b.holdings[member]
	h.newDemand = false
	changing := slices.ContainsFunc(d.changes,
		func(c plannedChange) bool { return c.member == member })
	if changing || h.announced != h.committed {
		h.newDemand = true // divide again
		return
	}
	from := h.committed
	if !from.ReservedMin.isZero() && equalShares(from.ReservedMin, to.ReservedMin) {
		to.ReservedMin = from.ReservedMin
	}
	threshold := b.limit.Burst * d.leader.config.ChangeThreshold
	if isReduction(from, to, threshold) {
		smaller := Allocation{to.Total.min(from.Total), to.ReservedMin.min(from.ReservedMin)}
		d.leader.announce(h, smaller)
	} else if isIncrease(from, to, threshold) {
		d.increase(member, to, threshold)
	}
}

// isReduction reports whether an allocation is to be reduced. A reduction of its total by at most
// threshold units waits, unless nothing is left.
func isReduction(from, to Allocation, threshold float64) bool {
	return to.Total.Burst < from.Total.Burst-threshold ||
		to.ReservedMin.Burst < from.ReservedMin.Burst-roundingTolerance ||
		to.Total.isZero() && !from.Total.isZero()
}

// isIncrease reports whether an allocation is to be increased. An increase of its total by at most
// threshold units waits.
func isIncrease(from, to Allocation, threshold float64) bool {
	return to.Total.Burst > from.Total.Burst+threshold ||
		to.ReservedMin.Burst > from.ReservedMin.Burst+roundingTolerance
}

// increase plans a member's increase, limited to the free part of the budget. It leaves an increase
// of the total by at most threshold units to a later division, unless the reserved minimum grows.
func (d *division) increase(member lease.Member, to Allocation, threshold float64) {
	b := d.budget
	h := b.holdings[member]
	from := h.committed
	extra := to.Total.minus(from.Total).max(Share{}).min(d.free)
	to.Total = from.Total.plus(extra)

	maxReserved := b.limit.times(d.leader.config.ReservedFraction)
	freeReserved := maxReserved.minus(d.reserved).max(Share{})
	extraReserved := to.ReservedMin.minus(from.ReservedMin).max(Share{}).min(freeReserved)
	to.ReservedMin = from.ReservedMin.plus(extraReserved)
	if !to.ReservedMin.within(to.Total) {
		to.ReservedMin = to.ReservedMin.min(to.Total)
	}

	sameReserved := to.ReservedMin.Burst <= from.ReservedMin.Burst+roundingTolerance
	if extra.Burst <= roundingTolerance || extra.Burst <= threshold && sameReserved {
		h.newDemand = true // divide again
		return
	}
	units := 0.0
	if d.free.Burst > 0 {
		units = math.Min(extra.Burst, b.bucket.level*extra.Burst/d.free.Burst)
	}
	b.bucket.level -= units
	b.pendingIncrease = b.pendingIncrease.plus(extra)
	d.free = d.free.minus(extra)
	d.reserved = d.reserved.plus(to.ReservedMin.minus(from.ReservedMin))
	d.changes = append(d.changes, plannedChange{
		budget:   d.id,
		member:   member,
		from:     from.Total,
		to:       to,
		units:    units,
		increase: true,
	})
	d.leader.stats.Raised++
}
