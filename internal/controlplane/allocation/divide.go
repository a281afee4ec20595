package allocation

// Claim is what one member needs of a budget.
type Claim struct {
	Demand     float64 // recent demand in units per second
	MaxRequest float64 // units of the member's largest recent request
	Idle       bool    // no demand for Config.IdleTimeout: the reserved minimum is returned too
}

// Divide returns the allocation of each member, which includes its reserved minimum. The sum of the
// allocations and of the reserved minimums of absent members is at most the limit minus the pool.
//
// The part of the limit beyond the reserved minimums and the pool is divided in proportion to
// demand. A member whose burst would be too small for its requests gets only the reserved minimum:
// several members with less than a request each can serve none, whereas the pool can grant the sum
// to the first request.
func Divide(limit Share, maxMembers int, c *Config, claims []Claim) []Share {
	allocations := make([]Share, len(claims))
	reserved := c.ReservedMin(limit, max(maxMembers, len(claims)))
	divisible := limit.times((1 - c.ReservedFraction) * (1 - c.PoolFraction))
	demand := 0.0
	for _, claim := range claims {
		demand += claim.Demand
	}
	for i, claim := range claims {
		if claim.Idle {
			continue
		}
		allocations[i] = reserved
		if claim.Demand <= 0 {
			continue
		}
		extra := divisible.times(claim.Demand / demand)
		if reserved.Burst+extra.Burst >= c.MinBurstRequests*claim.MaxRequest {
			allocations[i] = reserved.plus(extra)
		}
	}
	return allocations
}
