package lease

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"mothcleat/internal/mustjson"
)

const (
	// maxHistory is the number of changes of holder that are kept for each lease.
	maxHistory = 64
	// exclusionTTLs is the time, in TTLs, for which a member that did not confirm a grant is
	// excluded.
	exclusionTTLs = 4
)

// Table has the leases of all roles and grants them. Its methods take times by the fleet's clock,
// which never runs faster than any member's clock by more than the clock-drift bound.
type Table struct {
	config  Config
	leases  map[string]*Lease  // by role
	history map[string][]Lease // by role, the newest last
}

// NewTable returns a table without any lease.
func NewTable(config Config) *Table {
	return &Table{config: config, leases: map[string]*Lease{}, history: map[string][]Lease{}}
}

// Acquire grants the lease of a role to a member, or renews it for the incarnation that holds it.
// It returns the resulting lease, and ErrHeld if another member holds it.
//
// The knownTerm is the newest term that the member knows it was granted. Acquire renews the lease
// only for a holder that knows the current term: otherwise a member whose requests arrive, but that
// receives no answers, would keep a lease forever without knowing of it. If such a grant expires,
// Acquire temporarily returns ErrExcluded to the member.
func (t *Table) Acquire(
	now time.Duration, role string, member Member, knownTerm uint64,
) (Lease, error) {
	l := t.leases[role]
	if l == nil {
		l = &Lease{Role: role}
		t.leases[role] = l
	}
	if !l.available(now) {
		if l.Holder != member {
			return *l, ErrHeld
		}
		if knownTerm == l.Term {
			t.renew(now, l)
		}
		return *l, nil
	}
	if l.Unconfirmed && l.Holder.ID != "" {
		l.Excluded = l.Holder
		l.ExcludedUntil = now + exclusionTTLs*t.config.TTL
	}
	if l.Excluded == member && now < l.ExcludedUntil {
		return *l, ErrExcluded
	}
	cause := Acquired
	if l.Holder.ID != "" {
		cause = Expired
	}
	t.grant(now, l, member, t.config.TTL, cause)
	l.Unconfirmed = true
	return *l, nil
}

// renew extends a lease whose holder knows that it holds it.
func (t *Table) renew(now time.Duration, l *Lease) {
	l.Unconfirmed = false
	l.ExpiresAt = max(l.ExpiresAt, now+t.config.withClockDrift(t.config.TTL))
}

// RemainingTTL returns how long a lease is valid by the holder's own clock, from when the holder
// sent its request: the remaining time of the lease, less the clock drift.
func (t *Table) RemainingTTL(now time.Duration, l *Lease) time.Duration {
	remaining := time.Duration(float64(l.ExpiresAt-now) / (1 + t.config.ClockDriftBound))
	return max(0, min(t.config.TTL, remaining))
}

// HeldByOther reports whether Acquire would return ErrHeld, without changing anything, and returns
// the lease if so.
func (t *Table) HeldByOther(now time.Duration, role string, member Member) (Lease, bool) {
	l := t.leases[role]
	if l == nil || l.available(now) || l.Holder == member {
		return Lease{}, false
	}
	return *l, true
}

// grant starts a new term. It withdraws a request to transfer the lease, which is valid only for
// the term in which it was made.
func (t *Table) grant(
	now time.Duration, l *Lease, to Member, ttl time.Duration, cause Cause,
) {
	l.Term++
	l.Holder = to
	l.GrantedAt = now
	l.ExpiresAt = now + t.config.withClockDrift(ttl)
	l.Cause = cause
	l.Unconfirmed = false
	l.TransferTo = ""
	history := append(t.history[l.Role], *l)
	t.history[l.Role] = history[max(0, len(history)-maxHistory):]
}

// Release ends a lease before it expires. It returns an error that wraps ErrStaleTerm if the member
// does not hold the lease under the term.
func (t *Table) Release(now time.Duration, role string, term uint64, member Member) error {
	if err := t.Fence(role, term, member); err != nil {
		return err
	}
	t.grant(now, t.leases[role], Member{}, 0, Released)
	return nil
}

// Transfer grants a lease to another member under the next term. That member has to confirm it with
// an Acquire within Config.OfferTTL; otherwise the lease becomes available. Transfer returns an
// error that wraps ErrStaleTerm if the member does not hold the lease under the term.
func (t *Table) Transfer(now time.Duration, role string, term uint64, member, to Member) error {
	if err := t.Fence(role, term, member); err != nil {
		return err
	}
	l := t.leases[role]
	t.grant(now, l, to, t.config.OfferTTL, Transferred)
	l.Unconfirmed = true
	return nil
}

// RequestTransfer requests that the holder of a lease transfer it to the member with the id to; ""
// withdraws the request. The request ends with the holder's term.
func (t *Table) RequestTransfer(role, to string) error {
	l := t.leases[role]
	if l == nil {
		return fmt.Errorf("lease: no duty %q", role)
	}
	if l.Holder.ID == to {
		return fmt.Errorf("lease: %s holds %s already", to, role)
	}
	l.TransferTo = to
	return nil
}

// Fence returns an error that wraps ErrStaleTerm unless the member is the holder and the term is
// the newest. It ignores the time: no other member acts before a later term is granted.
func (t *Table) Fence(role string, term uint64, member Member) error {
	l := t.leases[role]
	if l == nil || l.Term != term {
		return fmt.Errorf("%w: %s says term %d of %s, the newest is %d",
			ErrStaleTerm, member, term, role, t.Term(role))
	}
	if l.Holder != member {
		return fmt.Errorf("%w: %s is owned by %s under term %d, not by %s",
			ErrStaleTerm, role, l.Holder, term, member)
	}
	return nil
}

// Term returns the newest term of a role; 0 means that its lease was never granted.
func (t *Table) Term(role string) uint64 {
	if l := t.leases[role]; l != nil {
		return l.Term
	}
	return 0
}

// Leases returns all leases, ordered by role.
func (t *Table) Leases() []Lease {
	all := make([]Lease, 0, len(t.leases))
	for _, l := range t.leases {
		all = append(all, *l)
	}
	slices.SortFunc(all, func(a, b Lease) int { return cmp.Compare(a.Role, b.Role) })
	return all
}

// History returns the latest changes of a role's holder, oldest first.
func (t *Table) History(role string) []Lease { return slices.Clone(t.history[role]) }

// tableState is the stored form of a table.
type tableState struct {
	Leases  []Lease            `json:"duties"`
	History map[string][]Lease `json:"history"`
}

// Snapshot returns the table as JSON. Equal tables give equal bytes.
func (t *Table) Snapshot() []byte {
	return mustjson.Marshal(tableState{t.Leases(), t.history})
}

// Restore replaces the table by that of a snapshot.
func (t *Table) Restore(snapshot []byte) error {
	var state tableState
	if err := json.Unmarshal(snapshot, &state); err != nil {
		return fmt.Errorf("lease: table: %w", err)
	}
	t.leases = map[string]*Lease{}
	for _, l := range state.Leases {
		t.leases[l.Role] = &l
	}
	t.history = state.History
	if t.history == nil {
		t.history = map[string][]Lease{}
	}
	return nil
}
