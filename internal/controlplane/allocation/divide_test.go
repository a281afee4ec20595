package allocation

import (
	"testing"

	"pgregory.net/rapid"
)

// For any distribution of demand, Divide leaves the pool unallocated. An idle member gets nothing,
// and every other member gets at least its reserved minimum.
func TestDivideLeavesReservedMinimumsAndPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := testConfig()
		c.ReservedFraction = rapid.Float64Range(0, 1).Draw(t, "reserved fraction")
		c.PoolFraction = rapid.Float64Range(0, 1).Draw(t, "pool fraction")
		rate := rapid.Float64Range(0.1, 100).Draw(t, "rate")
		burst := rapid.Float64Range(1, 100).Draw(t, "burst")
		limit := Share{rate, burst}
		maxMembers := rapid.IntRange(1, 6).Draw(t, "max members")
		var claims []Claim
		for range rapid.IntRange(0, 8).Draw(t, "members") {
			claims = append(claims, Claim{
				Demand:     rapid.Float64Range(0, 50).Draw(t, "demand"),
				MaxRequest: rapid.Float64Range(1, 8).Draw(t, "max request"),
				Idle:       rapid.Bool().Draw(t, "idle"),
			})
		}
		reservedMin := c.ReservedMin(limit, max(maxMembers, len(claims)))
		var sum Share
		for i, total := range Divide(limit, maxMembers, &c, claims) {
			sum = sum.plus(total)
			idle := claims[i].Idle
			if idle != total.isZero() && !reservedMin.isZero() || !idle && !reservedMin.within(total) {
				t.Fatalf("allocation %v for claim %+v, with a reserved minimum of %v",
					total, claims[i], reservedMin)
			}
		}
		divisible := limit.times(c.ReservedFraction + (1-c.ReservedFraction)*(1-c.PoolFraction))
		if !sum.within(divisible) {
			t.Fatalf("allocations sum to %v, want at most %v", sum, divisible)
		}
	})
}
