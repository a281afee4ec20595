package allocation

import (
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// Leader divides the budgets of one shard under one term. Times are by its process's own clock,
// which must keep running while the process is suspended. The caller must check that it still holds
// the role before it sends any response of Renew or GrantOnDemand. It must end every round that
// Plan returns with Committed or Rejected, or replace the Leader.
type Leader struct {
	config     Config
	role       string
	term       uint64
	startedAt  time.Duration
	startFull  bool   // this is the leader of term 1, and it starts with full pools
	closing    bool   // Close was called: nothing is granted or renewed any more
	lastUpdate uint64 // number of the last update that was announced

	members map[lease.Member]*memberRecord
	budgets map[uint64]*budgetState
	dirty   map[uint64]bool // budgets that the next Plan has to check

	pendingChanges []plannedChange // of the pending round
	pendingBudgets []uint64        // of the pending round; nil: no round is pending
	stats          LeaderStats
}

// LeaderStats counts the actions of a leader.
type LeaderStats struct {
	Rounds          uint64 `json:"rounds"`  // rounds proposed
	Raised          uint64 `json:"raised"`  // allocations increased
	Reduced         uint64 `json:"lessen"`  // allocations reduced after an acknowledgement
	Expired         uint64 `json:"expired"` // allocations reduced without acknowledgement
	OnDemandGrants  uint64 `json:"lent"`
	OnDemandDenials uint64 `json:"dry"`
}

// NewLeader returns a leader that starts its term with the committed ledger of the shard. It treats
// the members in the ledger as renewed now, because the previous leader may have renewed them until
// its lease expired. The error wraps ErrCorruptLedger.
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

// memberRecord returns the record of a member. It adds one if the member is unknown.
func (l *Leader) memberRecord(now time.Duration, member lease.Member) *memberRecord {
	record := l.members[member]
	if record == nil {
		record = &memberRecord{lastRenewal: now, budgets: map[uint64]bool{}}
		l.members[member] = record
	}
	return record
}

// budget returns the state of a budget. It adds the budget if it is unknown; the pool of an added
// budget has been filling since the leader started.
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

// pool returns the part of a budget's limit that no member holds, and refills its bucket up to now.
func (l *Leader) pool(now time.Duration, b *budgetState) Share {
	free := b.limit.minus(b.allocated).minus(b.pendingIncrease).max(Share{})
	b.refill(now, free)
	return free
}

// startTime returns when a member's process started. The first call for a record computes it from
// the age of the process in nanoseconds.
func (l *Leader) startTime(now time.Duration, record *memberRecord, age int64) time.Duration {
	if record.startedAt == 0 {
		record.startedAt = now - time.Duration(max(0, age))
	}
	return record.startedAt
}

// updateLimit sets the limit of a budget to the one that a process reports, unless a report with
// higher precedence is known: the highest version takes precedence, and among reports of one
// version, and where limits are from configurations, the process that started last does.
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

// unexpired returns the part of an allocation that a member may still be using, by the leader's
// clock and with the clock-drift bound.
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

// Stats returns the counts of the leader's actions so far.
func (l *Leader) Stats() LeaderStats { return l.stats }

// Pool returns the share of a budget that is the pool, and the units in the pool.
func (l *Leader) Pool(now time.Duration, budget uint64) (free Share, level float64) {
	b := l.budgets[budget]
	if b == nil {
		return free, 0
	}
	free = l.pool(now, b)
	return free, b.bucket.level
}
