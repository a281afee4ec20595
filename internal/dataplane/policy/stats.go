package policy

import "math"

// tokenBucket is a store of units that fills at a rate up to a cap.
type tokenBucket struct {
	level, rate, capacity float64
	at                    Time
}

// refill brings the level up to now and returns what the full bank spilled.
func (b *tokenBucket) refill(now Time) float64 {
	b.level += b.rate * float64(now-b.at) / float64(second)
	b.at = now
	spill := math.Max(0, b.level-b.capacity)
	b.level = math.Min(b.level, b.capacity)
	return spill
}

// decayingSum is a sum whose parts fade with age.
type decayingSum struct {
	sum float64
	at  Time
}

func (f *decayingSum) get(now, window Time) float64 {
	if now > f.at {
		f.sum *= math.Exp(-float64(now-f.at) / float64(window))
		f.at = now
	}
	return f.sum
}

func (f *decayingSum) add(now, window Time, x float64) { f.sum = f.get(now, window) + x }

// runningMean is a mean that follows its samples: of all at first, then with a least weight.
type runningMean struct{ value, samples float64 }

func (m *runningMean) add(x, weight float64) {
	m.samples++
	m.value += math.Max(weight, 1/m.samples) * (x - m.value)
}

// timeUntil is the time until a level holds the units.
func timeUntil(level, rate, units float64) Time {
	return Time((units - level) / math.Max(rate, 1e-3) * float64(second))
}

func sumOf(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum
}

// indicator is 1 if it is so, else 0.
func indicator(so bool) float64 {
	if so {
		return 1
	}
	return 0
}
