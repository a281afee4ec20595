package store

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"
)

// create creates a store. A creation that was interrupted by a crash is started again, as nothing
// was promised yet.
func (s *Store) create(names []string) error {
	if s.options.ReadOnly {
		return fmt.Errorf("store: %w: no manifest", fs.ErrNotExist)
	}
	for _, name := range names {
		if !isStoreFile(name) {
			continue
		}
		if name != segmentName(1) && name != manifestTempName {
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
			if size > fileHeaderBytes {
				return &DamageError{manifestName, 0, "missing beside a log that holds something"}
			}
		}
	}
	var id [8]byte
	rand.Read(id[:])
	s.id = littleEndian.Uint64(id[:]) | 1 // never 0
	s.nextFileID = 1
	s.firstSeq = 1
	if err := s.startSegment(); err != nil {
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
	return s.createMarkFile()
}

// startSegment creates the segment that batches are appended to from now on.
func (s *Store) startSegment() error {
	id := s.allocateFileID()
	f, err := s.fs.Create(segmentName(id))
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(encodeHeader(kindSegment, s.id, id), 0); err == nil {
		err = f.Sync()
	}
	if err != nil {
		return errors.Join(err, f.Close(), s.fs.Remove(segmentName(id)))
	}
	s.active = &segment{file: file{f: f, name: segmentName(id)}, id: id}
	s.end = fileHeaderBytes
	s.synced = fileHeaderBytes
	return nil
}

// allocateFileID returns the id of a new file.
func (s *Store) allocateFileID() uint64 {
	s.nextFileID++
	return s.nextFileID - 1
}

// recover opens the files that the manifest names and replays the active segment.
func (s *Store) recover(m *manifest) error {
	s.id = m.store
	s.nextFileID = m.nextFileID
	s.firstSeq = m.seq
	s.keys = m.keys
	s.baseKeys = m.keys
	for _, of := range m.segments {
		f, err := s.openNamed(segmentName(of.id), false)
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
		f, err := s.openNamed(runName(of.id), false)
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
	f, err := s.openNamed(name, !s.options.ReadOnly)
	if err != nil {
		return err
	}
	s.active = &segment{file: file{f: f, name: name, refs: 1}, id: m.active}
	s.files.segments = append(s.files.segments, s.active)
	if _, err := readHeader(f, name, kindSegment, s.id, m.active); err != nil {
		return err
	}
	return s.replay()
}

// openNamed opens a file that the manifest names. A missing file is damage.
func (s *Store) openNamed(name string, write bool) (File, error) {
	f, err := s.fs.Open(name, write)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, &DamageError{name, 0, "missing, though the manifest names it"}
	case err != nil:
		return nil, fmt.Errorf("store: %w", err)
	}
	return f, nil
}

// replay applies the batches of the active segment, up to its torn tail if there is one.
func (s *Store) replay() error {
	size, err := s.active.f.Size()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.seq = s.firstSeq - 1
	s.end = fileHeaderBytes
	var tail *DamageError
	for s.end < size && tail == nil {
		if tail, err = s.replayBatch(size); err != nil {
			return err
		}
	}
	if err := s.checkMark(tail); err != nil {
		return err
	}
	s.stats.TruncatedBytes = size - s.end
	return nil
}

// replayBatch applies the batch at the end of what was replayed. tail is not nil if the batch can't
// be read, so that the log is torn or damaged from there on.
func (s *Store) replayBatch(size int64) (tail *DamageError, err error) {
	n, count, seq, err := s.active.readBatch(s.end, size)
	if errors.As(err, &tail) {
		return tail, nil
	}
	if err != nil {
		return nil, err
	}
	if seq != s.seq+1 {
		what := fmt.Sprintf("batch %d where %d belongs", seq, s.seq+1)
		return &DamageError{s.active.name, s.end, what}, nil
	}
	change := s.newChange()
	add := func(r record, key []byte, at int64) error {
		count--
		return change.add(r.op, key, location{s.active.id, at, uint32(r.size())})
	}
	err = s.active.records(s.end+batchHeaderBytes, s.end+n, add)
	if err != nil {
		return nil, err
	}
	if count != 0 {
		return nil, &DamageError{s.active.name, s.end, "batch holds another number of records"}
	}
	change.apply(seq)
	s.end += n
	return nil, nil
}

// checkMark compares the sync mark with what was replayed. tail is why the replay ended, nil if it
// has read the whole segment. A mark that can't be read is ignored.
func (s *Store) checkMark(tail *DamageError) error {
	f, err := s.fs.Open(markName, false)
	if err != nil {
		return nil
	}
	m, ok := readMark(f, s.id)
	if err := f.Close(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if !ok || m.segment < s.active.id {
		return nil
	}
	if m.segment > s.active.id {
		what := fmt.Sprintf("is older than segment %x, of which something was promised", m.segment)
		return &DamageError{manifestName, fileHeaderBytes, what}
	}
	if m.end <= s.end {
		return nil
	}
	if tail == nil {
		tail = &DamageError{s.active.name, s.end, "ends here"}
	}
	return fmt.Errorf("%w; bytes up to %d, batch %d, were promised", tail, m.end, m.seq)
}

// prepareWriting makes a recovered store ready for commits: it truncates the torn tail and removes
// unfinished files. names are all files of the directory.
func (s *Store) prepareWriting(names []string) error {
	if s.stats.TruncatedBytes > 0 {
		if err := s.active.f.Truncate(s.end); err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	// What was read may not be on disk yet, and later commits must not survive it.
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
		if isStoreFile(name) && !named[name] {
			if err := s.fs.Remove(name); err != nil {
				return fmt.Errorf("store: %w", err)
			}
			s.stats.RemovedFiles++
		}
	}
	return s.createMarkFile()
}
