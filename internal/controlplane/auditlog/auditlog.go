// Package auditlog defines the audit log of a gateway: which configuration versions the gateway
// operated under, and how many operations it did under each. The package also verifies the logs of
// many gateways and merges them into one audit. It does no I/O.
//
// A log has one hash chain for each incarnation of a gateway. Entries are numbered from 1, and each
// holds the hash of the previous entry, so that all later entries reveal one that was changed,
// removed, inserted or duplicated. The hash of the newest entry of each chain (Head) is committed
// to the replicated state every few seconds. A chain that was truncated, or rewritten from some
// entry on, therefore does not match the heads that its own incarnation reported, and two versions
// of one chain are detected. A chain can't reveal what its process never wrote; for that, it is
// compared with what others observed.
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
	Forwarded      uint64  `json:"sent"`    // requests forwarded, counted at their first attempt
	Retries        uint64  `json:"again"`   // attempts beyond the first
	Units          float64 `json:"units"`   // of the requests forwarded
	Rejected       uint64  `json:"refused"` // requests rejected for any other reason than fencing
	RejectedFenced uint64  `json:"turned"`  // requests rejected because the gateway was fenced
}

// Plus returns the sum of c and o.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		Forwarded:      c.Forwarded + o.Forwarded,
		Retries:        c.Retries + o.Retries,
		Units:          c.Units + o.Units,
		Rejected:       c.Rejected + o.Rejected,
		RejectedFenced: c.RejectedFenced + o.RejectedFenced,
	}
}

// Minus returns c minus o. No count of o may be larger than that of c.
func (c Counts) Minus(o Counts) Counts {
	return Counts{
		Forwarded:      c.Forwarded - o.Forwarded,
		Retries:        c.Retries - o.Retries,
		Units:          c.Units - o.Units,
		Rejected:       c.Rejected - o.Rejected,
		RejectedFenced: c.RejectedFenced - o.RejectedFenced,
	}
}

// Entry records what one incarnation did in one time interval under one set of versions. A change
// of versions starts a new entry. The JSON of an entry is hashed: its keys and their order are part
// of stored data.
type Entry struct {
	ID          string            `json:"id"`
	Incarnation string            `json:"boot"` // hexadecimal
	Seq         uint64            `json:"seq"`
	StartedAt   int64             `json:"begun"` // microseconds since 1970, by the gateway's clock
	EndedAt     int64             `json:"ended"`
	InForce     map[string]uint64 `json:"in_force,omitempty"` // version numbers, by item
	Counts

	// Checkpoints replace entries that are no longer kept, of this incarnation or of earlier
	// incarnations of the gateway.
	Checkpoints []Checkpoint `json:"folds,omitempty"`
	Last        bool         `json:"last,omitempty"` // the incarnation did nothing afterwards
	// Prev is the hash of the previous entry, or Root for the first entry.
	Prev string `json:"prev"`
}

// Hash returns the hexadecimal SHA-256 of the whole entry.
func (e *Entry) Hash() string {
	sum := sha256.Sum256(mustjson.Marshal(e))
	return hex.EncodeToString(sum[:])
}

func (e *Entry) chain() chainID { return chainID{e.ID, e.Incarnation} }

// Root returns the Prev hash of the first entry of an incarnation.
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

// chainID identifies the chain of one incarnation.
type chainID struct{ gateway, incarnation string }

func compareChains(a, b chainID) int {
	return cmp.Or(cmp.Compare(a.gateway, b.gateway), cmp.Compare(a.incarnation, b.incarnation))
}
