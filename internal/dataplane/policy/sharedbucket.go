package policy

import "math"

// sharedBucketCapacity is the part of the back end's capacity up to which the shared bucket grants
// units.
const sharedBucketCapacity = 0.8

// spareCapacity is what customers have bought and do not use.
type spareCapacity struct {
	sharedBucket tokenBucket // filled by what full buckets spill
	idleRefill   []float64   // of each plan, the rate at which dropped customers' buckets spill
}

func newSpareCapacity(plans []Plan) spareCapacity {
	s := spareCapacity{idleRefill: make([]float64, len(plans))}
	s.sharedBucket.capacity = sharedBucketSize(plans)
	return s
}

// sharedBucketSize returns the largest burst of a plan that may exceed its quota.
func sharedBucketSize(plans []Plan) float64 {
	size := 0.0
	for i := range plans {
		if plans[i].mayExceedQuota() {
			size = math.Max(size, plans[i].Burst)
		}
	}
	return size
}

// mayExceedQuota reports whether use beyond the quota earns more than it costs.
func (p *Plan) mayExceedQuota() bool { return p.OverQuotaRevenue > p.OverQuotaCost }

// refillShared brings the shared bucket up to now.
func (lb *Balancer) refillShared() { lb.sharedBucket.refill(lb.now) }

// refill fills a customer's buckets. This gateway's part of what does not fit fills the shared
// bucket.
func (lb *Balancer) refill(c *customer) {
	fraction := lb.quotaFraction(c)
	if !lb.sharesUsage {
		p := &lb.settings.Plans[c.plan]
		c.bucket.rate = fraction * p.Rate
		// A share smaller than one request would never let one pass: it saves up for one.
		c.bucket.capacity = math.Max(fraction*p.Burst, math.Min(c.maxUnits, p.Burst))
		fraction = 1
	}
	c.ceilingBucket.refill(lb.now)
	spill := fraction * c.bucket.refill(lb.now)
	lb.sharedBucket.level = math.Min(lb.sharedBucket.capacity, lb.sharedBucket.level+spill)
}

// sharedBucketCovers reports whether a request that its own quota does not cover may use the
// shared bucket.
func (lb *Balancer) sharedBucketCovers(r *request) bool {
	lb.refillShared()
	if !lb.settings.Plans[r.Plan].mayExceedQuota() || lb.sharedBucket.level < r.Units {
		return false
	}
	return !lb.saturated(sharedBucketCapacity)
}
