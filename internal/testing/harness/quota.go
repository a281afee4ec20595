package harness

import (
	"slices"
	"time"
)

// Share is how much of their quotas a group of customers got.
type Share struct {
	Customers int `json:"customers"`
	// Bought is the smaller of the requested and the bought units, summed over customers.
	Bought float64 `json:"bought_units"`
	// Given is the number of units that were forwarded within the quotas, at most Bought.
	Given float64 `json:"given_units"`
	Of    float64 `json:"given_of_bought"`

	// BySpread has the shares by the number of gateways that customers send through.
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

// Groups of customers by what they request, as a fraction of what they have bought.
const (
	// UnderQuota is up to 0.85.
	UnderQuota = "under"
	// NearQuota is up to 1.
	NearQuota = "near"
	// OverQuota is more than 1.
	OverQuota = "over"
)

// requestPeriod returns the times of the first and the last request.
func (r *Record) requestPeriod() (from, to time.Duration) {
	first := true
	for i := range r.Tries {
		if t := &r.Tries[i]; t.ID == t.First {
			if first || t.RequestedAt < from {
				from, first = t.RequestedAt, false
			}
			to = max(to, t.RequestedAt)
		}
	}
	return from, to
}

// GivenOfBought returns, for customers under, near and over their quota, how many units were
// forwarded as a fraction of the smaller of what they requested and what they had bought. A
// customer has bought its burst, and its rate over the run. Units that were forwarded beyond a
// quota do not count.
func GivenOfBought(s *Site, rec *Record) map[string]*Share {
	groups := map[string]*Share{}
	for _, name := range []string{UnderQuota, NearQuota, OverQuota} {
		groups[name] = &Share{Of: 1, BySpread: map[int]*Share{}}
	}
	_, to := rec.requestPeriod()
	requested, given := map[string]float64{}, map[string]float64{}
	for i := range rec.Tries {
		if t := &rec.Tries[i]; t.ID == t.First {
			requested[t.Customer] += t.Units
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
		bought := min(requested[c.ID], p.Burst+p.Rate*to.Seconds())
		if g.BySpread[c.Spread] == nil {
			g.BySpread[c.Spread] = &Share{}
		}
		g.add(bought, min(given[c.ID], bought))
		g.BySpread[c.Spread].add(bought, min(given[c.ID], bought))
	}
	return groups
}

// forwardedTry is a try that was forwarded, and when its first attempt was received.
type forwardedTry struct {
	try *Try
	at  time.Duration
}

// forwardedTries returns the forwarded tries in the order in which they consumed their units.
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
