package policy

import "slices"

// SharedQuota is what gateways share of one customer: units that come at a rate, stored up to a burst.
type SharedQuota struct {
	ID     uint64
	Rate   float64 // units a second
	Burst  float64
	Spread int // by how many gateways it is shared
}

// Allocations are this gateway's parts of what all share. They are given by whoever divides it, and hold for a
// time: what Level gives may be taken at once, and not later. Methods are called from where the Gateway is, and
// must not wait.
type Allocations interface {
	// RecordDemand takes note that units were asked for.
	RecordDemand(now Time, b *SharedQuota, units float64)
	// Available is how many units may be taken now, and Rate at which rate they come.
	Available(now Time, b *SharedQuota) float64
	RefillRate(now Time, b *SharedQuota) float64
	// Consume uses units for a request, beside those that it was lent.
	Consume(now Time, id uint64, b *SharedQuota, units float64)
	// Release gives back units that were lent and not used.
	Release(now Time, b *SharedQuota, units float64)
	// RequestOnDemand asks whoever divides for units that a request lacks. Lent has to be called with the answer, unless
	// this returns false: there is nobody to ask.
	RequestOnDemand(id uint64, b *SharedQuota, units float64) bool
}

// UseAllocations has customers' quotas be what was given, in place of what notes tell. It is to be called
// before the first event.
func (g *Balancer) UseAllocations(r Allocations) {
	g.allocations, g.sharesUsage = r, false
}

// sharedQuota is a customer's quota.
func (g *Balancer) sharedQuota(c *customer) *SharedQuota {
	p := &g.settings.Plans[c.plan]
	return &SharedQuota{ID: c.id, Rate: p.Rate, Burst: p.Burst, Spread: c.spread}
}

// usesAllocations tells whether a customer's quota is a right.
func (g *Balancer) usesAllocations(c *customer) bool {
	return g.allocations != nil && g.settings.Plans[c.plan].Rate > 0
}

// decideByAllocation decides on a request whose quota is a right. What its own part lacks it borrows, and the request waits for
// that as one waits for a home's word; without an answer it is decided by what is there.
func (g *Balancer) decideByAllocation(r *request) {
	b := g.sharedQuota(r.customer)
	g.allocations.RecordDemand(g.now, b, r.Units)
	own := max(0, g.allocations.Available(g.now, b))
	if own >= r.Units || !g.belowConcurrencyLimit(r.customer) || !g.allocations.RequestOnDemand(r.ID, b, r.Units-own) {
		g.admit(r, g.withinQuota(r.customer, r.Units))
		return
	}
	g.allocations.Consume(g.now, r.ID, b, own) // no other request counts on them meanwhile
	r.decideBy, r.awaitsOnDemand, r.reservedUnits = g.now+min(g.homeTimeout(), r.Timeout/2), true, own
	g.actions.SetTimer(r.decideBy, decisionTimer)
	g.requests[r.ID] = r
	g.awaitingUnits = append(g.awaitingUnits, r)
}

// ReceiveOnDemand takes in the answer to a Borrow: the units, 0 for none, and then in what time there may be as many.
func (g *Balancer) ReceiveOnDemand(now Time, id uint64, b *SharedQuota, units float64, after Time) {
	g.advanceClock(now)
	r := g.requests[id]
	if r == nil || !r.awaitsOnDemand {
		if units > 0 {
			g.allocations.Release(g.now, b, units) // it was decided, or its client has left
		}
		return
	}
	g.awaitingUnits = slices.DeleteFunc(g.awaitingUnits, func(w *request) bool { return w == r })
	delete(g.requests, id)
	r.awaitsOnDemand, r.onDemandUnits, r.retryAfter = false, units, after
	if units == 0 || !g.belowConcurrencyLimit(r.customer) {
		g.releaseReserved(r)
		g.admit(r, g.withinQuota(r.customer, r.Units))
		return
	}
	g.admit(r, true)
}

// releaseReserved puts back what a request has taken of this gateway's own part while it waited.
func (g *Balancer) releaseReserved(r *request) {
	if r.reservedUnits > 0 {
		g.allocations.Consume(g.now, 0, g.sharedQuota(r.customer), -r.reservedUnits)
		r.reservedUnits = 0
	}
}

// releaseUnused gives back what a request was lent, or held, and did not take.
func (g *Balancer) releaseUnused(r *request) {
	g.releaseReserved(r)
	if r.onDemandUnits > 0 {
		g.allocations.Release(g.now, g.sharedQuota(r.customer), r.onDemandUnits)
		r.onDemandUnits = 0
	}
}
