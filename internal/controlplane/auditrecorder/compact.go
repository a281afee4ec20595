package auditrecorder

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"mothcleat/internal/controlplane/auditlog"
)

// compact prepares the replacement of the older half of the entries by checkpoints in the next
// entry. The older half are those of the incarnations that ended first, and then the first entries
// of this incarnation. The batch that writes the next entry deletes them. The caller holds r.mu, or
// no other goroutine has access to the Recorder yet.
func (r *Recorder) compact() error {
	allEntries, err := readEntries(r.store, 0)
	if err != nil {
		return err
	}
	byIncarnation := map[string][]auditlog.Entry{}
	for _, e := range allEntries {
		byIncarnation[e.Incarnation] = append(byIncarnation[e.Incarnation], e)
	}
	own := incarnationText(r.state.Incarnation)
	deleted, limit := 0, len(allEntries)/2
	for _, incarnation := range oldestFirst(byIncarnation) {
		entries := byIncarnation[incarnation]
		if incarnation == own { // its newest entries are kept
			entries = entries[:max(0, min(len(entries), limit-deleted))]
		}
		if len(entries) == 0 || deleted >= limit {
			break
		}
		r.checkpoints = auditlog.Compact(entries, r.checkpoints)
		if err := r.deleteEntries(incarnation, entries); err != nil {
			return err
		}
		deleted += len(entries)
	}
	r.deletedEntries = deleted
	return nil
}

// oldestFirst returns the incarnations, sorted by when their last entries ended.
func oldestFirst(byIncarnation map[string][]auditlog.Entry) []string {
	endOf := func(incarnation string) int64 {
		entries := byIncarnation[incarnation]
		return entries[len(entries)-1].EndedAt
	}
	return slices.SortedFunc(maps.Keys(byIncarnation), func(a, b string) int {
		return cmp.Compare(endOf(a), endOf(b))
	})
}

// deleteEntries adds deletions of entries to the next batch.
func (r *Recorder) deleteEntries(incarnation string, entries []auditlog.Entry) error {
	number, err := strconv.ParseUint(incarnation, 16, 64)
	if err != nil {
		return err
	}
	for _, e := range entries {
		r.deletions.Delete(entryKey(number, e.Seq))
	}
	return nil
}
