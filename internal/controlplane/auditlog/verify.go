package auditlog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Verify checks the consistency of each chain, and checks the chains against the committed heads.
// It returns the valid entries, chain by chain and in order, and the violations. Entries after a
// break in a chain are not valid.
func Verify(entries []Entry, heads []Head) (valid []Entry, violations []Violation) {
	entriesOf := map[chainID][]Entry{}
	checkpointsOf := map[chainID][]Checkpoint{}
	for _, e := range entries {
		id := e.chain()
		entriesOf[id] = append(entriesOf[id], e)
		for _, c := range e.Checkpoints {
			of := chainID{e.ID, c.Incarnation}
			checkpointsOf[of] = append(checkpointsOf[of], c)
		}
	}
	headsOf := map[chainID][]Head{}
	for _, h := range heads {
		id := chainID{h.ID, h.Incarnation}
		headsOf[id] = append(headsOf[id], h)
		if _, ok := entriesOf[id]; !ok {
			entriesOf[id] = nil
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(entriesOf), compareChains) {
		v := newChainVerifier(id, entriesOf[id], checkpointsOf[id])
		v.checkEntries()
		v.checkHeads(headsOf[id])
		valid = append(valid, v.valid...)
		violations = append(violations, v.violations...)
	}
	return valid, violations
}

// chainVerifier verifies one chain.
type chainVerifier struct {
	id      chainID
	entries []Entry // sorted by number
	start   uint64  // number of the last entry that a checkpoint replaces

	seq    uint64 // number of the last entry that was checked
	prev   string // its hash
	hashes map[uint64]string
	broken bool

	valid      []Entry
	violations []Violation
}

// newChainVerifier returns a verifier that starts after the last checkpoint that fits the entries.
func newChainVerifier(id chainID, entries []Entry, checkpoints []Checkpoint) *chainVerifier {
	v := &chainVerifier{
		id:      id,
		entries: entries,
		prev:    Root(id.gateway, id.incarnation),
		hashes:  map[uint64]string{},
	}
	slices.SortStableFunc(v.entries, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, c := range checkpoints {
		if c.Through > v.seq && v.follows(c) {
			v.seq = c.Through
			v.prev = c.Hash
			v.hashes[v.seq] = v.prev
		}
	}
	v.start = v.seq
	return v
}

// follows reports whether the retained entries continue a checkpoint.
func (v *chainVerifier) follows(c Checkpoint) bool {
	if len(v.entries) == 0 {
		return true
	}
	first := &v.entries[0]
	return first.Seq == c.Through+1 && first.Prev == c.Hash
}

func (v *chainVerifier) violation(seq uint64, format string, args ...any) {
	v.violations = append(v.violations,
		Violation{v.id.gateway, v.id.incarnation, seq, fmt.Sprintf(format, args...)})
}

// checkEntries checks that each entry follows the previous one.
func (v *chainVerifier) checkEntries() {
	for i := range v.entries {
		e := &v.entries[i]
		if e.Seq == v.seq && i > 0 {
			// The same entry in two copies of the log is not a violation.
			if e.Hash() != v.prev {
				v.violation(e.Seq, "two entries of one number")
			}
			continue
		}
		switch {
		case e.Seq != v.seq+1:
			v.violation(v.seq+1, "%d entries are missing", e.Seq-v.seq-1)
			v.broken = true
		case e.Prev != v.prev:
			v.violation(e.Seq, "it does not follow the one before")
			v.broken = true
			if len(v.valid) > 0 { // either of the two was changed
				v.valid = v.valid[:len(v.valid)-1]
			}
		case i > 0 && v.entries[i-1].Last:
			v.violation(e.Seq, "it comes after the last one")
			v.broken = true
		}
		v.seq = e.Seq
		v.prev = e.Hash()
		v.hashes[v.seq] = v.prev
		if !v.broken {
			v.valid = append(v.valid, *e)
		}
	}
}

// checkHeads compares the chain with the heads that its process reported. If the chain was
// rewritten, the entries after the last matching head are not valid.
func (v *chainVerifier) checkHeads(heads []Head) {
	slices.SortFunc(heads, func(a, b Head) int { return cmp.Compare(a.Seq, b.Seq) })
	lastMatching, rewritten := uint64(0), false
	for _, h := range heads {
		hash, ok := v.hashes[h.Seq]
		switch {
		case h.Seq < v.start:
			// Its entry is no longer kept.
		case len(v.entries) == 0 && v.start == 0:
			v.violation(h.Seq, "the log is gone, which had %d entries", h.Seq)
		case h.Seq > v.seq:
			v.violation(h.Seq, "the log ends at %d and had %d entries", v.seq, h.Seq)
		case ok && hash != h.Hash:
			v.violation(h.Seq, "it is not the one that was reported to the fleet")
			rewritten = true
		case ok && !rewritten:
			lastMatching = h.Seq
		}
	}
	if rewritten {
		v.valid = slices.DeleteFunc(v.valid, func(e Entry) bool { return e.Seq > lastMatching })
	}
}
