package scale

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured size and what was measured at it.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a straight line through measured points: what a quantity is at 0, and by how much it
// grows with one more.
type Slope struct {
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	DependsOn string  `json:"depends_on"`
	At0       float64 `json:"at_0"`
	PerOne    float64 `json:"per_one"`
	Residual  float64 `json:"residual"` // the largest distance of a point from the line, as a part of the largest value
	Points    []Point `json:"points"`
}

// minPoints is from how many sizes a slope may be fitted.
const minPoints = 3

// Fit puts the line of least squares through the points.
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
		return s, fmt.Errorf("slope %s: %d sizes, at least %d wanted", name, len(sizes), minPoints)
	}
	s.At0, s.PerOne = stat.LinearRegression(xs, ys, nil, false)
	for _, p := range points {
		if largest > 0 {
			s.Residual = max(s.Residual, math.Abs(p.Y-s.line(p.X))/largest)
		}
	}
	return s, nil
}

// line is the line's value at a size.
func (s *Slope) line(x float64) float64 { return s.At0 + s.PerOne*x }

// At is what is expected at a size. A line that falls is not drawn further than it was measured:
// nothing here takes less for there
// being more of it, so that the mean of what was measured stands for all that is larger.
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
