package harness

import (
	"cmp"
	"maps"
	"slices"
)

// Causes of loss in addition to the gateways' own reasons for a rejection. LossSpent is a rejection
// while the customer's complete quota lacked the units: other tries of the customer had used them,
// so no unit was lost. If a bucket was empty while the complete quota had the units, the rejection
// keeps the gateway's reason: such losses come from spreading a customer over several gateways.
const (
	LossSpent       = "spent"
	LossLate        = "late"
	LossKilled      = "gateway killed"
	LossNoPort      = "no port"
	LossFailed      = "failed"
	LossNoAnswer    = "silent"
	LossUnexplained = "refused, untold"
)

// Losses returns why requests inside their quota were not served in time, as a fraction of the
// value requested inside quotas. If a request was tried several times, the last rejection or
// failure counts.
func Losses(s *Site, rec *Record) map[string]float64 {
	// The last unserved try by first try, and for a refused one whether the complete quota lacked
	// its units when it was refused.
	unserved := map[string]unservedTry{}
	var refused []*Try
	for i := range rec.Tries {
		if t := &rec.Tries[i]; t.Kind == Refused {
			refused = append(refused, t)
		} else if t.Kind != Served {
			unserved[t.First] = later(unserved[t.First], unservedTry{try: t})
		}
	}
	slices.SortStableFunc(refused, func(a, b *Try) int { return int(a.AnsweredAt - b.AnsweredAt) })
	quotas, all := s.newTokenBuckets(), forwardedTries(rec)
	for _, t := range refused {
		for ; len(all) > 0 && all[0].at <= t.AnsweredAt; all = all[1:] {
			quotas.take(all[0].try, all[0].at)
		}
		unserved[t.First] = later(unserved[t.First],
			unservedTry{t, quotas.at(t, t.AnsweredAt).level < t.Units})
	}
	losses, requested := map[string]float64{}, 0.0
	for _, o := range Outcomes(s, rec) {
		if !o.Inside {
			continue
		}
		c := &s.Classes[o.Try.Class]
		value := c.Value * s.Plans[o.Try.Plan].Price * o.Try.Units
		requested += value
		if o.Kind == Served && o.Took <= c.LatencyTarget {
			continue
		}
		l := unserved[o.Try.First]
		losses[lossOf(o, l.try, l.spent)] += value
	}
	for why := range losses {
		losses[why] /= requested
	}
	return losses
}

// unservedTry is a try that was not served. spent is set if the complete quota lacked its units.
type unservedTry struct {
	try   *Try
	spent bool
}

func later(a, b unservedTry) unservedTry {
	if a.try == nil || b.try.SentAt >= a.try.SentAt {
		return b
	}
	return a
}

func lossOf(o Outcome, last *Try, spent bool) string {
	if last == nil {
		return LossLate
	}
	switch last.Kind {
	case Refused:
		bank := last.RejectReason == "slice" || last.RejectReason == "store" ||
			last.RejectReason == "bank0"
		switch {
		case spent && (bank || last.RejectReason == ""):
			return LossSpent
		case last.RejectReason == "":
			return LossUnexplained
		case o.Kind == Served && !bank:
			return LossLate
		}
		return last.RejectReason
	case Unsent:
		return LossNoPort
	case Ended:
		return LossKilled
	case NoAnswer:
		return LossNoAnswer
	}
	return LossFailed
}

// ByLoss returns the causes of losses, the largest first.
func ByLoss(losses map[string]float64) []string {
	names := slices.Sorted(maps.Keys(losses))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(losses[b], losses[a]) })
	return names
}
