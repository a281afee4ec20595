package store

import (
	"bytes"
	"slices"
)

// fileSet is the set of files that hold the store's content at one time. It is immutable except for
// its reference count.
type fileSet struct {
	segments []*segment // ascending by id, the active one last
	runs     []*run     // newest first
	refs     int        // guarded by Store.mu
}

// segment returns the segment with an id, or nil if the set does not contain it.
func (set *fileSet) segment(id uint64) *segment {
	byID := func(g *segment, id uint64) int { return int(g.id) - int(id) }
	i, ok := slices.BinarySearchFunc(set.segments, id, byID)
	if !ok {
		return nil
	}
	return set.segments[i]
}

// load returns the value of the record at a location. It returns a DamageError if the record does
// not hold a value of the key.
func (set *fileSet) load(key []byte, at location) ([]byte, error) {
	g := set.segment(at.segment)
	if g == nil {
		return nil, &DamageError{
			segmentName(at.segment), at.offset, "the index refers to a segment that does not exist",
		}
	}
	b, r, err := g.read(at)
	if err != nil {
		return nil, err
	}
	if r.op != opPut || !bytes.Equal(b[recordHeaderBytes:recordHeaderBytes+int(r.keyBytes)], key) {
		return nil, &DamageError{g.name, at.offset, "record holds no value of the key"}
	}
	return b[recordHeaderBytes+int(r.keyBytes):], nil
}

// releaseFiles drops one reference to a set and closes the files that are no longer in any set.
// The caller holds mu.
func (s *Store) releaseFiles(set *fileSet) {
	if set.refs--; set.refs > 0 {
		return
	}
	for _, g := range set.segments {
		g.file.release()
	}
	for _, r := range set.runs {
		r.file.release()
	}
}

// release drops one reference to the file and closes the file if it was the last one.
func (f *file) release() {
	if f.refs--; f.refs == 0 {
		_ = f.f.Close() // errors do not matter: the file was only read since its last sync
	}
}

// installFiles replaces the current set of files and the overlay.
func (s *Store) installFiles(set *fileSet, overlay *node) {
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
	s.files = set
	s.overlay = overlay
	s.releaseFiles(old)
}
