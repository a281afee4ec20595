package store

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"
)

// create creates a store. names are the files in the directory. A creation that was interrupted by
// a crash is started anew, because no data was acknowledged yet.
func (s *Store) create(names []string) error {
	if s.options.ReadOnly {
		return fmt.Errorf("store: %w: no manifest", fs.ErrNotExist)
	}
	for _, name := range names {
		if !isStoreFile(name) {
			continue
		}
		if name != segmentName(1) && name != manifestTempName {
			return &DamageError{manifestName, 0, "missing, but " + name + " exists"}
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
				return &DamageError{manifestName, 0, "missing, but the log is not empty"}
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

// startSegment creates a new segment and makes it the active one.
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

// allocateFileID returns the id for a new file.
func (s *Store) allocateFileID() uint64 {
	s.nextFileID++
	return s.nextFileID - 1
}

// recover opens the files that the manifest lists and replays the active segment.
func (s *Store) recover(m *manifest) error {
	s.id = m.store
	s.nextFileID = m.nextFileID
	s.firstSeq = m.seq
	s.keys = m.keys
	s.baseKeys = m.keys
	for _, sealed := range m.segments {
		f, err := s.openNamed(segmentName(sealed.id), false)
		if err != nil {
			return err
		}
		g, err := openSegment(f, s.id, sealed)
		if err != nil {
			return errors.Join(err, f.Close())
		}
		g.refs = 1
		s.files.segments = append(s.files.segments, g)
	}
	for _, sealed := range m.runs {
		f, err := s.openNamed(runName(sealed.id), false)
		if err != nil {
			return err
		}
		r, err := openRun(f, s.id, sealed)
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

// openNamed opens a file that the manifest lists. It returns a DamageError if the file is missing.
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

// replay applies the batches of the active segment up to its end or its torn tail.
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

// replayBatch applies the batch at s.end, the end of the batches replayed so far. tail is not nil
// if the batch is invalid: the log is torn or damaged from that offset on.
func (s *Store) replayBatch(size int64) (tail *DamageError, err error) {
	n, count, seq, err := s.active.readBatch(s.end, size)
	if errors.As(err, &tail) {
		return tail, nil
	}
	if err != nil {
		return nil, err
	}
	if seq != s.seq+1 {
		what := fmt.Sprintf("batch %d found, batch %d expected", seq, s.seq+1)
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
		return nil, &DamageError{s.active.name, s.end, "record count differs from the header"}
	}
	change.apply(seq)
	s.end += n
	return nil, nil
}

// checkMark returns an error if the sync mark is beyond the end of the replayed log, since data
// that was acknowledged is then missing or damaged. tail is the reason why the replay ended early,
// nil if it has read the whole segment. A mark that can't be read is ignored.
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
		what := fmt.Sprintf("is older than segment %x, which the sync mark names", m.segment)
		return &DamageError{manifestName, fileHeaderBytes, what}
	}
	if m.end <= s.end {
		return nil
	}
	if tail == nil {
		tail = &DamageError{s.active.name, s.end, "ends here"}
	}
	return fmt.Errorf("%w; the log was synced up to offset %d, batch %d", tail, m.end, m.seq)
}

// prepareWriting prepares a recovered store for commits: it truncates a torn tail and removes
// unfinished files. names are all files in the directory.
func (s *Store) prepareWriting(names []string) error {
	if s.stats.TruncatedBytes > 0 {
		if err := s.active.f.Truncate(s.end); err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	// The replayed batches may not be on disk yet. A power failure must not lose them and keep
	// later commits.
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
