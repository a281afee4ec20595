package auditlog

import (
	"maps"
	"slices"
)

// Interval is a time interval in which one gateway operated under one version of an item.
type Interval struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"` // hexadecimal
	Item        string `json:"item"`
	Number      uint64 `json:"number"`
	From        int64  `json:"from"` // microseconds since 1970, by the gateway's clock
	To          int64  `json:"to"`
	Counts
	First uint64 `json:"first"` // number of the first entry that it is derived from
	Last  uint64 `json:"last"`  // number of the last entry

	// Compacted says that the interval is derived from a checkpoint instead of entries, because
	// these are no longer kept. First and Last then span all entries of the checkpoint.
	Compacted bool `json:"folded,omitempty"`
}

// Gap is a time interval that the log of an incarnation does not cover.
type Gap struct {
	ID          string `json:"id"`
	Incarnation string `json:"boot"` // hexadecimal
	From        int64  `json:"from"` // microseconds since 1970, by the gateway's clock
	To          int64  `json:"to"`   // 0 if no entry follows
	Why         string `json:"why"`
}

// Summarize merges valid entries into one audit: which gateway operated under which version, in
// which interval, and how many operations it did. A gap is a pause of more than maxPause
// microseconds between two entries, or a chain without a last entry. Entries of one chain must be
// in order.
func Summarize(valid []Entry, maxPause int64) (intervals []Interval, gaps []Gap) {
	type key struct {
		chain chainID
		item  string
	}
	open := map[key]int{} // index of the open interval
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
			if !ok || intervals[index].Number != e.InForce[item] {
				index = len(intervals)
				open[k] = index
				intervals = append(intervals, newInterval(e, item))
			}
			interval := &intervals[index]
			interval.To = e.EndedAt
			interval.Last = e.Seq
			interval.Counts = interval.Counts.Plus(e.Counts)
		}
	}
	gaps = append(gaps, openEnds(last)...)
	return append(compactedIntervals(valid), intervals...), gaps
}

// newInterval returns an interval that starts with an entry. The caller sets its end and counts.
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
