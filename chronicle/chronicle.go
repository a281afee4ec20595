// Package chronicle is a gateway's record of what it did under which versions, and what can be told from many of them afterwards. It
// does no I/O.
//
// A record is a chain for each boot: entries count from 1, and each holds the hash of the one before, so that no entry can be changed,
// left out, put in or doubled without that showing in all that come after. The newest hash of each chain is told to the fleet every few
// seconds and agreed (Head): so a chain that was cut, or written anew from some place on, does not fit what its own boot once said,
// and a boot that told two stories is known to have. What a chain can't show is what its process never wrote down; that is held against
// what others saw.
package chronicle

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Counts are what was done.
type Counts struct {
	Sent    uint64  `json:"sent"`    // requests first sent on
	Again   uint64  `json:"again"`   // attempts beyond the first
	Units   float64 `json:"units"`   // of those first sent on
	Refused uint64  `json:"refused"` // requests refused
	Turned  uint64  `json:"turned"`  // requests turned away because the gateway was shut out
}

// Plus adds.
func (c Counts) Plus(o Counts) Counts {
	return Counts{c.Sent + o.Sent, c.Again + o.Again, c.Units + o.Units, c.Refused + o.Refused, c.Turned + o.Turned}
}

// Minus takes away; it must not be more than there is.
func (c Counts) Minus(o Counts) Counts {
	return Counts{c.Sent - o.Sent, c.Again - o.Again, c.Units - o.Units, c.Refused - o.Refused, c.Turned - o.Turned}
}

// Entry is what one process did in one stretch of time under one set of versions. A change of versions begins a new one.
type Entry struct {
	ID      string            `json:"id"`
	Boot    string            `json:"boot"` // hexadecimal
	Seq     uint64            `json:"seq"`
	Begun   int64             `json:"begun"` // microseconds since 1970, by the gateway's clock
	Ended   int64             `json:"ended"`
	InForce map[string]uint64 `json:"in_force,omitempty"`
	Counts
	// Folds stand for entries that are not kept any more: of this boot, or of earlier ones of the gateway. They are in the chain as all else.
	Folds []Fold `json:"folds,omitempty"`
	Last  bool   `json:"last,omitempty"` // the boot did nothing more
	Prev  string `json:"prev"`           // hash of the entry before; of the first: of its id and boot
}

// Hash is over all that an entry says.
func (e *Entry) Hash() string {
	raw, err := json.Marshal(e)
	if err != nil {
		panic(err) // plain data
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Root is what the first entry of a boot follows.
func Root(id, boot string) string {
	sum := sha256.Sum256([]byte(id + "/" + boot))
	return hex.EncodeToString(sum[:])
}

// Head is where a chain stands, as its process told.
type Head struct {
	ID   string `json:"id"`
	Boot string `json:"boot"`
	Seq  uint64 `json:"seq"`
	Hash string `json:"hash"`
}

// Damage is something that does not hold.
type Damage struct {
	ID   string `json:"id"`
	Boot string `json:"boot"`
	Seq  uint64 `json:"seq"`
	What string `json:"what"`
}

func (d Damage) String() string {
	return fmt.Sprintf("%s/%s entry %d: %s", d.ID, d.Boot, d.Seq, d.What)
}

type chain struct{ id, boot string }

// Verify holds records against themselves and against the heads that were agreed. It gives the entries that hold, chain by chain
// in their order: what comes behind a break is not among them.
func Verify(entries []Entry, heads []Head) (good []Entry, bad []Damage) {
	chains := map[chain][]Entry{}
	folds := map[chain][]Fold{}
	for _, e := range entries {
		k := chain{e.ID, e.Boot}
		chains[k] = append(chains[k], e)
		for _, f := range e.Folds {
			of := chain{e.ID, f.Boot}
			folds[of] = append(folds[of], f)
		}
	}
	told := map[chain][]Head{}
	for _, h := range heads {
		k := chain{h.ID, h.Boot}
		told[k] = append(told[k], h)
		if _, ok := chains[k]; !ok {
			chains[k] = nil
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(chains), func(a, b chain) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.boot, b.boot))
	}) {
		g, b := verify(k, chains[k], told[k], folds[k])
		good, bad = append(good, g...), append(bad, b...)
	}
	return good, bad
}

func verify(k chain, all []Entry, heads []Head, folds []Fold) (good []Entry, bad []Damage) {
	add := func(seq uint64, format string, args ...any) {
		bad = append(bad, Damage{k.id, k.boot, seq, fmt.Sprintf(format, args...)})
	}
	slices.SortStableFunc(all, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	hashes := map[uint64]string{}
	prev, seq, broken := Root(k.id, k.boot), uint64(0), false
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
