package policy

import (
	"fmt"
	"math"
)

// UpdatePlans has other terms hold for the plans from now on, and customers have the plans that of names; below 0: as they are. The plans are
// as many as before, in their order. What a customer has spent stays spent: of its stores, those that lie here lack as many units as
// before. Quotas that are rights are divided anew by whoever divides them, once their wholes are told.
func (g *Balancer) UpdatePlans(now Time, plans []Plan, of func(customer uint64) int) error {
	if len(plans) != len(g.set.Plans) {
		return fmt.Errorf("decide: %d plans in place of %d", len(plans), len(g.set.Plans))
	}
	next := g.set
	next.Plans = plans
	if err := next.check(); err != nil {
		return err
	}
	g.begin(now)
	for _, c := range g.order {
		g.refill(c)
	}
	before := g.set.Plans
	g.set.Plans = plans
	for i := range g.idleSpill {
		if old := before[i].Rate; old > 0 {
			g.idleSpill[i] *= plans[i].Rate / old
		}
	}
	g.lend.cap = 0
	for i := range plans {
		if plans[i].soft() {
			g.lend.cap = math.Max(g.lend.cap, plans[i].Burst)
		}
	}
	g.lend.level = math.Min(g.lend.level, g.lend.cap)
	for _, c := range g.order {
		was := &before[c.plan]
		if to := of(c.id); to >= 0 && to < len(plans) {
			c.plan = to
		}
		p := &plans[c.plan]
		part := 1.0
		if !g.pooled {
			part = g.part(c)
		}
		c.store.rate, c.store.cap = part*p.Rate, part*p.Burst
		c.store.level = math.Min(c.store.cap, c.store.level+part*(p.Burst-was.Burst))
		rate, burst := g.ceilingPart(c)
		c.ceiling.level = math.Min(burst, c.ceiling.level+burst-c.ceiling.cap)
		c.ceiling.rate, c.ceiling.cap = rate, burst
		c.window = second
		if p.Rate > 0 {
			c.window = max(Time(useWindow*p.Burst/p.Rate*float64(second)), g.mailTime(c.spread))
		}
		if g.limited(c) {
			g.rights.RecordDemand(g.now, g.budget(c), 0) // the whole is told without waiting for a request
		}
	}
	return nil
}
