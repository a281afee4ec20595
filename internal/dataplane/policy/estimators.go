package policy

import "math"

// The weights of a new sample in a running mean, once enough samples were seen.
const (
	slowSampleWeight = 0.02 // of the whole back end
	fastSampleWeight = 0.1  // of one backend, and of what changes quickly
)

// decayingSum is a sum whose parts decay exponentially with age. The window is the time in which a
// part falls to 1/e; over it the sum approximates the total of what was added in one window.
type decayingSum struct {
	sum float64
	at  Time
}

// get returns the sum as of now.
func (s *decayingSum) get(now, window Time) float64 {
	if now > s.at {
		s.sum *= decay(now-s.at, window)
		s.at = now
	}
	return s.sum
}

// add adds x now.
func (s *decayingSum) add(now, window Time, x float64) {
	s.sum = s.get(now, window) + x
}

// decay returns what is left of 1 after some time.
func decay(age, window Time) float64 { return math.Exp(-float64(age) / float64(window)) }

// runningMean follows its samples: it is their mean at first, then each new one has a least weight.
type runningMean struct {
	value   float64
	samples float64
}

func (m *runningMean) add(x, weight float64) {
	m.samples++
	m.value += math.Max(weight, 1/m.samples) * (x - m.value)
}

func sumOf(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum
}

// indicator returns 1 if the condition holds, else 0.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
