package lease

import "hash/fnv"

// Rank returns the number of members that precede the member id for a role, by rendezvous hashing.
// This spreads roles evenly, and when a member leaves, only its own roles move.
func Rank(role, id string, members []string) int {
	own := rendezvousWeight(role, id)
	rank := 0
	for _, other := range members {
		if other == id {
			continue
		}
		weight := rendezvousWeight(role, other)
		if weight > own || weight == own && other < id {
			rank++
		}
	}
	return rank
}

// rendezvousWeight hashes a pair of a role and a member's id.
func rendezvousWeight(role, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) // a hash returns no errors
	h.Write([]byte{0})
	h.Write([]byte(role))
	// FNV alone gives similar names similar hashes. The finalizer of MurmurHash3 spreads them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
