package store

import (
	"bytes"
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"
	"iter"
	"slices"
	"sync"
)

// Options are how a store is opened. The zero value serves.
type Options struct {
	// SegmentBytes is how long a segment of the log grows: 16 MiB where it is 0. It may be passed by
	// one batch.
	SegmentBytes int64
	// Overlay is how many keys written since the last sealing are held in memory: 16,384 where it is 0.
	Overlay int
	// Step is how many bytes of compaction go along with each commit, at least: 64 KiB where it is 0.
	Step int
	// Verify reads and checks every byte at Open.
	Verify bool
	// ReadOnly opens without changing anything; others may do so at the same time. A torn tail is
	// told, and left.
	ReadOnly bool
	// FS is the folder; nil: the one at the path that Open is given.
	FS FS
}

// Store is an open store.
type Store struct {
	fs     FS
	opt    Options
	id     uint64
	unlock func() error

	mu     sync.Mutex // guards what follows, and every file's refs
	seq    uint64     // of the last batch
	top    *node      // what was written since the active segment began
	files  *fileSet
	closed bool
	failed error // why nothing is committed any more

	queue   []*commit
	leading bool // one goroutine writes; what follows is its own

	next       uint64 // id of the next file
	active     *segment
	end        int64 // of the active segment
	synced     int64 // how far it is known to be on disk
	first      uint64
	count      int // entries of top
	keys       uint64
	baseKeys   uint64
	marks      File
	slot       int64
	buf, block []byte
	merging    *mergeJob
	moving     *moveJob
	writers    int // of the last group
	epoch      uint32
	sealAt     int64 // no sealing before this end: the last one failed
	background error // of the last step
	unmarked   error // of the last mark
	stats      Stats
}

// fileSet is the files that hold the store's content at one time. It does not change.
type fileSet struct {
	segments []*segment // by id, the active one last
	runs     []*run     // the newest first
	refs     int
}

// Stats tell of a store. Bytes are of files as they stand.
type Stats struct {
	Keys       uint64 // there now
	Seq        uint64 // batches committed ever
	Live       int64  // bytes of the newest records of all keys
	LogBytes   int64
	IndexBytes int64
	Segments   int
	Runs       int
	Entries    int   // of the runs, deletions among them
	Overlay    int   // keys in memory
	Memory     int64 // bytes of overlay, filters and directories, by reckoning
	Cut        int64 // bytes of a torn tail that Open cut off
	Dropped    int   // files of unfinished work that Open removed
	Written    int64 // bytes of commits and moves since Open
	Moved      int64 // bytes that compaction has copied
	Merged     int64 // entries that it has written
	Syncs      int64 // of the log
	Background error // what the last step of compaction, or the last mark, failed with; commits went on
}

// Open opens the store in a folder, or makes one there. Its errors wrap ErrLocked where another
// has it open, and are *DamageError where something can't be read as it was written.
func Open(dir string, opt Options) (_ *Store, err error) {
	if opt.SegmentBytes == 0 {
		opt.SegmentBytes = 16 << 20
	}
	if opt.Overlay == 0 {
		opt.Overlay = 16 << 10
	}
	if opt.Step == 0 {
		opt.Step = 64 << 10
	}
	if opt.FS == nil {
		if opt.FS, err = DirFS(dir, !opt.ReadOnly); err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
	}
	s := &Store{fs: opt.FS, opt: opt, files: &fileSet{refs: 1}}
	if s.unlock, err = s.fs.Lock(opt.ReadOnly); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, s.release())
		}
	}()
	names, err := s.fs.List()
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	in, err := s.fs.Open(manifestName, false)
	if errors.Is(err, fs.ErrNotExist) {
		if err := s.create(names); err != nil {
			return nil, err
		}
		return s, nil
	} else if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	m, err := readManifest(in)
	if err := errors.Join(err, in.Close()); err != nil {
		return nil, err
	}
	if err := s.recover(m); err != nil {
		return nil, err
	}
	if opt.Verify {
		if err := s.verify(); err != nil {
			return nil, err
		}
	}
	if opt.ReadOnly {
		s.failed = errors.New("opened so")
		return s, nil
	}
	return s, s.settle(names)
}

// create makes a store where there is none. A creation that a crash broke off is begun anew;
// nobody was promised anything of it.
func (s *Store) create(names []string) error {
	if s.opt.ReadOnly {
		return fmt.Errorf("store: %w: no manifest", fs.ErrNotExist)
	}
	for _, name := range names {
		if !ours(name) {
			continue
		}
		if name != segmentName(1) && name != manifestNew {
			return &DamageError{manifestName, 0, "missing beside " + name}
		}
		if name == segmentName(1) {
			f, err := s.fs.Open(name, false)
			if err != nil {
				return fmt.Errorf("store: %w", err)
			}
			size, err := f.Size()
			if err := errors.Join(err, f.Close()); err != nil {
				return fmt.Errorf("store: %w", err)
			}
			if size > headSize {
				return &DamageError{manifestName, 0, "missing beside a log that holds something"}
			}
		}
	}
	var id [8]byte
	rand.Read(id[:])
	s.id, s.next, s.first = le.Uint64(id[:])|1, 1, 1
	if err := s.begin(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.files.segments = []*segment{s.active}
	s.active.refs = 1
	if err := s.fs.Sync(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := s.writeManifest(s.files, s.active.id, 1, 0); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return s.openMarks()
}

// begin makes a new segment that will be appended to.
func (s *Store) begin() error {
	id := s.nextID()
	f, err := s.fs.Create(segmentName(id))
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(head(kindSegment, s.id, id), 0); err == nil {
		err = f.Sync()
	}
	if err != nil {
		return errors.Join(err, f.Close(), s.fs.Remove(segmentName(id)))
	}
	s.active = &segment{file: file{f: f, name: segmentName(id)}, id: id}
	s.end, s.synced = headSize, headSize
	return nil
}

func (s *Store) nextID() uint64 {
	s.next++
	return s.next - 1
}

// recover opens what the manifest names and reads the active segment.
func (s *Store) recover(m *manifest) error {
	s.id, s.next, s.first, s.keys, s.baseKeys = m.store, m.next, m.seq, m.keys, m.keys
	for _, of := range m.segments {
		f, err := s.named(segmentName(of.id), false)
		if err != nil {
			return err
		}
		g, err := openSegment(f, s.id, of)
		if err != nil {
			return errors.Join(err, f.Close())
		}
		g.refs = 1
		s.files.segments = append(s.files.segments, g)
	}
	for _, of := range m.runs {
		f, err := s.named(runName(of.id), false)
		if err != nil {
			return err
		}
		r, err := openRun(f, s.id, of)
		if err != nil {
			return errors.Join(err, f.Close())
		}
		r.refs = 1
		s.files.runs = append(s.files.runs, r)
	}
	name := segmentName(m.active)
	f, err := s.named(name, !s.opt.ReadOnly)
	if err != nil {
		return err
	}
	s.active = &segment{file: file{f: f, name: name, refs: 1}, id: m.active}
	s.files.segments = append(s.files.segments, s.active)
	if _, err := readHead(f, name, kindSegment, s.id, m.active); err != nil {
		return err
	}
	return s.replay()
}

// named opens a file that the manifest names.
func (s *Store) named(name string, write bool) (File, error) {
	f, err := s.fs.Open(name, write)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, &DamageError{name, 0, "missing, though the manifest names it"}
	case err != nil:
		return nil, fmt.Errorf("store: %w", err)
	}
	return f, nil
}

// replay takes in the active segment, up to its torn tail if it has one.
func (s *Store) replay() error {
	size, err := s.active.f.Size()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.seq, s.end = s.first-1, headSize
	var tail error
	for s.end < size {
		n, count, seq, err := s.active.readBatch(s.end, size)
		if err == nil && seq != s.seq+1 {
			err = &DamageError{s.active.name, s.end, fmt.Sprintf("batch %d where %d belongs", seq, s.seq+1)}
		}
		if err != nil {
			var damage *DamageError
			if !errors.As(err, &damage) {
				return err
			}
			tail = err
			break
		}
		change := s.change()
		err = s.active.records(s.end+batchHead, s.end+n, func(r record, key []byte, at int64) error {
			count--
			return change.add(r.op, key, location{s.active.id, at, uint32(r.size())})
		})
		if err == nil && count != 0 {
			err = &DamageError{s.active.name, s.end, "batch holds another number of records"}
		}
		if err != nil {
			return err
		}
		change.apply(seq)
		s.end += n
	}
	if f, err := s.fs.Open(markName, false); err == nil {
		m, ok := readMark(f, s.id)
		if err := f.Close(); err != nil {
			return fmt.Errorf("store: %w", err)
		}
		switch {
		case !ok || m.segment < s.active.id:
		case m.segment > s.active.id:
			return &DamageError{manifestName, headSize, fmt.Sprintf("is older than segment %x, of which something was promised", m.segment)}
		case m.end > s.end:
			if tail == nil {
				tail = &DamageError{s.active.name, s.end, "ends here"}
			}
			return fmt.Errorf("%w; bytes up to %d, batch %d, were promised", tail, m.end, m.seq)
		}
	}
	s.stats.Cut = size - s.end
	return nil
}

// settle makes a recovered store ready to be written: the torn tail is cut, unfinished files go.
func (s *Store) settle(names []string) error {
	if s.stats.Cut > 0 {
		if err := s.active.f.Truncate(s.end); err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	// What was read may not have been on disk yet: what is committed after it must not outlive it.
	if err := s.active.f.Sync(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.synced = s.end
	named := map[string]bool{manifestName: true, markName: true}
	for _, g := range s.files.segments {
		named[g.name] = true
	}
	for _, r := range s.files.runs {
		named[r.name] = true
	}
	for _, name := range names {
		if ours(name) && !named[name] {
			if err := s.fs.Remove(name); err != nil {
				return fmt.Errorf("store: %w", err)
			}
			s.stats.Dropped++
		}
	}
	return s.openMarks()
}

// openMarks writes the mark's file anew: an old one may be damaged.
func (s *Store) openMarks() error {
	f, err := s.fs.Create(markName)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.marks = f
	if _, err := f.WriteAt(head(kindMark, s.id, 0), 0); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return s.mark()
}

// mark notes how far the log is on disk. It is not synced: after a power cut an older one serves.
func (s *Store) mark() error {
	s.slot = 3 - max(s.slot, 1)
	m := mark{s.active.id, s.synced, s.seq}
	if _, err := s.marks.WriteAt(m.encode(s.id), s.slot*markSlot); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// writeManifest has the manifest name a set of files. After an error it is not known
// which one a crash would leave.
func (s *Store) writeManifest(set *fileSet, active, seq, keys uint64) error {
	m := &manifest{store: s.id, next: s.next, active: active, seq: seq, keys: keys}
	for _, g := range set.segments {
		if g.id != active {
			m.segments = append(m.segments, sealedSegment{g.id, g.length, g.base})
		}
	}
	for _, r := range set.runs {
		m.runs = append(m.runs, sealedRun{r.id, r.length})
	}
	f, err := s.fs.Create(manifestNew)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(m.encode(), 0); err == nil {
		err = f.Sync()
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := s.fs.Rename(manifestNew, manifestName); err != nil {
		return err
	}
	return s.fs.Sync()
}

// find gives the newest location of a key.
func find(top *node, set *fileSet, key []byte, buf *[]byte) (location, bool, error) {
	if at, ok := top.get(string(key)); ok {
		return at, !at.deleted(), nil
	}
	if len(set.runs) == 0 {
		return location{}, false, nil
	}
	h := hash(key)
	for _, r := range set.runs {
		if at, ok, err := r.get(key, h, buf); ok || err != nil {
			return at, ok && !at.deleted(), err
		}
	}
	return location{}, false, nil
}

func (set *fileSet) segment(id uint64) *segment {
	i, ok := slices.BinarySearchFunc(set.segments, id, func(g *segment, id uint64) int { return int(g.id) - int(id) })
	if !ok {
		return nil
	}
	return set.segments[i]
}

// load reads the record at a location.
func (set *fileSet) load(key []byte, at location) ([]byte, error) {
	g := set.segment(at.segment)
	if g == nil {
		return nil, &DamageError{segmentName(at.segment), at.offset, "the index names a segment that is not there"}
	}
	b, r, err := g.read(at)
	if err != nil {
		return nil, err
	}
	if r.op != opPut || !bytes.Equal(b[recordHead:recordHead+int(r.key)], key) {
		return nil, &DamageError{g.name, at.offset, "another key's record"}
	}
	return b[recordHead+int(r.key):], nil
}

// Get gives the value of a key, or ErrNotFound. The value is the caller's own.
func (s *Store) Get(key []byte) ([]byte, error) {
	view, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	defer view.Close()
	return view.Get(key)
}

// Snapshot is the store as it was at one time. It may be read while commits go on, by one goroutine or
// several, and keeps the files that it reads on disk until it is closed.
type Snapshot struct {
	s     *Store
	seq   uint64
	top   *node
	files *fileSet
	once  sync.Once
}

// Snapshot gives the store as it is now: with all commits that have returned.
func (s *Store) Snapshot() (*Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	s.files.refs++
	return &Snapshot{s: s, seq: s.seq, top: s.top, files: s.files}, nil
}

// Seq is the number of the last batch in it; batches count from 1.
func (v *Snapshot) Seq() uint64 { return v.seq }

// Close gives its files back. It is needed once.
func (v *Snapshot) Close() {
	v.once.Do(func() {
		v.s.mu.Lock()
		defer v.s.mu.Unlock()
		v.s.drop(v.files)
	})
}

// Get gives the value of a key, or ErrNotFound.
func (v *Snapshot) Get(key []byte) ([]byte, error) {
	var buf []byte
	at, ok, err := find(v.top, v.files, key, &buf)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, ErrNotFound
	}
	return v.files.load(key, at)
}

// Item is a key with its value, the receiver's own.
type Item struct{ Key, Value []byte }

// Range goes through the keys from one on, up to but not including another (nil: to the end), in byte
// order. It ends with the first error.
func (v *Snapshot) Range(from, to []byte) iter.Seq2[Item, error] {
	return func(yield func(Item, error) bool) {
		for e, err := range v.entries(from, to) {
			if err != nil {
				yield(Item{}, err)
				return
			}
			value, err := v.files.load(e.key, e.at)
			if !yield(Item{bytes.Clone(e.key), value}, err) || err != nil {
				return
			}
		}
	}
}

// Keys goes through keys as Range does, without reading values.
func (v *Snapshot) Keys(from, to []byte) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		for e, err := range v.entries(from, to) {
			if !yield(bytes.Clone(e.key), err) || err != nil {
				return
			}
		}
	}
}

type entry struct {
	key []byte
	at  location
}

func (v *Snapshot) entries(from, to []byte) iter.Seq2[entry, error] {
	return func(yield func(entry, error) bool) {
		walkers := []walker{v.top.from(string(from))}
		for _, r := range v.files.runs {
			walkers = append(walkers, r.from(from))
		}
		for m := merge(walkers...); ; {
			key, at, ok, err := m.next()
			if err != nil {
				yield(entry{}, err)
				return
			}
			if !ok || to != nil && bytes.Compare(key, to) >= 0 {
				return
			}
			if !at.deleted() && !yield(entry{key, at}, nil) {
				return
			}
		}
	}
}

// drop gives back one hold on a set; files that no set holds any more are closed.
func (s *Store) drop(set *fileSet) {
	if set.refs--; set.refs > 0 {
		return
	}
	for _, g := range set.segments {
		g.file.drop()
	}
	for _, r := range set.runs {
		r.file.drop()
	}
}

func (f *file) drop() {
	if f.refs--; f.refs == 0 {
		_ = f.f.Close() // only ever read since it was synced
	}
}

// swap puts a new set in the old one's place.
func (s *Store) swap(set *fileSet, top *node) {
	set.refs = 1
	for _, g := range set.segments {
		g.refs++
	}
	for _, r := range set.runs {
		r.refs++
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.files
	s.files, s.top = set, top
	s.drop(old)
}

// Stats tells how the store stands.
func (s *Store) Stats() Stats {
	s.lead()
	defer s.follow()
	st := s.stats
	st.Keys, st.Seq, st.Segments, st.Runs, st.Overlay = s.keys, s.seq, len(s.files.segments), len(s.files.runs), s.count
	st.LogBytes, st.Memory, st.Background = s.end, int64(s.count)*nodeBytes, errors.Join(s.background, s.unmarked)
	for _, g := range s.files.segments {
		st.Live += g.live
		st.LogBytes += g.length
	}
	for _, r := range s.files.runs {
		st.IndexBytes += r.length
		st.Entries += r.entries
		st.Memory += int64(len(r.fences) + 4*len(r.fence) + len(r.filter))
	}
	return st
}

// Close syncs what was committed and gives the folder free. Commits under way are finished;
// snapshots can be read until they are closed themselves.
func (s *Store) Close() error {
	s.lead()
	defer s.follow()
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.mu.Unlock()
	var err error
	if s.failed == nil {
		err = s.sync()
	}
	s.abandon()
	return errors.Join(err, s.release())
}

// release closes what is open.
func (s *Store) release() error {
	var err error
	if s.marks != nil {
		err = s.marks.Close()
	}
	s.mu.Lock()
	s.drop(s.files)
	s.mu.Unlock()
	return errors.Join(err, s.unlock())
}
