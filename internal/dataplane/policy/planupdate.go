package policy

import (
	"fmt"
	"math"
)

// UpdatePlans replaces the terms of the plans, and moves customers to the plans that planOf
// returns; a result below 0 leaves a customer's plan as it is. The number and the order of the
// plans must be as before. The error is a *SettingsError. What a customer has consumed stays
// consumed: its buckets here lack as many units as before. Allocated quotas are divided again once
// the leader is notified.
func (lb *Balancer) UpdatePlans(now Time, plans []Plan, planOf func(customer uint64) int) error {
	if len(plans) != len(lb.settings.Plans) {
		problem := fmt.Sprintf("there are %d, must be %d as before",
			len(plans), len(lb.settings.Plans))
		return &SettingsError{Field: "plans", Problem: problem}
	}
	next := lb.settings
	next.Plans = plans
	if err := next.validate(); err != nil {
		return err
	}
	lb.advanceClock(now)
	for _, c := range lb.customerOrder {
		lb.refill(c)
	}
	before := lb.settings.Plans
	lb.settings.Plans = plans
	lb.updateSpareCapacity(before)
	for _, c := range lb.customerOrder {
		oldBurst := before[c.plan].Burst
		if plan := planOf(c.id); plan >= 0 && plan < len(plans) {
			c.plan = plan
		}
		lb.applyPlan(c, oldBurst)
	}
	return nil
}

// updateSpareCapacity adapts the shared bucket to the new plans.
func (lb *Balancer) updateSpareCapacity(before []Plan) {
	plans := lb.settings.Plans
	for i := range lb.idleRefill {
		if old := before[i].Rate; old > 0 {
			lb.idleRefill[i] *= plans[i].Rate / old
		}
	}
	lb.sharedBucket.capacity = sharedBucketSize(plans)
	lb.sharedBucket.level = math.Min(lb.sharedBucket.level, lb.sharedBucket.capacity)
}

// applyPlan adapts a customer's buckets to the terms of its plan.
func (lb *Balancer) applyPlan(c *customer, oldBurst float64) {
	p := &lb.settings.Plans[c.plan]
	fraction := 1.0
	if !lb.sharesUsage {
		fraction = lb.quotaFraction(c)
	}
	c.bucket.rate = fraction * p.Rate
	c.bucket.capacity = fraction * p.Burst
	c.bucket.level = math.Min(c.bucket.capacity, c.bucket.level+fraction*(p.Burst-oldBurst))
	rate, burst := lb.ceilingShare(c)
	c.ceilingBucket.level = math.Min(burst, c.ceilingBucket.level+burst-c.ceilingBucket.capacity)
	c.ceilingBucket.rate = rate
	c.ceilingBucket.capacity = burst
	c.demandWindow = lb.demandWindowOf(p, c.spread)
	if lb.usesAllocations(c) {
		// Notifies the leader of the new quota.
		lb.allocations.RecordDemand(lb.now, lb.sharedQuota(c), 0)
	}
}
