package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
)

// mergeJob merges several runs that are adjacent in age into one.
type mergeJob struct {
	runs   []*run
	input  *mergeIterator
	output *runWriter
	// bottom is set if no other run is older. Then deletions need no entries in the merged run.
	bottom bool
}

// copyJob copies the live records of a segment to the end of the log, so that the segment can be
// removed.
type copyJob struct {
	source *segment
	// batchAt is the offset of the next batch.
	batchAt int64
	// recordAt is the file offset of the next record in that batch, 0 until its header is read.
	recordAt int64
	// batchEnd is the offset of the end of that batch.
	batchEnd int64
}

// entryCost is the number of bytes that an entry is charged to the budget of a compaction step.
const entryCost = 32

// compactInBackground runs one compaction step as part of a commit. An error does not affect the
// committed data. Stats reports it, and Compact if it recurs there.
func (s *Store) compactInBackground(budget int) { s.backgroundErr = s.compactWithin(budget) }

// compactWithin runs one step of sealing, merging and copying within a budget of bytes.
func (s *Store) compactWithin(budget int) error {
	if err := s.writable(); err != nil {
		return err
	}
	if (s.end >= s.options.SegmentBytes || s.overlayKeys >= s.options.MaxOverlayKeys) &&
		s.end >= s.retrySealAt {
		if err := s.seal(); err != nil {
			s.retrySealAt = s.end + s.options.SegmentBytes/8
			return err
		}
	}
	if s.merging == nil {
		s.planMerge()
	}
	if s.merging != nil {
		if err := s.continueMerge(budget); err != nil {
			s.abandonMerge()
			return err
		}
	}
	if s.copying == nil {
		if err := s.planSegmentCopy(0); err != nil {
			return err
		}
	}
	if s.copying != nil {
		if err := s.continueSegmentCopy(budget); err != nil {
			s.copying = nil
			return err
		}
	}
	return nil
}

// Compact runs all compaction that is due, which commits otherwise do in steps. It also rewrites
// the sealed segments with dead records, except those that consist of at least 90% live records.
// Commits wait for at most one step.
func (s *Store) Compact(ctx context.Context) error {
	for before := uint64(0); ; {
		s.becomeWriter()
		more, err := s.compactStep(&before)
		s.handOverWriter()
		if err != nil || !more {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// compactStep runs one step of Compact and reports whether more steps are due. Compact empties only
// the segments that existed when it began: those with ids below *before, which the first step sets.
func (s *Store) compactStep(before *uint64) (more bool, err error) {
	if err := s.writable(); err != nil {
		return false, err
	}
	if *before == 0 {
		if s.overlayKeys > 0 {
			if err := s.seal(); err != nil {
				return false, err
			}
		}
		*before = s.active.id
	}
	if err := s.compactWithin(s.options.CompactionStepBytes); err != nil {
		return false, err
	}
	if s.merging == nil && s.copying == nil {
		if err := s.planSegmentCopy(*before); err != nil {
			return false, err
		}
	}
	return s.merging != nil || s.copying != nil, nil
}

// seal ends the active segment: it writes the overlay to a run and starts a new segment.
func (s *Store) seal() error {
	if err := s.sync(); err != nil {
		return err
	}
	w, err := s.newRunWriter(s.overlayKeys)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	r, err := s.writeRun(w, s.overlay.from(""), len(s.files.runs) == 0)
	if err != nil {
		return errors.Join(fmt.Errorf("store: %w", err), s.discard(w))
	}
	old := s.active
	oldEnd := s.end
	if err := s.startSegment(); err != nil {
		return errors.Join(fmt.Errorf("store: %w", err), s.discard(w))
	}
	old.length = oldEnd
	set := &fileSet{
		segments: append(slices.Clone(s.files.segments), s.active),
		runs:     append([]*run{r}, s.files.runs...),
	}
	for _, g := range set.segments {
		g.liveAtSeal = g.live
	}
	if err := s.fs.Sync(); err != nil {
		return s.failPermanently(err)
	}
	if err := s.writeManifest(set, s.active.id, s.seq+1, s.keys); err != nil {
		return s.failPermanently(err)
	}
	s.firstSeq = s.seq + 1
	s.baseKeys = s.keys
	s.overlayKeys = 0
	s.installFiles(set, nil)
	return s.writeMark()
}

// writeRun writes all entries of an iterator to a run, without deletions if bottom is set.
func (s *Store) writeRun(w *runWriter, from iterator, bottom bool) (*run, error) {
	for {
		key, at, ok, err := from.next()
		if err != nil {
			return nil, err
		}
		if !ok {
			return w.finish()
		}
		if at.deleted() && bottom {
			continue
		}
		if err := w.add(key, at); err != nil {
			return nil, err
		}
	}
}

// planMerge starts a merge if the newer runs together have reached half the size of an older one.
// This keeps the number of runs small, and at most half of all entries are shadowed by newer ones.
func (s *Store) planMerge() {
	runs := s.files.runs
	newer := 0 // number of entries in the runs before runs[i]
	n := 0     // number of runs to merge
	for i, r := range runs {
		if i > 0 && 2*newer >= r.entries {
			n = i + 1
		}
		newer += r.entries
	}
	if n == 0 {
		return
	}
	j := &mergeJob{runs: runs[:n], bottom: n == len(runs)}
	var from []iterator
	maxKeys := 0
	for _, r := range j.runs {
		from = append(from, r.from(nil))
		maxKeys += r.entries
	}
	w, err := s.newRunWriter(maxKeys)
	if err != nil {
		s.backgroundErr = fmt.Errorf("store: %w", err)
		return
	}
	j.input = merge(from...)
	j.output = w
	s.merging = j
}

// continueMerge continues the merge within a budget of bytes.
func (s *Store) continueMerge(budget int) error {
	j := s.merging
	for ; budget > 0; budget -= entryCost {
		key, at, ok, err := j.input.next()
		if err != nil {
			return err
		}
		if !ok {
			return s.finishMerge(j)
		}
		if at.deleted() && j.bottom {
			continue
		}
		s.stats.MergedEntries++
		if err := j.output.add(key, at); err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	return nil
}

// finishMerge replaces the merged runs by the new run.
func (s *Store) finishMerge(j *mergeJob) error {
	r, err := j.output.finish()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := s.fs.Sync(); err != nil {
		return s.failPermanently(err)
	}
	at := slices.Index(s.files.runs, j.runs[0]) // sealing may have added newer runs before these
	runs := slices.Clone(s.files.runs[:at])
	if r.entries > 0 {
		runs = append(runs, r)
	}
	runs = append(runs, s.files.runs[at+len(j.runs):]...)
	if err := s.replaceFiles(&fileSet{segments: s.files.segments, runs: runs}); err != nil {
		return err
	}
	s.merging = nil
	if r.entries == 0 {
		if err := s.discard(j.output); err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	for _, r := range j.runs {
		if err := s.fs.Remove(r.name); err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	return nil
}

// replaceFiles writes a manifest with another set of files and the same active segment.
func (s *Store) replaceFiles(set *fileSet) error {
	if err := s.writeManifest(set, s.active.id, s.firstSeq, s.baseKeys); err != nil {
		return s.failPermanently(err)
	}
	s.installFiles(set, s.overlay)
	return nil
}

// abandonMerge cancels an unfinished merge.
func (s *Store) abandonMerge() {
	if j := s.merging; j != nil {
		s.merging = nil
		_ = s.discard(j.output) // if this fails, the next Open removes the file
	}
}

// discard closes and removes a run that is unfinished or not needed.
func (s *Store) discard(w *runWriter) error {
	return errors.Join(w.f.Close(), s.fs.Remove(w.name))
}

// planSegmentCopy removes a sealed segment without live records, if there is one. Otherwise it may
// start to copy the segment with the smallest live fraction. If before is 0, it does so once more
// than half of the sealed log is dead. If not, it considers only segments with ids below before,
// and copies the segment if less than 90% of it are live records.
func (s *Store) planSegmentCopy(before uint64) error {
	var worst *segment
	var live, length int64
	for _, g := range s.files.segments {
		if g == s.active {
			continue
		}
		if g.live == 0 {
			return s.removeSegment(g)
		}
		live += g.live
		length += g.length
		if before != 0 && g.id >= before {
			continue
		}
		if worst == nil || g.liveFraction() < worst.liveFraction() {
			worst = g
		}
	}
	switch {
	case worst == nil:
		return nil
	case before == 0 && 2*live >= length:
		return nil
	case before != 0 && worst.live*10 >= (worst.length-fileHeaderBytes)*9:
		return nil // the copy would reclaim mostly batch headers
	}
	s.copying = &copyJob{source: worst, batchAt: fileHeaderBytes}
	return nil
}

// errBudgetExhausted stops the iteration over records when the budget of a step is used up.
var errBudgetExhausted = errors.New("store: compaction budget exhausted")

// continueSegmentCopy continues to copy the live records of a segment within a budget of bytes.
// After the last record it removes the segment.
func (s *Store) continueSegmentCopy(budget int) error {
	j := s.copying
	var b Batch
	if err := s.collectLive(j, &b, budget); err != nil {
		return err
	}
	if b.count > 0 {
		c := &commit{batch: &b}
		if err := s.appendGroup([]*commit{c}); err != nil {
			return err
		}
	}
	if j.batchAt < j.source.length {
		return nil
	}
	s.copying = nil
	if j.source.live != 0 {
		return &DamageError{
			j.source.name, 0, fmt.Sprintf("%d live bytes belong to no record", j.source.live),
		}
	}
	return s.removeSegment(j.source)
}

// collectLive adds the live records of a segment to a batch until the budget is exhausted.
func (s *Store) collectLive(j *copyJob, b *Batch, budget int) error {
	collect := func(r record, key []byte, at int64) error {
		if budget <= 0 {
			return errBudgetExhausted
		}
		budget -= entryCost + int(r.keyBytes)
		j.recordAt = at + r.size()
		if r.op == opDelete {
			return nil
		}
		now, ok, err := find(s.overlay, s.files, key, &s.block)
		if err != nil || !ok || now.segment != j.source.id || now.offset != at {
			return err
		}
		raw, _, err := j.source.read(now)
		if err != nil {
			return err
		}
		budget -= int(r.valueBytes)
		s.stats.CopiedBytes += r.size()
		b.body = append(b.body, raw...)
		b.count++
		return nil
	}
	for budget > 0 && j.batchAt < j.source.length {
		if j.recordAt == 0 {
			n, _, _, err := j.source.readBatch(j.batchAt, j.source.length)
			if err != nil {
				return err
			}
			j.recordAt = j.batchAt + batchHeaderBytes
			j.batchEnd = j.batchAt + n
		}
		err := j.source.records(j.recordAt, j.batchEnd, collect)
		if errors.Is(err, errBudgetExhausted) {
			return nil
		}
		if err != nil {
			return err
		}
		j.batchAt = j.batchEnd
		j.recordAt = 0
	}
	return nil
}

// removeSegment removes a segment without live records from the store.
func (s *Store) removeSegment(g *segment) error {
	if err := s.sync(); err != nil { // makes the newer records of its keys durable
		return err
	}
	rest := slices.DeleteFunc(slices.Clone(s.files.segments), func(other *segment) bool {
		return other == g
	})
	if err := s.replaceFiles(&fileSet{segments: rest, runs: s.files.runs}); err != nil {
		return err
	}
	if err := s.fs.Remove(g.name); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}
