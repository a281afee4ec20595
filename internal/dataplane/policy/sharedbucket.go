package policy

import "math"

// sharedBucketCapacity is the fraction of the back end's capacity that must be used for the shared
// bucket to grant no more units.
const sharedBucketCapacity = 0.8

// spareCapacity tracks the quota that customers have bought and do not use.
type spareCapacity struct {
	sharedBucket tokenBucket // filled by the overflow of full buckets
	idleRefill   []float64   // of each plan, the rate at which dropped customers' buckets overflow
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

// refillShared brings the shared bucket up to date.
func (lb *Balancer) refillShared() { lb.sharedBucket.refill(lb.now) }

// refill brings a customer's buckets up to date. This gateway's part of their overflow goes to the
// shared bucket.
func (lb *Balancer) refill(c *customer) {
	fraction := lb.quotaFraction(c)
	if !lb.sharesUsage {
		p := &lb.settings.Plans[c.plan]
		c.bucket.rate = fraction * p.Rate
		// A share smaller than a request would never admit one, so it accumulates units for one.
		c.bucket.capacity = math.Max(fraction*p.Burst, math.Min(c.maxUnits, p.Burst))
		fraction = 1
	}
	c.ceilingBucket.refill(lb.now)
	spill := fraction * c.bucket.refill(lb.now)
	lb.sharedBucket.level = math.Min(lb.sharedBucket.capacity, lb.sharedBucket.level+spill)
}

// sharedBucketCovers reports whether a request that its customer's quota does not cover may use the
// shared bucket.
func (lb *Balancer) sharedBucketCovers(r *request) bool {
	lb.refillShared()
	if !lb.settings.Plans[r.Plan].mayExceedQuota() || lb.sharedBucket.level < r.Units {
		return false
	}
	return !lb.saturated(sharedBucketCapacity)
}
