package policy

import "math"

// counterNameTTL is how long the shared counter keeps a name: the longest time that it allows.
const counterNameTTL = 60 * second

// counterState is what this gateway knows of a customer from the shared counter and the meter.
type counterState struct {
	counterCalls  []float64   // units of the unanswered calls, oldest first
	counterTotal  float64     // units, the last total received
	meteredDemand decayingSum // units requested here over the meter's period
	shareFraction float64     // this gateway's fraction of all use, by the meter; 0: no reading yet
}

// addToCounter adds the units consumed here and not yet announced to the shared counter.
func (lb *Balancer) addToCounter(c *customer) {
	units := c.consumed - c.announcedConsumed
	if c.consumed > c.announcedConsumed {
		lb.actions.AddToCounter(c.id, units, counterNameTTL)
		c.counterCalls = append(c.counterCalls, units)
	}
	c.announcedConsumed = c.consumed
	c.pendingAnnouncements = 0
}

// ReceiveCounterTotal handles the answer to an AddToCounter: the total of a customer's use through
// all gateways, in units. If a call that failed was counted nevertheless, its units later count as
// a peer's use, which errs on the side of rejecting.
func (lb *Balancer) ReceiveCounterTotal(now Time, name uint64, r Result, total float64) {
	lb.advanceClock(now)
	c := lb.customers[name]
	if c == nil || len(c.counterCalls) == 0 {
		return
	}
	ownUnits := c.counterCalls[0]
	c.counterCalls = c.counterCalls[1:]
	if r != OK {
		return
	}
	lb.refill(c)
	byPeers := math.Max(0, total-c.counterTotal-ownUnits)
	c.counterTotal = total
	c.bucket.level = math.Max(0, c.bucket.level-byPeers)
	c.peerUsage.add(now, c.demandWindow, byPeers)
	lb.recordSpend(c, byPeers)
}

// applyMeterReading sets this gateway's fraction of a customer's quota from the use through all
// gateways in the last metered period. The reading is 1 plus that use in percent of the rate; 0
// means that there is none.
func (lb *Balancer) applyMeterReading(c *customer, reading int) {
	rate := lb.settings.Plans[c.plan].Rate
	period := lb.settings.MeterPeriod
	if period == 0 || reading == 0 || rate == 0 {
		return
	}
	totalRate := float64(reading-1) / 100 * rate
	ownRate := c.meteredDemand.get(lb.now, period) * float64(second) / float64(period)
	c.shareFraction = ownRate / math.Max(totalRate, math.Max(ownRate, 1e-9))
}
