package store

// filter is a Bloom filter of the keys of a run, with 10 bits and 7 probes per key. Its rate of
// false positives is about 0.8%.
type filter []byte

const (
	filterBits   = 10 // per key
	filterProbes = 7
)

func newFilter(keys int) filter { return make(filter, (keys*filterBits+7)/8+1) }

// hash is 64-bit FNV-1a with a finalizer. It is part of the file format.
func hash(key []byte) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range key {
		h = (h ^ uint64(c)) * 1099511628211
	}
	h = (h ^ h>>32) * 0x9e3779b97f4a7c15
	return h ^ h>>29
}

// bit returns the index of the bit for a probe of a key with hash h.
func (f filter) bit(h uint64, probe int) uint64 {
	return (h>>32 + uint64(probe)*(h&0xffffffff|1)) % (uint64(len(f)) * 8)
}

func (f filter) add(h uint64) {
	for i := range filterProbes {
		bit := f.bit(h, i)
		f[bit>>3] |= 1 << (bit & 7)
	}
}

func (f filter) has(h uint64) bool {
	for i := range filterProbes {
		if bit := f.bit(h, i); f[bit>>3]&(1<<(bit&7)) == 0 {
			return false
		}
	}
	return true
}
