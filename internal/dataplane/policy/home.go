package policy

import "math"

const (
	homeTimeoutObjectives = 0.1  // wait for a home's answer, in shortest latency objectives
	maxQueryFraction      = 0.7  // of the messages a home can take in, for queries of one customer
	homeReserveFraction   = 0.75 // of a burst, reserved for random variation of the demand
	minGrant              = 0.01 // so that no customer is locked out permanently
	grantTolerance        = 0.1  // relative error of a remote gateway's grant that is not corrected
	grantChangeFactor     = 1.25 // the change of a grant that is announced to the whole set
	maxSavedRequests      = 2.0  // requests for which a local share under a grant accumulates units
)

// homeGrant is the state of a customer whose gateway set is so large that one of the gateways, its
// home, keeps the bucket. The home grants each gateway a fraction of the units requested there.
type homeGrant struct {
	grantFraction         float64
	localShare            float64 // units that a remote gateway may grant under a fraction below 1
	homeQueries           byte    // number of the last query, wraps around
	announcedGrant        float64 // at the home: the fraction last announced to the whole set
	nextGrantAnnouncement Time    // at the home: when it may be announced again
}

// hasHome reports whether a customer's set is too large for its gateways to announce all use to
// each other.
func (lb *Balancer) hasHome(c *customer) bool {
	return lb.settings.Peers && c.spread > maxDirectPeers && lb.allocations == nil
}

// homeOf returns the number of the gateway that keeps the bucket of a customer with a home.
func (lb *Balancer) homeOf(c *customer) int {
	const mix = 0x9E3779B97F4A7C15 // 2^64 over the golden ratio, spreads ids evenly over the set
	return (c.first + int((c.id*mix)>>33)%c.spread) % lb.settings.Gateways
}

// isRemote reports whether another gateway is the customer's home.
func (lb *Balancer) isRemote(c *customer) bool {
	return lb.hasHome(c) && lb.homeOf(c) != lb.settings.Self
}

// homeTimeout returns how long a request waits for a home's answer.
func (lb *Balancer) homeTimeout() Time {
	return Time(homeTimeoutObjectives * float64(lb.minObjective))
}

// consultsHome reports whether the gateways query a customer's home for each request: the quota is
// so small that no share of it holds a request, and the home can take in the queries.
func (lb *Balancer) consultsHome(c *customer) bool {
	rate := lb.settings.Plans[c.plan].Rate
	return rate*float64(lb.messageIntakeTime(1)) < maxQueryFraction*float64(second)
}

// needsHome reports whether a request has to wait for its customer's home.
func (lb *Balancer) needsHome(r *request) bool {
	c := r.customer
	if !lb.isRemote(c) || 2*r.Units > maxQueryHalves {
		return false
	}
	return lb.consultsHome(c) || !lb.underCeiling(c, r.Units)
}

// queryHome queries the home for a request's units, and also for units of the ceiling if this
// gateway's part of that lacks them. The request waits for the answer.
func (lb *Balancer) queryHome(r *request) {
	c := r.customer
	c.homeQueries++
	r.chargesHomeCeiling = !lb.underCeiling(c, r.Units)
	r.queryNumber = max(1, c.homeQueries) // 0 means no query
	e := lb.usageEntryOf(c)
	e.queryHalves = byte(math.Ceil(2 * r.Units))
	e.queryNumber = r.queryNumber
	e.queriesCeiling = r.chargesHomeCeiling
	c.announcedRequested = c.requested
	lb.actions.SendToPeer(lb.homeOf(c), e.appendTo(lb.newPeerMessage()))
	lb.awaitUnits(r)
}

// awaitUnits makes a request wait for units from elsewhere, for a limited time.
func (lb *Balancer) awaitUnits(r *request) {
	r.decideBy = lb.now + min(lb.homeTimeout(), r.Timeout/2)
	lb.actions.SetTimer(r.decideBy, decisionTimer)
	lb.requests[r.ID] = r
	lb.awaitingUnits = append(lb.awaitingUnits, r)
}

// decideAwaiting decides on the request that a home's answer is for, and on those whose wait is
// over. The local share under the home's last grant decides on the latter.
func (lb *Balancer) decideAwaiting(c *customer, answer grantEntry) {
	kept := lb.awaitingUnits[:0]
	for _, r := range lb.awaitingUnits {
		if lb.requests[r.ID] != r { // the client has gone
			lb.releaseReserved(r)
			continue
		}
		answered := r.customer == c && r.queryNumber == answer.queryNumber
		if !answered && lb.now < r.decideBy {
			kept = append(kept, r)
			continue
		}
		delete(lb.requests, r.ID)
		r.awaitsOnDemand = false
		lb.releaseReserved(r)
		if answered {
			lb.decideAnswered(r, answer.granted)
		} else {
			lb.decideUnanswered(r)
		}
	}
	lb.awaitingUnits = kept
}

// decideAnswered decides on a request that its home has granted or denied.
func (lb *Balancer) decideAnswered(r *request, granted bool) {
	r.chargesHomeCeiling = r.chargesHomeCeiling && granted
	r.deniedByHome = !granted
	if granted {
		r.customer.localShare += r.Units // consumed at once
	}
	lb.admit(r, granted)
}

// decideUnanswered decides on a request that received no answer in time.
func (lb *Balancer) decideUnanswered(r *request) {
	c := r.customer
	r.chargesHomeCeiling = false
	c.localShare = math.Min(c.localShare+c.grantFraction*r.Units, maxSavedRequests*r.Units)
	lb.admit(r, lb.withinQuota(c, r.Units))
}

// addGrantedDemand adds the granted fraction of a request's units to the local share. This gives a
// gateway that rarely sees a customer a rate that follows the demand.
func (lb *Balancer) addGrantedDemand(c *customer, units float64) {
	if lb.consultsHome(c) {
		return
	}
	c.localShare = math.Min(c.localShare+c.grantFraction*units, maxSavedRequests*units)
}

// applyGrant applies the grant that a customer's home has sent, and its answer to a query.
func (lb *Balancer) applyGrant(grant grantEntry) {
	c := lb.customers[grant.id]
	if c == nil || !lb.isRemote(c) {
		return
	}
	if c.grantFraction == 1 && grant.fraction < 1 {
		// Random, so that not all local shares, or none, cover a request at the same time.
		c.localShare = lb.rand.Float64() * c.lastUnits
	}
	c.grantFraction = grant.fraction
	if grant.queryNumber > 0 {
		lb.decideAwaiting(c, grant)
	}
}

// updateGrant updates the fraction that a home grants: the units that the bucket gains in the
// demand window and holds beyond the reserve, divided by all units requested in the window. A large
// enough change is announced to the whole set, unless the gateways query the home for each request.
func (lb *Balancer) updateGrant(c *customer) {
	rate := lb.settings.Plans[c.plan].Rate
	if !lb.hasHome(c) || lb.isRemote(c) || rate == 0 {
		return
	}
	requested := c.demand.total(lb.now)
	refilled := rate * float64(c.demandWindow) / float64(second)
	grantable := refilled + c.bucket.level - homeReserveFraction*c.bucket.capacity
	c.grantFraction = math.Min(1, math.Max(minGrant, grantable/math.Max(requested, 1e-9)))
	if !c.grantChanged() || lb.now < c.nextGrantAnnouncement || lb.consultsHome(c) {
		return
	}
	c.announcedGrant = c.grantFraction
	c.nextGrantAnnouncement = lb.now + c.demandWindow/4
	for _, peer := range lb.otherGateways(c) {
		lb.queueGrant(peer, c)
	}
}

// grantChanged reports whether the grant differs enough from the announced one to be announced.
func (g *homeGrant) grantChanged() bool {
	if g.grantFraction == 1 && g.announcedGrant < 1 {
		return true
	}
	return g.grantFraction > g.announcedGrant*grantChangeFactor ||
		g.grantFraction < g.announcedGrant/grantChangeFactor
}

// answerQuery grants or denies the units that a remote gateway queries, and deducts granted units
// from the bucket before it answers.
func (lb *Balancer) answerQuery(c *customer, from int, totals *peerTotals, e *usageEntry) {
	units := float64(e.queryHalves) / 2
	answer := grantEntry{id: c.id, fraction: c.grantFraction, queryNumber: e.queryNumber}
	answer.granted = c.bucket.level >= units && (!e.queriesCeiling || lb.underCeiling(c, units))
	if answer.granted {
		c.bucket.level -= units
		if e.queriesCeiling {
			c.ceilingBucket.level -= units
		}
		totals.consumed += toWireUnits(units)
	}
	lb.actions.SendToPeer(from, answer.appendTo(lb.newPeerMessage()))
}

// correctGrant sends the grant to a remote gateway if the one that it uses is too far off.
func (lb *Balancer) correctGrant(c *customer, from int, fraction float64) {
	if lb.hasHome(c) && math.Abs(fraction-c.grantFraction) > grantTolerance*c.grantFraction {
		lb.queueGrant(from, c)
	}
}

// queueGrant adds a customer's grant to the next message to a peer. A full message is sent at once.
func (lb *Balancer) queueGrant(peer int, c *customer) {
	if len(lb.outgoing[peer])+grantSize > maxMessageSize {
		lb.actions.SendToPeer(peer, lb.outgoing[peer])
		lb.outgoing[peer] = nil
	}
	grant := grantEntry{id: c.id, fraction: c.grantFraction}
	lb.outgoing[peer] = grant.appendTo(lb.messageTo(peer))
}
