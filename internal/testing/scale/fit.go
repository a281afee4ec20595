package scale

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is a size X and the quantity Y that was measured at it.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a straight line fitted to measured points: At0 is the quantity at size 0, and PerOne is
// its growth for each additional unit of size.
type Slope struct {
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	DependsOn string  `json:"depends_on"`
	At0       float64 `json:"at_0"`
	PerOne    float64 `json:"per_one"`
	// Largest distance of a point from the line, as a fraction of the largest value.
	Residual float64 `json:"residual"`
	Points   []Point `json:"points"`
}

// minPoints is the minimum number of distinct sizes that a slope is fitted to.
const minPoints = 3

// Fit fits a line to the points by least squares. It returns an error if the points have fewer than
// minPoints distinct sizes.
func Fit(name, unit, dependsOn string, points []Point) (Slope, error) {
	s := Slope{Name: name, Unit: unit, DependsOn: dependsOn, Points: points}
	sizes := map[float64]bool{}
	var xs, ys []float64
	largest := 0.0
	for _, p := range points {
		sizes[p.X] = true
		xs, ys = append(xs, p.X), append(ys, p.Y)
		largest = max(largest, math.Abs(p.Y))
	}
	if len(sizes) < minPoints {
		return s, fmt.Errorf("slope %s: %d distinct sizes, must be at least %d",
			name, len(sizes), minPoints)
	}
	s.At0, s.PerOne = stat.LinearRegression(xs, ys, nil, false)
	for _, p := range points {
		if largest > 0 {
			s.Residual = max(s.Residual, math.Abs(p.Y-s.line(p.X))/largest)
		}
	}
	return s, nil
}

// line returns the value of the line at a size.
func (s *Slope) line(x float64) float64 { return s.At0 + s.PerOne*x }

// At returns the expected value at a size, at least 0. A falling line is not extrapolated beyond
// the largest measured size, because no cost in this system falls as the size grows: the mean of
// the measured values is used instead.
func (s *Slope) At(x float64) float64 {
	largest, mean := 0.0, 0.0
	for _, p := range s.Points {
		largest = max(largest, p.X)
		mean += p.Y / float64(len(s.Points))
	}
	if s.PerOne < 0 && x > largest {
		return mean
	}
	return max(0, s.line(x))
}
