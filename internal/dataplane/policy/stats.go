package policy

import "math"

// bank is a store of units that fills at a rate up to a cap.
type bank struct {
	level, rate, cap float64
	at               Time
}

// refill brings the level up to now and returns what the full bank spilled.
func (b *bank) refill(now Time) float64 {
	b.level += b.rate * float64(now-b.at) / float64(second)
	b.at = now
	spill := math.Max(0, b.level-b.cap)
	b.level = math.Min(b.level, b.cap)
	return spill
}

// fading is a sum whose parts fade with age.
type fading struct {
	sum float64
	at  Time
}

func (f *fading) get(now, window Time) float64 {
	if now > f.at {
		f.sum *= math.Exp(-float64(now-f.at) / float64(window))
		f.at = now
	}
	return f.sum
}

func (f *fading) add(now, window Time, x float64) { f.sum = f.get(now, window) + x }

// mean is a mean that follows its samples: of all at first, then with a least weight.
type mean struct{ v, n float64 }

func (m *mean) add(x, weight float64) {
	m.n++
	m.v += math.Max(weight, 1/m.n) * (x - m.v)
}

// until is the time until a level holds the units.
func until(level, rate, units float64) Time {
	return Time((units - level) / math.Max(rate, 1e-3) * float64(second))
}

func total(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum
}

// step is 1 if it is so, else 0.
func step(so bool) float64 {
	if so {
		return 1
	}
	return 0
}
