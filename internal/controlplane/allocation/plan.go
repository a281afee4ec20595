package allocation

import (
	"maps"
	"math"
	"slices"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// plannedChange is one member's change in the round that is proposed.
type plannedChange struct {
	budget   uint64
	member   lease.Member
	from     Share // what it held, of what is raised
	to       Allocation
	units    float64
	increase bool
}

// Plan returns what is to be changed in one round, or nil if there is nothing to change or the last round
// has not ended. End the round with Committed, Refused or a new Owner.
func (o *Leader) Plan(now time.Duration) *controlpb.Round {
	if o.pendingBudgets != nil {
		return nil
	}
	for who, m := range o.members {
		if now-m.lastRenewal < o.config.withDrift(o.config.TTL) || m.ended {
			continue
		}
		for id := range m.budgets {
			if h := o.budgets[id].members[who]; o.unexpired(now, m, h.committed) != h.committed {
				o.dirty[id] = true // it lapses now; what lapsed before is done with
			}
		}
	}
	round := &controlpb.Round{Role: o.role, Term: o.term}
	index := map[lease.Member]uint32{}
	for _, id := range slices.Sorted(maps.Keys(o.dirty)) {
		a := o.budgets[id]
		delete(o.dirty, id)
		changes := o.planBudget(now, id, a)
		// What is kept for the next owner goes up and down with the bank: in steps, and at once where it stands in the way.
		o.pool(now, a) // it is smaller by what is to be raised
		keep := math.Min(a.targetCarryover(), math.Max(0, a.limit.Burst-a.allocated.Burst-a.pendingIncrease.Burst))
		if len(changes) == 0 && a.deferredGrant == 0 && a.limitVersion == a.committedVersion && math.Abs(keep-a.carryover) < a.limit.Burst*o.config.ChangeThreshold && (keep >= a.carryover || a.bucket.level-a.carryover >= a.meanGrant) {
			continue
		}
		a.proposedCarryover, a.proposedVersion = keep, a.limitVersion
		o.pendingBudgets = append(o.pendingBudgets, id)
		c := &controlpb.BudgetChange{Budget: id, Limit: a.limit.proto(), LimitVersion: a.limitVersion, MaxMembers: uint32(a.maxMembers), Carryover: keep}
		for _, p := range changes {
			c.Allocations = append(c.Allocations, &controlpb.MemberAllocation{Member: memberIndex(&round.Members, index, p.member), Total: p.to.Total.proto(), ReservedMin: p.to.ReservedMin.proto()})
		}
		round.Changes = append(round.Changes, c)
		o.pendingChanges = append(o.pendingChanges, changes...)
	}
	if len(round.Changes) == 0 {
		return nil
	}
	o.stats.Rounds++
	return round
}

// division is one look at a budget: what came free since the last one, and its division by demand.
type division struct {
	leader   *Leader
	now      time.Duration
	id       uint64
	budget   *budgetState
	members  []lease.Member // that hold a part, sorted
	free     Share          // what may still be given
	reserved Share          // the sum of all floors
	changes  []plannedChange
}

// planBudget returns a budget's changes, and tells members what is to be lessened.
func (o *Leader) planBudget(now time.Duration, id uint64, a *budgetState) []plannedChange {
	d := &division{
		leader:  o,
		now:     now,
		id:      id,
		budget:  a,
		members: sortedMembers(a.members),
		free:    o.pool(now, a),
	}
	alive, claims := d.collectReleased()
	if now < a.nextDivision {
		if len(alive) > 0 {
			o.dirty[id] = o.dirty[id] || a.hasNewDemand()
		}
		return d.changes
	}
	d.divide(alive, claims)
	a.nextDivision = now + max(minDivisionInterval, a.demandWindow()/4)
	if a.hasNewDemand() {
		o.dirty[id] = true
		a.nextDivision = now + o.config.RenewInterval
	}
	return d.changes
}

// collectReleased plans that what expired or was lessened comes free. It returns the members that are alive, with
// their claims.
func (d *division) collectReleased() (alive []lease.Member, claims []Claim) {
	o, a, now := d.leader, d.budget, d.now
	var changes []plannedChange
	for _, w := range d.members {
		h, m := a.members[w], o.members[w]
		if to := o.unexpired(now, m, h.committed); to != h.committed {
			// Should it be heard again before that is agreed, it is told of it with its renewal.
			o.lastUpdate++
			h.announced, h.update = to, o.lastUpdate
			changes = append(changes, plannedChange{budget: d.id, member: w, to: to})
			o.stats.Expired++
		} else if h.announced != h.committed && h.update <= m.appliedUpdate {
			changes = append(changes, plannedChange{budget: d.id, member: w, to: h.announced})
			o.stats.Reduced++
		}
		if now-m.lastRenewal < o.config.TTL && !m.ended {
			alive = append(alive, w)
			claims = append(claims, d.claim(h))
		}
	}
	d.changes = changes
	return alive, claims
}

// claim is a member's claim, aged to now.
func (d *division) claim(h *memberState) Claim {
	c := h.claim
	c.Demand *= math.Exp(-max(0, d.now-h.claimedAt).Seconds() / d.budget.demandWindow().Seconds())
	if c.Demand < minDemand {
		c.Demand = 0
	}
	c.Idle = d.now-h.lastDemand > d.leader.config.IdleTimeout
	return c
}

// divide divides the budget among the members that are alive, by their claims.
func (d *division) divide(alive []lease.Member, claims []Claim) {
	o, a := d.leader, d.budget
	// A floor that nobody gave back is its member's, or a dead one's until its span is over: a newcomer beyond the
	// spread waits for it.
	for _, w := range d.members {
		d.reserved = d.reserved.plus(a.members[w].committed.ReservedMin)
	}
	floorWhole := o.config.ReservedMin(a.limit, max(a.maxMembers, len(claims)))
	for i, part := range Divide(a.limit, a.maxMembers, &o.config, claims) {
		d.assign(alive[i], Allocation{part, floorWhole.min(part)})
	}
}

// assign lessens or raises what a member holds towards its part of the division.
func (d *division) assign(who lease.Member, to Allocation) {
	o, a := d.leader, d.budget
	h := a.members[who]
	h.newDemand = false
	changing := slices.ContainsFunc(d.changes, func(p plannedChange) bool { return p.member == who })
	if changing || h.announced != h.committed {
		h.newDemand = true // one change at a time with one member
		return
	}
	if !h.committed.ReservedMin.isZero() && equalShares(h.committed.ReservedMin, to.ReservedMin) {
		to.ReservedMin = h.committed.ReservedMin
	}
	step := a.limit.Burst * o.config.ChangeThreshold
	switch {
	case to.Total.Burst < h.committed.Total.Burst-step || to.ReservedMin.Burst < h.committed.ReservedMin.Burst-roundingTolerance || to.Total.isZero() && !h.committed.Total.isZero():
		h.announced = Allocation{to.Total.min(h.committed.Total), to.ReservedMin.min(h.committed.ReservedMin)}
		o.lastUpdate++
		h.update = o.lastUpdate
	case to.Total.Burst > h.committed.Total.Burst+step || to.ReservedMin.Burst > h.committed.ReservedMin.Burst+roundingTolerance:
		d.raise(who, to, step)
	}
}

// raise plans that a member gets more, as far as there is something free. A change of at most step units
// alone is left for later.
func (d *division) raise(who lease.Member, to Allocation, step float64) {
	o, a := d.leader, d.budget
	h := a.members[who]
	extra := to.Total.minus(h.committed.Total).max(Share{}).min(d.free)
	maxFloors := a.limit.times(o.config.ReservedFraction)
	more := to.ReservedMin.minus(h.committed.ReservedMin).max(Share{}).min(maxFloors.minus(d.reserved).max(Share{}))
	to.ReservedMin = h.committed.ReservedMin.plus(more)
	if to.Total = h.committed.Total.plus(extra); !to.ReservedMin.within(to.Total) {
		to.ReservedMin = to.ReservedMin.min(to.Total)
	}
	if extra.Burst <= roundingTolerance || extra.Burst <= step && to.ReservedMin.Burst <= h.committed.ReservedMin.Burst+roundingTolerance {
		h.newDemand = true // there is nothing to speak of now
		return
	}
	give := 0.0
	if d.free.Burst > 0 {
		give = math.Min(extra.Burst, a.bucket.level*extra.Burst/d.free.Burst)
	}
	a.bucket.level -= give
	a.pendingIncrease = a.pendingIncrease.plus(extra)
	d.free, d.reserved = d.free.minus(extra), d.reserved.plus(to.ReservedMin.minus(h.committed.ReservedMin))
	d.changes = append(d.changes, plannedChange{budget: d.id, member: who, from: h.committed.Total, to: to, units: give, increase: true})
	o.stats.Raised++
}

// equalShares reports whether two shares are equal but for rounding.
func equalShares(a, b Share) bool { return a.within(b) && b.within(a) }

// Committed takes in that the round was agreed.
func (o *Leader) Committed(now time.Duration) {
	for _, p := range o.pendingChanges {
		a := o.budgets[p.budget]
		h := a.members[p.member]
		o.pool(now, a) // what comes free counts from now on
		h.committed = p.to
		if p.increase {
			o.lastUpdate++
			h.announced, h.update, h.unitsGranted = p.to, o.lastUpdate, h.unitsGranted+p.units
			a.pendingIncrease = a.pendingIncrease.minus(p.to.Total.minus(p.from)).max(Share{})
		}
		if p.to.Total.isZero() && o.members[p.member].ended { // else its sums of units given and returned go on
			delete(a.members, p.member)
			delete(o.members[p.member].budgets, p.budget)
		}
		a.updateAllocated()
		if !p.increase {
			a.bucket.level += h.lateUnits
			h.lateUnits = 0
		}
		o.dirty[p.budget] = true
	}
	for _, id := range o.pendingBudgets {
		a := o.budgets[id]
		a.carryover, a.proposedCarryover, a.deferredGrant, a.committedVersion = a.proposedCarryover, -1, 0, a.proposedVersion
	}
	o.pendingChanges, o.pendingBudgets = nil, nil
}

// Close returns the last round of a term that is handed on: all units of the reserve are kept for the next
// owner. Nothing is lent or renewed after it, and no other round may be proposed. It returns nil if there
// is nothing to keep.
func (o *Leader) Close(now time.Duration) *controlpb.Round {
	o.closing = true
	if o.pendingBudgets != nil {
		return nil
	}
	round := &controlpb.Round{Role: o.role, Term: o.term}
	for _, id := range slices.Sorted(maps.Keys(o.budgets)) {
		a := o.budgets[id]
		o.pool(now, a)
		keep := math.Min(a.bucket.level, math.Max(0, a.limit.Burst-a.allocated.Burst))
		if keep <= a.carryover {
			continue
		}
		a.proposedCarryover, a.proposedVersion = keep, a.limitVersion
		o.pendingBudgets = append(o.pendingBudgets, id)
		round.Changes = append(round.Changes, &controlpb.BudgetChange{Budget: id, Limit: a.limit.proto(), LimitVersion: a.limitVersion, MaxMembers: uint32(a.maxMembers), Carryover: keep})
	}
	if len(round.Changes) == 0 {
		return nil
	}
	return round
}

// Rejected takes in that the round was not agreed and never will be.
func (o *Leader) Rejected(now time.Duration) {
	out := o.pendingChanges
	for _, id := range o.pendingBudgets {
		o.budgets[id].proposedCarryover = -1
		o.dirty[id] = true
	}
	o.pendingChanges, o.pendingBudgets = nil, nil
	for _, p := range out {
		a := o.budgets[p.budget]
		o.dirty[p.budget] = true
		if p.increase {
			o.pool(now, a)
			a.pendingIncrease = a.pendingIncrease.minus(p.to.Total.minus(p.from)).max(Share{})
			a.bucket.level += p.units
		}
	}
}
