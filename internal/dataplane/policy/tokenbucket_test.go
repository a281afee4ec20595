package policy

import "testing"

func TestTokenBucketSpills(t *testing.T) {
	for _, c := range []struct {
		level float64
		after Time
		want  float64
		spill float64
	}{
		{0, second, 2, 0},
		{4.5, second / 4, 5, 0},
		{4, second, 5, 1},
		{5, 10 * second, 5, 20},
		{-3, second, -1, 0},
	} {
		b := tokenBucket{level: c.level, rate: 2, capacity: 5, at: start}
		assertNear(t, "spill", b.refill(start+c.after), c.spill)
		assertNear(t, "level", b.level, c.want)
	}
}
