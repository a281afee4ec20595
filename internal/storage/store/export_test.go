package store

import "slices"

// QueuedCommits returns the number of entries in the commit queue.
func QueuedCommits(s *Store) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

// WithFormatVersion returns a copy of a file with another format version and a matching header
// checksum.
func WithFormatVersion(file []byte, v uint32) []byte {
	b := slices.Clone(file)
	littleEndian.PutUint32(b[8:], v)
	littleEndian.PutUint32(b[28:], checksum(b[:28]))
	return b
}

// FalsePositiveRate returns the fraction of absent keys that a filter of a number of keys reports as
// present.
func FalsePositiveRate(keys int) float64 {
	f, falsePositives := newFilter(keys), 0
	for i := range keys {
		f.add(hash(littleEndian.AppendUint64(nil, uint64(i))))
	}
	for i := range keys {
		if f.has(hash(littleEndian.AppendUint64([]byte("absent"), uint64(i)))) {
			falsePositives++
		}
	}
	return float64(falsePositives) / float64(keys)
}
