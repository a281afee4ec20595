// Package lease decides who holds the lease of a role, and until when. A role is work that one
// member does on behalf of the fleet; the member that holds its lease is the role's leader. Each
// time that the lease is granted to another member, or anew to the same one, its term grows by
// one. The term is the fencing token: whoever receives an effect of a leader rejects it by an old
// term.
//
// Both sides count the same TTL. The Claimant counts it from when it sent its request; the Table,
// which grants, counts from when it granted and adds the clock-drift bound. So the claimant stops
// first however long messages take, as long as no clock runs faster than another by more than the
// bound. No clock has to show the right time.
//
// Clocks are not enough against a process that checks its lease, is suspended, and acts later.
// Whoever receives its effects must therefore check the term: Table.Fence where the effect is
// itself a replicated command, Gate where a receiver keeps the highest term that it has seen.
//
// Nothing here does I/O, starts a goroutine or reads a clock. No type is safe for concurrent use.
package lease

import (
	"errors"
	"fmt"
	"time"
)

// Member is one process: an id and an incarnation, a random number that is new with each process.
// What was granted to one incarnation is not another's.
type Member struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"boot"`
}

// String returns the id and the incarnation in hexadecimal.
func (m Member) String() string { return fmt.Sprintf("%s/%x", m.ID, m.Incarnation) }

// Config is how long leases last. It has to be the same in all processes of a fleet.
type Config struct {
	// TTL is how long a lease lasts without renewal.
	TTL time.Duration
	// ClockDriftBound is by how much a clock may run faster than another, as a fraction: 0.05 is
	// one part in twenty.
	ClockDriftBound float64
	// OfferTTL is how long a lease that was transferred waits for its new holder to confirm it.
	OfferTTL time.Duration
}

// DefaultConfig returns a configuration with which a lease is free again about 1.1 s after its
// holder's last renewal. Its clock-drift bound covers a clock that runs at nine tenths of the pace.
func DefaultConfig() Config {
	return Config{TTL: time.Second, ClockDriftBound: 0.125, OfferTTL: 500 * time.Millisecond}
}

// withClockDrift returns how long the granting side must wait for another clock to count d.
func (c Config) withClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockDriftBound)
}

// Errors of a Table and a Gate, to be tested with errors.Is. Their texts, and those that wrap them,
// are part of replicated answers: every version of the program must produce the same ones.
var (
	// ErrHeld means that another member holds the lease.
	ErrHeld = errors.New("lease: another holds it")
	// ErrStaleTerm means that a member is not the holder under the term that it names.
	ErrStaleTerm = errors.New("lease: not the owner under this term")
	// ErrExcluded means that a member is not granted the lease for a while, because it did not
	// confirm its last grant.
	ErrExcluded = errors.New("lease: it was given the duty lately, and did not hear of it")
)

// Cause is why a lease changed hands. Its values are stored.
type Cause string

const (
	// Acquired means that the lease was free.
	Acquired Cause = "taken"
	// Expired means that its holder did not renew it.
	Expired Cause = "lapsed"
	// Transferred means that its holder transferred it to a member of its choice.
	Transferred Cause = "handed on"
	// Released means that its holder gave it up.
	Released Cause = "released"
)

// Lease is the lease of a role as the Table has it. Its times are the fleet's.
type Lease struct {
	Role      string        `json:"duty"`
	Term      uint64        `json:"term"`
	Holder    Member        `json:"owner"` // without an id: nobody
	GrantedAt time.Duration `json:"since"`
	ExpiresAt time.Duration `json:"until"`
	// Unconfirmed means that the holder has not yet shown that it knows of this grant.
	Unconfirmed bool `json:"offered,omitempty"`
	// TransferTo is the id of the member that the holder is to transfer the lease to; "": none.
	TransferTo string `json:"wish,omitempty"`
	Cause      Cause  `json:"cause"`
	// Excluded let a grant expire without confirming it. It is not granted the lease again before
	// ExcludedUntil.
	Excluded      Member        `json:"deaf,omitzero"`
	ExcludedUntil time.Duration `json:"deaf_until,omitempty"`
}

// available reports whether the lease may be granted to anyone at a time.
func (l *Lease) available(now time.Duration) bool {
	return l.Holder.ID == "" || now > l.ExpiresAt
}
