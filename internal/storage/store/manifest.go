package store

import (
	"errors"
	"fmt"
)

// writeManifest atomically replaces the manifest by one for another set of files. After an error it
// is unknown whether the old or the new manifest would survive a crash.
func (s *Store) writeManifest(set *fileSet, active, seq, keys uint64) error {
	m := &manifest{store: s.id, nextFileID: s.nextFileID, active: active, seq: seq, keys: keys}
	for _, g := range set.segments {
		if g.id != active {
			m.segments = append(m.segments, sealedSegment{g.id, g.length, g.liveAtSeal})
		}
	}
	for _, r := range set.runs {
		m.runs = append(m.runs, sealedRun{r.id, r.length})
	}
	f, err := s.fs.Create(manifestTempName)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(m.encode(), 0); err == nil {
		err = f.Sync()
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := s.fs.Rename(manifestTempName, manifestName); err != nil {
		return err
	}
	return s.fs.Sync()
}

// createMarkFile creates the file of the sync mark anew, because an existing one may be damaged.
func (s *Store) createMarkFile() error {
	f, err := s.fs.Create(markName)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.markFile = f
	if _, err := f.WriteAt(encodeHeader(kindMark, s.id, 0), 0); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return s.writeMark()
}

// writeMark records up to where the log is synced. The mark itself is not synced: an older mark,
// which may be all that is left after a power failure, is valid too.
func (s *Store) writeMark() error {
	s.markSlot = 3 - max(s.markSlot, 1)
	m := syncMark{s.active.id, s.synced, s.seq}
	if _, err := s.markFile.WriteAt(m.encode(s.id), s.markSlot*markSlotBytes); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}
