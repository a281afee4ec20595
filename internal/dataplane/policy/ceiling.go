package policy

import "math"

// homeCeilingFraction is the part of a ceiling that the customer's home holds, if it has one.
const homeCeilingFraction = 0.5

// ceilingShare returns this gateway's part of a customer's ceiling, in units a second and units.
// The parts are even, so that no message has to arrive for the ceiling to hold. Of many even parts
// none would hold a request: a customer with a home has half of its ceiling there, and the home
// grants units of it on request. Units that are granted are used or lost within the home's answer
// time, in which the home's own part may fill again; its burst is smaller by that.
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
