package store

import (
	"bytes"
	"iter"
	"sync"
)

// Get returns the value of a key, or ErrNotFound. The caller owns the value.
func (s *Store) Get(key []byte) ([]byte, error) {
	view, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	defer view.Close()
	return view.Get(key)
}

// Snapshot is a view of the store at one point in time. It is safe for concurrent use, also with
// commits. Its files stay open until it is closed, so that their disk space is not freed before.
type Snapshot struct {
	store   *Store
	seq     uint64
	overlay *node
	files   *fileSet
	once    sync.Once
}

// Snapshot returns a snapshot of the current state, which includes all commits that have returned.
// The caller must close it.
func (s *Store) Snapshot() (*Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	s.files.refs++
	return &Snapshot{store: s, seq: s.seq, overlay: s.overlay, files: s.files}, nil
}

// Seq returns the sequence number of the last batch in the snapshot. The first batch has number 1.
func (v *Snapshot) Seq() uint64 { return v.seq }

// Close releases the snapshot's files. Further calls have no effect.
func (v *Snapshot) Close() {
	v.once.Do(func() {
		v.store.mu.Lock()
		defer v.store.mu.Unlock()
		v.store.releaseFiles(v.files)
	})
}

// Get returns the value of a key, or ErrNotFound.
func (v *Snapshot) Get(key []byte) ([]byte, error) {
	var buf []byte
	at, ok, err := find(v.overlay, v.files, key, &buf)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, ErrNotFound
	}
	return v.files.load(key, at)
}

// Item is a key with its value. The caller of Range owns both.
type Item struct{ Key, Value []byte }

// Range iterates over the keys in [from, to) and their values, in byte order. A nil to means no
// upper bound. The iteration stops after the first error.
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

// Keys iterates over keys as Range does, without reading values.
func (v *Snapshot) Keys(from, to []byte) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		for e, err := range v.entries(from, to) {
			if !yield(bytes.Clone(e.key), err) || err != nil {
				return
			}
		}
	}
}

// entry is a key that exists, with the location of its record.
type entry struct {
	key []byte
	at  location
}

func (v *Snapshot) entries(from, to []byte) iter.Seq2[entry, error] {
	return func(yield func(entry, error) bool) {
		iterators := []iterator{v.overlay.from(string(from))}
		for _, r := range v.files.runs {
			iterators = append(iterators, r.from(from))
		}
		for m := merge(iterators...); ; {
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

// find returns the newest location of a key and whether the key exists. buf is a read buffer that
// is reused between calls.
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
