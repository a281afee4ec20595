package store

import (
	"bytes"
	"slices"
)

// fileSet is the files that hold the store's content at one time. Only its reference count changes.
type fileSet struct {
	segments []*segment // by id, the active one last
	runs     []*run     // newest first
	refs     int        // guarded by Store.mu
}

// segment returns the segment with an id, or nil.
func (set *fileSet) segment(id uint64) *segment {
	byID := func(g *segment, id uint64) int { return int(g.id) - int(id) }
	i, ok := slices.BinarySearchFunc(set.segments, id, byID)
	if !ok {
		return nil
	}
	return set.segments[i]
}

// load returns the value of the record at a location, which must belong to the key.
func (set *fileSet) load(key []byte, at location) ([]byte, error) {
	g := set.segment(at.segment)
	if g == nil {
		return nil, &DamageError{
			segmentName(at.segment), at.offset, "the index names a segment that is not there",
		}
	}
	b, r, err := g.read(at)
	if err != nil {
		return nil, err
	}
	if r.op != opPut || !bytes.Equal(b[recordHeaderBytes:recordHeaderBytes+int(r.keyBytes)], key) {
		return nil, &DamageError{g.name, at.offset, "another key's record"}
	}
	return b[recordHeaderBytes+int(r.keyBytes):], nil
}

// releaseFiles drops one reference to a set and closes the files that no set refers to any more.
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

// release drops one reference to the file and closes it with the last one.
func (f *file) release() {
	if f.refs--; f.refs == 0 {
		_ = f.f.Close() // the file was only read since it was synced
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
