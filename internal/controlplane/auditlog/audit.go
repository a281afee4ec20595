package auditlog

import (
	"maps"
	"slices"
)

// Interval is an interval in which one gateway operated under one version of an item.
type Interval struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"` // hexadecimal
	Item        string `json:"item"`
	Number      uint64 `json:"number"`
	From        int64  `json:"from"` // microseconds since 1970, by the gateway's clock
	To          int64  `json:"to"`
	Counts
	First uint64 `json:"first"` // number of the first entry that it is derived from
	Last  uint64 `json:"last"`

	// Compacted tells that it is derived from checkpoints in place of entries that are no longer
	// kept. First and Last then name all entries of the checkpoint.
	Compacted bool `json:"folded,omitempty"`
}

// Gap is an interval that the log of an incarnation does not cover.
type Gap struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"` // hexadecimal
	From        int64  `json:"from"` // microseconds since 1970, by the gateway's clock
	To          int64  `json:"to"`   // 0 where no entry follows
	Why         string `json:"why"`
}

// Summarize joins valid entries to one audit: which gateway operated under which version, from when
// to when and how often. Gaps are more than maxPause microseconds between two entries, and chains
// without a last entry. Entries of one chain must be in order.
func Summarize(valid []Entry, maxPause int64) (all []Interval, gaps []Gap) {
	type key struct {
		chain chainID
		item  string
	}
	open := map[key]int{} // index of the interval that is open
	last := map[chainID]*Entry{}
	for i := range valid {
		e := &valid[i]
		before := last[e.chain()]
		if before != nil && e.StartedAt-before.EndedAt > maxPause {
			gaps = append(gaps, Gap{e.ID, e.Incarnation, before.EndedAt, e.StartedAt,
				"nothing was written"})
		}
		last[e.chain()] = e
		for _, item := range slices.Sorted(maps.Keys(e.InForce)) {
			k := key{e.chain(), item}
			index, ok := open[k]
			if !ok || all[index].Number != e.InForce[item] {
				index = len(all)
				open[k] = index
				all = append(all, newInterval(e, item))
			}
			interval := &all[index]
			interval.To = e.EndedAt
			interval.Last = e.Seq
			interval.Counts = interval.Counts.Plus(e.Counts)
		}
	}
	gaps = append(gaps, openEnds(last)...)
	return append(compactedIntervals(valid), all...), gaps
}

// newInterval returns an interval that starts with an entry, without the entry's counts.
func newInterval(e *Entry, item string) Interval {
	return Interval{
		ID:          e.ID,
		Incarnation: e.Incarnation,
		Item:        item,
		Number:      e.InForce[item],
		From:        e.StartedAt,
		First:       e.Seq,
	}
}

// openEnds returns a gap for each chain without a last entry.
func openEnds(last map[chainID]*Entry) (gaps []Gap) {
	for _, id := range slices.SortedFunc(maps.Keys(last), compareChains) {
		if e := last[id]; !e.Last {
			why := "the log has no end: the process runs, or its folder was lost"
			gaps = append(gaps, Gap{id.gateway, id.incarnation, e.EndedAt, 0, why})
		}
	}
	return gaps
}
