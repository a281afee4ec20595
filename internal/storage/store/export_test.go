package store

import "slices"

// QueuedCommits is how many commits wait in line.
func QueuedCommits(s *Store) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

// WithFormatVersion returns a file of another version, whole in itself.
func WithFormatVersion(file []byte, v uint32) []byte {
	b := slices.Clone(file)
	littleEndian.PutUint32(b[8:], v)
	littleEndian.PutUint32(b[28:], checksum(b[:28]))
	return b
}

// FalsePositiveRate is the share of absent keys that a filter over some takes for present.
func FalsePositiveRate(keys int) float64 {
	f, wrong := newFilter(keys), 0
	for i := range keys {
		f.add(hash(littleEndian.AppendUint64(nil, uint64(i))))
	}
	for i := range keys {
		if f.has(hash(littleEndian.AppendUint64([]byte("absent"), uint64(i)))) {
			wrong++
		}
	}
	return float64(wrong) / float64(keys)
}
