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
		for at := int64(headSize); at < end; {
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
	v := Snapshot{s: s, top: s.top, files: s.files}
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
				headSize,
				fmt.Sprintf("%s holds %d live bytes, not %d", g.name, live[g.id], g.live),
			}
		}
	}
	if keys != s.keys {
		return &DamageError{manifestName, headSize, fmt.Sprintf("%d keys, not %d", keys, s.keys)}
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
			return &DamageError{r.name, headSize, "keys out of order"}
		}
		if !r.filter.has(hash(key)) {
			return &DamageError{r.name, r.end, "the filter lacks a key"}
		}
		last = append(last[:0], key...)
	}
	if n != r.entries {
		return &DamageError{r.name, r.end, fmt.Sprintf("%d entries, not %d", n, r.entries)}
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
		if ours(name) {
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
	Kept     int      // keys in the store made anew
	Original string   // where the damaged folder is now
	GivenUp  []string // a line each
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
	old := &salvage{fs: folder, to: to, rep: &rep}
	if fromLogs {
		err = old.logs()
	} else {
		err = old.store()
	}
	rep.Kept = int(to.Stats().Keys)
	if err := errors.Join(err, to.Close()); err != nil {
		return rep, errors.Join(err, os.RemoveAll(fresh))
	}
	rep.Original = dir + ".damaged"
	for n := 2; ; n++ {
		if _, err := os.Lstat(rep.Original); errors.Is(err, fs.ErrNotExist) {
			break
		}
		rep.Original = fmt.Sprintf("%s.damaged.%d", dir, n)
	}
	if err := os.Rename(dir, rep.Original); err != nil {
		return rep, fmt.Errorf("store: %w", err)
	}
	if err := os.Rename(fresh, dir); err != nil {
		return rep, fmt.Errorf("store: %w", err)
	}
	return rep, syncDir(filepath.Dir(dir))
}

// salvage reads what it can of a damaged store.
type salvage struct {
	fs   FS
	to   *Store
	rep  *Report
	next Batch
}

func (v *salvage) lost(format string, args ...any) {
	v.rep.GivenUp = append(v.rep.GivenUp, fmt.Sprintf(format, args...))
}

func (v *salvage) put(key, value []byte) error {
	v.next.Put(key, value)
	if v.next.Bytes() < 1<<20 {
		return nil
	}
	return v.flush()
}

func (v *salvage) flush() error {
	err := v.to.Commit(&v.next, Durable)
	v.next.Reset()
	return err
}

// gap is a part of a run that can't be read: keys from one on and before another (nil: all).
type gap struct{ from, to []byte }

// store goes by the manifest.
func (v *salvage) store() error {
	in, err := v.fs.Open(manifestName, false)
	if err != nil {
		return fmt.Errorf("store: %s: %w; only the logs are left to go by", manifestName, err)
	}
	m, err := readManifest(in)
	if err := errors.Join(err, in.Close()); err != nil {
		return fmt.Errorf("%w; only the logs are left to go by", err)
	}
	s := &Store{fs: v.fs, id: m.store, files: &fileSet{}, first: m.seq}
	var walkers []walker
	gaps := [][]gap{nil} // by walker
	for _, of := range append(slices.Clone(m.segments), sealedSegment{id: m.active}) {
		f, err := v.fs.Open(segmentName(of.id), false)
		if err != nil {
			v.lost("%s: %v", segmentName(of.id), err)
			continue
		}
		defer f.Close()
		s.files.segments = append(s.files.segments,
			&segment{file: file{f: f, name: segmentName(of.id)}, id: of.id, length: of.length})
	}
	for _, of := range m.runs {
		w, missing := v.run(m.store, of)
		walkers, gaps = append(walkers, w), append(gaps, missing)
	}
	if s.active = s.files.segment(m.active); s.active != nil {
		size, err := s.active.f.Size()
		if err != nil {
			return err
		}
		change, at := (&Store{files: &fileSet{}}).change(), int64(headSize)
		for at < size {
			n, _, _, err := s.active.readBatch(at, size)
			if err == nil {
				err = s.active.records(at+batchHead, at+n, func(r record, key []byte, at int64) error {
					return change.add(r.op, key, location{m.active, at, uint32(r.size())})
				})
			}
			if err != nil {
				v.lost("%v: it and the %d bytes from there on", err, size-at)
				break
			}
			at += n
		}
		s.top = change.top
	}
	for all := merge(append([]walker{s.top.from("")}, walkers...)...); ; {
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
			v.lost("key %q: %v", key, err)
			continue
		}
		if err := v.put(key, value); err != nil {
			return err
		}
	}
}

// hidden tells whether a gap of a newer run may have held another value of a key.
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

// list is a walker over entries that were read before.
type list struct{ rest []entry }

func (l *list) next() (key []byte, at location, ok bool, err error) {
	if len(l.rest) == 0 {
		return nil, at, false, nil
	}
	e := l.rest[0]
	l.rest = l.rest[1:]
	return e.key, e.at, true, nil
}

// run reads the blocks of a run that can be read.
func (v *salvage) run(store uint64, of sealedRun) (walker, []gap) {
	all, out := []gap{{}}, &list{}
	f, err := v.fs.Open(runName(of.id), false)
	if err != nil {
		v.lost("%s: %v: all keys that it may have changed", runName(of.id), err)
		return out, all
	}
	defer f.Close()
	r, err := openRun(f, store, of)
	if err != nil {
		v.lost("%v: all keys that %s may have changed", err, runName(of.id))
		return out, all
	}
	var gaps []gap
	for i := range r.fence {
		block, err := r.block(i, new([]byte))
		for err == nil && len(block) > 0 {
			var e entry
			if e.key, e.at, block, err = r.entry(block); err == nil {
				out.rest = append(out.rest, e)
			}
		}
		if err != nil {
			_, from, _ := r.fenceAt(int(r.fence[i]))
			g := gap{from: from}
			if i+1 < len(r.fence) {
				_, g.to, _ = r.fenceAt(int(r.fence[i+1]))
			}
			gaps = append(gaps, g)
			v.lost("%v: keys from %q to before %q", err, g.from, g.to)
		}
	}
	return out, gaps
}

// logs goes by the logs alone, in the order of their batches.
func (v *salvage) logs() error {
	names, err := v.fs.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	v.lost("what was deleted may be there again")
	for _, name := range names {
		if !ours(name) || !strings.HasSuffix(name, ".log") {
			continue
		}
		if err := v.log(name); err != nil {
			return err
		}
	}
	return v.flush()
}

func (v *salvage) log(name string) error {
	f, err := v.fs.Open(name, false)
	if err != nil {
		return err
	}
	defer f.Close()
	g := &segment{file: file{f: f, name: name}}
	fmt.Sscanf(name, "%016x", &g.id)
	if _, err := readHead(f, name, kindSegment, 0, g.id); err != nil {
		v.lost("%v: the whole file", err)
		return nil
	}
	size, err := f.Size()
	if err != nil {
		return err
	}
	for at := int64(headSize); at < size; {
		n, _, _, err := g.readBatch(at, size)
		if err != nil {
			v.lost("%v: it and the %d bytes from there on", err, size-at)
			return nil
		}
		err = g.records(at+batchHead, at+n, func(r record, key []byte, at int64) error {
			if r.op == opDelete {
				v.next.Delete(key)
				return nil
			}
			b, _, err := g.read(location{g.id, at, uint32(r.size())})
			if err != nil {
				return err
			}
			return v.put(key, b[recordHead+int(r.key):])
		})
		if err != nil {
			return err
		}
		at += n
	}
	return nil
}
