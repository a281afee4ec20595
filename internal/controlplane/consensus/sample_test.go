package consensus

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"mothcleat/internal/controlplane/lease"
)

// randomSessions returns the sessions of up to n processes with random ids and incarnations.
func randomSessions(r *rand.Rand, n int) *sessions {
	s := newSessions()
	for i := range n {
		member := lease.Member{ID: fmt.Sprintf("g%d", r.IntN(10*n)), Incarnation: r.Uint64()}
		s.open(uint64(i+1), member, fmt.Sprintf("127.0.0.1:%d", i), 0)
	}
	return s
}

// A sample holds the first sessions in the order of its seed, in whatever order they are offered.
func TestSampleIsTheFirstInTheSeedsOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(9, 3))
	for range 100 {
		sessions := randomSessions(r, r.IntN(40))
		seed, size := r.Uint64(), r.IntN(12)
		var all []*session
		for _, one := range sessions.byID {
			all = append(all, one)
		}
		drawn := sample{size: size, seed: seed}
		for _, one := range all {
			drawn.offer(one)
		}
		rank := func(s *session) uint64 {
			return mixBits(memberDigest(s.member, s.address) ^ seed)
		}
		slices.SortFunc(all, func(a, b *session) int {
			return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.member.ID, b.member.ID))
		})
		var got []*session
		for _, one := range drawn.ranked {
			got = append(got, one.session)
		}
		if want := all[:min(size, len(all))]; !slices.Equal(got, want) {
			t.Fatalf("a sample of %d of %d sessions has other sessions or another order",
				len(got), len(all))
		}
	}
}

// BenchmarkSample draws one sample of 8 of 620 members.
func BenchmarkSample(b *testing.B) {
	sessions := randomSessions(rand.New(rand.NewPCG(1, 1)), 620)
	b.ReportAllocs()
	for i := range b.N {
		drawn := sample{size: 8, seed: uint64(i)}
		for _, one := range sessions.byID {
			drawn.offer(one)
		}
	}
}
