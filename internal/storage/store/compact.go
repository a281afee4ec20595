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
	from   *merged
	to     *runWriter
	bottom bool // there is none older: deletions need no entry any more
}

// moveJob copies the live records of a segment to the end of the log, so that it can go.
type moveJob struct {
	g  *segment
	at int64 // of the next batch
	in int64 // within it, of the next record; 0: at its head
	to int64 // where that batch ends
}

// mergeEntry is what an entry of a merge costs in a step's bytes.
const mergeEntry = 32

// step does some of the work that keeps the store small. Its errors leave what was committed
// as it is; they are kept for Stats and Compact.
func (s *Store) step(budget int) { s.background = s.work(budget) }

func (s *Store) work(budget int) error {
	if err := s.writable(); err != nil {
		return err
	}
	if (s.end >= s.opt.SegmentBytes || s.count >= s.opt.Overlay) && s.end >= s.sealAt {
		if err := s.seal(); err != nil {
			s.sealAt = s.end + s.opt.SegmentBytes/8
			return err
		}
	}
	if s.merging == nil {
		s.planMerge()
	}
	if s.merging != nil {
		if err := s.mergeOn(budget); err != nil {
			s.abandon()
			return err
		}
	}
	if s.moving == nil {
		if err := s.planMove(0); err != nil {
			return err
		}
	}
	if s.moving != nil {
		if err := s.moveOn(budget); err != nil {
			s.moving = nil
			return err
		}
	}
	return nil
}

// Compact does all the work that is due at once, where it would otherwise go along with commits,
// and gives the space of everything that is not live back. Commits wait for its steps only.
func (s *Store) Compact(ctx context.Context) error {
	for before := uint64(0); ; {
		s.lead()
		more, err := s.compactStep(&before)
		s.follow()
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
		if s.count > 0 {
			if err := s.seal(); err != nil {
				return false, err
			}
		}
		*before = s.active.id
	}
	if err := s.work(s.opt.Step); err != nil {
		return false, err
	}
	if s.merging == nil && s.moving == nil {
		if err := s.planMove(*before); err != nil {
			return false, err
		}
	}
	return s.merging != nil || s.moving != nil, nil
}

// seal ends the active segment: its keys go into a run, and a new segment begins.
func (s *Store) seal() error {
	if err := s.sync(); err != nil {
		return err
	}
	w, err := s.newRunWriter(s.count)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	r, err := s.drain(w, s.top.from(""), len(s.files.runs) == 0)
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
		g.base = g.live
	}
	if err := s.fs.Sync(); err != nil {
		return s.fail(err)
	}
	if err := s.writeManifest(set, s.active.id, s.seq+1, s.keys); err != nil {
		return s.fail(err)
	}
	s.first, s.baseKeys, s.count = s.seq+1, s.keys, 0
	s.swap(set, nil)
	return s.writeMark()
}

// drain writes all entries of a walker into a run.
func (s *Store) drain(w *runWriter, from walker, bottom bool) (*run, error) {
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
		s.background = fmt.Errorf("store: %w", err)
		return
	}
	j.from, j.to = merge(from...), w
	s.merging = j
}

// mergeOn goes on with a merge.
func (s *Store) mergeOn(budget int) error {
	j := s.merging
	for ; budget > 0; budget -= mergeEntry {
		key, at, ok, err := j.from.next()
		if err != nil {
			return err
		}
		if !ok {
			return s.endMerge(j)
		}
		if at.deleted() && j.bottom {
			continue
		}
		s.stats.Merged++
		if err := j.to.add(key, at); err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	return nil
}

func (s *Store) endMerge(j *mergeJob) error {
	r, err := j.to.finish()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := s.fs.Sync(); err != nil {
		return s.fail(err)
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
	if err := s.writeManifest(set, s.active.id, s.first, s.baseKeys); err != nil {
		return s.fail(err)
	}
	s.swap(set, s.top)
	return nil
}

// abandon gives up a merge that is not finished.
func (s *Store) abandon() {
	if j := s.merging; j != nil {
		s.merging = nil
		_ = s.discard(j.to) // else the next Open does
	}
}

// discard takes away a run that is not finished, or not needed.
func (s *Store) discard(w *runWriter) error {
	return errors.Join(w.f.Close(), s.fs.Remove(w.name))
}

// planMove looks for a segment that should go: one without live records at once, else the one with
// the smallest share of them once half of the log is dead, or any before one that has dead ones.
func (s *Store) planMove(before uint64) error {
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
	case before != 0 && worst.live*10 >= (worst.length-headSize)*9:
		return nil // what would be won is heads of batches, mostly
	}
	s.moving = &moveJob{g: worst, at: headSize}
	return nil
}

// moveOn goes on with emptying a segment.
func (s *Store) moveOn(budget int) error {
	j := s.moving
	var b Batch
	for budget > 0 && j.at < j.g.length {
		if j.in == 0 {
			n, _, _, err := j.g.readBatch(j.at, j.g.length)
			if err != nil {
				return err
			}
			j.in, j.to = j.at+batchHead, j.at+n
		}
		var full = errors.New("full")
		err := j.g.records(j.in, j.to, func(r record, key []byte, at int64) error {
			if budget <= 0 {
				return full
			}
			budget -= mergeEntry + int(r.key)
			j.in = at + r.size()
			if r.op == opDelete {
				return nil
			}
			now, ok, err := find(s.top, s.files, key, &s.block)
			if err != nil || !ok || now.segment != j.g.id || now.offset != at {
				return err
			}
			rec, _, err := j.g.read(now)
			if err != nil {
				return err
			}
			budget -= int(r.val)
			s.stats.Moved += r.size()
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
		j.at, j.in = j.to, 0
	}
	if b.count > 0 {
		c := &commit{batch: &b}
		if err := s.append([]*commit{c}); err != nil {
			return err
		}
	}
	if j.at < j.g.length {
		return nil
	}
	s.moving = nil
	if j.g.live != 0 {
		return &DamageError{
			j.g.name, 0, fmt.Sprintf("%d bytes are live that no record holds", j.g.live),
		}
	}
	return s.removeSegment(j.g)
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
