// Package auditlog is the audit log of a gateway: which configuration versions it operated under,
// and how many operations it did under each. It also verifies the logs of many gateways and joins
// them to one audit. It does no I/O.
//
// A log is one hash chain for each incarnation of a gateway. Entries are numbered from 1, and each
// holds the hash of the entry before, so that an entry that was changed, removed, inserted or
// duplicated shows in all later ones. The hash of the newest entry of each chain (Head) is
// committed to the replicated state every few seconds: so a chain that was truncated, or rewritten
// from some entry on, does not match the heads that its own incarnation reported, and two versions
// of one chain are detected. A chain can't show what its process never wrote; that is compared with
// what others observed.
package auditlog

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"mothcleat/internal/mustjson"
)

// Counts counts operations.
type Counts struct {
	Forwarded      uint64  `json:"sent"`    // requests, at their first attempt
	Retries        uint64  `json:"again"`   // attempts beyond the first
	Units          float64 `json:"units"`   // of the requests forwarded
	Rejected       uint64  `json:"refused"` // requests rejected for any other reason than fencing
	RejectedFenced uint64  `json:"turned"`  // requests rejected because the gateway was fenced
}

// Plus returns the sum.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		Forwarded:      c.Forwarded + o.Forwarded,
		Retries:        c.Retries + o.Retries,
		Units:          c.Units + o.Units,
		Rejected:       c.Rejected + o.Rejected,
		RejectedFenced: c.RejectedFenced + o.RejectedFenced,
	}
}

// Minus returns the difference. No count of o may be larger than that of c.
func (c Counts) Minus(o Counts) Counts {
	return Counts{
		Forwarded:      c.Forwarded - o.Forwarded,
		Retries:        c.Retries - o.Retries,
		Units:          c.Units - o.Units,
		Rejected:       c.Rejected - o.Rejected,
		RejectedFenced: c.RejectedFenced - o.RejectedFenced,
	}
}

// Entry is what one incarnation did in one interval under one set of versions. A change of versions
// starts a new entry. Its JSON is hashed: keys and their order are part of stored data.
type Entry struct {
	ID          string            `json:"id"`
	Incarnation string            `json:"boot"` // hexadecimal
	Seq         uint64            `json:"seq"`
	StartedAt   int64             `json:"begun"` // microseconds since 1970, by the gateway's clock
	EndedAt     int64             `json:"ended"`
	InForce     map[string]uint64 `json:"in_force,omitempty"` // version numbers, by item
	Counts

	// Checkpoints stand for entries that are no longer kept: of this incarnation, or of earlier
	// ones of the gateway.
	Checkpoints []Checkpoint `json:"folds,omitempty"`
	Last        bool         `json:"last,omitempty"` // the incarnation did nothing more
	// Hash of the entry before, or Root for the first.
	Prev string `json:"prev"`
}

// Hash returns the SHA-256 of the whole entry, in hexadecimal.
func (e *Entry) Hash() string {
	sum := sha256.Sum256(mustjson.Marshal(e))
	return hex.EncodeToString(sum[:])
}

func (e *Entry) chain() chainID { return chainID{e.ID, e.Incarnation} }

// Root returns the hash that the first entry of an incarnation has as its Prev.
func Root(id, incarnation string) string {
	sum := sha256.Sum256([]byte(id + "/" + incarnation))
	return hex.EncodeToString(sum[:])
}

// Head is the number and hash of the newest entry of a chain, as its process reported it.
type Head struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"` // hexadecimal
	Seq         uint64 `json:"seq"`
	Hash        string `json:"hash"`
}

// Violation is an entry at which a chain fails verification.
type Violation struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"` // hexadecimal
	Seq         uint64 `json:"seq"`
	What        string `json:"what"`
}

// String returns the violation as one line for logs.
func (v Violation) String() string {
	return fmt.Sprintf("%s/%s entry %d: %s", v.ID, v.Incarnation, v.Seq, v.What)
}

// chainID names the chain of one incarnation.
type chainID struct{ gateway, incarnation string }

func compareChains(a, b chainID) int {
	return cmp.Or(cmp.Compare(a.gateway, b.gateway), cmp.Compare(a.incarnation, b.incarnation))
}
