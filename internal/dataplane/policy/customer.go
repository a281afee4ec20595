package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// demandWindowFraction is the demand window as a fraction of the time that fills an empty
	// bucket.
	demandWindowFraction = 0.5

	// negligibleUnits is the sum below which demand counts as 0: a decaying sum never reaches 0.
	negligibleUnits = 0.01
)

// customer is this gateway's record of one customer, which is served by its gateway set: spread
// consecutive gateways, beginning with the number first.
type customer struct {
	id     uint64
	plan   int
	first  int
	spread int

	bucket        tokenBucket // of the whole quota; of this gateway's share if usage is not shared
	ceilingBucket tokenBucket // this gateway's part of the ceiling
	inFlight      int         // attempts

	demand
	announcements
	homeGrant
	counterState
	snapshotReserve
}

// demand measures what a customer requests and consumes.
type demand struct {
	demandWindow Time
	localDemand  decayingSum // units requested here
	peerUsage    decayingSum // units requested at other gateways
	requested    float64     // total units requested here
	consumed     float64     // total units consumed here
	lastUnits    float64     // of the last request
	maxUnits     float64     // of the largest request
}

// customerTable holds the customers that this gateway has seen recently.
type customerTable struct {
	customers     map[uint64]*customer
	customerOrder []*customer // oldest first
	lastSweep     Time
	maxCustomers  int // 0: no limit
}

// LimitCustomers limits how many customers the balancer keeps records of; 0: there is no limit.
// Beyond the limit it forgets those that have consumed least: each of them may consume that once
// more.
func (lb *Balancer) LimitCustomers(n int) { lb.maxCustomers = n }

// findOrAddCustomer returns a customer's record, refilled up to now.
func (lb *Balancer) findOrAddCustomer(id uint64, plan, first, spread int) *customer {
	c := lb.customers[id]
	if c == nil {
		c = lb.newCustomer(id, plan, first, spread)
		if lb.maxCustomers > 0 && len(lb.customers) >= lb.maxCustomers {
			lb.dropLeastConsumed()
		}
		p := &lb.settings.Plans[plan]
		lb.idleRefill[plan] = math.Max(0, lb.idleRefill[plan]-p.Rate/float64(c.spread))
		lb.customerTable.add(c)
	}
	lb.refill(c)
	return c
}

// add adds a customer's record.
func (t *customerTable) add(c *customer) {
	t.customers[c.id] = c
	t.customerOrder = append(t.customerOrder, c)
}

// newCustomer returns the record of a customer that this gateway does not know. Its bucket is full:
// peers report those that are not, and until they have had time to, available limits what may be
// consumed, so that a restart grants no second burst. This gateway's part of the ceiling has filled
// since the gateway's start, from half of the slack: an earlier incarnation may have used the rest.
func (lb *Balancer) newCustomer(id uint64, plan, first, spread int) *customer {
	p := &lb.settings.Plans[plan]
	spread = min(max(spread, 1), lb.settings.Gateways)
	setSize := float64(spread)
	c := &customer{
		id:            id,
		plan:          plan,
		first:         (first%lb.settings.Gateways + lb.settings.Gateways) % lb.settings.Gateways,
		spread:        spread,
		bucket:        tokenBucket{level: p.Burst, rate: p.Rate, capacity: p.Burst, at: lb.now},
		ceilingBucket: tokenBucket{level: p.CeilingSlack / setSize / 2, at: lb.stateSince},
		homeGrant:     homeGrant{grantFraction: 1, announcedGrant: 1},
	}
	c.demandWindow = lb.demandWindowOf(p, spread)
	c.ceilingBucket.rate, c.ceilingBucket.capacity = lb.ceilingShare(c)
	if !lb.sharesUsage {
		c.bucket.level /= setSize
	}
	c.ceilingBucket.refill(lb.now)
	c.ceilingBucket.level -= lb.possiblySpent(c, c.ceilingBucket.rate)
	c.bucket.level = math.Max(0, c.bucket.level-lb.possiblySpent(c, c.bucket.rate))
	c.storedAllowance = snapshotAllowanceFraction * p.Burst // of a snapshot without it
	c.snapshotAllowance = c.storedAllowance
	return c
}

// demandWindowOf returns the time over which a customer's demand is measured.
func (lb *Balancer) demandWindowOf(p *Plan, spread int) Time {
	if p.Rate == 0 {
		return second
	}
	window := Time(demandWindowFraction * p.Burst / p.Rate * float64(second))
	return max(window, lb.messageIntakeTime(spread))
}

// recordDemand records units that a customer requests, granted or not.
func (lb *Balancer) recordDemand(c *customer, units float64) {
	c.demand.add(lb.now, units)
	c.meteredDemand.add(lb.now, max(1, lb.settings.MeterPeriod), units)
	lb.addGrantedDemand(c, units)
	lb.markChanged(c)
}

// add records a request.
func (d *demand) add(now Time, units float64) {
	d.localDemand.add(now, d.demandWindow, units)
	d.requested += units
	d.lastUnits = units
	d.maxUnits = math.Max(d.maxUnits, units)
}

// total returns the units requested recently through all gateways of the set.
func (d *demand) total(now Time) float64 {
	return d.localDemand.get(now, d.demandWindow) + d.peerUsage.get(now, d.demandWindow)
}

// inSet reports whether a gateway belongs to the customer's gateway set.
func (lb *Balancer) inSet(c *customer, gateway int) bool {
	n := lb.settings.Gateways
	return (gateway-c.first+n)%n < c.spread
}

// otherGateways returns the numbers of the other gateways in a customer's set.
func (lb *Balancer) otherGateways(c *customer) []int {
	peers := make([]int, 0, c.spread)
	for i := range c.spread {
		if peer := (c.first + i) % lb.settings.Gateways; peer != lb.settings.Self {
			peers = append(peers, peer)
		}
	}
	return peers
}

// sweepIdleCustomers drops idle customers. The overflow of their full buckets continues to fill the
// shared bucket.
func (lb *Balancer) sweepIdleCustomers() {
	lb.lastSweep = lb.now
	lb.shareLoadView(loadViewFanout)
	kept := lb.customerOrder[:0]
	for _, c := range lb.customerOrder {
		lb.refill(c)
		lb.updateGrant(c)
		if !c.idle(lb.now) {
			kept = append(kept, c)
			continue
		}
		lb.forget(c)
	}
	clear(lb.customerOrder[len(kept):])
	lb.customerOrder = kept
	lb.refillShared()
	lb.sharedBucket.rate = sumOf(lb.idleRefill)
}

// droppedFraction is the fraction of the records that are dropped at once at the limit.
const droppedFraction = 0.25

// dropLeastConsumed drops the records whose buckets lack the fewest units, so that a flood of new
// customers takes the place of neither the memory nor those that are about to exceed their quotas.
func (lb *Balancer) dropLeastConsumed() {
	var candidates []*customer
	for _, c := range lb.customerOrder {
		if c.replaceable() {
			lb.refill(c)
			candidates = append(candidates, c)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *customer) int {
		return cmp.Compare(a.consumedUnits(), b.consumedUnits())
	})
	most := max(1, int(droppedFraction*float64(lb.maxCustomers)))
	for _, c := range candidates[:min(most, len(candidates))] {
		lb.forget(c)
	}
	forgotten := func(c *customer) bool { return lb.customers[c.id] != c }
	lb.customerOrder = slices.DeleteFunc(lb.customerOrder, forgotten)
	lb.pendingGossip = slices.DeleteFunc(lb.pendingGossip, forgotten)
	lb.sharedBucket.rate = sumOf(lb.idleRefill)
}

// forget removes a customer's record from the table, but not from customerOrder.
func (lb *Balancer) forget(c *customer) {
	lb.idleRefill[c.plan] += lb.settings.Plans[c.plan].Rate / float64(c.spread)
	delete(lb.customers, c.id)
}

// consumedUnits returns how many units the customer's buckets lack.
func (c *customer) consumedUnits() float64 {
	ceiling := c.ceilingBucket.capacity - c.ceilingBucket.level
	return math.Max(c.bucket.capacity-c.bucket.level, ceiling)
}

// replaceable reports whether a customer's record may be dropped: no attempt, call or grant refers
// to it.
func (c *customer) replaceable() bool {
	return c.inFlight == 0 &&
		len(c.counterCalls) == 0 &&
		c.grantFraction == 1 &&
		c.announcedGrant == 1
}

// idle reports whether a customer's record can be dropped without loss of information.
func (c *customer) idle(now Time) bool {
	return c.localDemand.get(now, c.demandWindow) < negligibleUnits &&
		c.peerUsage.get(now, c.demandWindow) < negligibleUnits &&
		c.replaceable() &&
		c.pendingAnnouncements == 0 &&
		c.bucket.level >= c.bucket.capacity &&
		c.ceilingBucket.level >= c.ceilingBucket.capacity
}
