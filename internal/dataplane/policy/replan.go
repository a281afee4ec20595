package policy

import (
	"fmt"
	"math"
)

// UpdatePlans has other terms hold for the plans from now on, and customers have the plans that of names; below 0: as they are. The plans are
// as many as before, in their order. What a customer has spent stays spent: of its stores, those that lie here lack as many units as
// before. Quotas that are rights are divided anew by whoever divides them, once their wholes are told.
func (g *Balancer) UpdatePlans(now Time, plans []Plan, of func(customer uint64) int) error {
	if len(plans) != len(g.settings.Plans) {
		return fmt.Errorf("decide: %d plans in place of %d", len(plans), len(g.settings.Plans))
	}
	next := g.settings
	next.Plans = plans
	if err := next.validate(); err != nil {
		return err
	}
	g.advanceClock(now)
	for _, c := range g.customerOrder {
		g.refill(c)
	}
	before := g.settings.Plans
	g.settings.Plans = plans
	for i := range g.idleRefill {
		if old := before[i].Rate; old > 0 {
			g.idleRefill[i] *= plans[i].Rate / old
		}
	}
	g.sharedBucket.capacity = 0
	for i := range plans {
		if plans[i].mayExceedQuota() {
			g.sharedBucket.capacity = math.Max(g.sharedBucket.capacity, plans[i].Burst)
		}
	}
	g.sharedBucket.level = math.Min(g.sharedBucket.level, g.sharedBucket.capacity)
	for _, c := range g.customerOrder {
		was := &before[c.plan]
		if to := of(c.id); to >= 0 && to < len(plans) {
			c.plan = to
		}
		p := &plans[c.plan]
		part := 1.0
		if !g.sharesUsage {
			part = g.quotaFraction(c)
		}
		c.bucket.rate, c.bucket.capacity = part*p.Rate, part*p.Burst
		c.bucket.level = math.Min(c.bucket.capacity, c.bucket.level+part*(p.Burst-was.Burst))
		rate, burst := g.ceilingShare(c)
		c.ceilingBucket.level = math.Min(burst, c.ceilingBucket.level+burst-c.ceilingBucket.capacity)
		c.ceilingBucket.rate, c.ceilingBucket.capacity = rate, burst
		c.demandWindow = second
		if p.Rate > 0 {
			c.demandWindow = max(Time(demandWindowFraction*p.Burst/p.Rate*float64(second)), g.messageIntakeTime(c.spread))
		}
		if g.usesAllocations(c) {
			g.allocations.RecordDemand(g.now, g.sharedQuota(c), 0) // the whole is told without waiting for a request
		}
	}
	return nil
}
