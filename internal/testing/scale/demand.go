package scale

import (
	"context"
	"math/rand/v2"
	"time"

	"mothcleat/internal/dataplane/gateway"
	"mothcleat/internal/dataplane/policy"
)

// tenantsOf returns the tenants that use the gateway with this number.
func tenantsOf(number, gateways, tenants int) (own []uint64) {
	for t := range tenants {
		mixed := mix(uint64(t))
		distance := (number - int(mixed%uint64(gateways)) + gateways) % gateways
		if distance < tenantSpread(uint64(t)) {
			own = append(own, uint64(t))
		}
	}
	return own
}

func tenantSpread(tenant uint64) int {
	return minTenantSpread + int(mix(tenant)>>40%tenantSpreadRange)
}

// mix hashes numbers to evenly spread values.
func mix(x uint64) uint64 {
	x *= 0x9E3779B97F4A7C15
	return x ^ x>>29
}

// tenantBudget returns a tenant's quota: a rate of 1 to 11 units per second, and a burst of 8 to 38
// units.
func tenantBudget(tenant uint64) policy.SharedQuota {
	part := float64(mix(tenant)>>20%1000) / 1000
	return policy.SharedQuota{ID: tenant + 1, Rate: 1 + 10*part, Burst: 8 + 30*part,
		Spread: tenantSpread(tenant)}
}

// demand sends simulated requests for units until the context ends, as a real gateway's requests
// would.
func (g *simulatedGateway) demand(ctx context.Context) {
	if len(g.tenants) == 0 {
		return
	}
	r := rand.New(rand.NewPCG(g.process.config.Seed, uint64(g.number)))
	tick := time.NewTicker(demandInterval)
	defer tick.Stop()
	startDelay, request := r.Float64(), uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		startDelay += g.process.config.RequestsPerGateway * demandInterval.Seconds()
		for ; startDelay >= 1; startDelay-- {
			request++
			g.request(request, g.tenants[r.IntN(len(g.tenants))])
		}
	}
}

// request simulates one request that costs one unit.
func (g *simulatedGateway) request(id, tenant uint64) {
	g.process.requests.Add(1)
	allocations := g.node.AllocationClient()
	if allocations == nil {
		g.node.Count(tenant, 1)
		g.node.Sent(true, 1)
		return
	}
	b := tenantBudget(tenant)
	allocations.RecordDemand(0, &b, 1)
	switch {
	case allocations.Available(0, &b) >= 1:
		allocations.Consume(0, id, &b, 1)
		g.serve(tenant)
	case !allocations.RequestOnDemand(id, &b, 1):
		g.node.Rejected(false)
	}
}

// onDemandGranted handles the reply to an on-demand request for units.
func (g *simulatedGateway) onDemandGranted(l gateway.OnDemandReply) {
	if l.Units < 1 {
		g.node.Rejected(false)
		return
	}
	g.serve(l.Quota.ID - 1)
}

// serve counts a request that a real gateway would have forwarded.
func (g *simulatedGateway) serve(tenant uint64) {
	g.process.granted.Add(1)
	g.node.Count(tenant, 1)
	g.node.Sent(true, 1)
}
