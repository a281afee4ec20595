package store

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// salvage copies the readable data of a damaged store to a new store.
type salvage struct {
	fs      FS
	target  *Store
	report  *Report
	pending Batch
}

func (v *salvage) recordLoss(format string, args ...any) {
	v.report.Lost = append(v.report.Lost, fmt.Sprintf(format, args...))
}

// salvageBatchBytes is the batch size at which recovered keys are committed.
const salvageBatchBytes = 1 << 20

// put adds a key to the pending batch, which is committed once it is large enough.
func (v *salvage) put(key, value []byte) error {
	v.pending.Put(key, value)
	if v.pending.Bytes() < salvageBatchBytes {
		return nil
	}
	return v.flush()
}

func (v *salvage) flush() error {
	err := v.target.Commit(&v.pending, Durable)
	v.pending.Reset()
	return err
}

// gap is the range of keys [from, to) in an unreadable part of a run. nil means no bound.
type gap struct{ from, to []byte }

// recoverByManifest recovers the store that the manifest describes.
func (v *salvage) recoverByManifest() error {
	in, err := v.fs.Open(manifestName, false)
	if err != nil {
		return fmt.Errorf("store: %s: %w; only the logs are usable", manifestName, err)
	}
	m, err := readManifest(in)
	if err := errors.Join(err, in.Close()); err != nil {
		return fmt.Errorf("%w; only the logs are usable", err)
	}
	s := &Store{fs: v.fs, id: m.store, files: &fileSet{}, firstSeq: m.seq}
	defer s.closeSegments()
	v.openSegments(s, m)
	var runs []iterator
	gaps := [][]gap{nil} // by iterator; the first one, the overlay, has no gaps
	for _, sealed := range m.runs {
		w, missing := v.recoverRun(m.store, sealed)
		runs = append(runs, w)
		gaps = append(gaps, missing)
	}
	s.active = s.files.segment(m.active)
	if s.active != nil {
		if err := v.replayActive(s); err != nil {
			return err
		}
	}
	overlay := []iterator{s.overlay.from("")}
	return v.copyEntries(s.files, merge(append(overlay, runs...)...), gaps)
}

// openSegments opens the segments that the manifest lists and reports those that can't be opened.
func (v *salvage) openSegments(s *Store, m *manifest) {
	for _, sealed := range append(slices.Clone(m.segments), sealedSegment{id: m.active}) {
		name := segmentName(sealed.id)
		f, err := v.fs.Open(name, false)
		if err != nil {
			v.recordLoss("%s: %v", name, err)
			continue
		}
		g := &segment{file: file{f: f, name: name}, id: sealed.id, length: sealed.length}
		s.files.segments = append(s.files.segments, g)
	}
}

// closeSegments closes all segments. Errors do not matter, because the segments were only read.
func (s *Store) closeSegments() {
	for _, g := range s.files.segments {
		_ = g.f.Close()
	}
}

// replayActive sets the overlay from the active segment's batches up to the first damaged one.
func (v *salvage) replayActive(s *Store) error {
	size, err := s.active.f.Size()
	if err != nil {
		return err
	}
	change := (&Store{files: &fileSet{}}).newChange()
	add := func(r record, key []byte, at int64) error {
		return change.add(r.op, key, location{s.active.id, at, uint32(r.size())})
	}
	for at := int64(fileHeaderBytes); at < size; {
		n, _, _, err := s.active.readBatch(at, size)
		if err == nil {
			err = s.active.records(at+batchHeaderBytes, at+n, add)
		}
		if err != nil {
			v.recordLoss("%v: all %d bytes from the damaged batch on", err, size-at)
			break
		}
		at += n
	}
	s.overlay = change.overlay
	return nil
}

// copyEntries copies the keys whose readable value is certainly the newest to the new store.
// gaps[i] are the unreadable parts of iterator i of all.
func (v *salvage) copyEntries(files *fileSet, all *mergeIterator, gaps [][]gap) error {
	for {
		key, at, ok, err := all.next()
		if err != nil {
			return err
		}
		if !ok {
			return v.flush()
		}
		if at.deleted() || mayBeShadowed(gaps[:all.source], key) {
			continue
		}
		value, err := files.load(key, at)
		if err != nil {
			v.recordLoss("key %q: %v", key, err)
			continue
		}
		if err := v.put(key, value); err != nil {
			return err
		}
	}
}

// mayBeShadowed reports whether a gap of a newer run may hold a newer entry of a key.
func mayBeShadowed(newer [][]gap, key []byte) bool {
	for _, gaps := range newer {
		for _, g := range gaps {
			if bytes.Compare(key, g.from) >= 0 && (g.to == nil || bytes.Compare(key, g.to) < 0) {
				return true
			}
		}
	}
	return false
}

// sliceIterator iterates over entries in memory.
type sliceIterator struct{ rest []entry }

func (l *sliceIterator) next() (key []byte, at location, ok bool, err error) {
	if len(l.rest) == 0 {
		return nil, at, false, nil
	}
	e := l.rest[0]
	l.rest = l.rest[1:]
	return e.key, e.at, true, nil
}

// recoverRun returns the entries of the readable blocks of a run and the gaps between them. It
// reports the gaps as lost.
func (v *salvage) recoverRun(store uint64, sealed sealedRun) (iterator, []gap) {
	all := []gap{{}}
	out := &sliceIterator{}
	f, err := v.fs.Open(runName(sealed.id), false)
	if err != nil {
		v.recordLoss("%s: %v: all keys that it may have changed", runName(sealed.id), err)
		return out, all
	}
	defer f.Close()
	r, err := openRun(f, store, sealed)
	if err != nil {
		v.recordLoss("%v: all keys that %s may have changed", err, runName(sealed.id))
		return out, all
	}
	var gaps []gap
	for i := range r.fenceOffsets {
		block, err := r.block(i, new([]byte))
		for err == nil && len(block) > 0 {
			var e entry
			if e.key, e.at, block, err = r.entry(block); err == nil {
				out.rest = append(out.rest, e)
			}
		}
		if err != nil {
			_, from, _ := r.fenceAt(int(r.fenceOffsets[i]))
			g := gap{from: from}
			if i+1 < len(r.fenceOffsets) {
				_, g.to, _ = r.fenceAt(int(r.fenceOffsets[i+1]))
			}
			gaps = append(gaps, g)
			v.recordLoss("%v: keys from %q to %q (exclusive)", err, g.from, g.to)
		}
	}
	return out, gaps
}

// recoverByLogs recovers from the segments alone, in the order of their batches.
func (v *salvage) recoverByLogs() error {
	names, err := v.fs.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	v.recordLoss("deleted keys may have reappeared")
	for _, name := range names {
		if !isStoreFile(name) || !strings.HasSuffix(name, ".log") {
			continue
		}
		if err := v.recoverLog(name); err != nil {
			return err
		}
	}
	return v.flush()
}

func (v *salvage) recoverLog(name string) error {
	f, err := v.fs.Open(name, false)
	if err != nil {
		return err
	}
	defer f.Close()
	g := &segment{file: file{f: f, name: name}}
	fmt.Sscanf(name, "%016x", &g.id)
	if _, err := readHeader(f, name, kindSegment, 0, g.id); err != nil {
		v.recordLoss("%v: the whole file", err)
		return nil
	}
	size, err := f.Size()
	if err != nil {
		return err
	}
	for at := int64(fileHeaderBytes); at < size; {
		n, _, _, err := g.readBatch(at, size)
		if err != nil {
			v.recordLoss("%v: all %d bytes from the damaged batch on", err, size-at)
			return nil
		}
		err = g.records(at+batchHeaderBytes, at+n, func(r record, key []byte, at int64) error {
			if r.op == opDelete {
				v.pending.Delete(key)
				return nil
			}
			b, _, err := g.read(location{g.id, at, uint32(r.size())})
			if err != nil {
				return err
			}
			return v.put(key, b[recordHeaderBytes+int(r.keyBytes):])
		})
		if err != nil {
			return err
		}
		at += n
	}
	return nil
}
