package policy

// Why is the reason for a refusal.
type Why uint8

// The reasons. WhySlice is the one that costs a customer units it has bought: its
// slice here is empty while the whole store, as far as heard, holds the request.
const (
	WhySlice     Why = iota
	WhyStore         // the whole store is empty, as far as heard
	WhyBank0         // and bank 0, which the plan may draw on, lends nothing
	WhyOpen          // the customer has as many attempts out as its plan allows
	WhyLoad          // the room at the back end is filled
	WhyCeiling       // this gateway's part of the ceiling is spent
	WhyNoBackend     // no backend may be sent the request
	WhyAttempts      // it was sent on in vain as often as it may be
	WhyLate          // it had waited too long when it came
)

var whyNames = [...]string{"slice", "store", "bank0", "open", "load", "ceiling", "no backend", "attempts", "late"}

// String is the reason in a word.
func (w Why) String() string { return whyNames[w] }

// Explain has f called with the reason for each refusal, just before it is given.
// It is for rigs and for people who look for a cause; nil, the default, costs nothing.
func (g *Gateway) Explain(f func(id uint64, why Why)) { g.explain = f }

// Holds tells what is left of a customer's whole store, as far as heard, and what of it
// may be taken here, in units at the last event; false: nothing is known of it, and it is
// full. Like Explain it is for those who look for a cause.
func (g *Gateway) Holds(customer uint64) (whole, here float64, known bool) {
	c := g.customers[customer]
	if c == nil {
		return 0, 0, false
	}
	g.refill(c)
	return c.store.level, g.level(c), true
}

// whyEmpty tells why the customer's own bank does not hold the units.
func (g *Gateway) whyEmpty(r *request) Why {
	c, p := r.c, &g.set.Plans[r.Plan]
	switch {
	case r.denied && !p.soft():
		return WhyStore
	case r.denied:
		return WhyBank0
	case p.Rate == 0 || g.level(c) >= r.Units:
		return WhyOpen
	case c.store.level >= r.Units || g.member(c):
		return WhySlice
	case p.soft():
		return WhyBank0
	}
	return WhyStore
}
