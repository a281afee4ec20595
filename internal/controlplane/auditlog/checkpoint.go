package auditlog

import (
	"cmp"
	"maps"
	"slices"
)

// Checkpoint replaces the first entries of an incarnation. It has their sums, and the hash of the
// last of them, which is the Prev of the next entry. It is itself part of a hashed entry.
type Checkpoint struct {
	Incarnation string          `json:"boot"`    // hexadecimal
	Through     uint64          `json:"through"` // number of the last entry it replaces
	Hash        string          `json:"hash"`    // of that entry
	Sums        []VersionCounts `json:"sums"`    // sorted by item and number
}

// VersionCounts sums the operations under one version of an item in the replaced entries.
type VersionCounts struct {
	Item   string `json:"item"`
	Number uint64 `json:"number"`
	From   int64  `json:"from"` // microseconds since 1970, by the gateway's clock
	To     int64  `json:"to"`
	Counts
}

// versionKey identifies a version of an item.
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

// Compact returns the checkpoint that replaces the first entries of one incarnation. In the result
// it follows the newest checkpoints of all other incarnations that earlier and the entries contain.
// The entries must be complete up to the last of them, except for those that an earlier checkpoint
// replaced.
func Compact(entries []Entry, earlier []Checkpoint) (checkpoints []Checkpoint) {
	if len(entries) == 0 {
		return earlier
	}
	last := &entries[len(entries)-1]
	c := Checkpoint{Incarnation: last.Incarnation, Through: last.Seq, Hash: last.Hash()}
	newest := newestCheckpoints(entries, earlier)
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
		checkpoints = append(checkpoints, newest[incarnation])
	}
	return append(checkpoints, c)
}

// newestCheckpoints returns the newest checkpoint of each incarnation of one gateway, by
// incarnation.
func newestCheckpoints(entries []Entry, earlier []Checkpoint) map[string]Checkpoint {
	newest := map[string]Checkpoint{}
	add := func(checkpoints []Checkpoint) {
		for _, c := range checkpoints {
			known, ok := newest[c.Incarnation]
			if !ok || known.Through < c.Through {
				newest[c.Incarnation] = c
			}
		}
	}
	add(earlier)
	for i := range entries {
		add(entries[i].Checkpoints)
	}
	return newest
}

// compactedIntervals returns the intervals derived from the newest checkpoints in valid entries.
func compactedIntervals(valid []Entry) (intervals []Interval) {
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
			intervals = append(intervals, Interval{
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
	return intervals
}
