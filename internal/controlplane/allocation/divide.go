package allocation

// Claim is what one member needs of a budget.
type Claim struct {
	Demand     float64 // recent demand in units per second
	MaxRequest float64 // units of its largest recent request
	Idle       bool    // it had no demand for so long that it gives back its reserved minimum too
}

// Divide returns the allocation of each member, which includes its reserved minimum. The sum of the
// allocations, and of the reserved minimums of members that are absent, is at most the limit less
// the pool.
//
// What is beyond reserved minimums and the pool is divided in proportion to demand. An allocation
// that would hold less than a request is not made: pieces smaller than a request at several members
// serve nobody, whereas the pool can grant their sum to whoever asks first.
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
