package auditlog

import (
	"cmp"
	"maps"
	"slices"
)

// Checkpoint stands for the first entries of an incarnation: their sums, and the hash of the last
// of them, which the next entry has as its Prev. It is part of what the chain hashes.
type Checkpoint struct {
	Incarnation string          `json:"boot"`    // hexadecimal
	Through     uint64          `json:"through"` // number of the last entry
	Hash        string          `json:"hash"`
	Sums        []VersionCounts `json:"sums"` // sorted by item and number
}

// VersionCounts is what was done in those entries under one version of an item.
type VersionCounts struct {
	Item   string `json:"item"`
	Number uint64 `json:"number"`
	From   int64  `json:"from"` // microseconds since 1970, by the gateway's clock
	To     int64  `json:"to"`
	Counts
}

// versionKey names a version of an item.
type versionKey struct {
	item   string
	number uint64
}

// versionSums sums counts by version.
type versionSums map[versionKey]VersionCounts

func (s versionSums) add(key versionKey, from, to int64, c Counts) {
	sum, ok := s[key]
	if !ok {
		sum = VersionCounts{Item: key.item, Number: key.number, From: from}
	}
	sum.From = min(sum.From, from)
	sum.To = max(sum.To, to)
	sum.Counts = sum.Counts.Plus(c)
	s[key] = sum
}

func (s versionSums) sorted() []VersionCounts {
	return slices.SortedFunc(maps.Values(s), func(a, b VersionCounts) int {
		return cmp.Or(cmp.Compare(a.Item, b.Item), cmp.Compare(a.Number, b.Number))
	})
}

// Compact returns the checkpoint of the first entries of one incarnation, after all other
// checkpoints that before and the entries themselves have. The entries have to be complete up to
// the last of them, but for those that an earlier checkpoint stands for.
func Compact(entries []Entry, before []Checkpoint) (all []Checkpoint) {
	if len(entries) == 0 {
		return before
	}
	last := &entries[len(entries)-1]
	c := Checkpoint{Incarnation: last.Incarnation, Through: last.Seq, Hash: last.Hash()}
	newest := newestCheckpoints(entries, before)
	sums := versionSums{}
	for i := range entries {
		e := &entries[i]
		for item, number := range e.InForce {
			sums.add(versionKey{item, number}, e.StartedAt, e.EndedAt, e.Counts)
		}
	}
	for _, s := range newest[c.Incarnation].Sums {
		sums.add(versionKey{s.Item, s.Number}, s.From, s.To, s.Counts)
	}
	c.Sums = sums.sorted()
	delete(newest, c.Incarnation)
	for _, incarnation := range slices.Sorted(maps.Keys(newest)) {
		all = append(all, newest[incarnation])
	}
	return append(all, c)
}

// newestCheckpoints returns the newest checkpoint of each incarnation of one gateway.
func newestCheckpoints(entries []Entry, before []Checkpoint) map[string]Checkpoint {
	newest := map[string]Checkpoint{}
	take := func(checkpoints []Checkpoint) {
		for _, c := range checkpoints {
			known, ok := newest[c.Incarnation]
			if !ok || known.Through < c.Through {
				newest[c.Incarnation] = c
			}
		}
	}
	take(before)
	for i := range entries {
		take(entries[i].Checkpoints)
	}
	return newest
}

// compactedIntervals returns what the newest checkpoints of valid entries stand for, as intervals.
func compactedIntervals(valid []Entry) (all []Interval) {
	newest := map[chainID]Checkpoint{}
	for i := range valid {
		for _, c := range valid[i].Checkpoints {
			id := chainID{valid[i].ID, c.Incarnation}
			known, ok := newest[id]
			if !ok || known.Through < c.Through {
				newest[id] = c
			}
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(newest), compareChains) {
		c := newest[id]
		for _, s := range c.Sums {
			all = append(all, Interval{
				ID:          id.gateway,
				Incarnation: id.incarnation,
				Item:        s.Item,
				Number:      s.Number,
				From:        s.From,
				To:          s.To,
				Counts:      s.Counts,
				First:       1,
				Last:        c.Through,
				Compacted:   true,
			})
		}
	}
	return all
}
