package auditlog

import (
	"cmp"
	"maps"
	"slices"
)

// Checkpoint is a summary in place of the first entries of an incarnation: their sums, and the hash of the last of them,
// which the next entry has as its Prev.
type Checkpoint struct {
	Incarnation string          `json:"boot"`
	Through     uint64          `json:"through"`
	Hash        string          `json:"hash"`
	Sums        []VersionCounts `json:"sums"`
}

// VersionCounts is what was done in those entries under one version of an item.
type VersionCounts struct {
	Item   string `json:"item"`
	Number uint64 `json:"number"`
	From   int64  `json:"from"`
	To     int64  `json:"to"`
	Counts
}

// Compact returns the summary of the first entries of one incarnation. These have to be complete up to the last of
// them, but for entries that were folded before. The result contains the folds that the entries hold themselves, of
// this incarnation and of others.
func Compact(entries []Entry, before []Checkpoint) (all []Checkpoint) {
	if len(entries) == 0 {
		return before
	}
	type key struct {
		item   string
		number uint64
	}
	last := &entries[len(entries)-1]
	f := Checkpoint{Incarnation: last.Incarnation, Through: last.Seq, Hash: last.Hash()}
	sums := map[key]VersionCounts{}
	add := func(k key, from, to int64, c Counts) {
		s, ok := sums[k]
		if !ok {
			s = VersionCounts{Item: k.item, Number: k.number, From: from}
		}
		s.From, s.To, s.Counts = min(s.From, from), max(s.To, to), s.Counts.Plus(c)
		sums[k] = s
	}
	others := map[string]Checkpoint{}
	take := func(list []Checkpoint) {
		for _, o := range list {
			if was, ok := others[o.Incarnation]; !ok || was.Through < o.Through {
				others[o.Incarnation] = o
			}
		}
	}
	take(before)
	for i := range entries {
		e := &entries[i]
		take(e.Checkpoints)
		for item, number := range e.InForce {
			add(key{item, number}, e.StartedAt, e.EndedAt, e.Counts)
		}
	}
	for _, s := range others[f.Incarnation].Sums {
		add(key{s.Item, s.Number}, s.From, s.To, s.Counts)
	}
	delete(others, f.Incarnation)
	for _, s := range sums {
		f.Sums = append(f.Sums, s)
	}
	slices.SortFunc(f.Sums, func(a, b VersionCounts) int {
		return cmp.Or(cmp.Compare(a.Item, b.Item), cmp.Compare(a.Number, b.Number))
	})
	for _, boot := range slices.Sorted(maps.Keys(others)) {
		all = append(all, others[boot])
	}
	return append(all, f)
}

// Folds are the newest folds that entries which hold have, by gateway and boot, as stretches without entries of their own.
func compactedIntervals(good []Entry) (all []Interval) {
	newest := map[chainID]Checkpoint{}
	for i := range good {
		for _, f := range good[i].Checkpoints {
			k := chainID{good[i].ID, f.Incarnation}
			if was, ok := newest[k]; !ok || was.Through < f.Through {
				newest[k] = f
			}
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(newest), func(a, b chainID) int {
		return cmp.Or(cmp.Compare(a.gateway, b.gateway), cmp.Compare(a.incarnation, b.incarnation))
	}) {
		f := newest[k]
		for _, s := range f.Sums {
			all = append(all, Interval{ID: k.gateway, Incarnation: k.incarnation, Item: s.Item, Number: s.Number, From: s.From, To: s.To, Counts: s.Counts, First: 1, Last: f.Through, Compacted: true})
		}
	}
	return all
}
