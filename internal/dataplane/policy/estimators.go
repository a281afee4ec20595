package policy

import "math"

// The weights of a new sample in a running mean, once there are enough samples.
const (
	slowSampleWeight = 0.02 // for means over the whole back end
	fastSampleWeight = 0.1  // for one backend, and for what changes quickly
)

// decayingSum is a sum whose terms decay exponentially with age. The window is the time in which a
// term falls to 1/e; the sum approximates the total of the terms added in one window.
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

// decay returns the fraction of a term that is left at an age.
func decay(age, window Time) float64 { return math.Exp(-float64(age) / float64(window)) }

// runningMean is the mean of its samples at first; later each new sample has a minimum weight, so
// that the mean follows changes.
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
