package allocation

import (
	"maps"
	"math"
	"slices"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// Holder is one process's side: the rights that it was given, and the units in them. Times are of its own
// clock, which must go on while the process lies stopped. Level has to be asked for right before units are taken, and Until is
// the time by which they must have been used: a process can stop between any two instructions.
type Holder struct {
	config    Config
	member    lease.Member
	shards    []shardState
	startedAt time.Duration // when it first asked; 0: it has not
}

// shardState is what the owner of one shard has told.
type shardState struct {
	role          string
	term          uint64 // of the newest owner that was heard
	appliedUpdate uint64 // up to which its words are acted on
	lastTimestamp int64  // the stamp of the answer heard last
	until         time.Duration
	reservedUntil time.Duration
	budgets       map[uint64]*heldBudget
	dirty         map[uint64]bool // has something to tell
}

// heldBudget is a budget as this process may use it.
type heldBudget struct {
	limit           Share
	maxMembers      int
	allocation      Allocation
	update          uint64
	level           float64
	refilledAt      time.Duration
	unitsGranted    float64 // taken in, in all under the term
	unitsReturned   float64 // given back, in all under the term
	returnsReported float64 // of that, told in an asking that was answered
	unitsRequested  float64 // since the last asking
	unitsRejected   float64
	maxRequest      float64
}

// NewHolder is a process that holds nothing.
func NewHolder(r Config, me lease.Member, shards int) *Holder {
	h := &Holder{config: r, member: me}
	for i := range max(1, shards) {
		h.shards = append(h.shards, shardState{role: RoleOfShard(i), budgets: map[uint64]*heldBudget{}, dirty: map[uint64]bool{}})
	}
	return h
}

func (h *Holder) shard(budget uint64) *shardState { return &h.shards[ShardOf(budget, len(h.shards))] }

// usable is what a right lets use at a time.
func (s *shardState) usable(r *heldBudget, at time.Duration) Share {
	switch {
	case at < s.until:
		return r.allocation.Total
	case at < s.reservedUntil:
		return r.allocation.ReservedMin
	}
	return Share{}
}

// refill brings a right to a time: through the end of its part, and that of its floor, if they lie before. What finds
// no room while it is held is given back.
func (s *shardState) refill(r *heldBudget, now time.Duration) {
	for _, end := range []time.Duration{s.until, s.reservedUntil, now} {
		end = min(end, now)
		if r.refilledAt >= end {
			continue
		}
		may := s.usable(r, r.refilledAt)
		b := tokenBucket{r.level, r.refilledAt}
		if over := b.refill(end, may); now < s.until {
			r.unitsReturned += over
		}
		r.level, r.refilledAt = b.level, end
	}
	// An end cuts what is stored.
	r.level = math.Min(r.level, math.Max(s.usable(r, now).Burst, 0))
}

// budget finds or makes the record of a budget.
func (s *shardState) budget(budget uint64, now time.Duration) *heldBudget {
	r := s.budgets[budget]
	if r == nil {
		r = &heldBudget{refilledAt: now}
		s.budgets[budget] = r
	}
	s.refill(r, now)
	return r
}

// RecordDemand takes note that units of a budget were asked for.
func (h *Holder) RecordDemand(now time.Duration, budget uint64, whole Share, spread int, units float64) {
	s := h.shard(budget)
	r := s.budget(budget, now)
	r.limit, r.maxMembers = whole, spread
	r.unitsRequested += units
	r.maxRequest = math.Max(r.maxRequest, units)
	s.dirty[budget] = true
}

// RecordRejected takes note that they were refused.
func (h *Holder) RecordRejected(now time.Duration, budget uint64, units float64) {
	h.shard(budget).budget(budget, now).unitsRejected += units
}

// Available is how many units of a budget may be used now.
func (h *Holder) Available(now time.Duration, budget uint64) float64 {
	return h.shard(budget).budget(budget, now).level
}

// RefillRate is at which rate units come.
func (h *Holder) RefillRate(now time.Duration, budget uint64) float64 {
	s := h.shard(budget)
	return s.usable(s.budget(budget, now), now).Rate
}

// UseBy is by when units that are taken now must have been used: soon, as others may have their place in the bank
// filled anew meanwhile, and never after the right is over.
func (h *Holder) UseBy(now time.Duration, budget uint64) time.Duration {
	s := h.shard(budget)
	until := s.reservedUntil
	if now < s.until {
		until = s.until
	}
	return min(until, now+h.config.UseTimeout)
}

// Consume uses units, as many as Level gave at the time.
func (h *Holder) Consume(now time.Duration, budget uint64, units float64) {
	h.shard(budget).budget(budget, now).level -= units
}

// Release gives back units that were lent and not used.
func (h *Holder) Release(now time.Duration, budget uint64, units float64) {
	s := h.shard(budget)
	if s.budgets[budget] != nil { // else it was forgotten meanwhile, and they are lost
		s.budget(budget, now).unitsReturned += units
		s.dirty[budget] = true
	}
}

// Age is how old this process is, in nanoseconds, as it tells owners.
func (h *Holder) Age(now time.Duration) int64 {
	if h.startedAt == 0 {
		h.startedAt = now
	}
	return int64(now - h.startedAt)
}

// RenewRequest is the asking to be sent to the owner of a shard now, of which Answer takes the answer.
func (h *Holder) RenewRequest(now time.Duration, shard int) *controlpb.RenewRequest {
	s := &h.shards[shard]
	a := &controlpb.RenewRequest{Age: h.Age(now), Member: &controlpb.Member{Id: h.member.ID, Incarnation: h.member.Incarnation}, Role: s.role, Term: s.term, AppliedUpdate: s.appliedUpdate, LastTimestamp: s.lastTimestamp}
	for _, id := range slices.Sorted(maps.Keys(s.budgets)) {
		r := s.budgets[id]
		s.refill(r, now)
		if !s.dirty[id] && r.unitsReturned == r.returnsReported {
			if r.allocation.Total.isZero() && r.update == 0 {
				delete(s.budgets, id) // it was asked for once, and holds nothing
			}
			continue
		}
		a.Demands = append(a.Demands, &controlpb.Demand{Budget: id, Limit: r.limit.proto(), MaxMembers: uint32(r.maxMembers), UnitsRequested: r.unitsRequested,
			UnitsRejected: r.unitsRejected, MaxRequest: r.maxRequest, UnitsReturned: r.unitsReturned})
		r.unitsRequested, r.unitsRejected, r.maxRequest = 0, 0, 0
		delete(s.dirty, id)
	}
	return a
}

// ReleaseAll gives everything back, and gives the askings that say so, one a shard.
func (h *Holder) ReleaseAll(now time.Duration) (all []*controlpb.RenewRequest) {
	for i := range h.shards {
		s := &h.shards[i]
		for id, r := range s.budgets {
			s.refill(r, now)
			r.unitsReturned += r.level
			r.level, r.allocation = 0, Allocation{}
			s.dirty[id] = true
		}
		a := h.RenewRequest(now, i)
		a.Leaving = true
		s.until, s.reservedUntil = 0, 0
		s.term = math.MaxUint64 // no owner gives it anything any more
		all = append(all, a)
	}
	return all
}

// HandleRenewal takes in the answer to the asking that was sent at a time. It tells whether there is something to say at
// once: that what was lessened is acted on.
func (h *Holder) HandleRenewal(now, sent time.Duration, shard int, ask *controlpb.RenewRequest, a *controlpb.RenewResponse) (again bool) {
	s := &h.shards[shard]
	if a.Code != controlpb.Code_OK || a.Term < s.term {
		return false // an old owner that wakes late
	}
	if now >= s.until || a.Term > s.term {
		// It had lapsed, or never was: what is stored has to be cut before it holds anew.
		for _, r := range s.budgets {
			s.refill(r, now)
		}
	}
	if a.Term > s.term {
		// A new owner tells all that it has given. What it does not name was given to others meanwhile.
		s.term, s.appliedUpdate, s.lastTimestamp = a.Term, 0, 0
		for _, r := range s.budgets {
			r.allocation, r.update, r.unitsGranted, r.unitsReturned, r.returnsReported = Allocation{}, 0, 0, 0, 0
		}
	}
	if ask.Term == s.term {
		for _, w := range ask.Demands {
			if r := s.budgets[w.Budget]; r != nil {
				r.returnsReported = math.Max(r.returnsReported, w.UnitsReturned)
			}
		}
	}
	for _, w := range a.Updates {
		r := s.budget(w.Budget, now)
		if w.Number <= r.update {
			continue // an older word, overtaken
		}
		lessened := !r.allocation.Total.within(shareOf(w.Total)) || !r.allocation.ReservedMin.within(shareOf(w.ReservedMin))
		r.update, r.allocation = w.Number, Allocation{shareOf(w.Total), shareOf(w.ReservedMin)}
		if w.UnitsGranted > r.unitsGranted {
			r.level += w.UnitsGranted - r.unitsGranted
			r.unitsGranted = w.UnitsGranted
		}
		if over := r.level - r.allocation.Total.Burst; over > 0 {
			r.level, r.unitsReturned = r.allocation.Total.Burst, r.unitsReturned+over
		}
		again = again || lessened
	}
	if s.appliedUpdate == 0 {
		for _, r := range s.budgets {
			r.level = math.Min(r.level, r.allocation.Total.Burst)
		}
	}
	s.appliedUpdate, s.lastTimestamp = max(s.appliedUpdate, a.LastUpdate), max(s.lastTimestamp, a.Timestamp)
	s.until = max(s.until, sent+min(time.Duration(a.Ttl), h.config.TTL))
	s.reservedUntil = max(s.reservedUntil, sent+min(time.Duration(a.ReservedTtl), h.config.ReservedTTL))
	return again
}

// HolderStatus is a budget as this process holds it, for those who look.
type HolderStatus struct {
	Budget        uint64        `json:"budget"`
	Allocation    Allocation    `json:"held"`
	Level         float64       `json:"level"`
	Term          uint64        `json:"term"`
	Until         time.Duration `json:"until"` // from now; the part's
	ReservedUntil time.Duration `json:"floor_until"`
}

// Status are all that this process holds at a time.
func (h *Holder) Status(now time.Duration) (all []HolderStatus) {
	for i := range h.shards {
		s := &h.shards[i]
		for _, id := range slices.Sorted(maps.Keys(s.budgets)) {
			if r := s.budgets[id]; !r.allocation.Total.isZero() {
				s.refill(r, now)
				all = append(all, HolderStatus{id, r.allocation, r.level, s.term, max(0, s.until-now), max(0, s.reservedUntil-now)})
			}
		}
	}
	return all
}

// Usable is what this process may use of a budget at a time.
func (h *Holder) Usable(now time.Duration, budget uint64) Share {
	s := h.shard(budget)
	if r := s.budgets[budget]; r != nil {
		return s.usable(r, now)
	}
	return Share{}
}

// Expiry are until when the parts of a shard hold, and the floors.
func (h *Holder) Expiry(shard int) (part, floor time.Duration) {
	return h.shards[shard].until, h.shards[shard].reservedUntil
}
