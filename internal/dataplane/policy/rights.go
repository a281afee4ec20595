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
	g.rights, g.pooled = r, false
}

// budget is a customer's quota.
func (g *Balancer) budget(c *customer) *SharedQuota {
	p := &g.set.Plans[c.plan]
	return &SharedQuota{ID: c.id, Rate: p.Rate, Burst: p.Burst, Spread: c.spread}
}

// limited tells whether a customer's quota is a right.
func (g *Balancer) limited(c *customer) bool { return g.rights != nil && g.set.Plans[c.plan].Rate > 0 }

// byRight decides on a request whose quota is a right. What its own part lacks it borrows, and the request waits for
// that as one waits for a home's word; without an answer it is decided by what is there.
func (g *Balancer) byRight(r *request) {
	b := g.budget(r.c)
	g.rights.RecordDemand(g.now, b, r.Units)
	own := max(0, g.rights.Available(g.now, b))
	if own >= r.Units || !g.mayOpen(r.c) || !g.rights.RequestOnDemand(r.ID, b, r.Units-own) {
		g.admit(r, g.inside(r.c, r.Units))
		return
	}
	g.rights.Consume(g.now, r.ID, b, own) // no other request counts on them meanwhile
	r.by, r.borrows, r.own = g.now+min(g.askTime(), r.Timeout/2), true, own
	g.do.SetTimer(r.by, askToken)
	g.requests[r.ID] = r
	g.waiting = append(g.waiting, r)
}

// ReceiveOnDemand takes in the answer to a Borrow: the units, 0 for none, and then in what time there may be as many.
func (g *Balancer) ReceiveOnDemand(now Time, id uint64, b *SharedQuota, units float64, after Time) {
	g.begin(now)
	r := g.requests[id]
	if r == nil || !r.borrows {
		if units > 0 {
			g.rights.Release(g.now, b, units) // it was decided, or its client has left
		}
		return
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(w *request) bool { return w == r })
	delete(g.requests, id)
	r.borrows, r.lent, r.after = false, units, after
	if units == 0 || !g.mayOpen(r.c) {
		g.unhold(r)
		g.admit(r, g.inside(r.c, r.Units))
		return
	}
	g.admit(r, true)
}

// unhold puts back what a request has taken of this gateway's own part while it waited.
func (g *Balancer) unhold(r *request) {
	if r.own > 0 {
		g.rights.Consume(g.now, 0, g.budget(r.c), -r.own)
		r.own = 0
	}
}

// unused gives back what a request was lent, or held, and did not take.
func (g *Balancer) unused(r *request) {
	g.unhold(r)
	if r.lent > 0 {
		g.rights.Release(g.now, g.budget(r.c), r.lent)
		r.lent = 0
	}
}
