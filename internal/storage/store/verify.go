package store

import (
	"bytes"
	"fmt"
)

// Check opens a store read-only, reads and checks every byte, and returns its statistics. If the
// store is damaged, the error wraps a *DamageError.
func Check(dir string, opt Options) (Stats, error) {
	opt.ReadOnly = true
	opt.Verify = true
	s, err := Open(dir, opt)
	if err != nil {
		return Stats{}, err
	}
	st := s.Stats()
	return st, s.Close()
}

// verify reads every byte: the batches, the blocks, and for each key the record that the index
// refers to.
func (s *Store) verify() error {
	if err := s.verifyBatches(); err != nil {
		return err
	}
	for _, r := range s.files.runs {
		if err := r.verify(); err != nil {
			return err
		}
	}
	return s.verifyRecords()
}

// verifyBatches checks the batches of all segments and that their sequence numbers increase.
func (s *Store) verifyBatches() error {
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
				return &DamageError{g.name, at, fmt.Sprintf("batch %d follows batch %d", next, seq)}
			}
			seq = next
			at += n
		}
	}
	return nil
}

// verifyRecords reads the record of every key, and compares the number of keys and the live bytes
// of each segment with the store's counts, which are based on the manifest.
func (s *Store) verifyRecords() error {
	live := map[uint64]int64{} // bytes by segment id
	keys := uint64(0)
	v := Snapshot{store: s, overlay: s.overlay, files: s.files}
	for e, err := range v.entries(nil, nil) {
		if err != nil {
			return err
		}
		if _, err := s.files.load(e.key, e.at); err != nil {
			return err
		}
		live[e.at.segment] += int64(e.at.size)
		keys++
	}
	for _, g := range s.files.segments {
		if g.live != live[g.id] {
			reason := fmt.Sprintf("%s has %d live bytes, expected %d", g.name, live[g.id], g.live)
			return &DamageError{manifestName, fileHeaderBytes, reason}
		}
	}
	if keys != s.keys {
		reason := fmt.Sprintf("%d keys, expected %d", keys, s.keys)
		return &DamageError{manifestName, fileHeaderBytes, reason}
	}
	return nil
}

// verify reads all entries and checks their order, their number and the filter.
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
			return &DamageError{r.name, r.blocksEnd, "a key is missing from the filter"}
		}
		last = append(last[:0], key...)
	}
	if n != r.entries {
		return &DamageError{
			r.name, r.blocksEnd, fmt.Sprintf("%d entries, expected %d", n, r.entries),
		}
	}
	return nil
}
