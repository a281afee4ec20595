// Package lease decides which member holds the lease of a role, and until when. A role is work that
// one member does on behalf of the fleet; the member that holds the lease is the role's leader.
// Each time the lease is granted to another member, or granted again to the same one, its term
// grows by one. The term is the fencing token: a receiver rejects an effect of a leader whose term
// is old.
//
// Both sides count the same TTL. The Claimant counts it from when it sent its request. The Table,
// which grants the lease, counts it from when it granted the lease and adds the clock-drift bound.
// However long messages take, the claimant therefore stops first, as long as no clock runs faster
// than another by more than the bound. Clocks need not show the right time.
//
// Clocks are not enough against a process that checks its lease, is suspended, and acts later. The
// receiver of its effects must therefore check the term: with Table.Fence if the effect is itself a
// replicated command, and with a Gate if the receiver keeps the highest term that it has seen.
//
// This package does no I/O, starts no goroutine and reads no clock. None of its types is safe for
// concurrent use.
package lease

import (
	"errors"
	"fmt"
	"time"
)

// Member identifies one process by an id and an incarnation, a random number that is new for each
// process. A lease that was granted to one incarnation is not valid for another.
type Member struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"boot"`
}

// String returns the id and the incarnation in hexadecimal.
func (m Member) String() string { return fmt.Sprintf("%s/%x", m.ID, m.Incarnation) }

// Config configures how long leases are valid. All processes of a fleet must use the same values.
type Config struct {
	// TTL is the validity of a lease without renewal.
	TTL time.Duration
	// ClockDriftBound is the fraction by which one clock may run faster than another: 0.05 is one
	// part in twenty.
	ClockDriftBound float64
	// OfferTTL is the time within which the new holder of a transferred lease has to confirm it.
	OfferTTL time.Duration
}

// DefaultConfig returns a configuration with which a lease is available again about 1.1 s after its
// holder's last renewal. Its clock-drift bound covers a clock that runs at nine tenths of the speed
// of another.
func DefaultConfig() Config {
	return Config{TTL: time.Second, ClockDriftBound: 0.125, OfferTTL: 500 * time.Millisecond}
}

// withClockDrift returns how long the granting side must wait until d has passed by any other
// clock.
func (c Config) withClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockDriftBound)
}

// Errors of a Table and a Gate, for use with errors.Is. Their texts, and the texts of errors that
// wrap them, are part of replicated results: every version of the program must produce the same
// texts.
var (
	// ErrHeld means that another member holds the lease.
	ErrHeld = errors.New("lease: another holds it")
	// ErrStaleTerm means that a member is not the holder under the term in its request.
	ErrStaleTerm = errors.New("lease: not the owner under this term")
	// ErrExcluded means that a member is temporarily not granted the lease, because it did not
	// confirm its last grant.
	ErrExcluded = errors.New("lease: it was given the duty lately, and did not hear of it")
)

// Cause is the reason for the last change of a lease's holder. Its values are stored.
type Cause string

const (
	// Acquired means that the lease was available.
	Acquired Cause = "taken"
	// Expired means that its holder did not renew it.
	Expired Cause = "lapsed"
	// Transferred means that its holder transferred it to a member of its choice.
	Transferred Cause = "handed on"
	// Released means that its holder gave it up.
	Released Cause = "released"
)

// Lease is the state of a role's lease in a Table. Its times are by the fleet's clock.
type Lease struct {
	Role      string        `json:"duty"`
	Term      uint64        `json:"term"`
	Holder    Member        `json:"owner"` // no member holds the lease if the id is empty
	GrantedAt time.Duration `json:"since"`
	ExpiresAt time.Duration `json:"until"`
	// Unconfirmed means that the holder has not yet confirmed this grant.
	Unconfirmed bool `json:"offered,omitempty"`
	// TransferTo is the id of the member to which the holder is to transfer the lease; "": none.
	TransferTo string `json:"wish,omitempty"`
	Cause      Cause  `json:"cause"`
	// Excluded is the member whose last grant expired unconfirmed. It is not granted the lease
	// again before ExcludedUntil.
	Excluded      Member        `json:"deaf,omitzero"`
	ExcludedUntil time.Duration `json:"deaf_until,omitempty"`
}

// available reports whether the lease may be granted to any member now.
func (l *Lease) available(now time.Duration) bool {
	return l.Holder.ID == "" || now > l.ExpiresAt
}
