package policy

import "math"

const (
	baseCapacity     = 0.5 // fraction of the capacity that is open to all requests
	maxRelativeValue = 1.5 // upper bound of the value of a request, in mean values
)

// Request decides on a new request: it is sent, rejected, failed, or waits for units.
func (lb *Balancer) Request(now Time, q Request) {
	lb.advanceClock(now)
	if q.Class < 0 || q.Class >= len(lb.settings.Classes) ||
		q.Plan < 0 || q.Plan >= len(lb.settings.Plans) {
		lb.actions.Fail(q.ID)
		return
	}
	if lb.arrivedTooLate(&q) {
		lb.reject(q.ID, 0, ReasonTooLate)
		return
	}
	c := lb.findOrAddCustomer(q.Customer, q.Plan, q.First, q.Spread)
	lb.recordDemand(c, q.Units)
	r := &request{Request: q, deadline: now + q.Timeout, customer: c}
	switch {
	case lb.saturated(lb.capacityFraction(r)):
		lb.reject(q.ID, lb.minObjective/2, ReasonOverload)
	case lb.usesAllocations(c):
		lb.decideByAllocation(r)
	case lb.needsHome(r):
		lb.queryHome(r)
	default:
		lb.admit(r, lb.withinQuota(c, q.Units))
	}
}

// arrivedTooLate reports whether a request arrived while this gateway was suspended and is too old
// to be answered within the latency objective. Its age is the difference between the usual timeout
// and its own.
func (lb *Balancer) arrivedTooLate(q *Request) bool {
	timeout := &lb.clientTimeouts[q.Plan][q.Class]
	if lb.now > lb.resumedAt {
		timeout.add(float64(q.Timeout), fastSampleWeight)
		return false
	}
	expected := timeout.value - float64(q.Timeout) + lb.classLatencies[q.Class].value
	return expected > float64(lb.settings.Classes[q.Class].LatencyObjective)
}

// capacityFraction returns the fraction of the back end's capacity that is open to a request. It
// grows with the request's value relative to the work that it takes.
func (lb *Balancer) capacityFraction(r *request) float64 {
	work := lb.classLatencies[r.Class].value
	if work == 0 {
		return 1
	}
	class := &lb.settings.Classes[r.Class]
	value := class.PriorityWeight * lb.settings.Plans[r.Plan].Price * r.Units / work
	lb.meanValue.add(value, slowSampleWeight)
	relative := math.Min(maxRelativeValue, value/math.Max(lb.meanValue.value, 1e-12))
	return baseCapacity + (1-baseCapacity)*relative
}

// admit sends a request if the quota or else the shared bucket covers it, and the ceiling does,
// too. Otherwise it rejects the request.
func (lb *Balancer) admit(r *request, withinQuota bool) {
	defer lb.releaseUnused(r)
	if !withinQuota && !lb.sharedBucketCovers(r) {
		lb.reject(r.ID, lb.refillDelay(r), lb.emptyReason(r))
		return
	}
	ceiling := &r.customer.ceilingBucket
	if !r.chargesHomeCeiling && !lb.underCeiling(r.customer, r.Units) {
		lb.reject(r.ID, timeUntil(ceiling.level, ceiling.rate, r.Units), ReasonCeiling)
		return
	}
	b := lb.pick(r, nil)
	if b == nil {
		lb.reject(r.ID, lb.minObjective/2, ReasonNoBackend)
		return
	}
	lb.charge(r, withinQuota)
	lb.retries.earn()
	lb.requests[r.ID] = r
	lb.sendAttempt(r, b)
}

// charge deducts a request's units from the buckets that cover them.
func (lb *Balancer) charge(r *request, withinQuota bool) {
	c := r.customer
	if withinQuota {
		lb.consume(c, r.Units)
		lb.consumeAllocation(r)
	} else {
		lb.sharedBucket.level -= r.Units
	}
	plan := &lb.settings.Plans[r.Plan]
	if plan.CeilingRate > 0 && !r.chargesHomeCeiling {
		c.ceilingBucket.level -= r.Units
	}
	lb.recordSpend(c, r.Units)
}
