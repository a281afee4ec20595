package allocation

import (
	"maps"
	"math"
	"slices"
	"time"

	"mothcleat/internal/controlplane/lease"
)

// Holder has one process's allocations and the units stored in them. Times are by the process's own
// clock, which must keep running while the process is suspended. A process can be suspended between
// any two instructions: the caller must call Available immediately before it takes units, and must
// use them by UseBy.
type Holder struct {
	config    Config
	member    lease.Member
	shards    []shardState
	startedAt time.Duration // time of the first call of Age; 0: there was none
}

// shardState is the state of one shard as this process last received it from the shard's leader.
type shardState struct {
	role          string
	term          uint64        // of the newest leader that responded
	appliedUpdate uint64        // number of the last update that is applied
	lastTimestamp int64         // of the last response
	until         time.Duration // expiry of the allocations
	reservedUntil time.Duration // expiry of the reserved minimums
	budgets       map[uint64]*heldBudget
	dirty         map[uint64]bool // budgets with something to report
}

// heldBudget is this process's part of a budget.
type heldBudget struct {
	limit      Share
	maxMembers int
	allocation Allocation
	update     uint64        // number of the update that announced it
	level      float64       // stored units
	refilledAt time.Duration // when level was last refilled

	// Totals under the term, in units.
	unitsGranted    float64 // granted by the leader with updates
	unitsReturned   float64 // returned to the leader
	returnsReported float64 // of those, reported in a renewal that was answered

	releasedBy    uint64  // number of the last update that reduced the allocation
	unitsReleased float64 // of those returned, stored units that exceeded the reduced allocation

	// Since the last renewal, in units.
	unitsRequested float64
	unitsRejected  float64
	maxRequest     float64
}

// NewHolder returns a holder without allocations.
func NewHolder(c Config, member lease.Member, shards int) *Holder {
	h := &Holder{config: c, member: member}
	for i := range max(1, shards) {
		h.shards = append(h.shards, shardState{
			role:    RoleOfShard(i),
			budgets: map[uint64]*heldBudget{},
			dirty:   map[uint64]bool{},
		})
	}
	return h
}

func (h *Holder) shard(budget uint64) *shardState {
	return &h.shards[ShardOf(budget, len(h.shards))]
}

// usable returns the share of a budget that may be used at a time.
func (s *shardState) usable(b *heldBudget, at time.Duration) Share {
	switch {
	case at < s.until:
		return b.allocation.Total
	case at < s.reservedUntil:
		return b.allocation.ReservedMin
	}
	return Share{}
}

// refill refills a budget up to now, in steps that end where its allocation or its reserved minimum
// expires. Units that overflow while the allocation is valid are returned.
func (s *shardState) refill(b *heldBudget, now time.Duration) {
	for _, end := range []time.Duration{s.until, s.reservedUntil, now} {
		end = min(end, now)
		if b.refilledAt >= end {
			continue
		}
		bucket := tokenBucket{b.level, b.refilledAt}
		overflow := bucket.refill(end, s.usable(b, b.refilledAt))
		if now < s.until {
			b.unitsReturned += overflow
		}
		b.level = bucket.level
		b.refilledAt = end
	}
	// If the allocation has expired, stored units beyond what is still usable are lost.
	b.level = math.Min(b.level, math.Max(s.usable(b, now).Burst, 0))
}

// refillAll refills all budgets of the shard up to now.
func (s *shardState) refillAll(now time.Duration) {
	for _, b := range s.budgets {
		s.refill(b, now)
	}
}

// budget returns a budget, refilled up to now. It adds the budget if it is unknown.
func (s *shardState) budget(id uint64, now time.Duration) *heldBudget {
	b := s.budgets[id]
	if b == nil {
		b = &heldBudget{refilledAt: now}
		s.budgets[id] = b
	}
	s.refill(b, now)
	return b
}

// RecordDemand records that a request needs units of a budget, whose limit is shared by at most
// maxMembers members.
func (h *Holder) RecordDemand(now time.Duration, budget uint64, limit Share, maxMembers int,
	units float64) {
	s := h.shard(budget)
	b := s.budget(budget, now)
	b.limit = limit
	b.maxMembers = maxMembers
	b.unitsRequested += units
	b.maxRequest = math.Max(b.maxRequest, units)
	s.dirty[budget] = true
}

// RecordRejected records that a request for units was rejected.
func (h *Holder) RecordRejected(now time.Duration, budget uint64, units float64) {
	h.shard(budget).budget(budget, now).unitsRejected += units
}

// Available returns the number of units of a budget that may be taken now.
func (h *Holder) Available(now time.Duration, budget uint64) float64 {
	return h.shard(budget).budget(budget, now).level
}

// RefillRate returns the rate at which a budget is refilled now, in units per second.
func (h *Holder) RefillRate(now time.Duration, budget uint64) float64 {
	s := h.shard(budget)
	return s.usable(s.budget(budget, now), now).Rate
}

// UseBy returns the time by which units that are taken now must have been used: within
// Config.UseTimeout, because the bucket refills in their place, and before the allocation expires.
func (h *Holder) UseBy(now time.Duration, budget uint64) time.Duration {
	s := h.shard(budget)
	until := s.reservedUntil
	if now < s.until {
		until = s.until
	}
	return min(until, now+h.config.UseTimeout)
}

// Consume takes units, at most as many as Available returned for the same time. A negative number
// puts back units that were not used.
func (h *Holder) Consume(now time.Duration, budget uint64, units float64) {
	h.shard(budget).budget(budget, now).level -= units
}

// Release returns units that were granted on demand and not used. They are lost if the budget was
// dropped in the meantime.
func (h *Holder) Release(now time.Duration, budget uint64, units float64) {
	s := h.shard(budget)
	if s.budgets[budget] == nil {
		return
	}
	s.budget(budget, now).unitsReturned += units
	s.dirty[budget] = true
}

// Age returns the age of this process in nanoseconds, as it reports it to leaders.
func (h *Holder) Age(now time.Duration) int64 {
	if h.startedAt == 0 {
		h.startedAt = now
	}
	return int64(now - h.startedAt)
}

// Usable returns the share of a budget that this process may use at a time.
func (h *Holder) Usable(now time.Duration, budget uint64) Share {
	s := h.shard(budget)
	b := s.budgets[budget]
	if b == nil {
		return Share{}
	}
	return s.usable(b, now)
}

// Expiry returns when the allocations of a shard expire, and when its reserved minimums expire.
func (h *Holder) Expiry(shard int) (until, reservedUntil time.Duration) {
	return h.shards[shard].until, h.shards[shard].reservedUntil
}

// HolderStatus describes this process's part of a budget for operators.
type HolderStatus struct {
	Budget        uint64        `json:"budget"`
	Allocation    Allocation    `json:"held"`
	Level         float64       `json:"level"` // stored units
	Term          uint64        `json:"term"`
	Until         time.Duration `json:"until"`       // remaining time of the allocation
	ReservedUntil time.Duration `json:"floor_until"` // remaining time of the reserved minimum
}

// Status returns all allocations of this process, ordered by shard and then by budget.
func (h *Holder) Status(now time.Duration) (all []HolderStatus) {
	for i := range h.shards {
		s := &h.shards[i]
		for _, id := range slices.Sorted(maps.Keys(s.budgets)) {
			b := s.budgets[id]
			if b.allocation.Total.isZero() {
				continue
			}
			s.refill(b, now)
			all = append(all, HolderStatus{
				Budget:        id,
				Allocation:    b.allocation,
				Level:         b.level,
				Term:          s.term,
				Until:         max(0, s.until-now),
				ReservedUntil: max(0, s.reservedUntil-now),
			})
		}
	}
	return all
}
