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
	Under = "under" // up to 0.85 of it
	Near  = "near"  // up to all of it
	Over  = "over"  // more
)

// span is the time from a run's first request to its last.
func (rec *Record) span() (from, to time.Duration) {
	first := true
	for i := range rec.Tries {
		if t := &rec.Tries[i]; t.ID == t.First {
			if first || t.Asked < from {
				from, first = t.Asked, false
			}
			to = max(to, t.Asked)
		}
	}
	return from, to
}

// GivenOfBought tells, for customers under, near and over their quota, how many units
// were sent on over the least of what they asked and what they had bought: the burst
// and the rate over the run. What goes on beyond a quota does not count as given.
func GivenOfBought(s *Site, rec *Record) map[string]*Share {
	groups := map[string]*Share{}
	for _, name := range []string{Under, Near, Over} {
		groups[name] = &Share{Of: 1, BySpread: map[int]*Share{}}
	}
	_, to := rec.span()
	asked, given := map[string]float64{}, map[string]float64{}
	for i := range rec.Tries {
		if t := &rec.Tries[i]; t.ID == t.First {
			asked[t.Customer] += t.Units
		}
	}
	quotas := s.newStores()
	for _, e := range spending(rec) {
		if quotas.take(e.try, e.at) {
			given[e.try.Customer] += e.try.Units
		}
	}
	for i := range s.Customers {
		c := &s.Customers[i]
		p := &s.Plans[c.Plan]
		g := groups[Over]
		if c.Use <= 0.85 {
			g = groups[Under]
		} else if c.Use <= 1 {
			g = groups[Near]
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

// spent is a try that was sent on, and when its first attempt was whole.
type spent struct {
	try *Try
	at  time.Duration
}

// spending are the tries that were sent on, in the order in which they took their units.
func spending(rec *Record) (all []spent) {
	first := map[string]time.Duration{}
	for _, a := range rec.Attempts {
		if at, ok := first[a.ID]; !ok || a.Whole < at {
			first[a.ID] = a.Whole
		}
	}
	for i := range rec.Tries {
		if at, ok := first[rec.Tries[i].ID]; ok {
			all = append(all, spent{&rec.Tries[i], at})
		}
	}
	slices.SortStableFunc(all, func(a, b spent) int { return int(a.at - b.at) })
	return all
}

// stores are the whole quotas of a site's customers, as one who sees all keeps them.
type stores struct {
	site *Site
	of   map[string]*store
}

func (s *Site) newStores() *stores { return &stores{s, map[string]*store{}} }

func (q *stores) at(t *Try, at time.Duration) *store {
	p := &q.site.Plans[t.Plan]
	st := q.of[t.Customer]
	if st == nil {
		st = &store{p.Burst, p.Rate, p.Burst, 0}
		q.of[t.Customer] = st
	}
	st.fill(at)
	return st
}

// take takes a try's units if the store holds them; else it takes nothing.
func (q *stores) take(t *Try, at time.Duration) bool {
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
	LossSpent  = "spent"
	LossLate   = "late"
	LossKilled = "gateway killed"
	LossNoPort = "no port"
	LossFailed = "failed"
	LossSilent = "silent"
	LossUntold = "refused, untold"
)

// Losses tells for every request inside its quota that was not served in time why,
// by worth, as a part of the worth asked inside the quotas. Where a request was tried
// several times the last refusal or failure counts.
func Losses(s *Site, rec *Record) map[string]float64 {
	// The tries that ended in vain, with the true store as it was when each was refused.
	vain := map[string]look{}
	var refused []*Try
	for i := range rec.Tries {
		if t := &rec.Tries[i]; t.Kind == Refused {
			refused = append(refused, t)
		} else if t.Kind != Served {
			vain[t.First] = later(vain[t.First], look{try: t})
		}
	}
	slices.SortStableFunc(refused, func(a, b *Try) int { return int(a.Answered - b.Answered) })
	quotas, all := s.newStores(), spending(rec)
	for _, t := range refused {
		for ; len(all) > 0 && all[0].at <= t.Answered; all = all[1:] {
			quotas.take(all[0].try, all[0].at)
		}
		vain[t.First] = later(vain[t.First], look{t, quotas.at(t, t.Answered).level < t.Units})
	}
	losses, asked := map[string]float64{}, 0.0
	for _, o := range Outcomes(s, rec) {
		if !o.Inside {
			continue
		}
		c := &s.Classes[o.Try.Class]
		worth := c.Worth * s.Plans[o.Try.Plan].Price * o.Try.Units
		asked += worth
		if o.Kind == Served && o.Took <= c.Aim {
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

// look is a try that ended in vain, and whether the store truly lacked its units.
type look struct {
	try   *Try
	spent bool
}

func later(a, b look) look {
	if a.try == nil || b.try.Sent >= a.try.Sent {
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
		bank := last.Why == "slice" || last.Why == "store" || last.Why == "bank0"
		switch {
		case spent && (bank || last.Why == ""):
			return LossSpent
		case last.Why == "":
			return LossUntold
		case o.Kind == Served && !bank:
			return LossLate
		}
		return last.Why
	case Unsent:
		return LossNoPort
	case Ended:
		return LossKilled
	case Silent:
		return LossSilent
	}
	return LossFailed
}

// ByLoss are the causes of losses, the greatest first.
func ByLoss(losses map[string]float64) []string {
	names := slices.Sorted(maps.Keys(losses))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(losses[b], losses[a]) })
	return names
}
