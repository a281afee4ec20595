package store

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

// verify reads every byte: batches, blocks, and for each key the record that the index names.
func (s *Store) verify() error {
	seq := uint64(0)
	for _, g := range s.files.segments {
		end := g.length
		if g == s.active {
			end = s.end
		}
		for at := int64(fileHeaderBytes); at < end; {
			n, _, next, err := g.readBatch(at, end)
			if err != nil {
				return err
			}
			if next <= seq {
				return &DamageError{g.name, at, fmt.Sprintf("batch %d after %d", next, seq)}
			}
			seq, at = next, at+n
		}
	}
	for _, r := range s.files.runs {
		if err := r.verify(); err != nil {
			return err
		}
	}
	live, keys := map[uint64]int64{}, uint64(0)
	v := Snapshot{store: s, overlay: s.overlay, files: s.files}
	for e, err := range v.entries(nil, nil) {
		if err == nil {
			_, err = s.files.load(e.key, e.at)
		}
		if err != nil {
			return err
		}
		live[e.at.segment] += int64(e.at.size)
		keys++
	}
	for _, g := range s.files.segments {
		if g.live != live[g.id] {
			return &DamageError{
				manifestName,
				fileHeaderBytes,
				fmt.Sprintf("%s holds %d live bytes, not %d", g.name, live[g.id], g.live),
			}
		}
	}
	if keys != s.keys {
		return &DamageError{
			manifestName, fileHeaderBytes, fmt.Sprintf("%d keys, not %d", keys, s.keys),
		}
	}
	return nil
}

func (r *run) verify() error {
	var last []byte
	n := 0
	for w := r.from(nil); ; n++ {
		key, _, ok, err := w.next()
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		if n > 0 && bytes.Compare(key, last) <= 0 {
			return &DamageError{r.name, fileHeaderBytes, "keys out of order"}
		}
		if !r.filter.has(hash(key)) {
			return &DamageError{r.name, r.blocksEnd, "the filter lacks a key"}
		}
		last = append(last[:0], key...)
	}
	if n != r.entries {
		return &DamageError{r.name, r.blocksEnd, fmt.Sprintf("%d entries, not %d", n, r.entries)}
	}
	return nil
}

// Check opens a store without changing it and reads every byte.
func Check(dir string, opt Options) (Stats, error) {
	opt.ReadOnly, opt.Verify = true, true
	s, err := Open(dir, opt)
	if err != nil {
		return Stats{}, err
	}
	st := s.Stats()
	return st, s.Close()
}

// Remove takes a store away, damaged or not, and its folder if nothing else is in it. What a store
// did not make stays. A process that has the store open goes on with files that have no names.
func Remove(dir string) error {
	folder, err := DirFS(dir, false)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	names, err := folder.List()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	for _, name := range names {
		if isStoreFile(name) {
			err = errors.Join(err, folder.Remove(name))
		}
	}
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := os.Remove(dir); err != nil && !errors.Is(err, syscall.ENOTEMPTY) &&
		!errors.Is(err, syscall.EEXIST) {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// Report tells what Repair found and what it gave up.
type Report struct {
	RecoveredKeys int      // keys in the store made anew
	DamagedDir    string   // where the damaged folder is now
	Lost          []string // a line each
}

// Repair makes a store anew from what can be read of a damaged one, in its place; the damaged
// folder is kept beside it under another name. A key is kept only where it is sure that its value
// is the last one: what a damaged part of the index or of the log may have changed is given up, and
// said. Where the manifest itself can't be read that can't be known, and Repair fails unless
// fromLogs is set: then all that any readable batch put is there, and keys that were deleted may be
// there again.
func Repair(dir string, fromLogs bool) (rep Report, err error) {
	dir = filepath.Clean(dir)
	folder, err := DirFS(dir, false)
	if err != nil {
		return rep, fmt.Errorf("store: %w", err)
	}
	unlock, err := folder.Lock(false)
	if err != nil {
		return rep, fmt.Errorf("store: %w", err)
	}
	defer func() { err = errors.Join(err, unlock()) }()
	fresh := dir + ".repaired"
	if err := os.RemoveAll(fresh); err != nil {
		return rep, fmt.Errorf("store: %w", err)
	}
	to, err := Open(fresh, Options{})
	if err != nil {
		return rep, err
	}
	old := &salvage{fs: folder, to: to, report: &rep}
	if fromLogs {
		err = old.recoverByLogs()
	} else {
		err = old.recoverByManifest()
	}
	rep.RecoveredKeys = int(to.Stats().Keys)
	if err := errors.Join(err, to.Close()); err != nil {
		return rep, errors.Join(err, os.RemoveAll(fresh))
	}
	rep.DamagedDir = dir + ".damaged"
	for n := 2; ; n++ {
		if _, err := os.Lstat(rep.DamagedDir); errors.Is(err, fs.ErrNotExist) {
			break
		}
		rep.DamagedDir = fmt.Sprintf("%s.damaged.%d", dir, n)
	}
	if err := os.Rename(dir, rep.DamagedDir); err != nil {
		return rep, fmt.Errorf("store: %w", err)
	}
	if err := os.Rename(fresh, dir); err != nil {
		return rep, fmt.Errorf("store: %w", err)
	}
	return rep, syncDir(filepath.Dir(dir))
}

// salvage reads what it can of a damaged store.
type salvage struct {
	fs      FS
	to      *Store
	report  *Report
	pending Batch
}

func (v *salvage) recordLoss(format string, args ...any) {
	v.report.Lost = append(v.report.Lost, fmt.Sprintf(format, args...))
}

func (v *salvage) put(key, value []byte) error {
	v.pending.Put(key, value)
	if v.pending.Bytes() < 1<<20 {
		return nil
	}
	return v.flush()
}

func (v *salvage) flush() error {
	err := v.to.Commit(&v.pending, Durable)
	v.pending.Reset()
	return err
}

// gap is a part of a run that can't be read: keys from one on and before another (nil: all).
type gap struct{ from, to []byte }

// recoverByManifest goes by the manifest.
func (v *salvage) recoverByManifest() error {
	in, err := v.fs.Open(manifestName, false)
	if err != nil {
		return fmt.Errorf("store: %s: %w; only the logs are left to go by", manifestName, err)
	}
	m, err := readManifest(in)
	if err := errors.Join(err, in.Close()); err != nil {
		return fmt.Errorf("%w; only the logs are left to go by", err)
	}
	s := &Store{fs: v.fs, id: m.store, files: &fileSet{}, firstSeq: m.seq}
	var walkers []walker
	gaps := [][]gap{nil} // by walker
	for _, of := range append(slices.Clone(m.segments), sealedSegment{id: m.active}) {
		f, err := v.fs.Open(segmentName(of.id), false)
		if err != nil {
			v.recordLoss("%s: %v", segmentName(of.id), err)
			continue
		}
		defer f.Close()
		s.files.segments = append(s.files.segments,
			&segment{file: file{f: f, name: segmentName(of.id)}, id: of.id, length: of.length})
	}
	for _, of := range m.runs {
		w, missing := v.recoverRun(m.store, of)
		walkers, gaps = append(walkers, w), append(gaps, missing)
	}
	if s.active = s.files.segment(m.active); s.active != nil {
		size, err := s.active.f.Size()
		if err != nil {
			return err
		}
		change, at := (&Store{files: &fileSet{}}).newChange(), int64(fileHeaderBytes)
		for at < size {
			n, _, _, err := s.active.readBatch(at, size)
			if err == nil {
				err = s.active.records(at+batchHeaderBytes, at+n, func(r record, key []byte, at int64) error {
					return change.add(r.op, key, location{m.active, at, uint32(r.size())})
				})
			}
			if err != nil {
				v.recordLoss("%v: it and the %d bytes from there on", err, size-at)
				break
			}
			at += n
		}
		s.overlay = change.overlay
	}
	for all := merge(append([]walker{s.overlay.from("")}, walkers...)...); ; {
		key, at, ok, err := all.next()
		if err != nil {
			return err
		}
		if !ok {
			return v.flush()
		}
		if at.deleted() || hidden(gaps[:all.source], key) {
			continue
		}
		value, err := s.files.load(key, at)
		if err != nil {
			v.recordLoss("key %q: %v", key, err)
			continue
		}
		if err := v.put(key, value); err != nil {
			return err
		}
	}
}

// hidden reports whether a gap of a newer run may have held another value of a key.
func hidden(newer [][]gap, key []byte) bool {
	for _, gaps := range newer {
		for _, g := range gaps {
			if bytes.Compare(key, g.from) >= 0 && (g.to == nil || bytes.Compare(key, g.to) < 0) {
				return true
			}
		}
	}
	return false
}

// entryList is a walker over entries that were read before.
type entryList struct{ rest []entry }

func (l *entryList) next() (key []byte, at location, ok bool, err error) {
	if len(l.rest) == 0 {
		return nil, at, false, nil
	}
	e := l.rest[0]
	l.rest = l.rest[1:]
	return e.key, e.at, true, nil
}

// recoverRun reads the blocks of a run that can be read.
func (v *salvage) recoverRun(store uint64, of sealedRun) (walker, []gap) {
	all, out := []gap{{}}, &entryList{}
	f, err := v.fs.Open(runName(of.id), false)
	if err != nil {
		v.recordLoss("%s: %v: all keys that it may have changed", runName(of.id), err)
		return out, all
	}
	defer f.Close()
	r, err := openRun(f, store, of)
	if err != nil {
		v.recordLoss("%v: all keys that %s may have changed", err, runName(of.id))
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
			v.recordLoss("%v: keys from %q to before %q", err, g.from, g.to)
		}
	}
	return out, gaps
}

// recoverByLogs goes by the logs alone, in the order of their batches.
func (v *salvage) recoverByLogs() error {
	names, err := v.fs.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	v.recordLoss("what was deleted may be there again")
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
			v.recordLoss("%v: it and the %d bytes from there on", err, size-at)
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
