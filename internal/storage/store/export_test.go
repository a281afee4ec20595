package store

import "slices"

// Waiting is how many commits wait in line.
func Waiting(s *Store) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

// AsVersion returns a file of another version, whole in itself.
func AsVersion(file []byte, v uint32) []byte {
	b := slices.Clone(file)
	littleEndian.PutUint32(b[8:], v)
	littleEndian.PutUint32(b[28:], checksum(b[:28]))
	return b
}

// FalseRate is the share of absent keys that a filter over some takes for present.
func FalseRate(keys int) float64 {
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
