package allocation

import (
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// Leader divides one shard's budgets under one term. Times are by its process's own clock, which
// must go on while the process is stopped. The caller must check that it still holds the role
// before it sends any response of Renew or GrantOnDemand, and must end every Plan with Committed,
// Rejected, or a new Leader.
type Leader struct {
	config     Config
	role       string
	term       uint64
	startedAt  time.Duration
	startFull  bool   // it is the first leader ever, and starts with full pools
	closing    bool   // it grants and renews nothing any more
	lastUpdate uint64 // number of the last update that it announced

	members map[lease.Member]*memberRecord
	budgets map[uint64]*budgetState
	dirty   map[uint64]bool // budgets to look at in the next plan

	pendingChanges []plannedChange // of the round under way
	pendingBudgets []uint64        // of the round under way; nil: there is none
	stats          LeaderStats
}

// LeaderStats counts what a leader did.
type LeaderStats struct {
	Rounds          uint64 `json:"rounds"`  // proposed
	Raised          uint64 `json:"raised"`  // allocations increased
	Reduced         uint64 `json:"lessen"`  // allocations reduced as acknowledged
	Expired         uint64 `json:"expired"` // allocations reduced without acknowledgement
	OnDemandGrants  uint64 `json:"lent"`
	OnDemandDenials uint64 `json:"dry"`
}

// NewLeader starts a term with the committed ledger of its shard. Members that the ledger names
// count as renewed just now, as the leader before may have renewed them until its lease expired.
// The error wraps ErrCorruptLedger.
func NewLeader(now time.Duration, c Config, role string, term uint64,
	ledger *controlpb.Ledger) (*Leader, error) {
	committed, err := readLedger(ledger)
	if err != nil {
		return nil, err
	}
	l := &Leader{
		config:     c,
		role:       role,
		term:       term,
		startedAt:  now,
		startFull:  c.StartFull && term == 1,
		lastUpdate: 1,
		members:    map[lease.Member]*memberRecord{},
		budgets:    map[uint64]*budgetState{},
		dirty:      map[uint64]bool{},
	}
	for id, before := range committed {
		l.addCommitted(now, id, before)
	}
	return l, nil
}

// addCommitted adds a budget of the ledger.
func (l *Leader) addCommitted(now time.Duration, id uint64, committed *committedBudget) {
	b := l.budget(id, committed.limit, committed.maxMembers)
	b.carryover = committed.carryover
	b.bucket.level = committed.carryover
	b.limitVersion = committed.limitVersion
	b.committedVersion = committed.limitVersion
	l.dirty[id] = true
	for member, a := range committed.allocations {
		b.holdings[member] = &holding{
			committed:  a,
			announced:  a,
			update:     1,
			claimedAt:  now,
			lastDemand: now,
		}
		l.memberRecord(now, member).budgets[id] = true
	}
	b.updateAllocated()
}

// memberRecord returns the record of a member, after adding one if it is unknown.
func (l *Leader) memberRecord(now time.Duration, member lease.Member) *memberRecord {
	record := l.members[member]
	if record == nil {
		record = &memberRecord{lastRenewal: now, budgets: map[uint64]bool{}}
		l.members[member] = record
	}
	return record
}

// budget returns the state of a budget, after adding it if it is unknown. The pool of a new one
// fills from when the leader started.
func (l *Leader) budget(id uint64, limit Share, maxMembers int) *budgetState {
	b := l.budgets[id]
	if b != nil {
		return b
	}
	b = &budgetState{
		limit:             limit,
		maxMembers:        max(1, maxMembers),
		holdings:          map[lease.Member]*holding{},
		proposedCarryover: -1,
		bucket:            tokenBucket{at: l.startedAt},
	}
	if l.startFull {
		b.bucket.level = limit.Burst
	}
	l.budgets[id] = b
	return b
}

// pool returns what no member holds of a budget, after bringing its bucket to now.
func (l *Leader) pool(now time.Duration, b *budgetState) Share {
	free := b.limit.minus(b.allocated).minus(b.pendingIncrease).max(Share{})
	b.refill(now, free)
	return free
}

// startTime returns when a member's process was started, after noting it from the process's age in
// nanoseconds if it is not known yet.
func (l *Leader) startTime(now time.Duration, record *memberRecord, age int64) time.Duration {
	if record.startedAt == 0 {
		record.startedAt = now - time.Duration(max(0, age))
	}
	return record.startedAt
}

// updateLimit takes in the limit of a budget as a process reports it. The highest version counts,
// whoever reports another one later. Among reports of one version, and where limits are from
// configurations, that of the process started last counts.
func (l *Leader) updateLimit(id uint64, b *budgetState, limit Share, version uint64,
	started time.Duration) {
	if version < b.limitVersion || version == b.limitVersion && started < b.limitSetBy {
		return
	}
	b.limitSetBy = started
	if b.limit == limit && b.limitVersion == version {
		return
	}
	b.limit = limit
	b.limitVersion = version
	b.nextDivision = 0
	l.dirty[id] = true
}

// unexpired returns what a member may still be using of an allocation, by the leader's clock and
// with the clock-drift bound.
func (l *Leader) unexpired(now time.Duration, record *memberRecord, a Allocation) Allocation {
	since := now - record.lastRenewal
	switch {
	case record.ended || since >= l.config.withDrift(l.config.ReservedTTL):
		return Allocation{}
	case since >= l.config.withDrift(l.config.TTL):
		return Allocation{a.ReservedMin, a.ReservedMin}
	}
	return a
}

// Stats returns what the leader did so far.
func (l *Leader) Stats() LeaderStats { return l.stats }

// Pool returns the leader's own part of a budget, and the units in it.
func (l *Leader) Pool(now time.Duration, budget uint64) (free Share, level float64) {
	b := l.budgets[budget]
	if b == nil {
		return free, 0
	}
	free = l.pool(now, b)
	return free, b.bucket.level
}
