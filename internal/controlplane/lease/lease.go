// Package lease decides who holds a duty until when. A duty is work that one member
// does on behalf of the fleet. Each time that it goes to another, or to the same
// one anew, its term goes up by one, for ever: the term is the fencing token, by which whoever
// receives an owner's word tells a late one.
//
// Two sides count the same span. The holder counts from the moment at which it sent its
// asking; the Table, which grants, from the moment at which it gave, and adds the margin. So
// the holder ends first however long messages take, as long as no clock runs faster than another
// by more than the margin (an eighth by default, which covers a clock at nine tenths of the pace). No clock has to show the right time.
//
// A holder that checks its lease, stops, and acts later is past help by clocks. Whoever takes its word
// must therefore refuse by term: Table.Fence where the effect is itself agreed, Gate where a
// receiver keeps the highest term that it has seen.
//
// Nothing here does I/O, starts a goroutine or looks at a clock. No type may be used concurrently.
package lease

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"mothcleat/internal/mustjson"
)

// Member is one process: an id and a boot, which is drawn anew with each process. What
// was given to one boot is not another's.
type Member struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"boot"`
}

func (m Member) String() string { return fmt.Sprintf("%s/%x", m.ID, m.Incarnation) }

// Config are how long things hold.
type Config struct {
	TTL time.Duration // without renewal
	// ClockDriftBound is by how much a clock may run faster than another, as a part: 0.05 is one in twenty.
	ClockDriftBound float64
	// OfferTTL is how long a duty that was handed on waits to be taken up.
	OfferTTL time.Duration
}

// DefaultConfig are rules with which a duty is free again some 1.1 s after its owner's last renewal.
func DefaultConfig() Config {
	return Config{TTL: time.Second, ClockDriftBound: 0.125, OfferTTL: 500 * time.Millisecond}
}

func (r Config) withClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*r.ClockDriftBound)
}

// Errors of a Table and a Gate, to be told apart by errors.Is.
var (
	ErrHeld      = errors.New("lease: another holds it")
	ErrStaleTerm = errors.New("lease: not the owner under this term")
	ErrExcluded  = errors.New("lease: it was given the duty lately, and did not hear of it")
)

// Cause is why a duty changed hands.
type Cause string

const (
	Acquired    Cause = "taken"  // it was free
	Expired     Cause = "lapsed" // its owner did not renew
	Transferred Cause = "handed on"
	Released    Cause = "released"
)

// Lease is a duty as the Table has it. Times are the fleet's.
type Lease struct {
	Role        string        `json:"duty"`
	Term        uint64        `json:"term"`
	Holder      Member        `json:"owner"` // without id: nobody
	GrantedAt   time.Duration `json:"since"`
	ExpiresAt   time.Duration `json:"until"`
	Unconfirmed bool          `json:"offered,omitempty"` // given, and not yet known to have been heard of
	TransferTo  string        `json:"wish,omitempty"`    // the id to which the owner is to hand it on
	Cause       Cause         `json:"cause"`
	// Excluded was given the duty and never showed that it had heard so; it is not given it again before DeafUntil.
	Excluded      Member        `json:"deaf,omitzero"`
	ExcludedUntil time.Duration `json:"deaf_until,omitempty"`
}

// free tells whether a duty may be given away at a time.
func (h *Lease) free(at time.Duration) bool { return h.Holder.ID == "" || at > h.ExpiresAt }

// Table is the granting side: all duties. Its methods take the fleet's time, which never runs
// faster than any member's clock by more than the margin.
type Table struct {
	rules   Config
	duties  map[string]*Lease
	history map[string][]Lease // the newest last
}

const historyMost = 64 // changes kept of each duty

// NewTable is a table without any duty.
func NewTable(r Config) *Table {
	return &Table{rules: r, duties: map[string]*Lease{}, history: map[string][]Lease{}}
}

// Acquire gives a duty to a member, or renews what that boot holds. What is held by another is refused
// with ErrHeld and the holding as it is. knows is the newest term of the duty that the member has heard that it holds: only
// by it is a holding renewed. One that is heard and hears nobody would else keep for ever what it does not know that
// it has.
func (t *Table) Acquire(at time.Duration, duty string, who Member, knows uint64) (Lease, error) {
	h := t.duties[duty]
	if h == nil {
		h = &Lease{Role: duty}
		t.duties[duty] = h
	}
	switch {
	case h.Holder == who && !h.free(at):
		if knows == h.Term {
			h.Unconfirmed = false
			h.ExpiresAt = max(h.ExpiresAt, at+t.rules.withClockDrift(t.rules.TTL))
		}
		return *h, nil
	case !h.free(at):
		return *h, ErrHeld
	}
	if h.Unconfirmed && h.Holder.ID != "" {
		h.Excluded, h.ExcludedUntil = h.Holder, at+deafSpans*t.rules.TTL
	}
	if h.Excluded == who && at < h.ExcludedUntil {
		return *h, ErrExcluded
	}
	cause := Acquired
	if h.Holder.ID != "" {
		cause = Expired
	}
	t.give(at, h, who, t.rules.TTL, cause)
	h.Unconfirmed = true
	return *h, nil
}

// deafSpans is for how many spans a member that did not hear of its holding is not given it again.
const deafSpans = 4

// RemainingTTL is for how long a holder may hold by its own clock, from when it sent its asking: what is left of the holding, less
// the margin.
func (t *Table) RemainingTTL(at time.Duration, h *Lease) time.Duration {
	return max(0, min(t.rules.TTL, time.Duration(float64(h.ExpiresAt-at)/(1+t.rules.ClockDriftBound))))
}

// HeldByOther tells whether Ask would refuse, without changing anything.
func (t *Table) HeldByOther(at time.Duration, duty string, who Member) (Lease, bool) {
	h := t.duties[duty]
	if h == nil || h.free(at) || h.Holder == who {
		return Lease{}, false
	}
	return *h, true
}

// give begins a new term.
func (t *Table) give(at time.Duration, h *Lease, who Member, span time.Duration, cause Cause) {
	h.TransferTo = "" // it was for the owner of that term
	h.Term++
	h.Holder, h.GrantedAt, h.ExpiresAt, h.Cause, h.Unconfirmed = who, at, at+t.rules.withClockDrift(span), cause, false
	log := append(t.history[h.Role], *h)
	t.history[h.Role] = log[max(0, len(log)-historyMost):]
}

// Release gives a duty up before its time.
func (t *Table) Release(at time.Duration, duty string, term uint64, who Member) error {
	if err := t.Fence(duty, term, who); err != nil {
		return err
	}
	t.give(at, t.duties[duty], Member{}, 0, Released)
	return nil
}

// Transfer gives a duty to another member under the next term. It has to be taken up by an Ask of
// that member within Rules.Offer, and is free after that.
func (t *Table) Transfer(at time.Duration, duty string, term uint64, who, to Member) error {
	if err := t.Fence(duty, term, who); err != nil {
		return err
	}
	h := t.duties[duty]
	t.give(at, h, to, t.rules.OfferTTL, Transferred)
	h.Unconfirmed = true
	return nil
}

// RequestTransfer has the owner hand a duty on to a member, when it hears of that; "" takes that back. It ends with the owner's term.
func (t *Table) RequestTransfer(duty, to string) error {
	h := t.duties[duty]
	if h == nil {
		return fmt.Errorf("lease: no duty %q", duty)
	}
	if h.Holder.ID == to {
		return fmt.Errorf("lease: %s holds %s already", to, duty)
	}
	h.TransferTo = to
	return nil
}

// Fence refuses, with ErrTerm, a word given under another term than the newest, or by
// another than its owner. It does not ask for the time: while no later term was given, nobody else
// acts.
func (t *Table) Fence(duty string, term uint64, who Member) error {
	h := t.duties[duty]
	switch {
	case h == nil || h.Term != term:
		return fmt.Errorf("%w: %s says term %d of %s, the newest is %d", ErrStaleTerm, who, term, duty, t.Term(duty))
	case h.Holder != who:
		return fmt.Errorf("%w: %s is owned by %s under term %d, not by %s", ErrStaleTerm, duty, h.Holder, term, who)
	}
	return nil
}

// Term is the newest term of a duty; 0: it was never held.
func (t *Table) Term(duty string) uint64 {
	if h := t.duties[duty]; h != nil {
		return h.Term
	}
	return 0
}

// Leases are all duties as they are, by name.
func (t *Table) Leases() []Lease {
	all := make([]Lease, 0, len(t.duties))
	for _, h := range t.duties {
		all = append(all, *h)
	}
	slices.SortFunc(all, func(a, b Lease) int { return cmp.Compare(a.Role, b.Role) })
	return all
}

// History is a duty's changes of hands, the oldest first; long ones are cut at the old end.
func (t *Table) History(duty string) []Lease { return slices.Clone(t.history[duty]) }

// tableState is a table as it is written.
type tableState struct {
	Roles   []Lease            `json:"duties"`
	History map[string][]Lease `json:"history"`
}

// Snapshot writes the table: the same text for the same content.
func (t *Table) Snapshot() []byte {
	return mustjson.Marshal(tableState{t.Leases(), t.history})
}

// Restore reads what Snapshot wrote, in place of all that is there.
func (t *Table) Restore(raw []byte) error {
	var s tableState
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("lease: table: %w", err)
	}
	t.duties, t.history = map[string]*Lease{}, s.History
	if t.history == nil {
		t.history = map[string][]Lease{}
	}
	for _, h := range s.Roles {
		t.duties[h.Role] = &h
	}
	return nil
}

// Rank tells how many members come before one for a duty, by rendezvous hashing: so duties are spread
// evenly, and when a member goes only its own move.
func Rank(duty, id string, others []string) int {
	weight := func(id string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(id))
		h.Write([]byte{0})
		h.Write([]byte(duty))
		x := h.Sum64() // fnv alone leaves like names close together
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		return x ^ x>>33
	}
	mine, rank := weight(id), 0
	for _, o := range others {
		if w := weight(o); o != id && (w > mine || w == mine && o < id) {
			rank++
		}
	}
	return rank
}
