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

// Leader divides one shard's budgets under one term. Times are of its process's own clock, which must go on while the
// process lies stopped. Whoever drives it must see that the duty is held before it gives out any answer of Renew
// and Lend, and must end every Plan with Committed, Refused, or a new Owner.
type Leader struct {
	config     Config
	role       string
	term       uint64
	startedAt  time.Duration
	startFull  bool   // it is the first ever
	closing    bool   // it lends nothing any more
	lastUpdate uint64 // of the last word

	members        map[lease.Member]*memberRecord
	budgets        map[uint64]*budgetState
	dirty          map[uint64]bool // budgets to be looked at in the next plan
	pendingChanges []plannedChange // of the round that is proposed
	pendingBudgets []uint64        // its budgets
	stats          LeaderStats
}

// LeaderStats are counts of what an owner did.
type LeaderStats struct {
	Rounds          uint64 `json:"rounds"`
	Raised          uint64 `json:"raised"`  // parts
	Reduced         uint64 `json:"lessen"`  // parts
	Expired         uint64 `json:"expired"` // parts taken back without their member's word
	OnDemandGrants  uint64 `json:"lent"`
	OnDemandDenials uint64 `json:"dry"` // loans refused
}

const (
	minDemandWindow     = 2 * time.Second // over which demand is averaged
	maxDemandWindow     = 20 * time.Second
	minDivisionInterval = time.Second            // between two divisions of one budget by demand
	minDemand           = 0.01                   // units a second: below, there is no demand
	roundRetryDelay     = 30 * time.Millisecond  // for a loan that waits for a round
	roundTime           = 300 * time.Millisecond // in which a round is agreed, but for a change of leader
)

const transferReason = "the shard is being handed on"

// NewLeader begins a term with what is agreed. Members that the books name are taken to have been renewed just now:
// the owner before may have done so until its holding was over.
func NewLeader(now time.Duration, r Config, duty string, term uint64, books *controlpb.Ledger) (*Leader, error) {
	o := &Leader{config: r, role: duty, term: term, startedAt: now, lastUpdate: 1, members: map[lease.Member]*memberRecord{},
		budgets: map[uint64]*budgetState{}, dirty: map[uint64]bool{}}
	agreed, err := readLedger(books)
	if err != nil {
		return nil, err
	}
	if r.StartFull && term == 1 {
		o.startFull = true
	}
	for id, k := range agreed {
		a := o.budget(id, k.limit, k.maxMembers)
		a.carryover, a.bucket.level, a.limitVersion, a.committedVersion = k.carryover, k.carryover, k.limitVersion, k.limitVersion
		o.dirty[id] = true
		for who, h := range k.allocations {
			a.members[who] = &memberState{committed: h, announced: h, update: 1, claimedAt: now, lastDemand: now}
			o.memberRecord(now, who).budgets[id] = true
		}
		a.updateAllocated()
	}
	return o, nil
}

func (o *Leader) memberRecord(now time.Duration, who lease.Member) *memberRecord {
	m := o.members[who]
	if m == nil {
		m = &memberRecord{lastRenewal: now, budgets: map[uint64]bool{}}
		o.members[who] = m
	}
	return m
}

// budget finds or makes a budget's account. Its reserve has what the owner before has kept, and fills from when this one
// began.
func (o *Leader) budget(id uint64, whole Share, spread int) *budgetState {
	a := o.budgets[id]
	if a == nil {
		a = &budgetState{limit: whole, maxMembers: max(1, spread), members: map[lease.Member]*memberState{}, proposedCarryover: -1, bucket: tokenBucket{at: o.startedAt}}
		if o.startFull {
			a.bucket = tokenBucket{whole.Burst, o.startedAt}
		}
		o.budgets[id] = a
	}
	return a
}

// pool is the owner's own part: what nobody holds. It brings the bank to the time.
func (o *Leader) pool(now time.Duration, a *budgetState) Share {
	free := a.limit.minus(a.allocated).minus(a.pendingIncrease).max(Share{})
	a.refill(now, free)
	return free
}

// GrantOnDemand gives units of the reserve for a request that waits.
func (o *Leader) GrantOnDemand(now time.Duration, ask *controlpb.OnDemandRequest) *controlpb.OnDemandResponse {
	whole := shareOf(ask.Limit)
	if ask.Role != o.role || !whole.valid() || whole.isZero() || !(ask.Units > 0) {
		return &controlpb.OnDemandResponse{Code: controlpb.Code_REFUSED, Why: "not an asking for this owner"}
	}
	if o.closing {
		return &controlpb.OnDemandResponse{Code: controlpb.Code_NOT_LEADER, Why: transferReason}
	}
	a := o.budget(ask.Budget, whole, int(ask.MaxMembers))
	o.updateLimit(ask.Budget, a, whole, ask.LimitVersion, o.startTime(now, o.memberRecord(now, memberOf(ask.Member)), ask.Age))
	free := o.pool(now, a)
	a.meanGrant += (ask.Units - a.meanGrant) * 0.1
	if a.bucket.level >= ask.Units && a.bucket.level-ask.Units < math.Max(a.carryover, a.proposedCarryover) {
		o.dirty[ask.Budget] = true
		a.deferredGrant = math.Max(a.deferredGrant, ask.Units)
		return &controlpb.OnDemandResponse{Term: o.term, AwaitRound: true, RetryAfter: int64(roundRetryDelay)}
	}
	if a.bucket.level < ask.Units {
		o.stats.OnDemandDenials++
		after := time.Duration(0)
		if free.Rate > 0 {
			after = time.Duration((ask.Units - a.bucket.level) / free.Rate * float64(time.Second))
		}
		return &controlpb.OnDemandResponse{Term: o.term, RetryAfter: int64(max(0, after))}
	}
	o.stats.OnDemandGrants++
	a.bucket.level -= ask.Units
	if a.bucket.level-a.carryover < a.meanGrant {
		o.dirty[ask.Budget] = true
	}
	return &controlpb.OnDemandResponse{Granted: true, Term: o.term}
}

// Renew takes in a member's asking, and tells it all words that it has not acted on.
func (o *Leader) Renew(now time.Duration, ask *controlpb.RenewRequest) *controlpb.RenewResponse {
	who := memberOf(ask.Member)
	if o.closing {
		return &controlpb.RenewResponse{Code: controlpb.Code_NOT_LEADER, Why: transferReason}
	}
	if ask.Role != o.role || who.ID == "" {
		return &controlpb.RenewResponse{Code: controlpb.Code_REFUSED, Why: "not an asking for this owner"}
	}
	if ask.Term > o.term {
		return &controlpb.RenewResponse{Code: controlpb.Code_NOT_LEADER, Why: "a later owner is known"}
	}
	for _, boot := range ask.EndedIncarnations {
		if heir := (lease.Member{ID: who.ID, Incarnation: boot}); heir != who && o.members[heir] != nil {
			o.markEnded(heir)
		}
	}
	m := o.memberRecord(now, who)
	if m.ended {
		return &controlpb.RenewResponse{Code: controlpb.Code_SUPERSEDED, Why: fmt.Sprintf("%s has left, by its own word or its heir's", who)}
	}
	o.startTime(now, m, ask.Age)
	ours := ask.Term == o.term // else its words and sums are about another owner's
	if ours {
		m.appliedUpdate = max(m.appliedUpdate, ask.AppliedUpdate)
	}
	for _, w := range ask.Demands {
		o.recordDemand(now, who, m, w, ask.LimitVersion, ours, time.Duration(ask.LastTimestamp))
	}
	for id := range m.budgets {
		a := o.budgets[id]
		if h := a.members[who]; ours && h.announced != h.committed && h.update <= m.appliedUpdate {
			o.dirty[id] = true // what was lessened is free
		}
		if o.pool(now, a); math.Abs(a.targetCarryover()-a.carryover) > a.limit.Burst*o.config.ChangeThreshold {
			o.dirty[id] = true
		}
	}
	if ask.Leaving {
		o.markEnded(who)
		return &controlpb.RenewResponse{Term: o.term, LastUpdate: o.lastUpdate}
	}
	m.lastRenewal = now
	known := uint64(0)
	if ours {
		known = m.appliedUpdate
	}
	answer := &controlpb.RenewResponse{Term: o.term, LastUpdate: o.lastUpdate, Timestamp: int64(now), Ttl: int64(o.config.TTL), ReservedTtl: int64(o.config.ReservedTTL)}
	for _, id := range slices.Sorted(maps.Keys(m.budgets)) {
		if h := o.budgets[id].members[who]; h.update > known {
			answer.Updates = append(answer.Updates, &controlpb.AllocationUpdate{Budget: id, Number: h.update, Total: h.announced.Total.proto(), ReservedMin: h.announced.ReservedMin.proto(), UnitsGranted: h.unitsGranted})
		}
	}
	return answer
}

// markEnded has a member's parts free: it uses them no more.
func (o *Leader) markEnded(who lease.Member) {
	m := o.members[who]
	m.ended = true
	for id := range m.budgets {
		o.dirty[id] = true
	}
}

// recordDemand takes in what a member was asked for.
func (o *Leader) recordDemand(now time.Duration, who lease.Member, m *memberRecord, w *controlpb.Demand, version uint64, ours bool, stamp time.Duration) {
	whole := shareOf(w.Limit)
	if !whole.valid() || whole.isZero() || !(w.UnitsRequested >= 0) || !(w.UnitsReturned >= 0) {
		return
	}
	a := o.budget(w.Budget, whole, int(w.MaxMembers))
	h := a.members[who]
	if h == nil {
		h = &memberState{claimedAt: now, lastDemand: now}
		a.members[who], a.nextDivision = h, 0
		m.budgets[w.Budget] = true
	}
	o.updateLimit(w.Budget, a, whole, version, m.startedAt)
	window := a.demandWindow().Seconds()
	part := math.Exp(-max(0, now-h.claimedAt).Seconds() / window)
	h.claim.Demand, h.claim.MaxRequest, h.claimedAt = h.claim.Demand*part+w.UnitsRequested/window, math.Max(h.claim.MaxRequest*part, w.MaxRequest), now
	if w.UnitsRequested > 0 {
		h.newDemand, h.lastDemand = true, now
		o.dirty[w.Budget] = true
	}
	if ours && w.UnitsReturned >= h.unitsReturned && stamp >= h.returnedBefore {
		o.returnUnits(now, a, h, w.UnitsReturned-h.unitsReturned)
		h.unitsReturned, h.returnedBefore = w.UnitsReturned, stamp
	}
}

// startTime takes note of when a member's process was started, and gives it.
func (o *Leader) startTime(now time.Duration, m *memberRecord, age int64) time.Duration {
	if m.startedAt == 0 {
		m.startedAt = now - time.Duration(max(0, age))
	}
	return m.startedAt
}

// updateLimit takes in what a budget's whole is by a process's terms. The highest version is believed, whoever else says something
// else later; among those of one version, and where terms come with configurations, the youngest process.
func (o *Leader) updateLimit(id uint64, a *budgetState, whole Share, version uint64, started time.Duration) {
	if version < a.limitVersion || version == a.limitVersion && started < a.limitSetBy {
		return
	}
	a.limitSetBy = started
	if a.limit != whole || a.limitVersion != version {
		a.limit, a.limitVersion, a.nextDivision = whole, version, 0
		o.dirty[id] = true
	}
}

// returnUnits takes in units that a member has given back.
func (o *Leader) returnUnits(now time.Duration, a *budgetState, h *memberState, units float64) {
	if units == 0 {
		return
	}
	if h.announced != h.committed {
		// There is room for them when what they lay in is free, and nothing else comes into that.
		h.lateUnits = math.Min(h.lateUnits+units, math.Max(0, h.committed.Total.Burst-h.announced.Total.Burst))
		return
	}
	if a.headroom == nil {
		a.headroom = &headroomHistory{}
	}
	free := o.pool(now, a)
	if h.returnedBefore > 0 {
		a.bucket.level += math.Min(units, a.headroom.minimumSince(h.returnedBefore))
		a.headroom.record(now, free.Burst-a.bucket.level)
	}
}

// unexpired tells what a member may be using of what it holds, by the owner's clock and the margin.
func (o *Leader) unexpired(now time.Duration, m *memberRecord, h Allocation) Allocation {
	switch since := now - m.lastRenewal; {
	case m.ended || since >= o.config.withDrift(o.config.ReservedTTL):
		return Allocation{}
	case since >= o.config.withDrift(o.config.TTL):
		return Allocation{h.ReservedMin, h.ReservedMin}
	}
	return h
}

// Stats are what the owner did so far.
func (o *Leader) Stats() LeaderStats { return o.stats }

// Pool is the owner's own part of a budget at a time, and the units in it.
func (o *Leader) Pool(now time.Duration, budget uint64) (free Share, level float64) {
	a := o.budgets[budget]
	if a == nil {
		return free, 0
	}
	free = o.pool(now, a)
	return free, a.bucket.level
}
