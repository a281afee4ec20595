package harness

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Share tells how much of their quotas a group of customers got.
type Share struct {
	Customers int     `json:"customers"`
	Bought    float64 `json:"bought_units"` // the least of asked and bought, summed over customers
	Given     float64 `json:"given_units"`  // sent on, and within what was bought
	Of        float64 `json:"given_of_bought"`

	// the same by the number of gateways they come through
	BySpread map[int]*Share `json:"by_spread,omitempty"`
}

func (s *Share) add(bought, given float64) {
	s.Customers++
	s.Bought += bought
	s.Given += given
	if s.Of = 1; s.Bought > 0 {
		s.Of = s.Given / s.Bought
	}
}

// Groups of customers by what they ask for, as a part of what they have bought.
const (
	UnderQuota = "under" // up to 0.85 of it
	NearQuota  = "near"  // up to all of it
	OverQuota  = "over"  // more
)

// requestPeriod is the time from a run's first request to its last.
func (rec *Record) requestPeriod() (from, to time.Duration) {
	first := true
	for i := range rec.Tries {
		if t := &rec.Tries[i]; t.ID == t.First {
			if first || t.RequestedAt < from {
				from, first = t.RequestedAt, false
			}
			to = max(to, t.RequestedAt)
		}
	}
	return from, to
}

// GivenOfBought tells, for customers under, near and over their quota, how many units
// were sent on over the least of what they asked and what they had bought: the burst
// and the rate over the run. What goes on beyond a quota does not count as given.
func GivenOfBought(s *Site, rec *Record) map[string]*Share {
	groups := map[string]*Share{}
	for _, name := range []string{UnderQuota, NearQuota, OverQuota} {
		groups[name] = &Share{Of: 1, BySpread: map[int]*Share{}}
	}
	_, to := rec.requestPeriod()
	asked, given := map[string]float64{}, map[string]float64{}
	for i := range rec.Tries {
		if t := &rec.Tries[i]; t.ID == t.First {
			asked[t.Customer] += t.Units
		}
	}
	quotas := s.newTokenBuckets()
	for _, e := range forwardedTries(rec) {
		if quotas.take(e.try, e.at) {
			given[e.try.Customer] += e.try.Units
		}
	}
	for i := range s.Customers {
		c := &s.Customers[i]
		p := &s.Plans[c.Plan]
		g := groups[OverQuota]
		if c.Use <= 0.85 {
			g = groups[UnderQuota]
		} else if c.Use <= 1 {
			g = groups[NearQuota]
		}
		bought := min(asked[c.ID], p.Burst+p.Rate*to.Seconds())
		if g.BySpread[c.Spread] == nil {
			g.BySpread[c.Spread] = &Share{}
		}
		g.add(bought, min(given[c.ID], bought))
		g.BySpread[c.Spread].add(bought, min(given[c.ID], bought))
	}
	return groups
}

// forwardedTry is a try that was sent on, and when its first attempt was whole.
type forwardedTry struct {
	try *Try
	at  time.Duration
}

// forwardedTries are the tries that were sent on, in the order in which they took their units.
func forwardedTries(rec *Record) (all []forwardedTry) {
	first := map[string]time.Duration{}
	for _, a := range rec.Attempts {
		if at, ok := first[a.ID]; !ok || a.ReceivedAt < at {
			first[a.ID] = a.ReceivedAt
		}
	}
	for i := range rec.Tries {
		if at, ok := first[rec.Tries[i].ID]; ok {
			all = append(all, forwardedTry{&rec.Tries[i], at})
		}
	}
	slices.SortStableFunc(all, func(a, b forwardedTry) int { return int(a.at - b.at) })
	return all
}

// tokenBuckets are the whole quotas of a site's customers, as one who sees all keeps them.
type tokenBuckets struct {
	site *Site
	of   map[string]*tokenBucket
}

func (s *Site) newTokenBuckets() *tokenBuckets {
	return &tokenBuckets{s, map[string]*tokenBucket{}}
}

func (q *tokenBuckets) at(t *Try, at time.Duration) *tokenBucket {
	p := &q.site.Plans[t.Plan]
	st := q.of[t.Customer]
	if st == nil {
		st = &tokenBucket{p.Burst, p.Rate, p.Burst, 0}
		q.of[t.Customer] = st
	}
	st.fill(at)
	return st
}

// take takes a try's units if the store holds them; else it takes nothing.
func (q *tokenBuckets) take(t *Try, at time.Duration) bool {
	st := q.at(t, at)
	if st.level < t.Units {
		return false
	}
	st.level -= t.Units
	return true
}

// The causes of loss beside the gateways' own reasons for a refusal. Spent is a
// refusal while the customer's whole store truly lacked the units: they had gone to
// other tries of it, and no unit was lost. A reason of an empty bank while the store
// truly held the units keeps its name, and is what a customer loses by being spread.
const (
	LossSpent       = "spent"
	LossLate        = "late"
	LossKilled      = "gateway killed"
	LossNoPort      = "no port"
	LossFailed      = "failed"
	LossNoAnswer    = "silent"
	LossUnexplained = "refused, untold"
)

// Losses tells for every request inside its quota that was not served in time why,
// by worth, as a part of the worth asked inside the quotas. Where a request was tried
// several times the last refusal or failure counts.
func Losses(s *Site, rec *Record) map[string]float64 {
	// The tries that ended in vain, with the true store as it was when each was refused.
	vain := map[string]unservedTry{}
	var refused []*Try
	for i := range rec.Tries {
		if t := &rec.Tries[i]; t.Kind == Refused {
			refused = append(refused, t)
		} else if t.Kind != Served {
			vain[t.First] = later(vain[t.First], unservedTry{try: t})
		}
	}
	slices.SortStableFunc(refused, func(a, b *Try) int { return int(a.AnsweredAt - b.AnsweredAt) })
	quotas, all := s.newTokenBuckets(), forwardedTries(rec)
	for _, t := range refused {
		for ; len(all) > 0 && all[0].at <= t.AnsweredAt; all = all[1:] {
			quotas.take(all[0].try, all[0].at)
		}
		vain[t.First] = later(vain[t.First],
			unservedTry{t, quotas.at(t, t.AnsweredAt).level < t.Units})
	}
	losses, asked := map[string]float64{}, 0.0
	for _, o := range Outcomes(s, rec) {
		if !o.Inside {
			continue
		}
		c := &s.Classes[o.Try.Class]
		worth := c.Value * s.Plans[o.Try.Plan].Price * o.Try.Units
		asked += worth
		if o.Kind == Served && o.Took <= c.LatencyTarget {
			continue
		}
		l := vain[o.Try.First]
		losses[lossOf(o, l.try, l.spent)] += worth
	}
	for why := range losses {
		losses[why] /= asked
	}
	return losses
}

// unservedTry is a try that ended in vain, and whether the store truly lacked its units.
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

// ByLoss are the causes of losses, the greatest first.
func ByLoss(losses map[string]float64) []string {
	names := slices.Sorted(maps.Keys(losses))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(losses[b], losses[a]) })
	return names
}
