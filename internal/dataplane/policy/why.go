package policy

// RejectReason is the reason for a refusal.
type RejectReason uint8

// The reasons. WhySlice is the one that costs a customer units it has bought: its
// slice here is empty while the whole store, as far as heard, holds the request.
const (
	ReasonLocalShare       RejectReason = iota
	ReasonQuota                         // the whole store is empty, as far as heard
	ReasonSharedBucket                  // and bank 0, which the plan may draw on, lends nothing
	ReasonConcurrencyLimit              // the customer has as many attempts out as its plan allows
	ReasonOverload                      // the room at the back end is filled
	ReasonCeiling                       // this gateway's part of the ceiling is spent
	ReasonNoBackend                     // no backend may be sent the request
	ReasonAttemptLimit                  // it was sent on in vain as often as it may be
	ReasonTooLate                       // it had waited too long when it came
)

var rejectReasonNames = [...]string{"slice", "store", "bank0", "open", "load", "ceiling", "no backend", "attempts", "late"}

// String is the reason in a word.
func (w RejectReason) String() string { return rejectReasonNames[w] }

// OnReject has f called with the reason for each refusal, just before it is given.
// It is for rigs and for people who look for a cause; nil, the default, costs nothing.
func (g *Balancer) OnReject(f func(id uint64, why RejectReason)) { g.onReject = f }

// RemainingQuota tells what is left of a customer's whole store, as far as heard, and what of it
// may be taken here, in units at the last event; false: nothing is known of it, and it is
// full. Like Explain it is for those who look for a cause.
func (g *Balancer) RemainingQuota(customer uint64) (whole, here float64, known bool) {
	c := g.customers[customer]
	if c == nil {
		return 0, 0, false
	}
	g.refill(c)
	return c.bucket.level, g.available(c), true
}

// emptyReason tells why the customer's own bank does not hold the units.
func (g *Balancer) emptyReason(r *request) RejectReason {
	c, p := r.customer, &g.settings.Plans[r.Plan]
	switch {
	case r.deniedByHome && !p.mayExceedQuota():
		return ReasonQuota
	case r.deniedByHome:
		return ReasonSharedBucket
	case p.Rate == 0 || g.available(c) >= r.Units:
		return ReasonConcurrencyLimit
	case c.bucket.level >= r.Units || g.isRemote(c):
		return ReasonLocalShare
	case p.mayExceedQuota():
		return ReasonSharedBucket
	}
	return ReasonQuota
}
