package policy

import "math"

// homeCeilingFraction is the fraction of a ceiling that the customer's home holds, if it has one.
const homeCeilingFraction = 0.5

// ceilingShare returns this gateway's part of a customer's ceiling, in units a second and units.
// The parts are equal, so that the ceiling holds even if no message arrives. In a large gateway set
// an equal part would be smaller than a request: there the customer's home holds half of the
// ceiling and grants units of it on request. Granted units are used or lost within the time that
// the home has for its answer. The home's own part may refill meanwhile, so its burst is smaller by
// that.
func (lb *Balancer) ceilingShare(c *customer) (rate, burst float64) {
	p := &lb.settings.Plans[c.plan]
	fraction := 1 / float64(c.spread)
	if !lb.hasHome(c) {
		return fraction * p.CeilingRate, fraction * p.CeilingBurst
	}
	if lb.isRemote(c) {
		fraction = (1 - homeCeilingFraction) / float64(c.spread-1)
		return fraction * p.CeilingRate, fraction * p.CeilingBurst
	}
	rate = homeCeilingFraction * p.CeilingRate
	refilled := rate * float64(lb.homeTimeout()) / float64(second)
	return rate, math.Max(0, homeCeilingFraction*p.CeilingBurst-refilled)
}

// underCeiling reports whether this gateway's part of the customer's ceiling holds the units.
func (lb *Balancer) underCeiling(c *customer, units float64) bool {
	return lb.settings.Plans[c.plan].CeilingRate == 0 || c.ceilingBucket.level >= units
}
