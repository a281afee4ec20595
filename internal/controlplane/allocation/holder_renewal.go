package allocation

import (
	"maps"
	"math"
	"slices"
	"time"

	"mothcleat/internal/controlplane/controlpb"
)

// RenewRequest returns the renewal to send to the leader of a shard now. It contains the budgets
// with demand or returned units to report. Pass the response to HandleRenewal.
func (h *Holder) RenewRequest(now time.Duration, shard int) *controlpb.RenewRequest {
	s := &h.shards[shard]
	request := &controlpb.RenewRequest{
		Age:           h.Age(now),
		Member:        &controlpb.Member{Id: h.member.ID, Incarnation: h.member.Incarnation},
		Role:          s.role,
		Term:          s.term,
		AppliedUpdate: s.appliedUpdate,
		LastTimestamp: s.lastTimestamp,
	}
	for _, id := range slices.Sorted(maps.Keys(s.budgets)) {
		b := s.budgets[id]
		s.refill(b, now)
		if s.dirty[id] || b.unitsReturned != b.returnsReported {
			request.Demands = append(request.Demands, b.takeDemand(id))
			delete(s.dirty, id)
			continue
		}
		if b.allocation.Total.isZero() && b.update == 0 {
			delete(s.budgets, id) // nothing was allocated, and there is no new demand
		}
	}
	return request
}

// takeDemand returns the demand since the last renewal and resets it.
func (b *heldBudget) takeDemand(id uint64) *controlpb.Demand {
	d := &controlpb.Demand{
		Budget:         id,
		Limit:          b.limit.proto(),
		MaxMembers:     uint32(b.maxMembers),
		UnitsRequested: b.unitsRequested,
		UnitsRejected:  b.unitsRejected,
		MaxRequest:     b.maxRequest,
		UnitsReturned:  b.unitsReturned,
		ReleasedBy:     b.releasedBy,
		UnitsReleased:  b.unitsReleased,
	}
	b.unitsRequested = 0
	b.unitsRejected = 0
	b.maxRequest = 0
	return d
}

// ReleaseAll releases all allocations and returns the requests that report this, one for each
// shard. Afterwards this holder accepts no allocations.
func (h *Holder) ReleaseAll(now time.Duration) (requests []*controlpb.RenewRequest) {
	for i := range h.shards {
		s := &h.shards[i]
		for id, b := range s.budgets {
			s.refill(b, now)
			b.unitsReturned += b.level
			b.level = 0
			b.allocation = Allocation{}
			s.dirty[id] = true
		}
		request := h.RenewRequest(now, i)
		request.Leaving = true
		requests = append(requests, request)
		s.until = 0
		s.reservedUntil = 0
		s.term = math.MaxUint64 // ignores the responses of all leaders
	}
	return requests
}

// HandleRenewal applies the response to a renewal; sent is when the request was sent. It reports
// whether to renew again immediately, so that the leader learns that reductions were applied.
func (h *Holder) HandleRenewal(now, sent time.Duration, shard int, request *controlpb.RenewRequest,
	response *controlpb.RenewResponse) (renewNow bool) {
	s := &h.shards[shard]
	if response.Code != controlpb.Code_OK || response.Term < s.term {
		return false
	}
	if now >= s.until || response.Term > s.term {
		s.refillAll(now) // expired allocations lose their stored units before they are renewed
	}
	if response.Term > s.term {
		s.startTerm(response.Term)
	}
	if request.Term == s.term {
		s.markReported(request.Demands)
	}
	for _, update := range response.Updates {
		if s.applyUpdate(now, update) {
			renewNow = true
		}
	}
	if s.appliedUpdate == 0 {
		for _, b := range s.budgets {
			b.level = math.Min(b.level, b.allocation.Total.Burst)
		}
	}
	s.appliedUpdate = max(s.appliedUpdate, response.LastUpdate)
	s.lastTimestamp = max(s.lastTimestamp, response.Timestamp)
	s.until = max(s.until, sent+min(time.Duration(response.Ttl), h.config.TTL))
	reservedTTL := min(time.Duration(response.ReservedTtl), h.config.ReservedTTL)
	s.reservedUntil = max(s.reservedUntil, sent+reservedTTL)
	return renewNow
}

// startTerm drops all allocations: a new leader's first response contains all of this process's
// allocations that the leader knows. Others may be allocated to other members.
func (s *shardState) startTerm(term uint64) {
	s.term = term
	s.appliedUpdate = 0
	s.lastTimestamp = 0
	for _, b := range s.budgets {
		b.allocation = Allocation{}
		b.update = 0
		b.unitsGranted = 0
		b.unitsReturned = 0
		b.returnsReported = 0
		b.releasedBy = 0
		b.unitsReleased = 0
	}
}

// markReported records that the leader has received the returned units of some demands.
func (s *shardState) markReported(demands []*controlpb.Demand) {
	for _, d := range demands {
		if b := s.budgets[d.Budget]; b != nil {
			b.returnsReported = math.Max(b.returnsReported, d.UnitsReturned)
		}
	}
}

// applyUpdate applies an update unless the same or a later one was applied before. It reports
// whether the update reduced the allocation.
func (s *shardState) applyUpdate(now time.Duration,
	update *controlpb.AllocationUpdate) (reduced bool) {
	b := s.budget(update.Budget, now)
	if update.Number <= b.update {
		return false
	}
	to := Allocation{shareOf(update.Total), shareOf(update.ReservedMin)}
	reduced = !b.allocation.Total.within(to.Total) ||
		!b.allocation.ReservedMin.within(to.ReservedMin)
	b.update = update.Number
	b.allocation = to
	// Units that were granted before the allocation expired and never arrived expired with it.
	b.unitsGranted = math.Max(b.unitsGranted, update.UnitsForfeited)
	if update.UnitsGranted > b.unitsGranted {
		b.level += update.UnitsGranted - b.unitsGranted
		b.unitsGranted = update.UnitsGranted
	}
	overflow := max(0, b.level-to.Total.Burst)
	if overflow > 0 {
		b.level = to.Total.Burst
		b.unitsReturned += overflow
	}
	if reduced {
		b.releasedBy = update.Number
		b.unitsReleased = overflow
	}
	return reduced
}
