// Package auditlog is the audit log of a gateway: which configuration versions it applied, and how many operations
// it did under each. It also verifies the logs of many gateways and joins them to one audit. It does no I/O.
//
// A log is one hash chain for each incarnation of a gateway, which the code calls a boot. Entries are numbered from 1,
// and each holds the hash of the entry before, so that an entry that was changed, removed, inserted or duplicated
// shows in all later ones. The hash of the newest entry of each chain (Head) is committed to the replicated state every
// few seconds: so a chain that was truncated, or written anew from some entry on, does not match the heads that its own
// incarnation reported, and two versions of one chain are detected. A chain can't show what its process never wrote
// down; that is compared with what others observed.
package auditlog

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"mothcleat/internal/mustjson"
)

// Counts are the operations that were done.
type Counts struct {
	Forwarded      uint64  `json:"sent"`    // requests first sent on
	Retries        uint64  `json:"again"`   // attempts beyond the first
	Units          float64 `json:"units"`   // of those first sent on
	Rejected       uint64  `json:"refused"` // requests refused
	RejectedFenced uint64  `json:"turned"`  // requests turned away because the gateway was shut out
}

// Plus returns the sum.
func (c Counts) Plus(o Counts) Counts {
	return Counts{c.Forwarded + o.Forwarded, c.Retries + o.Retries, c.Units + o.Units, c.Rejected + o.Rejected, c.RejectedFenced + o.RejectedFenced}
}

// Minus returns the difference. No count of o may be larger than that of c.
func (c Counts) Minus(o Counts) Counts {
	return Counts{c.Forwarded - o.Forwarded, c.Retries - o.Retries, c.Units - o.Units, c.Rejected - o.Rejected, c.RejectedFenced - o.RejectedFenced}
}

// Entry is what one incarnation did in one interval under one set of versions. A change of versions begins a new
// entry.
type Entry struct {
	ID          string            `json:"id"`
	Incarnation string            `json:"boot"` // hexadecimal
	Seq         uint64            `json:"seq"`
	StartedAt   int64             `json:"begun"` // microseconds since 1970, by the gateway's clock
	EndedAt     int64             `json:"ended"`
	InForce     map[string]uint64 `json:"in_force,omitempty"`
	Counts
	// Checkpoints are summaries in place of entries that are no longer kept: of this incarnation, or of earlier ones of the
	// gateway. They are part of what the chain hashes.
	Checkpoints []Checkpoint `json:"folds,omitempty"`
	Last        bool         `json:"last,omitempty"` // the incarnation did nothing more
	Prev        string       `json:"prev"`           // hash of the entry before, or Root for the first
}

// Hash returns the SHA-256 of the whole entry, in hexadecimal.
func (e *Entry) Hash() string {
	sum := sha256.Sum256(mustjson.Marshal(e))
	return hex.EncodeToString(sum[:])
}

// Root returns the hash that the first entry of an incarnation has as its Prev.
func Root(id, boot string) string {
	sum := sha256.Sum256([]byte(id + "/" + boot))
	return hex.EncodeToString(sum[:])
}

// Head is the number and hash of the newest entry of a chain, as its process reported it.
type Head struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"`
	Seq         uint64 `json:"seq"`
	Hash        string `json:"hash"`
}

// Violation is a place at which a chain fails verification.
type Violation struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"`
	Seq         uint64 `json:"seq"`
	What        string `json:"what"`
}

func (d Violation) String() string {
	return fmt.Sprintf("%s/%s entry %d: %s", d.ID, d.Incarnation, d.Seq, d.What)
}

type chainID struct{ gateway, incarnation string }

// Verify checks chains in themselves and against the committed heads. It returns the entries that are valid, chain by
// chain and in order, without those behind a break, and the damage that it found.
func Verify(entries []Entry, heads []Head) (good []Entry, bad []Violation) {
	chains := map[chainID][]Entry{}
	folds := map[chainID][]Checkpoint{}
	for _, e := range entries {
		k := chainID{e.ID, e.Incarnation}
		chains[k] = append(chains[k], e)
		for _, f := range e.Checkpoints {
			of := chainID{e.ID, f.Incarnation}
			folds[of] = append(folds[of], f)
		}
	}
	told := map[chainID][]Head{}
	for _, h := range heads {
		k := chainID{h.ID, h.Incarnation}
		told[k] = append(told[k], h)
		if _, ok := chains[k]; !ok {
			chains[k] = nil
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(chains), func(a, b chainID) int {
		return cmp.Or(cmp.Compare(a.gateway, b.gateway), cmp.Compare(a.incarnation, b.incarnation))
	}) {
		g, b := verifyChain(k, chains[k], told[k], folds[k])
		good, bad = append(good, g...), append(bad, b...)
	}
	return good, bad
}

func verifyChain(k chainID, all []Entry, heads []Head, folds []Checkpoint) (good []Entry, bad []Violation) {
	add := func(seq uint64, format string, args ...any) {
		bad = append(bad, Violation{k.gateway, k.incarnation, seq, fmt.Sprintf(format, args...)})
	}
	slices.SortStableFunc(all, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	hashes := map[uint64]string{}
	prev, seq, broken := Root(k.gateway, k.incarnation), uint64(0), false
	for _, f := range folds {
		if f.Through <= seq {
			continue
		}
		if len(all) == 0 || all[0].Seq == f.Through+1 && all[0].Prev == f.Hash {
			prev, seq = f.Hash, f.Through // what came before is in the sums
			hashes[seq] = prev
		}
	}
	folded := seq
	for i := range all {
		e := &all[i]
		if e.Seq == seq && i > 0 {
			if e.Hash() != prev {
				add(e.Seq, "two entries of one number")
			}
			continue // the same once more: two copies of one record
		}
		switch {
		case e.Seq != seq+1:
			add(seq+1, "%d entries are missing", e.Seq-seq-1)
			broken = true
		case e.Prev != prev:
			add(e.Seq, "it does not follow the one before")
			if broken = true; len(good) > 0 {
				good = good[:len(good)-1] // either of the two was changed
			}
		case i > 0 && all[i-1].Last:
			add(e.Seq, "it comes after the last one")
			broken = true
		}
		seq, prev = e.Seq, e.Hash()
		hashes[seq] = prev
		if !broken {
			good = append(good, *e)
		}
	}
	slices.SortFunc(heads, func(a, b Head) int { return cmp.Compare(a.Seq, b.Seq) })
	holds, off := uint64(0), false
	for _, h := range heads {
		switch hash, ok := hashes[h.Seq]; {
		case h.Seq < folded:
			// its entry is not kept any more
		case len(all) == 0 && folded == 0:
			add(h.Seq, "the record is gone, which had %d entries", h.Seq)
		case h.Seq > seq:
			add(h.Seq, "the record ends at %d and had %d entries", seq, h.Seq)
		case ok && hash != h.Hash:
			add(h.Seq, "it is not the one that the fleet was told of")
			off = true
		case ok && !off:
			holds = h.Seq
		}
	}
	if off { // written anew from some place behind the last head that it fits
		good = slices.DeleteFunc(good, func(e Entry) bool { return e.Seq > holds })
	}
	return good, bad
}
