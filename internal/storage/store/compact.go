package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
)

// mergeJob makes one run of several that follow each other in age.
type mergeJob struct {
	runs   []*run
	from   *mergeWalker
	to     *runWriter
	bottom bool // there is none older: deletions need no entry any more
}

// copyJob copies the live records of a segment to the end of the log, so that it can go.
type copyJob struct {
	source   *segment
	batchAt  int64 // of the next batch
	recordAt int64 // within it, of the next record; 0: at its head
	batchEnd int64 // where that batch ends
}

// entryCost is what an entry of a merge costs in a step's bytes.
const entryCost = 32

// compactInBackground does some of the work that keeps the store small. Its errors leave what was
// committed as it is; they are kept for Stats and Compact.
func (s *Store) compactInBackground(budget int) { s.backgroundErr = s.compactWithin(budget) }

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

// Compact does all the work that is due at once, where it would otherwise go along with commits,
// and gives the space of everything that is not live back. Commits wait for its steps only.
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

// compactStep is one step of Compact, which empties segments before one: those there when it began.
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

// seal ends the active segment: its keys go into a run, and a new segment begins.
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
	old, oldEnd := s.active, s.end
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
	s.firstSeq, s.baseKeys, s.overlayKeys = s.seq+1, s.keys, 0
	s.installFiles(set, nil)
	return s.writeMark()
}

// writeRun writes all entries of a walker into a run.
func (s *Store) writeRun(w *runWriter, from walker, bottom bool) (*run, error) {
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

// planMerge begins a merge where the newer runs have grown to half of an older one. So there
// are few runs, and entries that newer ones hide are at most as many as the others.
func (s *Store) planMerge() {
	runs, newer, n := s.files.runs, 0, 0
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
	var from []walker
	most := 0
	for _, r := range j.runs {
		from = append(from, r.from(nil))
		most += r.entries
	}
	w, err := s.newRunWriter(most)
	if err != nil {
		s.backgroundErr = fmt.Errorf("store: %w", err)
		return
	}
	j.from, j.to = merge(from...), w
	s.merging = j
}

// continueMerge goes on with a merge.
func (s *Store) continueMerge(budget int) error {
	j := s.merging
	for ; budget > 0; budget -= entryCost {
		key, at, ok, err := j.from.next()
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
		if err := j.to.add(key, at); err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	return nil
}

func (s *Store) finishMerge(j *mergeJob) error {
	r, err := j.to.finish()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := s.fs.Sync(); err != nil {
		return s.failPermanently(err)
	}
	at := slices.Index(s.files.runs, j.runs[0]) // sealing may have put newer ones before them
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
		if err := s.discard(j.to); err != nil {
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

// replaceFiles has the manifest name another set, with the active segment as it began.
func (s *Store) replaceFiles(set *fileSet) error {
	if err := s.writeManifest(set, s.active.id, s.firstSeq, s.baseKeys); err != nil {
		return s.failPermanently(err)
	}
	s.installFiles(set, s.overlay)
	return nil
}

// abandonMerge gives up a merge that is not finished.
func (s *Store) abandonMerge() {
	if j := s.merging; j != nil {
		s.merging = nil
		_ = s.discard(j.to) // else the next Open does
	}
}

// discard takes away a run that is not finished, or not needed.
func (s *Store) discard(w *runWriter) error {
	return errors.Join(w.f.Close(), s.fs.Remove(w.name))
}

// planSegmentCopy looks for a segment that should go: one without live records at once, else the
// one with the smallest share of them once half of the log is dead, or any before one that has dead
// ones.
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
		live, length = live+g.live, length+g.length
		if before != 0 && g.id >= before {
			continue
		}
		if worst == nil ||
			float64(g.live)/float64(g.length) < float64(worst.live)/float64(worst.length) {
			worst = g
		}
	}
	switch {
	case worst == nil:
		return nil
	case before == 0 && 2*live >= length:
		return nil
	case before != 0 && worst.live*10 >= (worst.length-fileHeaderBytes)*9:
		return nil // what would be won is heads of batches, mostly
	}
	s.copying = &copyJob{source: worst, batchAt: fileHeaderBytes}
	return nil
}

// continueSegmentCopy goes on with emptying a segment.
func (s *Store) continueSegmentCopy(budget int) error {
	j := s.copying
	var b Batch
	for budget > 0 && j.batchAt < j.source.length {
		if j.recordAt == 0 {
			n, _, _, err := j.source.readBatch(j.batchAt, j.source.length)
			if err != nil {
				return err
			}
			j.recordAt, j.batchEnd = j.batchAt+batchHeaderBytes, j.batchAt+n
		}
		var full = errors.New("full")
		err := j.source.records(j.recordAt, j.batchEnd, func(r record, key []byte, at int64) error {
			if budget <= 0 {
				return full
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
			rec, _, err := j.source.read(now)
			if err != nil {
				return err
			}
			budget -= int(r.valueBytes)
			s.stats.CopiedBytes += r.size()
			b.body = append(b.body, rec...)
			b.count++
			return nil
		})
		if err == full {
			break
		}
		if err != nil {
			return err
		}
		j.batchAt, j.recordAt = j.batchEnd, 0
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
			j.source.name, 0, fmt.Sprintf("%d bytes are live that no record holds", j.source.live),
		}
	}
	return s.removeSegment(j.source)
}

// removeSegment takes a segment without live records out of the store.
func (s *Store) removeSegment(g *segment) error {
	if err := s.sync(); err != nil { // what hides or holds its records now
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
