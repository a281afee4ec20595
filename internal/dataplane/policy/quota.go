package policy

import "math"

// maxStartupTime limits the time for which a new gateway grants no more than an even share.
const maxStartupTime = second / 2

// quotaFraction returns this gateway's fraction of a customer's quota: its fraction of recent
// demand, or the one that the meter reports. A gateway that sends no messages counts as idle.
func (lb *Balancer) quotaFraction(c *customer) float64 {
	ownDemand := c.localDemand.get(lb.now, c.demandWindow)
	switch {
	case c.spread == 1:
		return 1
	case lb.sharesUsage && ownDemand > 0 && !lb.isRemote(c):
		return ownDemand / (ownDemand + c.peerUsage.get(lb.now, c.demandWindow))
	case !lb.sharesUsage && c.shareFraction > 0:
		return c.shareFraction
	}
	return 1 / float64(c.spread)
}

// available returns how many units this gateway may grant a customer now.
func (lb *Balancer) available(c *customer) float64 {
	switch {
	case lb.usesAllocations(c):
		return lb.allocations.Available(lb.now, lb.sharedQuota(c))
	case lb.isRemote(c) && c.grantFraction < 1:
		return c.localShare
	case !lb.sharesUsage || lb.hasHome(c):
		return c.bucket.level
	case lb.stateSince == lb.startedAt && !lb.peersHaveReported():
		return math.Min(c.bucket.level, c.bucket.capacity/float64(c.spread)-c.consumed)
	}
	return lb.availableByGossip(c)
}

// availableByGossip returns this gateway's fraction of the bucket as of its last announcement, less
// what it has consumed since; or, if that is more, what the peers are not expected to consume
// before their next messages arrive. With a small burst the fraction alone may be less than a
// request.
func (lb *Balancer) availableByGossip(c *customer) float64 {
	unannounced := c.consumed - c.announcedConsumed
	delay := float64(lb.notificationDelay(c))
	expectedPeerUse := c.peerUsage.get(lb.now, c.demandWindow) * delay / float64(c.demandWindow)
	share := lb.quotaFraction(c)*(c.bucket.level+unannounced) - unannounced
	return math.Max(share, c.bucket.level-expectedPeerUse)
}

// peersHaveReported reports whether peers have had time to report all buckets that are not full.
func (lb *Balancer) peersHaveReported() bool {
	return lb.now-lb.startedAt >= min(maxStartupTime, startupPeriods*lb.gossipInterval)
}

// withinQuota reports whether a customer's quota and its concurrency limit have room for a request.
func (lb *Balancer) withinQuota(c *customer, units float64) bool {
	if !lb.belowConcurrencyLimit(c) {
		return false
	}
	return lb.settings.Plans[c.plan].Rate == 0 || lb.available(c) >= units
}

// belowConcurrencyLimit reports whether this gateway's share of the limit on attempts in flight
// has room for one more.
func (lb *Balancer) belowConcurrencyLimit(c *customer) bool {
	limit := lb.settings.Plans[c.plan].ConcurrencyLimit
	if limit == 0 {
		return true
	}
	share := math.Round(lb.quotaFraction(c) * float64(limit))
	return float64(c.inFlight) < math.Max(1, share)
}

// consume takes units from a customer's quota and notifies the peers. Negative units are given
// back.
func (lb *Balancer) consume(c *customer, units float64) {
	c.bucket.level -= units
	c.localShare = math.Max(0, c.localShare-units)
	c.consumed += units
	lb.markChanged(c)
	lb.notifyPeersNow(c)
}

// refillDelay returns the time until the quota covers a request. A bucket that the gateways share
// fills for all of them at once.
func (lb *Balancer) refillDelay(r *request) Time {
	if r.retryAfter > 0 {
		return r.retryAfter
	}
	c := r.customer
	rate := lb.settings.Plans[c.plan].Rate
	if lb.usesAllocations(c) {
		rate = lb.allocations.RefillRate(lb.now, lb.sharedQuota(c))
	} else if !lb.sharesUsage || lb.hasHome(c) {
		rate *= lb.quotaFraction(c)
	}
	return timeUntil(lb.available(c), rate, r.Units)
}
