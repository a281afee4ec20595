package allocation

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// renewal is a member's renewal that the leader is handling.
type renewal struct {
	now     time.Duration
	member  lease.Member
	record  *memberRecord
	request *controlpb.RenewRequest

	// sameTerm means that the acknowledgements and totals in the request refer to this leader's
	// term.
	sameTerm bool
}

// Renew records a member's demand and acknowledgements, and returns all updates that the member has
// not applied.
func (l *Leader) Renew(now time.Duration,
	request *controlpb.RenewRequest) *controlpb.RenewResponse {
	member := memberOf(request.Member)
	if l.closing {
		return &controlpb.RenewResponse{Code: controlpb.Code_NOT_LEADER, Reason: reasonTransfer}
	}
	if request.Role != l.role || member.ID == "" {
		return &controlpb.RenewResponse{Code: controlpb.Code_REFUSED, Reason: reasonWrongShard}
	}
	if request.Term > l.term {
		return &controlpb.RenewResponse{Code: controlpb.Code_NOT_LEADER, Reason: reasonLaterTerm}
	}
	l.markPredecessorsEnded(member, request.EndedIncarnations)
	record := l.memberRecord(now, member)
	if record.ended {
		why := fmt.Sprintf("%s has left, or its successor reported that it no longer runs", member)
		return &controlpb.RenewResponse{Code: controlpb.Code_SUPERSEDED, Reason: why}
	}
	l.startTime(now, record, request.Age)
	r := &renewal{now, member, record, request, request.Term == l.term}
	if r.sameTerm {
		record.appliedUpdate = max(record.appliedUpdate, request.AppliedUpdate)
	}
	for _, d := range request.Demands {
		l.recordDemand(r, d)
	}
	l.markDirty(r)
	if request.Leaving {
		l.markEnded(member)
		return &controlpb.RenewResponse{Term: l.term, LastUpdate: l.lastUpdate}
	}
	record.lastRenewal = now
	return l.renewResponse(r)
}

// markPredecessorsEnded frees the allocations of earlier incarnations of a member.
func (l *Leader) markPredecessorsEnded(member lease.Member, incarnations []uint64) {
	for _, incarnation := range incarnations {
		predecessor := lease.Member{ID: member.ID, Incarnation: incarnation}
		if predecessor != member && l.members[predecessor] != nil {
			l.markEnded(predecessor)
		}
	}
}

// markEnded frees the allocations of a member that no longer uses them.
func (l *Leader) markEnded(member lease.Member) {
	record := l.members[member]
	record.ended = true
	for id := range record.budgets {
		l.dirty[id] = true
	}
}

// markDirty marks the member's budgets in which a reduction was acknowledged, or whose carryover
// differs from its target by more than Config.ChangeThreshold.
func (l *Leader) markDirty(r *renewal) {
	for id := range r.record.budgets {
		b := l.budgets[id]
		h := b.holdings[r.member]
		if r.sameTerm && h.announced != h.committed && h.update <= r.record.appliedUpdate {
			l.dirty[id] = true
		}
		l.pool(r.now, b)
		if math.Abs(b.targetCarryover()-b.carryover) > b.limit.Burst*l.config.ChangeThreshold {
			l.dirty[id] = true
		}
	}
}

// renewResponse returns the response with all updates that the member has not applied.
func (l *Leader) renewResponse(r *renewal) *controlpb.RenewResponse {
	response := &controlpb.RenewResponse{
		Term:        l.term,
		LastUpdate:  l.lastUpdate,
		Timestamp:   int64(r.now),
		Ttl:         int64(l.config.TTL),
		ReservedTtl: int64(l.config.ReservedTTL),
	}
	applied := uint64(0)
	if r.sameTerm {
		applied = r.record.appliedUpdate
	}
	for _, id := range slices.Sorted(maps.Keys(r.record.budgets)) {
		h := l.budgets[id].holdings[r.member]
		if h.update <= applied {
			continue
		}
		response.Updates = append(response.Updates, &controlpb.AllocationUpdate{
			Budget:         id,
			Number:         h.update,
			Total:          h.announced.Total.proto(),
			ReservedMin:    h.announced.ReservedMin.proto(),
			UnitsGranted:   h.unitsGranted,
			UnitsForfeited: h.forfeited,
		})
	}
	return response
}

// recordDemand records a member's demand on one budget and the units that it returned. It ignores
// demands with invalid numbers.
func (l *Leader) recordDemand(r *renewal, d *controlpb.Demand) {
	limit := shareOf(d.Limit)
	if !limit.valid() || limit.isZero() || !(d.UnitsRequested >= 0) || !(d.UnitsReturned >= 0) {
		return
	}
	b := l.budget(d.Budget, limit, int(d.MaxMembers))
	h := b.holdings[r.member]
	if h == nil {
		h = &holding{claimedAt: r.now, lastDemand: r.now}
		b.holdings[r.member] = h
		b.nextDivision = 0
		r.record.budgets[d.Budget] = true
	}
	l.updateLimit(d.Budget, b, limit, r.request.LimitVersion, r.record.startedAt)
	window := b.demandWindow().Seconds()
	weight := math.Exp(-max(0, r.now-h.claimedAt).Seconds() / window)
	h.claim.Demand = h.claim.Demand*weight + d.UnitsRequested/window
	h.claim.MaxRequest = math.Max(h.claim.MaxRequest*weight, d.MaxRequest)
	h.claimedAt = r.now
	if d.UnitsRequested > 0 {
		h.newDemand = true
		h.lastDemand = r.now
		l.dirty[d.Budget] = true
	}
	timestamp := time.Duration(r.request.LastTimestamp)
	if r.sameTerm && d.UnitsReturned >= h.unitsReturned && timestamp >= h.unreportedSince {
		returned := d.UnitsReturned - h.unitsReturned
		returned -= h.takeReleased(d, returned)
		l.returnUnits(r.now, b, h, returned)
		h.unitsReturned = d.UnitsReturned
		h.unreportedSince = timestamp
	}
}

// takeReleased records the units that exceeded the allocation after the announced reduction, and
// returns how many of the returned units these are. The committed reduction gives them headroom,
// which nothing else may use. Units that overflowed before the member applied the reduction are not
// among them, because no bucket may have had headroom for those.
func (h *holding) takeReleased(d *controlpb.Demand, returned float64) float64 {
	if h.announced == h.committed || d.ReleasedBy != h.update || h.releasedBy == h.update {
		return 0
	}
	released := math.Min(math.Max(0, d.UnitsReleased), returned)
	reduction := math.Max(0, h.committed.Total.Burst-h.announced.Total.Burst)
	h.releasedUnits = math.Min(released, reduction)
	h.releasedBy = h.update
	return released
}

// returnUnits puts units that a member returned back into the pool, up to the headroom that the
// pool has had since they became free.
func (l *Leader) returnUnits(now time.Duration, b *budgetState, h *holding, units float64) {
	if units == 0 {
		return
	}
	if b.headroom == nil {
		b.headroom = &headroomHistory{}
	}
	l.pool(now, b)
	if h.unreportedSince > 0 {
		b.bucket.level += b.headroom.take(h.unreportedSince, units)
	}
}
