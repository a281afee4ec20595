package experiment

import (
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// interval returns the mean of samples and half the width of its 95% confidence interval by
// Student's t. The width is 0 for a single sample, which has no spread.
func interval(samples []float64) (mean, half float64) {
	mean, deviation := stat.MeanStdDev(samples, nil)
	n := float64(len(samples))
	if n < 2 {
		return mean, 0
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
	return mean, t * stat.StdErr(deviation, n)
}
