package allocation

import (
	"math"

	"mothcleat/internal/controlplane/controlpb"
)

// roundingTolerance is the largest difference between sums of shares that is taken for a rounding
// error, in units and in units per second.
const roundingTolerance = 1e-6

// Share is a rate with a burst: the limit of a budget, or a part of it.
type Share struct {
	Rate  float64 `json:"rate"`  // units per second
	Burst float64 `json:"burst"` // units
}

func shareOf(s *controlpb.Share) Share { return Share{s.GetRate(), s.GetBurst()} }

func (s Share) proto() *controlpb.Share { return &controlpb.Share{Rate: s.Rate, Burst: s.Burst} }

func (s Share) plus(o Share) Share { return Share{s.Rate + o.Rate, s.Burst + o.Burst} }

func (s Share) minus(o Share) Share { return Share{s.Rate - o.Rate, s.Burst - o.Burst} }

func (s Share) times(f float64) Share { return Share{s.Rate * f, s.Burst * f} }

func (s Share) min(o Share) Share {
	return Share{math.Min(s.Rate, o.Rate), math.Min(s.Burst, o.Burst)}
}

func (s Share) max(o Share) Share {
	return Share{math.Max(s.Rate, o.Rate), math.Max(s.Burst, o.Burst)}
}

// within reports whether a share is no larger than another, up to rounding errors.
func (s Share) within(o Share) bool {
	return s.Rate <= o.Rate+roundingTolerance && s.Burst <= o.Burst+roundingTolerance
}

// equalShares reports whether two shares are equal up to rounding errors.
func equalShares(a, b Share) bool { return a.within(b) && b.within(a) }

// isZero reports whether a share allows nothing.
func (s Share) isZero() bool { return s.Rate <= 0 && s.Burst <= 0 }

// valid reports whether both numbers are finite and not negative. The comparisons are false for
// NaN.
func (s Share) valid() bool {
	return s.Rate >= 0 && s.Burst >= 0 && !math.IsInf(s.Rate, 0) && !math.IsInf(s.Burst, 0)
}
