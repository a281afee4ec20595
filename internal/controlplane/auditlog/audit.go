package auditlog

import (
	"cmp"
	"maps"
	"slices"
)

// Interval is an interval in which one gateway operated under one version of an item.
type Interval struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"`
	Item        string `json:"item"`
	Number      uint64 `json:"number"`
	From        int64  `json:"from"` // microseconds since 1970, by the gateway's clock
	To          int64  `json:"to"`
	Counts
	First uint64 `json:"first"` // number of the first entry that it is derived from
	Last  uint64 `json:"last"`
	// Compacted tells that it is derived from summaries in place of entries that are no longer kept. First and Last
	// then name all entries of the summary.
	Compacted bool `json:"folded,omitempty"`
}

// Gap is an interval that the log of an incarnation does not cover.
type Gap struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"`
	From        int64  `json:"from"`
	To          int64  `json:"to"` // 0 where no entry follows
	Why         string `json:"why"`
}

// Summarize joins verified entries: which gateway operated under which version, from when to when and how often. Gaps are
// more than most microseconds between two entries, and chains without a last entry.
func Summarize(good []Entry, most int64) (all []Interval, gaps []Gap) {
	type key struct{ id, boot, item string }
	open := map[key]int{} // where the stretch under way stands
	last := map[chainID]*Entry{}
	for i := range good {
		e := &good[i]
		c := chainID{e.ID, e.Incarnation}
		if before := last[c]; before != nil && e.StartedAt-before.EndedAt > most {
			gaps = append(gaps, Gap{e.ID, e.Incarnation, before.EndedAt, e.StartedAt, "nothing was written"})
		}
		last[c] = e
		for _, item := range slices.Sorted(maps.Keys(e.InForce)) {
			k := key{e.ID, e.Incarnation, item}
			at, ok := open[k]
			if !ok || all[at].Number != e.InForce[item] {
				at = len(all)
				open[k] = at
				all = append(all, Interval{ID: e.ID, Incarnation: e.Incarnation, Item: item, Number: e.InForce[item], From: e.StartedAt, First: e.Seq})
			}
			s := &all[at]
			s.To, s.Last, s.Counts = e.EndedAt, e.Seq, s.Counts.Plus(e.Counts)
		}
	}
	for _, c := range slices.SortedFunc(maps.Keys(last), func(a, b chainID) int {
		return cmp.Or(cmp.Compare(a.gateway, b.gateway), cmp.Compare(a.incarnation, b.incarnation))
	}) {
		if e := last[c]; !e.Last {
			gaps = append(gaps, Gap{c.gateway, c.incarnation, e.EndedAt, 0, "the record has no end: the process runs, or its folder was lost"})
		}
	}
	return append(compactedIntervals(good), all...), gaps
}
