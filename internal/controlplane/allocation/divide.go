package allocation

// Claim is what one member wants of a budget.
type Claim struct {
	Demand     float64 // units a second that it was asked for of late
	MaxRequest float64 // units of its largest request of late
	Idle       bool    // it has wanted nothing for so long that it keeps no floor either
}

// Divide gives the part of each member, its floor in it. The sum of the parts and of the floors of members that are not
// there is at most the whole less the reserve.
//
// What is beyond floors and reserve goes by demand. A part that would hold hardly a few requests is not
// given: units that lie at several members in pieces smaller than a request serve nobody, and the reserve, of which is
// lent, has them for whoever comes first.
func Divide(whole Share, spread int, r *Config, claims []Claim) []Share {
	parts := make([]Share, len(claims))
	floor := r.ReservedMin(whole, max(spread, len(claims)))
	free := whole.times((1 - r.ReservedFraction) * (1 - r.PoolFraction))
	all := 0.0
	for _, c := range claims {
		all += c.Demand
	}
	for i, c := range claims {
		if c.Idle {
			continue
		}
		if parts[i] = floor; c.Demand <= 0 {
			continue
		}
		if extra := free.times(c.Demand / all); floor.Burst+extra.Burst >= r.MinBurstRequests*c.MaxRequest {
			parts[i] = floor.plus(extra)
		}
	}
	return parts
}
