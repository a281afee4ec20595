package allocation

import (
	"maps"
	"math"
	"slices"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// plannedChange is one member's change in the pending round.
type plannedChange struct {
	budget   uint64
	member   lease.Member
	from     Share // of an increase: the member's total before it
	to       Allocation
	units    float64 // of an increase: units of the pool that are granted with it
	increase bool
}

// Plan returns the next round, or nil if there is nothing to change or a round is pending. The
// caller must end the round with Committed or Rejected, or replace the Leader.
func (l *Leader) Plan(now time.Duration) *controlpb.Round {
	if l.pendingBudgets != nil {
		return nil
	}
	l.markExpired(now)
	round := &controlpb.Round{Role: l.role, Term: l.term}
	indexes := map[lease.Member]uint32{}
	for _, id := range slices.Sorted(maps.Keys(l.dirty)) {
		delete(l.dirty, id)
		changes, ok := l.planBudget(now, id)
		if !ok {
			continue
		}
		change := l.addToRound(round, id)
		for _, c := range changes {
			change.Allocations = append(change.Allocations, &controlpb.MemberAllocation{
				Member:      memberIndex(&round.Members, indexes, c.member),
				Total:       c.to.Total.proto(),
				ReservedMin: c.to.ReservedMin.proto(),
			})
		}
		l.pendingChanges = append(l.pendingChanges, changes...)
	}
	if len(round.Changes) == 0 {
		return nil
	}
	l.stats.Rounds++
	return round
}

// markExpired marks the budgets in which an allocation has expired since the last plan.
func (l *Leader) markExpired(now time.Duration) {
	for member, record := range l.members {
		if now-record.lastRenewal < l.config.withDrift(l.config.TTL) || record.ended {
			continue
		}
		for id := range record.budgets {
			committed := l.budgets[id].holdings[member].committed
			if l.unexpired(now, record, committed) != committed {
				l.dirty[id] = true
			}
		}
	}
}

// planBudget plans a budget's changes and sets its proposed carryover. ok is false if the round
// need not include the budget.
func (l *Leader) planBudget(now time.Duration, id uint64) (changes []plannedChange, ok bool) {
	b := l.budgets[id]
	changes = l.redivide(now, id, b)
	l.pool(now, b) // the planned increases have reduced the pool
	free := math.Max(0, b.limit.Burst-b.allocated.Burst-b.pendingIncrease.Burst)
	carryover := math.Min(b.targetCarryover(), free)
	changed := len(changes) > 0 || b.limitVersion != b.committedVersion
	if !changed && !b.carryoverNeedsRound(carryover, l.config.ChangeThreshold) {
		return nil, false
	}
	b.proposedCarryover = carryover
	return changes, true
}

// addToRound adds a budget with its proposed carryover to a round, without any allocations.
func (l *Leader) addToRound(round *controlpb.Round, id uint64) *controlpb.BudgetChange {
	b := l.budgets[id]
	b.proposedVersion = b.limitVersion
	l.pendingBudgets = append(l.pendingBudgets, id)
	change := &controlpb.BudgetChange{
		Budget:       id,
		Limit:        b.limit.proto(),
		LimitVersion: b.limitVersion,
		MaxMembers:   uint32(b.maxMembers),
		Carryover:    b.proposedCarryover,
	}
	round.Changes = append(round.Changes, change)
	return change
}

// Close returns the last round of a term whose role is transferred. It carries all units of the
// pools over to the next leader. Afterwards nothing is granted or renewed, and no other round may
// be proposed. Close returns nil if there is nothing to carry over or a round is pending.
func (l *Leader) Close(now time.Duration) *controlpb.Round {
	l.closing = true
	if l.pendingBudgets != nil {
		return nil
	}
	round := &controlpb.Round{Role: l.role, Term: l.term}
	for _, id := range slices.Sorted(maps.Keys(l.budgets)) {
		b := l.budgets[id]
		l.pool(now, b)
		carryover := math.Min(b.bucket.level, math.Max(0, b.limit.Burst-b.allocated.Burst))
		if carryover <= b.carryover {
			continue
		}
		b.proposedCarryover = carryover
		l.addToRound(round, id)
	}
	if len(round.Changes) == 0 {
		return nil
	}
	return round
}

// Committed records that the pending round was committed.
func (l *Leader) Committed(now time.Duration) {
	for _, c := range l.pendingChanges {
		l.commit(now, c)
	}
	for _, id := range l.pendingBudgets {
		b := l.budgets[id]
		b.carryover = b.proposedCarryover
		b.proposedCarryover = -1
		b.deferredGrant = 0
		b.committedVersion = b.proposedVersion
	}
	l.pendingChanges = nil
	l.pendingBudgets = nil
}

func (l *Leader) commit(now time.Duration, c plannedChange) {
	b := l.budgets[c.budget]
	h := b.holdings[c.member]
	l.pool(now, b) // the freed share adds to the pool's rate from now on
	h.committed = c.to
	if c.increase {
		l.lastUpdate++
		h.announced = c.to
		h.update = l.lastUpdate
		h.unitsGranted += c.units
		b.pendingIncrease = b.pendingIncrease.minus(c.to.Total.minus(c.from)).max(Share{})
	}
	// The holding of a member that has not ended keeps its totals of units.
	if c.to.Total.isZero() && l.members[c.member].ended {
		delete(b.holdings, c.member)
		delete(l.members[c.member].budgets, c.budget)
	}
	b.updateAllocated()
	if !c.increase {
		b.bucket.level += h.releasedUnits
		h.releasedUnits = 0
	}
	l.dirty[c.budget] = true
}

// Rejected records that the pending round was not committed and never will be.
func (l *Leader) Rejected(now time.Duration) {
	for _, id := range l.pendingBudgets {
		l.budgets[id].proposedCarryover = -1
		l.dirty[id] = true
	}
	for _, c := range l.pendingChanges {
		b := l.budgets[c.budget]
		l.dirty[c.budget] = true
		if c.increase {
			l.pool(now, b)
			b.pendingIncrease = b.pendingIncrease.minus(c.to.Total.minus(c.from)).max(Share{})
			b.bucket.level += c.units
		}
	}
	l.pendingChanges = nil
	l.pendingBudgets = nil
}
