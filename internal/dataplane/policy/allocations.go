package policy

import "slices"

// SharedQuota is the quota of one customer, which several gateways share.
type SharedQuota struct {
	ID     uint64
	Rate   float64 // units a second
	Burst  float64 // units
	Spread int     // number of gateways that share it
}

// Allocations are this gateway's parts of the shared quotas, as a leader divides them. They expire:
// what Available returns may be consumed at once, but not later. The methods are called from the
// Balancer's goroutine and must not block.
type Allocations interface {
	// RecordDemand records units that were requested, granted or not.
	RecordDemand(now Time, quota *SharedQuota, units float64)
	// Available returns how many units may be consumed now.
	Available(now Time, quota *SharedQuota) float64
	// RefillRate returns the rate at which units become available, in units a second.
	RefillRate(now Time, quota *SharedQuota) float64
	// Consume takes units for a request, in addition to those obtained on demand. Negative units
	// are given back.
	Consume(now Time, id uint64, quota *SharedQuota, units float64)
	// Release gives back units that were obtained on demand and not consumed.
	Release(now Time, quota *SharedQuota, units float64)
	// RequestOnDemand requests the units that a request lacks from the leader. The answer must be
	// passed to ReceiveOnDemand. If there is no leader it returns false, and no answer follows.
	RequestOnDemand(id uint64, quota *SharedQuota, units float64) bool
}

// allocationHold is what a request holds of its customer's allocation while it waits for more.
type allocationHold struct {
	awaitsOnDemand bool
	onDemandUnits  float64 // obtained on demand
	reservedUnits  float64 // taken from this gateway's own part
	retryAfter     Time    // time until as many units may be free, from the leader's denial
}

// UseAllocations makes customers' quotas come from allocations rather than from gossip. It must be
// called before the first event.
func (lb *Balancer) UseAllocations(a Allocations) {
	lb.allocations = a
	lb.sharesUsage = false
}

// sharedQuota returns a customer's quota.
func (lb *Balancer) sharedQuota(c *customer) *SharedQuota {
	p := &lb.settings.Plans[c.plan]
	return &SharedQuota{ID: c.id, Rate: p.Rate, Burst: p.Burst, Spread: c.spread}
}

// usesAllocations reports whether a customer's quota comes from allocations.
func (lb *Balancer) usesAllocations(c *customer) bool {
	return lb.allocations != nil && lb.settings.Plans[c.plan].Rate > 0
}

// decideByAllocation decides on a request by its customer's allocation. If this gateway's part
// lacks units it requests them on demand, and the request waits as others wait for a home's answer.
// If no answer arrives, the units available here decide.
func (lb *Balancer) decideByAllocation(r *request) {
	quota := lb.sharedQuota(r.customer)
	lb.allocations.RecordDemand(lb.now, quota, r.Units)
	own := max(0, lb.allocations.Available(lb.now, quota))
	if own >= r.Units || !lb.belowConcurrencyLimit(r.customer) ||
		!lb.allocations.RequestOnDemand(r.ID, quota, r.Units-own) {
		lb.admit(r, lb.withinQuota(r.customer, r.Units))
		return
	}
	// Reserve this gateway's own part, so that no other request counts on it.
	lb.allocations.Consume(lb.now, r.ID, quota, own)
	r.awaitsOnDemand = true
	r.reservedUnits = own
	lb.awaitUnits(r)
}

// ReceiveOnDemand handles the answer to RequestOnDemand: the granted units, or 0 and the time after
// which as many may be free.
func (lb *Balancer) ReceiveOnDemand(
	now Time, id uint64, quota *SharedQuota, units float64, after Time,
) {
	lb.advanceClock(now)
	r := lb.requests[id]
	if r == nil || !r.awaitsOnDemand {
		if units > 0 {
			lb.allocations.Release(lb.now, quota, units) // already decided, or the client has gone
		}
		return
	}
	lb.awaitingUnits = slices.DeleteFunc(lb.awaitingUnits, func(w *request) bool { return w == r })
	delete(lb.requests, id)
	r.awaitsOnDemand = false
	r.onDemandUnits = units
	r.retryAfter = after
	if units == 0 || !lb.belowConcurrencyLimit(r.customer) {
		lb.releaseReserved(r)
		lb.admit(r, lb.withinQuota(r.customer, r.Units))
		return
	}
	lb.admit(r, true)
}

// consumeAllocation takes the units that a request does not hold yet from its customer's
// allocation.
func (lb *Balancer) consumeAllocation(r *request) {
	if !lb.usesAllocations(r.customer) {
		return
	}
	rest := r.Units - r.onDemandUnits - r.reservedUnits
	lb.allocations.Consume(lb.now, r.ID, lb.sharedQuota(r.customer), rest)
	r.onDemandUnits = 0
	r.reservedUnits = 0
}

// releaseReserved gives back the units that a request has reserved of this gateway's own part.
func (lb *Balancer) releaseReserved(r *request) {
	if r.reservedUnits > 0 {
		lb.allocations.Consume(lb.now, 0, lb.sharedQuota(r.customer), -r.reservedUnits)
		r.reservedUnits = 0
	}
}

// releaseUnused gives back all units that a request holds and did not consume.
func (lb *Balancer) releaseUnused(r *request) {
	lb.releaseReserved(r)
	if r.onDemandUnits > 0 {
		lb.allocations.Release(lb.now, lb.sharedQuota(r.customer), r.onDemandUnits)
		r.onDemandUnits = 0
	}
}
