// The decisions. The interface (settings, events, actions) is in api.go.
//
// A request takes its units from its customer's own bank, this gateway's slice of the quota;
// soft plans may then draw on bank 0, fed by what full banks spill; else it is refused at once
// (Berger and Whitt's multi-class throttle, docs/design.md). Top to bottom: banks and bank 0; slices
// and notes; ceiling; backend choice and health; cold and drain guards; attempts and answers.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const second = Time(1e6)

// The timers: notes and all that goes with time; a home has not answered.
const (
	gossipTimer = iota
	decisionTimer
)

// The tuned values; docs/design.md has the longer reasons and what happens at other values.
const (
	demandWindowFraction        = 0.5         // the demand window, as a part of the time in which a burst refills
	gossipMessageFraction       = 0.5         // the part of a receiver's message limit that notes may fill
	maxDirectPeers              = 8           // up to so many gateways tell one another all; a larger set tells its home
	grantChangeFactor           = 1.25        // by what factor a grant must move to be told to the whole set
	minGrant                    = 0.01        // the least grant: no customer is shut out for good
	grantTolerance              = 0.1         // by what part a member's grant may be off before its home answers
	homeReserveFraction         = 0.75        // the part of the burst that a home keeps for chance in what its set sends
	maxQueryFraction            = 0.7         // the part of the notes a receiver takes in that asks for one customer may be
	homeCeilingFraction         = 0.5         // the part of a wide set's ceiling that its home holds
	homeTimeoutObjectives       = 0.1         // how long a home's answer is waited for, in shortest aims
	maxSavedRequests            = 2.0         // how many requests' worth a slice under a grant saves up
	counterDelayPeriods         = 2           // counter periods until what another takes now is heard
	messageDelay                = second / 14 // and until a note sent at once is, with room for chance
	delayIncrease               = second / 50 // what is added to that when notes prove later, or lost,
	delayDecrease               = 500         // and goes again with each that is in time;
	maxLearnedDelay             = second / 2  // at most so much
	calmPeriods                 = 4           // note periods for which a store far from empty need not be told of
	urgentMessageFraction       = 0.8         // the part of a receiver's message limit for notes sent at once,
	urgentBurst                 = 8.0         // and how many of them may follow one another to one peer
	startupPeriods              = 4           // note periods until a new gateway has been told of all banks
	suspendedAfterTicks         = 8           // a timer late by so many ticks: this gateway stood still
	minGossipInterval           = second / 30 // the least time between notes
	announcementRepeats         = 2           // how often a change is told: once more than needed, against loss
	counterNameTTL              = 60 * second // how long a name on the counter lives, the longest allowed
	sweepInterval               = second      // how often idle banks are looked for
	saturationLatencyFraction   = 0.35        // the mean time of answers, in aims, at which the back end is full: times spread
	minInFlight                 = 3.0         // what a backend may always hold: a slow spell can't shut the gate for good
	minInFlightWhenLate         = 1.0         // and what, of that, when every answer is late: what is overdriven must drain
	sufficientAnswerRate        = 8.0         // answers a second that tell as much of the back end as all peers do
	loadViewFanout              = 6           // to how many others, drawn each sweep, a gateway's view is told in any case
	minOwnInFlight              = 2.0         // what one gateway may hold of the room that it shares with those it hears of,
	ownCapacityFactor           = 2.0         // and beyond that in parts of it: many may wake, or be asked more, at one moment
	sharedBucketCapacity        = 0.8         // the part of the room up to which bank 0 lends
	commonCapacity              = 0.5         // the part of the room open to all; the rest opens by worth for work
	maxRelativeValue            = 1.5         // the most that worth for work counts, in means of it
	retryBudgetRatio            = 0.2         // further attempts that a first send allows
	maxRetryBudget              = 10.0        // and the most saved up of them
	notExecutedRetryCost        = 0.1         // the price of one after an attempt that never ran: it has cost next to nothing
	hedgeAfterMeanLatencies     = 10.0        // mean answer times after which a request goes elsewhere while there is time
	minHedgeObjectiveFraction   = 0.05        // and in any case that part of the aim: a moment's pause is no fault
	faultReportDecay            = 8 * second  // in which a word of trouble for one class or plan fades
	faultReportRepeats          = 8           // notes with which each is told
	ejectionErrorRate           = 0.25        // the part of answers that are errors from which a backend is left out
	connectionFaultDecay        = second      // in which a broken connection is forgotten
	maxRecentResets             = 2.5         // so many of late, and a backend is left out for it
	unresponsiveAfterObjectives = 1.0         // the time without an answer, in shortest aims, after which a backend is down
	minProbeBackoff             = second / 2  // the first and the longest wait before a backend left out is tried again;
	maxProbeBackoff             = 4 * second  // a sign of slowness fades by half in the latter
	slowSampleWeight            = 0.02        // the weight of a sample in what is learnt of the whole fleet,
	fastSampleWeight            = 0.1         // and of one backend
	crossZoneLoadWeight         = 5.0         // turns the price of crossing zones into load
	sendPaceWindow              = 4 * second  // over which the pace of sends is taken
	idleConnectionLifetime      = 10 * second // after which a backend may have closed its idle connections
	handshakeLoad               = 1.0         // a handshake as load, where no backend gets more than one request in that time
	maxConcurrentTrials         = 6           // so many may try a backend at once that an old list names, or that turned
	trialSpacing                = second / 30 // one away; of more gateways each adds so much to the time over which they begin
	promptAnswerFactor          = 2.0         // an answer within so many mean times shows that it is warm
)

// New makes a gateway that knows nothing but its settings.
func New(set Settings, seed uint64, do Actions) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	g := newGateway(set, seed, do)
	g.retryBudget, g.gossipInterval = maxRetryBudget, minGossipInterval
	if set.MaxPeerMessagesPerSecond > 0 {
		g.gossipInterval = max(g.gossipInterval, g.messageIntakeTime(min(set.Gateways-1, maxDirectPeers)))
	}
	return g, nil
}

// messageIntakeTime is the time in which a gateway can take in notes from so many others.
func (g *Balancer) messageIntakeTime(senders int) Time {
	return Time(float64(senders) / (gossipMessageFraction * math.Max(g.settings.MaxPeerMessagesPerSecond, 1)) * float64(second))
}

// advanceClock brings the gateway to an event's time.
func (g *Balancer) advanceClock(now Time) {
	g.now = max(g.now, now)
	if g.startedAt != 0 {
		if late := now - g.nextTimer; late > suspendedAfterTicks*g.settings.Tick {
			// This gateway stood still: how long what was out took tells nothing.
			g.suspendedFor += late
			g.nextTimer, g.resumedAt = now, now
			for class := range g.withinObjective {
				for _, a := range g.withinObjective[class] {
					a.spansSuspension = true
				}
				g.markOverdue(class, -1)
			}
		}
		g.activeTime = g.now - g.suspendedFor
		return
	}
	g.startedAt, g.lastSweep, g.sharedBucket.at, g.activeTime = max(1, now), now, now, now
	if g.stateSince == 0 {
		g.stateSince = g.startedAt
	}
	g.scheduleTimer()
	if g.settings.PollEndpoints {
		g.watchEndpoints()
	}
	g.announce()
}

// mayExceedQuota tells whether use beyond the quota earns more than it costs.
func (p *Plan) mayExceedQuota() bool { return p.BeyondEarns > p.BeyondCosts }

// findOrAddCustomer finds or makes the record of a customer, refilled up to now. A new
// one is full: peers tell of those that are not (level has what holds until they can
// have been heard, so that a restart hands out no second burst). Its part of the ceiling
// counts from this gateway's start, with half the slack: a former life may have the rest.
func (g *Balancer) findOrAddCustomer(id uint64, plan, first, spread int) *customer {
	c := g.customers[id]
	if c == nil {
		p := &g.settings.Plans[plan]
		spread = min(max(spread, 1), g.settings.Gateways)
		even := float64(spread)
		first = (first%g.settings.Gateways + g.settings.Gateways) % g.settings.Gateways
		c = &customer{id: id, plan: plan, first: first, spread: spread, demandWindow: second,
			bucket: tokenBucket{p.Burst, p.Rate, p.Burst, g.now}, grantFraction: 1, announcedGrant: 1,
			ceilingBucket: tokenBucket{level: p.CeilingSlack / even / 2, at: g.stateSince}}
		c.ceilingBucket.rate, c.ceilingBucket.capacity = g.ceilingShare(c)
		if p.Rate > 0 {
			c.demandWindow = max(Time(demandWindowFraction*p.Burst/p.Rate*float64(second)), g.messageIntakeTime(spread))
		}
		if !g.sharesUsage {
			c.bucket.level /= even
		}
		c.ceilingBucket.refill(g.now)
		c.ceilingBucket.level -= g.possiblySpent(c, c.ceilingBucket.rate)
		c.bucket.level = math.Max(0, c.bucket.level-g.possiblySpent(c, c.bucket.rate))
		c.storedAllowance = snapshotAllowanceFraction * p.Burst // what a state that does not name it allows for
		c.snapshotAllowance = c.storedAllowance
		g.idleRefill[plan] = math.Max(0, g.idleRefill[plan]-p.Rate/even)
		g.customers[id] = c
		g.customerOrder = append(g.customerOrder, c)
	}
	g.refill(c)
	return c
}

// refill fills a customer's banks; what its full bank spills here feeds bank 0.
func (g *Balancer) refill(c *customer) {
	part := g.quotaFraction(c)
	if !g.sharesUsage {
		p := &g.settings.Plans[c.plan]
		// A slice that holds no request would never let one pass: it saves up for one.
		c.bucket.rate, c.bucket.capacity = part*p.Rate, math.Max(part*p.Burst, math.Min(c.maxUnits, p.Burst))
		part = 1
	}
	c.ceilingBucket.refill(g.now)
	g.sharedBucket.level = math.Min(g.sharedBucket.capacity, g.sharedBucket.level+part*c.bucket.refill(g.now))
}

// sweepIdleCustomers lets full banks spill and drops the idle ones, whose spill goes on
// feeding bank 0 at its rate.
func (g *Balancer) sweepIdleCustomers() {
	g.lastSweep = g.now
	g.shareLoadView(loadViewFanout) // it is heard though this gateway sends nothing
	kept := g.customerOrder[:0]
	for _, c := range g.customerOrder {
		g.refill(c)
		g.updateGrant(c)
		if c.idle(g.now) {
			g.idleRefill[c.plan] += g.settings.Plans[c.plan].Rate / float64(c.spread)
			delete(g.customers, c.id)
		} else {
			kept = append(kept, c)
		}
	}
	clear(g.customerOrder[len(kept):])
	g.customerOrder = kept
	g.sharedBucket.refill(g.now)
	g.sharedBucket.rate = sumOf(g.idleRefill)
}

// quotaFraction is this gateway's slice of a customer's quota: its part of recent use.
// Gateways not heard count as idle.
func (g *Balancer) quotaFraction(c *customer) float64 {
	own := c.localDemand.get(g.now, c.demandWindow)
	switch {
	case c.spread == 1:
		return 1
	case g.sharesUsage && own > 0 && !g.isRemote(c):
		return own / (own + c.peerUsage.get(g.now, c.demandWindow))
	case !g.sharesUsage && c.shareFraction > 0:
		return c.shareFraction
	}
	return 1 / float64(c.spread)
}

// available is what this gateway's bank holds: its slice of the customer's whole store as
// of the last note, less what it has taken since, or, if more, what the others will not
// ask before they are heard again: a slice of a small burst may be less than a request.
// A gateway that has just started holds no more than an even slice.
func (g *Balancer) available(c *customer) float64 {
	switch {
	case g.usesAllocations(c):
		return g.allocations.Available(g.now, g.sharedQuota(c))
	case g.isRemote(c) && c.grantFraction < 1:
		return c.localShare
	case !g.sharesUsage || g.hasHome(c):
		return c.bucket.level
	}
	if g.stateSince == g.startedAt && !g.peersHaveReported() {
		return math.Min(c.bucket.level, c.bucket.capacity/float64(c.spread)-c.consumed)
	}
	untold := c.consumed - c.announcedConsumed
	soon := c.peerUsage.get(g.now, c.demandWindow) * float64(g.notificationDelay(c)) / float64(c.demandWindow)
	return math.Max(g.quotaFraction(c)*(c.bucket.level+untold)-untold, c.bucket.level-soon)
}

// peersHaveReported tells whether peers have had the time to tell of all banks that are not full.
func (g *Balancer) peersHaveReported() bool {
	return g.now-g.startedAt >= min(second/2, startupPeriods*g.gossipInterval)
}

// notificationDelay is how long it takes until what the others take of a customer is heard here: where
// all tell at once, the way of a note and its wait for room, which is taken to be as here.
func (g *Balancer) notificationDelay(c *customer) Time {
	switch {
	case !g.settings.Peers:
		return counterDelayPeriods * g.gossipInterval
	case g.nearlyEmpty(c):
		return messageDelay + g.learnedDelay + Time(g.urgentDelay.value)
	}
	return calmPeriods * g.gossipInterval
}

// adjustLearnedDelay has more left to the others where they prove to have taken what this gateway
// had given away as well: notes are lost, or later than thought.
func (g *Balancer) adjustLearnedDelay(c *customer, taken float64) {
	switch {
	case taken == 0 || c.bucket.level >= taken+2*c.lastUnits || !g.settings.Peers:
	case c.bucket.level < taken:
		g.learnedDelay = min(g.learnedDelay+delayIncrease, maxLearnedDelay)
	default:
		g.learnedDelay = max(0, g.learnedDelay-delayDecrease)
	}
}

// nearlyEmpty tells whether so little of a customer's store is left that it may be empty before
// all have heard: its set then tells at once what it takes. All judge by the same store.
func (g *Balancer) nearlyEmpty(c *customer) bool {
	all := c.localDemand.get(g.now, c.demandWindow) + c.peerUsage.get(g.now, c.demandWindow)
	return c.bucket.level < 2*c.lastUnits+all*float64(2*calmPeriods*g.gossipInterval)/float64(c.demandWindow)
}

// notifyPeersNow tells a customer's set at once, if there is room for notes to all of it; else
// the next notes will.
func (g *Balancer) notifyPeersNow(c *customer) {
	if !g.settings.Peers || c.spread == 1 || g.hasHome(c) || !g.nearlyEmpty(c) {
		return
	}
	set := make([]int, 0, maxDirectPeers)
	for i := range c.spread {
		if peer := (c.first + i) % g.settings.Gateways; peer != g.settings.Self {
			set = append(set, peer)
		}
	}
	if slices.ContainsFunc(set, func(peer int) bool { return g.urgentBucket(peer).level < 1 }) || !g.queueUsage(c) {
		c.urgentSince = g.now
		return
	}
	g.urgentDelay.add(0, fastSampleWeight)
	c.announcedConsumed, c.announcedRequested, c.nextAnnouncement, c.pendingAnnouncements = c.consumed, c.requested, g.now+g.gossipInterval, announcementRepeats-1
	for _, peer := range set {
		g.sendMessage(peer)
	}
}

// urgentBucket is how many notes a peer may be sent at once: its limit is shared by those that
// this gateway hears of, who are taken to be as many as that peer hears of.
func (g *Balancer) urgentBucket(peer int) *tokenBucket {
	b := &g.urgentBuckets[peer]
	senders := math.Min(float64(g.settings.Gateways-1), math.Max(1, g.peersHeard.get(g.activeTime, second)))
	b.rate, b.capacity = urgentMessageFraction*math.Max(g.settings.MaxPeerMessagesPerSecond, 1)/senders, urgentBurst
	b.refill(g.now)
	return b
}

// withinQuota tells whether the customer's own bank and its part of the open limit have room.
func (g *Balancer) withinQuota(c *customer, units float64) bool {
	return g.belowConcurrencyLimit(c) && (g.settings.Plans[c.plan].Rate == 0 || g.available(c) >= units)
}

// belowConcurrencyLimit tells whether the open limit has room.
func (g *Balancer) belowConcurrencyLimit(c *customer) bool {
	limit := g.settings.Plans[c.plan].OpenLimit
	return limit == 0 || float64(c.inFlight) < math.Max(1, math.Round(g.quotaFraction(c)*float64(limit)))
}

func (g *Balancer) consume(c *customer, units float64) {
	c.bucket.level -= units
	c.localShare = math.Max(0, c.localShare-units)
	c.consumed += units
	g.markChanged(c)
	g.notifyPeersNow(c)
}

// consultsHome tells whether a wide set asks its home before it decides: its quota is so small
// that no slice holds a request, and the home can take in the asks.
func (g *Balancer) consultsHome(c *customer) bool {
	return g.settings.Plans[c.plan].Rate*float64(g.messageIntakeTime(1)) < maxQueryFraction*float64(second)
}

// ceilingShare is this gateway's safe part of a customer's ceiling: an even one, so that no
// message has to arrive for the ceiling to hold. Of many even parts none holds a request:
// half of a wide set's is its home's, which gives of it to whoever asks. What it has given
// is used or lost in the time of an answer, in which its own part may fill again.
func (g *Balancer) ceilingShare(c *customer) (rate, burst float64) {
	p, part := &g.settings.Plans[c.plan], 1/float64(c.spread)
	if !g.hasHome(c) {
		return part * p.CeilingRate, part * p.CeilingBurst
	}
	if g.isRemote(c) {
		part = (1 - homeCeilingFraction) / float64(c.spread-1)
		return part * p.CeilingRate, part * p.CeilingBurst
	}
	rate = homeCeilingFraction * p.CeilingRate
	return rate, math.Max(0, homeCeilingFraction*p.CeilingBurst-rate*float64(g.homeTimeout())/float64(second))
}

// homeTimeout is how long a home's answer is waited for.
func (g *Balancer) homeTimeout() Time { return Time(homeTimeoutObjectives * float64(g.minObjective)) }

// underCeiling tells whether this gateway's part of the customer's ceiling holds the units.
func (g *Balancer) underCeiling(c *customer, units float64) bool {
	return g.settings.Plans[c.plan].CeilingRate == 0 || c.ceilingBucket.level >= units
}

// queryHome asks the home for a request's units, and for those of the ceiling where this
// gateway's part lacks them, and keeps the request till it answers.
func (g *Balancer) queryHome(r *request) {
	c := r.customer
	c.homeQueries++
	r.homePaysCeiling = !g.underCeiling(c, r.Units)
	r.queryNumber, r.decideBy = max(1, c.homeQueries), g.now+min(g.homeTimeout(), r.Timeout/2)
	e := g.usageEntryOf(c)
	e.wanted, e.queryNumber, e.wantsCeiling = byte(math.Ceil(2*r.Units)), r.queryNumber, r.homePaysCeiling
	c.announcedRequested = c.requested
	g.actions.SendToPeer(g.homeOf(c), e.appendTo(g.newPeerMessage()))
	g.actions.SetTimer(r.decideBy, decisionTimer)
	g.requests[r.ID] = r
	g.awaitingUnits = append(g.awaitingUnits, r)
}

// decideAwaiting decides on what waits for a home's answer: this one, or all overdue ones,
// which the slice under the home's last grant then decides.
func (g *Balancer) decideAwaiting(c *customer, a grantEntry) {
	kept := g.awaitingUnits[:0]
	for _, r := range g.awaitingUnits {
		switch due := r.customer == c && r.queryNumber == a.queryNumber; {
		case g.requests[r.ID] != r: // the client has left
			g.releaseReserved(r)
		case due || g.now >= r.decideBy:
			delete(g.requests, r.ID)
			r.awaitsOnDemand = false
			g.releaseReserved(r)
			r.homePaysCeiling = r.homePaysCeiling && due && a.granted
			if !due {
				r.customer.localShare = math.Min(r.customer.localShare+r.customer.grantFraction*r.Units, maxSavedRequests*r.Units)
			} else if r.deniedByHome = !a.granted; a.granted {
				r.customer.localShare += r.Units // to be taken at once
			}
			g.admit(r, due && a.granted || !due && g.withinQuota(r.customer, r.Units))
		default:
			kept = append(kept, r)
		}
	}
	g.awaitingUnits = kept
}

// recordDemand counts what a customer asks for. Under a grant each ask brings its part of the units
// to the slice: a demand-following rate for a gateway that sees a customer now and then.
func (g *Balancer) recordDemand(c *customer, units float64) {
	c.localDemand.add(g.now, c.demandWindow, units)
	c.meteredDemand.add(g.now, max(1, g.settings.MeterPeriod), units)
	c.requested, c.lastUnits, c.maxUnits = c.requested+units, units, math.Max(c.maxUnits, units)
	if !g.consultsHome(c) {
		c.localShare = math.Min(c.localShare+c.grantFraction*units, maxSavedRequests*units)
	}
	g.markChanged(c)
}

// updateGrant has a home set the part of what is asked that it grants: the rate and what
// the store holds beyond the reserve, spent over the demand window, against all that was
// asked in it. When that has moved the whole set is told, where it does not ask anyway.
func (g *Balancer) updateGrant(c *customer) {
	rate := g.settings.Plans[c.plan].Rate
	if !g.hasHome(c) || g.isRemote(c) || rate == 0 {
		return
	}
	all := c.localDemand.get(g.now, c.demandWindow) + c.peerUsage.get(g.now, c.demandWindow)
	may := rate*float64(c.demandWindow)/float64(second) + c.bucket.level - homeReserveFraction*c.bucket.capacity
	f := math.Min(1, math.Max(minGrant, may/math.Max(all, 1e-9)))
	moved := f > c.announcedGrant*grantChangeFactor || f < c.announcedGrant/grantChangeFactor || f == 1 && c.announcedGrant < 1
	if c.grantFraction = f; !moved || g.now < c.nextGrantAnnouncement || g.consultsHome(c) {
		return
	}
	c.announcedGrant, c.nextGrantAnnouncement = f, g.now+c.demandWindow/4
	for i := range c.spread {
		if peer := (c.first + i) % g.settings.Gateways; peer != g.settings.Self {
			g.queueGrant(peer, c)
		}
	}
}

// applyMeterReading sets the slice by the use through all gateways in the last period told.
func (g *Balancer) applyMeterReading(c *customer, percent int) {
	rate := g.settings.Plans[c.plan].Rate
	if g.settings.MeterPeriod == 0 || percent == 0 || rate == 0 {
		return
	}
	all := float64(percent-1) / 100 * rate
	own := c.meteredDemand.get(g.now, g.settings.MeterPeriod) * float64(second) / float64(g.settings.MeterPeriod)
	c.shareFraction = own / math.Max(all, math.Max(own, 1e-9))
}

// gossip tells peers, or else the counter, of every customer whose use changed,
// those that took most of their burst first.
func (g *Balancer) gossip() {
	slices.SortStableFunc(g.pendingGossip, func(a, b *customer) int {
		return cmp.Compare((b.consumed-b.announcedConsumed)*a.bucket.capacity, (a.consumed-a.announcedConsumed)*b.bucket.capacity)
	})
	kept := g.pendingGossip[:0]
	for _, c := range g.pendingGossip {
		g.refill(c)
		g.updateGrant(c)
		switch {
		case g.now < c.nextAnnouncement && (g.isRemote(c) && c.grantFraction < 1 || g.settings.Peers && !g.hasHome(c) && !g.nearlyEmpty(c)):
		case !g.settings.Peers:
			if c.consumed > c.announcedConsumed {
				g.actions.AddToCounter(c.id, c.consumed-c.announcedConsumed, counterNameTTL)
				c.counterCalls = append(c.counterCalls, c.consumed-c.announcedConsumed)
			}
			c.announcedConsumed, c.pendingAnnouncements = c.consumed, 0
		case g.queueUsage(c):
			c.announcedConsumed, c.announcedRequested, c.nextAnnouncement = c.consumed, c.requested, g.now+calmPeriods*g.gossipInterval
			if c.pendingAnnouncements--; g.hasHome(c) {
				c.pendingAnnouncements, c.nextAnnouncement = 0, g.now+g.messageIntakeTime(c.spread)
			}
			if c.urgentSince != 0 {
				g.urgentDelay.add(float64(g.now-c.urgentSince), fastSampleWeight)
				c.urgentSince = 0
			}
		}
		if c.pendingAnnouncements > 0 {
			kept = append(kept, c)
		}
	}
	g.pendingGossip = kept
	g.flushMessages()
}

// ReceivePeerMessage takes in another gateway's note. One that is malformed is passed over.
func (g *Balancer) ReceivePeerMessage(now Time, from int, note []byte) {
	g.advanceClock(now)
	n, ok := parsePeerMessage(note)
	if !ok || from < 0 || from >= g.settings.Gateways || from == g.settings.Self {
		return
	}
	g.mergePeerLoad(from, n)
	if g.peerIncarnations[from] != n.incarnation {
		// A gateway that has just started knows of no bank: tell it of those not full.
		g.peerIncarnations[from] = n.incarnation
		for _, c := range g.customerOrder {
			if g.refill(c); c.bucket.level < c.bucket.capacity && !g.hasHome(c) && g.inSet(c, from) {
				g.markChanged(c)
				c.nextAnnouncement = 0
			}
		}
	}
	for _, e := range n.entries {
		if e.plan < len(g.settings.Plans) && e.spread > 0 && e.spread <= g.settings.Gateways {
			g.applyPeerEntry(from, n.incarnation, e)
		}
	}
	for _, w := range n.faults {
		if b := g.backendByID[w.backend]; b != nil && int(w.subject) < len(b.faultReports) {
			b.faultReports[w.subject].add(now, faultReportDecay, 1)
		}
	}
	for _, r := range n.grants {
		if c := g.customers[r.id]; c != nil && g.isRemote(c) {
			if c.grantFraction == 1 && r.fraction < 1 {
				c.localShare = g.rand.Float64() * c.lastUnits // so that not all are short or full at once
			}
			if c.grantFraction = r.fraction; r.queryNumber > 0 {
				g.decideAwaiting(c, r)
			}
		}
	}
}

func (g *Balancer) applyPeerEntry(from int, boot uint32, e usageEntry) {
	c := g.findOrAddCustomer(e.id, e.plan, e.first, e.spread)
	if !g.inSet(c, from) || g.isRemote(c) {
		return
	}
	h, before := g.peerTotalsOf(c, from), c.bucket.level
	defer func() { g.recordSpend(c, math.Max(0, before-c.bucket.level)) }()
	taken, asked := e.consumed-h.consumed, e.requested-h.requested
	switch {
	case !h.known || h.incarnation != boot:
		// No earlier figure to take off: what the peer thinks is left bounds it, and what
		// it took since it last told anybody is not yet known here.
		left, fresh := e.remaining*c.bucket.capacity-(c.consumed-c.announcedConsumed), c.bucket.level-fromWireUnits(min(e.consumed, e.newlyRequested))
		switch {
		case c.restored: // of a former life, less a lease: who has lived all along knows better
			c.restored, c.bucket.level = false, math.Max(left, c.bucket.level)
			left = math.Max(left, fresh)
		case h.known || g.hasHome(c) && e.remaining == 1: // it has started anew: what it holds to be left tells less
			left = fresh
		default:
			left = math.Min(left, fresh)
		}
		c.bucket.level = math.Max(0, math.Min(c.bucket.level, left))
		c.peerUsage.add(g.now, c.demandWindow, fromWireUnits(e.newlyRequested))
	case asked > math.MaxUint16/2 || taken > math.MaxUint16/2 && e.wanted == 0:
		return // an older note that came late
	default:
		if taken > math.MaxUint16/2 {
			taken, e.consumed = 0, h.consumed // it did not take what it was granted
		}
		g.adjustLearnedDelay(c, fromWireUnits(taken))
		c.bucket.level = math.Max(0, c.bucket.level-fromWireUnits(taken))
		c.peerUsage.add(g.now, c.demandWindow, fromWireUnits(asked))
	}
	*h = peerTotals{known: true, incarnation: boot, consumed: e.consumed, requested: e.requested}
	g.updateGrant(c)
	if a := (grantEntry{id: c.id, fraction: c.grantFraction, queryNumber: e.queryNumber}); e.queryNumber > 0 {
		want := float64(e.wanted) / 2
		if a.granted = c.bucket.level >= want && (!e.wantsCeiling || g.underCeiling(c, want)); a.granted {
			if c.bucket.level -= want; e.wantsCeiling {
				c.ceilingBucket.level -= want
			}
			h.consumed += toWireUnits(want)
		}
		g.actions.SendToPeer(from, a.appendTo(g.newPeerMessage()))
	} else if g.hasHome(c) && math.Abs(e.remaining-c.grantFraction) > grantTolerance*c.grantFraction {
		g.queueGrant(from, c)
	}
}

// ReceiveCounterTotal takes in the total of a customer's use through all gateways, where there are no
// notes. What a failed call added all the same counts as another's: towards refusing.
func (g *Balancer) ReceiveCounterTotal(now Time, name uint64, r Result, total float64) {
	g.advanceClock(now)
	c := g.customers[name]
	if c == nil || len(c.counterCalls) == 0 {
		return
	}
	own := c.counterCalls[0]
	if c.counterCalls = c.counterCalls[1:]; r != OK {
		return
	}
	g.refill(c)
	more := math.Max(0, total-c.counterTotal-own)
	c.counterTotal = total
	c.bucket.level = math.Max(0, c.bucket.level-more)
	c.peerUsage.add(now, c.demandWindow, more)
	g.recordSpend(c, more)
}

func (b *backend) recordLatency(now Time, x float64) {
	b.latencyRatio = b.currentLatencyRatio(now) + fastSampleWeight*(math.Min(x, 20)-b.currentLatencyRatio(now))
	b.latencyRatioAt = now
}

// ejected tells whether a backend is left out. Probes, if allowed, are the trial of one that is
// down; else, and after errors, one request at a time is.
func (g *Balancer) ejected(b *backend) bool {
	if b.unhealthy && g.settings.Probes {
		return true
	}
	return (b.unhealthy || b.errorRate >= ejectionErrorRate) && (g.now < b.nextProbe || b.inFlight > 0)
}

// eject leaves a backend out, each time in a row for longer.
func (g *Balancer) eject(b *backend, why string) {
	if g.now-b.ejectedAt > 2*maxProbeBackoff {
		b.probeBackoff = 0
	}
	b.probeBackoff = min(max(minProbeBackoff, 2*b.probeBackoff), maxProbeBackoff)
	b.ejectedAt, b.nextProbe = g.now, g.now+b.probeBackoff
	g.actions.Log(fmt.Sprintf("backend %d out: %s", b.Backend, why))
}

// readmit takes a backend in again. Where none could be made its process may have started
// anew: it is held for cold, told or not. One that was silent or only reset runs warm.
func (g *Balancer) readmit(b *backend) {
	if !b.unhealthy {
		return
	}
	b.unhealthy, b.latencyRatio, b.unansweredSince = false, 0, g.activeTime
	if !b.unresponsive {
		b.StartedAt = max(b.StartedAt, g.now)
		b.slowStart = g.newSlowStartBucket()
	}
	g.actions.Log(fmt.Sprintf("backend %d back", b.Backend))
}

// detectUnresponsive leaves a backend out that answers nothing: hung, or cut off with no connection
// broken. Only attempts past their own aim speak against it, one alone, perhaps lost on
// the way, with half the weight. A very slow one comes back by its own late answers.
func (g *Balancer) detectUnresponsive(b *backend) {
	owed := float64(g.activeTime-b.unansweredSince) * g.warmFraction(b) * math.Min(1, float64(b.overdue)/2)
	if !b.unhealthy && owed > unresponsiveAfterObjectives*float64(g.minObjective) {
		b.unhealthy, b.unresponsive = true, true
		g.eject(b, "silent")
	}
}

// recordOutcome learns from how an attempt ended.
func (g *Balancer) recordOutcome(a *attempt, class int, r Result, took float64) {
	b, bad := a.backend, 0.0
	if r == OK {
		g.readmit(b)
		b.consecutiveRejections = 0
		usual := math.Max(g.classLatencies[class].value, saturationLatencyFraction*float64(g.settings.Classes[class].LatencyObjective))
		b.maybeRestarted = b.maybeRestarted && took > promptAnswerFactor*usual
	}
	switch r {
	case OK, TimedOut:
		share := g.warmFraction(b)
		if a.spansSuspension {
			return
		}
		if r == OK && share == 1 {
			g.meanLatency.add(took, slowSampleWeight)
			g.classLatencies[class].add(took, slowSampleWeight)
		}
		if g.classLatencies[class].value > 0 {
			b.recordLatency(g.now, took*share/g.classLatencies[class].value)
		}
	case Failed:
		bad = 1
	case ConnectFailed, Reset:
		b.maybeRestarted = true // its process may have ended, and start anew before anybody tells of that
		if g.recordConnectionFault(b, r) {
			return
		}
		bad = 1
	default:
		return
	}
	b.errorRate += fastSampleWeight * (bad - b.errorRate)
	if bad > 0 && b.errorRate >= ejectionErrorRate && g.now >= b.nextProbe {
		g.eject(b, "errors")
	}
}

// ReceiveProbeResult takes in how a probe ended.
func (g *Balancer) ReceiveProbeResult(now Time, id uint32, r Result, load []float32) {
	g.advanceClock(now)
	b := g.backendByID[id]
	switch {
	case b == nil:
	case r == OK:
		g.recordLoadReport(b, load)
		g.readmit(b)
	case b.unhealthy:
		b.unresponsive = b.unresponsive && r != ConnectFailed
		b.probeBackoff = min(2*b.probeBackoff, maxProbeBackoff)
		b.nextProbe = now + b.probeBackoff
	}
}

// pick picks the least loaded usable backend, sound ones not tried yet first.
// A keyed request that may have run stays within its attempt's group.
func (g *Balancer) pick(r *request, within *attempt) *backend {
	for _, anyway := range []bool{false, true} {
		var best *backend
		bestCost, ties := math.Inf(1), 0.0
		for _, b := range g.backends {
			if b.State != Ready || !b.listed || !g.slowStartAllows(b) ||
				b.maybeRestarted && (b.inFlight > 0 || g.now < b.notBefore) || g.now < b.backoffUntil ||
				within != nil && !g.settings.Classes[r.Class].sameScope(within.backend, b) ||
				!anyway && (g.ejected(b) || r.tried(b)) {
				continue
			}
			cost := g.loadScore(b) * (1 + g.peerWeight()*(b.faultReports[r.Class].get(g.now, faultReportDecay)+
				b.faultReports[len(g.settings.Classes)+r.Plan].get(g.now, faultReportDecay)))
			if cost > bestCost {
				continue
			} else if cost < bestCost {
				ties = 0
			}
			size := g.relativeWeight(b)
			if ties += size; g.rand.Float64()*ties < size {
				best, bestCost = b, cost
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// relativeWeight is what a backend can do, in means of all, as far as the list tells.
func (g *Balancer) relativeWeight(b *backend) float64 {
	if g.settings.ComparableWeights && b.Weight > 0 && g.meanWeight > 0 {
		return b.Weight / g.meanWeight
	}
	return 1
}

// updateMeanWeight takes the mean of the sizes that the list tells.
func (g *Balancer) updateMeanWeight() {
	sum, n := 0.0, 0.0
	for _, b := range g.backends {
		if b.State == Ready && b.listed && b.Weight > 0 {
			sum, n = sum+b.Weight, n+1
		}
	}
	g.meanWeight = sum / math.Max(n, 1)
}

// loadScore is how long a request may have to wait at a backend, compared with others. An idle one is
// no better for being larger: of many gateways each sees next to nothing out anywhere, and all would
// send to the largest alone. Idle ones alike in all else are chosen in proportion to their size.
func (g *Balancer) loadScore(b *backend) float64 {
	held := float64(b.inFlight)
	if g.now-b.queueReportedAt < second {
		held = math.Max(held, held/2+b.reportedQueue)
	}
	cost := (held/g.relativeWeight(b) + 1) * b.currentLatencyRatio(g.now)
	if b.Zone != g.settings.Zone {
		cost *= 1 + g.settings.CrossZonePrice*crossZoneLoadWeight
	}
	if g.settings.Gateways > maxConcurrentTrials && (b.lastSend == 0 || g.now-b.lastSend > idleConnectionLifetime) && g.warmFraction(b) == 1 {
		// It needs a handshake, which costs it work. In a large fleet each gateway sends a
		// backend a request now and then only: nearly every one would pay for a handshake.
		each := g.sendPace.get(g.now, sendPaceWindow) * float64(idleConnectionLifetime) / float64(sendPaceWindow)
		cost *= 1 + handshakeLoad/(1+each)
	}
	return cost
}

// UpdateEndpoints takes in discovery's news of the backends. What it says is draining or
// gone gets nothing more from now on.
func (g *Balancer) UpdateEndpoints(now Time, news ListKind, list []Endpoint) {
	g.advanceClock(now)
	if news == Unavailable {
		g.watching = false
		return
	}
	g.watching = g.watching || news != CompleteCached && news != StaleBootstrap
	for _, b := range g.backends {
		b.listed = b.listed && news == Delta
	}
	for _, m := range list {
		b := g.findOrAddBackend(m)
		if m.StartedAt > b.StartedAt {
			b.latencyRatio, b.errorRate, b.slowStart = 0, 0, g.newSlowStartBucket()
		}
		m.StartedAt = max(m.StartedAt, b.StartedAt)
		b.Endpoint, b.listed = m, m.State != Removed
		if b.maybeRestarted = news == StaleBootstrap; b.maybeRestarted {
			apart := float64(trialSpacing * Time(max(0, g.settings.Gateways-maxConcurrentTrials)))
			b.notBefore = g.now + Time(g.rand.Float64()*apart)
		}
	}
	g.pruneBackends()
	g.updateMeanWeight()
}

// slowStartAllows tells whether a backend may be sent one more. A cold one is sent its share of
// what this gateway sends a warm one, saved up for half the span over which the rule counts:
// through all gateways no more of its capacity than the warm ones get of theirs.
func (g *Balancer) slowStartAllows(b *backend) bool {
	share := g.warmFraction(b)
	if share == 1 {
		return true
	}
	span := float64(g.settings.SlowStartOverloadWindow) / float64(second)
	each := g.sendPace.get(g.now, sendPaceWindow) * float64(second) / float64(sendPaceWindow)
	least := 1 / math.Max(span, 1) / float64(g.settings.Gateways) // one send in a span through all
	b.slowStart.rate = math.Max(each, least) * share
	b.slowStart.capacity = math.Max(1, b.slowStart.rate*span/2)
	b.slowStart.refill(g.now)
	return b.slowStart.level >= 1
}

// mayRetry tells whether a request may be sent again, within which attempt's group (nil: anywhere),
// and whether it may be refused. A keyed window is closed a little early.
func (c *Class) mayRetry(out []*attempt, copies bool, now, early Time) (again bool, in *attempt, refuse bool) {
	again, refuse = true, true
	for _, a := range out {
		if a.pending && !copies {
			again = false
		}
		if !a.mayHaveRun || c.Idempotency == Idempotent {
			continue
		}
		if c.Idempotency == NotIdempotent {
			return false, nil, false
		}
		if in == nil {
			in = a
			again = again && now < a.sentAt+c.DeduplicationWindow-early
			refuse = c.DeduplicationScope == ScopeAll
		}
	}
	return again, in, refuse
}

// refreshHealth takes note of attempts that are past their aim, and silent backends.
func (g *Balancer) refreshHealth() {
	for class := range g.withinObjective {
		g.markOverdue(class, g.settings.Classes[class].LatencyObjective)
	}
	g.healthyCount, g.warmCount = 0, 0
	for _, b := range g.backends {
		g.detectUnresponsive(b)
		if b.State == Ready && b.listed && !g.ejected(b) {
			g.healthyCount++
			if g.warmFraction(b) == 1 {
				g.warmCount++
			}
		}
	}
}

// effectiveInFlight is how many attempts the back end holds for this gateway. Those past their aim count as
// far as answers come late everywhere: lost or stuck at a few backends they would shut the gate
// on what can be served. Those at one that is down don't count, at a slow one they count less.
func (g *Balancer) effectiveInFlight() float64 {
	held := 0.0
	for _, b := range g.backends {
		if !b.unhealthy && b.inFlight > 0 {
			held += (float64(b.inFlight) - float64(b.overdue)*(1-g.lateFraction.value)) / math.Max(1, b.currentLatencyRatio(g.now)/2)
		}
	}
	return held
}

// loadView is what this gateway holds and what comes back in time a second, with that of n-1 others:
// alone it may be a few a second. The more it sees itself, the less their older figures count.
func (g *Balancer) loadView() (held, inTime, n float64) {
	return g.effectiveInFlight() + g.peerWeight()*g.peersInFlight.get(g.activeTime, second),
		g.onTime.get(g.activeTime, second) + g.peerWeight()*g.peersOnTime.get(g.activeTime, second),
		1 + g.peerWeight()*g.peersHeard.get(g.activeTime, second)
}

// peerWeight is how much others' word counts: the less, the more this gateway sees itself.
func (g *Balancer) peerWeight() float64 {
	return sufficientAnswerRate / (sufficientAnswerRate + g.onTime.get(g.activeTime, second))
}

// saturated tells whether so large a part of the room at the back end is filled: as many attempts
// as come back within their aim in the time an answer may take.
func (g *Balancer) saturated(part float64) bool {
	g.refreshHealth()
	// A loaded back end stretches all classes alike: the tightest sets the time.
	allowed := math.Inf(1)
	for class, base := range g.classLatencies {
		if base.value > 0 {
			allowed = math.Min(allowed, g.meanLatency.value/base.value*float64(g.settings.Classes[class].LatencyObjective))
		}
	}
	if math.IsInf(allowed, 1) {
		allowed = float64(g.minObjective)
	}
	held, inTime, n := g.loadView()
	least := (minInFlight - (minInFlight-minInFlightWhenLate)*g.lateFraction.value) * float64(g.healthyCount) / float64(g.settings.Gateways) * n
	room := math.Max(least, inTime*allowed/float64(second)*saturationLatencyFraction)
	return held >= room*part || g.effectiveInFlight() >= minOwnInFlight+ownCapacityFactor*room/n*part
}

// Request decides on a client's try.
func (g *Balancer) Request(now Time, q Request) {
	g.advanceClock(now)
	if q.Class < 0 || q.Class >= len(g.settings.Classes) || q.Plan < 0 || q.Plan >= len(g.settings.Plans) {
		g.actions.Fail(q.ID)
		return
	}
	grace := &g.clientTimeouts[q.Plan][q.Class]
	if g.now > g.resumedAt {
		grace.add(float64(q.Timeout), fastSampleWeight)
	} else if grace.value-float64(q.Timeout)+g.classLatencies[q.Class].value > float64(g.settings.Classes[q.Class].LatencyObjective) {
		g.reject(q.ID, 0, ReasonTooLate) // it came while this gateway stood still: too late for any answer
		return
	}
	plan := &g.settings.Plans[q.Plan]
	c := g.findOrAddCustomer(q.Customer, q.Plan, q.First, q.Spread)
	g.recordDemand(c, q.Units)
	r := &request{Request: q, deadline: now + q.Timeout, customer: c}
	if g.saturated(g.capacityFraction(&q, plan)) {
		g.reject(q.ID, g.minObjective/2, ReasonOverload)
	} else if g.usesAllocations(c) {
		g.decideByAllocation(r)
	} else if g.isRemote(c) && (g.consultsHome(c) || !g.underCeiling(c, q.Units)) && 2*q.Units <= maxWantedHalves {
		g.queryHome(r)
	} else {
		g.admit(r, g.withinQuota(c, q.Units))
	}
}

// admit sends a request on if its own bank holds its units, else if bank 0 lends them.
func (g *Balancer) admit(r *request, inside bool) {
	q, c, plan := &r.Request, r.customer, &g.settings.Plans[r.Plan]
	defer g.releaseUnused(r)
	if !inside {
		g.sharedBucket.refill(g.now)
		if !plan.mayExceedQuota() || g.sharedBucket.level < q.Units || g.saturated(sharedBucketCapacity) {
			g.reject(q.ID, g.refillDelay(r), g.emptyReason(r))
			return
		}
	}
	if !r.homePaysCeiling && !g.underCeiling(c, q.Units) {
		g.reject(q.ID, timeUntil(c.ceilingBucket.level, c.ceilingBucket.rate, q.Units), ReasonCeiling)
		return
	}
	b := g.pick(r, nil)
	if b == nil {
		g.reject(q.ID, g.minObjective/2, ReasonNoBackend)
		return
	}
	if inside {
		g.consume(c, q.Units)
		if g.usesAllocations(c) {
			g.allocations.Consume(g.now, q.ID, g.sharedQuota(c), q.Units-r.onDemandUnits-r.reservedUnits)
			r.onDemandUnits, r.reservedUnits = 0, 0
		}
	} else {
		g.sharedBucket.level -= q.Units
	}
	if plan.CeilingRate > 0 && !r.homePaysCeiling {
		c.ceilingBucket.level -= q.Units
	}
	g.recordSpend(c, q.Units)
	g.retryBudget = math.Min(maxRetryBudget, g.retryBudget+retryBudgetRatio)
	g.requests[q.ID] = r
	g.sendAttempt(r, b)
}

// refillDelay is how long it takes until a customer's own bank holds the units: where its
// set shares one store, that fills for all of them at once.
func (g *Balancer) refillDelay(r *request) Time {
	c, units := r.customer, r.Units
	if r.retryAfter > 0 {
		return r.retryAfter
	}
	rate := g.settings.Plans[c.plan].Rate
	if g.usesAllocations(c) {
		rate = g.allocations.RefillRate(g.now, g.sharedQuota(c))
	} else if !g.sharesUsage || g.hasHome(c) {
		rate *= g.quotaFraction(c)
	}
	return timeUntil(g.available(c), rate, units)
}

// capacityFraction is the part of the room open to a request: more for more worth for work.
func (g *Balancer) capacityFraction(q *Request, plan *Plan) float64 {
	base := g.classLatencies[q.Class].value
	if base == 0 {
		return 1
	}
	worth := g.settings.Classes[q.Class].PriorityWeight * plan.Price * q.Units / base
	g.meanValue.add(worth, slowSampleWeight)
	return commonCapacity + (1-commonCapacity)*math.Min(maxRelativeValue, worth/math.Max(g.meanValue.value, 1e-12))
}

func (g *Balancer) sendAttempt(r *request, b *backend) {
	a := &attempt{backend: b, sentAt: g.now, pending: true, mayHaveRun: true}
	r.attempts = append(r.attempts, a)
	g.withinObjective[r.Class] = append(g.withinObjective[r.Class], a)
	if b.inFlight == 0 {
		b.unansweredSince = g.activeTime
	}
	b.inFlight++
	b.lastSend = g.now
	r.customer.inFlight++
	if g.warmFraction(b) < 1 {
		b.slowStart.level--
	}
	class, base := &g.settings.Classes[r.Class], Time(g.classLatencies[r.Class].value)
	until := g.now + max(Time(hedgeAfterMeanLatencies)*base, Time(minHedgeObjectiveFraction*float64(class.LatencyObjective)))
	if class.Idempotency == NotIdempotent || g.retryBudget < 1 || len(r.attempts) == g.settings.MaxAttempts || g.saturated(sharedBucketCapacity) ||
		base == 0 || until+base > r.attempts[0].sentAt+class.LatencyObjective {
		until = 0
	}
	g.actions.Send(r.ID, b.Backend, until)
}

// Outcome takes in how an attempt ended, and gives the final answer or starts a
// further attempt where one is owed.
func (g *Balancer) Outcome(now Time, o Outcome) {
	g.advanceClock(now)
	r := g.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].pending {
		return
	}
	a, class := r.attempts[o.Attempt], &g.settings.Classes[r.Class]
	a.pending = false
	a.mayHaveRun = o.Result != Rejected && o.Result != ConnectFailed && o.Result != Superseded
	g.settleAttempt(r, a, &o)
	r.done = r.done || o.RequestDone
	if r.pending() {
		return
	}
	if r.done {
		delete(g.requests, o.ID)
		return
	}
	price := notExecutedRetryCost
	if a.mayHaveRun {
		price = 1
	}
	again, within, refuse := class.mayRetry(r.attempts, g.settings.Hedging, now, 4*g.settings.Tick)
	if again && len(r.attempts) < g.settings.MaxAttempts && g.retryBudget >= price && r.deadline-now > class.LatencyObjective/10 {
		if next := g.pick(r, within); next != nil {
			g.retryBudget -= price
			g.sendAttempt(r, next)
			return
		}
	}
	delete(g.requests, o.ID)
	if refuse {
		g.reject(o.ID, g.minObjective/2, ReasonAttemptLimit)
	} else {
		g.actions.Fail(o.ID)
	}
}

// MayStillSend tells whether an attempt that was to be sent may be sent now: its host may have waited for a
// connection, and what drops repeats of a keyed request forgets it. It only looks: it may be asked amid Send.
func (g *Balancer) MayStillSend(now Time, id uint64, attempt int) bool {
	r := g.requests[id]
	if r == nil || attempt >= len(r.attempts) {
		return false
	}
	again, _, _ := g.settings.Classes[r.Class].mayRetry(r.attempts[:attempt], g.settings.Hedging, now, 4*g.settings.Tick)
	return again
}

// backOffRejecting has nothing more sent to a backend for a while after it turned an attempt away. It
// holds nothing then and would look idle, and each gateway would send all that it has to it. The
// wait is drawn, and so long that many gateways together try it once in tryApart; it doubles while
// the backend goes on turning attempts away. No gateway has to hear of another for that.
func (g *Balancer) backOffRejecting(b *backend) {
	if g.now < b.backoffUntil {
		return // sent before it was known
	}
	wait := float64(trialSpacing*Time(max(0, g.settings.Gateways-maxConcurrentTrials))) * math.Exp2(float64(b.consecutiveRejections))
	b.consecutiveRejections++
	b.backoffUntil = g.now + Time(math.Min(wait, float64(maxProbeBackoff))*(0.5+g.rand.Float64()/2))
}

// settleAttempt books an attempt's end on its backend and its customer.
func (g *Balancer) settleAttempt(r *request, a *attempt, o *Outcome) {
	b := a.backend
	b.inFlight--
	if a.overdue {
		b.overdue--
	}
	r.customer.inFlight--
	late := o.Duration > g.settings.Classes[r.Class].LatencyObjective
	// One turned away is no answer: counted as one in time it would open the gate to more of its kind.
	if !a.spansSuspension && (o.Result == OK || o.Result == TimedOut && late) {
		g.lateFraction.add(indicator(late), fastSampleWeight)
		g.onTime.add(g.activeTime, second, indicator(!late))
	}
	if o.Result == OK || o.Result == Failed || o.Result == Rejected {
		b.unansweredSince = g.activeTime
	}
	if o.Result == OK && g.warmFraction(b) == 1 {
		g.sendPace.add(g.now, sendPaceWindow, 1/float64(max(1, g.warmCount)))
	}
	g.recordLoadReport(b, o.Load)
	g.recordOutcome(a, r.Class, o.Result, float64(o.Duration))
	// Trouble for one plan or class, met once in many seconds at any one backend: all are told, and
	// prefer others till the word fades. It may hurt where one is avoided by all for too long.
	if o.Result == Rejected {
		g.backOffRejecting(b)
		g.reportFault(b, len(g.settings.Classes)+r.Plan)
	} else if o.Result == Failed || o.Result == TimedOut && !a.spansSuspension {
		g.reportFault(b, r.Class)
	}
	g.applyMeterReading(r.customer, o.MeteredUse)
	if g.settings.SettlesUnits && o.Result == OK && o.TrueUnits > 0 {
		g.refill(r.customer)
		g.consume(r.customer, o.TrueUnits-r.Units)
		if g.usesAllocations(r.customer) {
			g.allocations.Consume(g.now, r.ID, g.sharedQuota(r.customer), o.TrueUnits-r.Units)
		}
	}
}

// Timer takes in a timer that was set.
func (g *Balancer) Timer(now Time, token uint32) {
	g.advanceClock(now)
	if token != gossipTimer {
		g.decideAwaiting(nil, grantEntry{})
		return
	}
	g.scheduleTimer()
	if now-g.lastSweep >= sweepInterval {
		g.sweepIdleCustomers()
	}
	g.gossip()
	for _, b := range g.backends {
		if g.settings.Probes && b.unhealthy && b.listed && b.State == Ready && now >= b.nextProbe {
			b.nextProbe = now + maxProbeBackoff
			g.actions.Probe(b.Backend)
		}
	}
	if g.settings.PollEndpoints && !g.watching && now-g.lastWatch >= g.settings.PollInterval/4 {
		g.watchEndpoints()
	}
}
