package policy

import "math"

// maxForwardStep is the largest step of a total on the wire, modulo 65536, that is one forwards: a
// larger one means that the message is older than another that came first.
const maxForwardStep = math.MaxUint16 / 2

// peerTotals are the totals that a peer last announced for a customer, in wire units that wrap.
type peerTotals struct {
	known       bool
	incarnation uint32
	consumed    uint16
	requested   uint16
}

// ReceivePeerMessage handles another gateway's message. A malformed one is ignored.
func (lb *Balancer) ReceivePeerMessage(now Time, from int, raw []byte) {
	lb.advanceClock(now)
	m, ok := parsePeerMessage(raw)
	if !ok || from < 0 || from >= lb.settings.Gateways || from == lb.settings.Self {
		return
	}
	lb.mergePeerLoad(from, m)
	if lb.peerIncarnations[from] != m.incarnation {
		lb.peerIncarnations[from] = m.incarnation
		lb.informNewPeer(from)
	}
	for _, e := range m.entries {
		if e.plan < len(lb.settings.Plans) && e.spread > 0 && e.spread <= lb.settings.Gateways {
			lb.applyPeerEntry(from, m.incarnation, e)
		}
	}
	for _, report := range m.faults {
		lb.applyFaultReport(now, report)
	}
	for _, grant := range m.grants {
		lb.applyGrant(grant)
	}
}

// informNewPeer has a gateway that has just started told of all buckets that are not full: it
// takes those that it does not hear of for full.
func (lb *Balancer) informNewPeer(peer int) {
	for _, c := range lb.customerOrder {
		lb.refill(c)
		if c.bucket.level < c.bucket.capacity && !lb.hasHome(c) && lb.inSet(c, peer) {
			lb.markChanged(c)
			c.nextAnnouncement = 0
		}
	}
}

// mergePeerLoad adds a peer's load view to what is known of all peers.
func (lb *Balancer) mergePeerLoad(from int, m peerMessage) {
	weight := math.Min(1, float64(lb.activeTime-lb.lastReceivedAt[from])/float64(second))
	lb.peerLoad.add(lb.activeTime, weight, m.inFlight, m.onTime)
	lb.lastReceivedAt[from] = lb.activeTime
}

// applyPeerEntry takes what a peer consumed off a customer's bucket, and answers its query.
func (lb *Balancer) applyPeerEntry(from int, incarnation uint32, e usageEntry) {
	c := lb.findOrAddCustomer(e.id, e.plan, e.first, e.spread)
	if !lb.inSet(c, from) || lb.isRemote(c) {
		return
	}
	before := c.bucket.level
	totals := lb.peerTotalsOf(c, from)
	if lb.applyPeerTotals(c, totals, incarnation, &e) {
		lb.updateGrant(c)
		if e.queryNumber > 0 {
			lb.answerQuery(c, from, totals, &e)
		} else {
			lb.correctGrant(c, from, e.remaining)
		}
	}
	lb.recordSpend(c, math.Max(0, before-c.bucket.level))
}

// applyPeerTotals applies the totals of an entry to a customer's bucket and stores them. It reports
// whether the entry is newer than the last one.
func (lb *Balancer) applyPeerTotals(
	c *customer, last *peerTotals, incarnation uint32, e *usageEntry,
) bool {
	if !last.known || last.incarnation != incarnation {
		lb.applyFirstEntry(c, last.known, e)
	} else if !lb.applyDifference(c, last, e) {
		return false
	}
	*last = peerTotals{
		known:       true,
		incarnation: incarnation,
		consumed:    e.consumed,
		requested:   e.requested,
	}
	return true
}

// applyFirstEntry applies the first entry of a peer's incarnation. With no earlier total to
// subtract, the bucket is bounded by what the peer believes to remain, and what the peer consumed
// since it last told anybody is taken off, since it is not yet known here.
func (lb *Balancer) applyFirstEntry(c *customer, knownBefore bool, e *usageEntry) {
	remaining := e.remaining*c.bucket.capacity - (c.consumed - c.announcedConsumed)
	afterNewUse := c.bucket.level - fromWireUnits(min(e.consumed, e.newlyRequested))
	switch {
	case c.restored:
		// A peer that ran all along knows better than a snapshot, which lacks an allowance.
		c.restored = false
		c.bucket.level = math.Max(remaining, c.bucket.level)
		remaining = math.Max(remaining, afterNewUse)
	case knownBefore || lb.hasHome(c) && e.remaining == 1:
		// The peer has restarted: what it believes to remain says less than what is known here.
		remaining = afterNewUse
	default:
		remaining = math.Min(remaining, afterNewUse)
	}
	c.bucket.level = math.Max(0, math.Min(c.bucket.level, remaining))
	c.peerUsage.add(lb.now, c.demandWindow, fromWireUnits(e.newlyRequested))
}

// applyDifference applies what a peer consumed and requested since its last entry. It returns
// false, and does nothing, if the entry is an older one that came late.
func (lb *Balancer) applyDifference(c *customer, last *peerTotals, e *usageEntry) bool {
	consumed := e.consumed - last.consumed
	requested := e.requested - last.requested
	if requested > maxForwardStep || consumed > maxForwardStep && e.queryHalves == 0 {
		return false
	}
	if consumed > maxForwardStep {
		// Its total lies behind what it was granted, which it did not consume.
		consumed = 0
		e.consumed = last.consumed
	}
	units := fromWireUnits(consumed)
	lb.adjustLearnedDelay(c, units)
	c.bucket.level = math.Max(0, c.bucket.level-units)
	c.peerUsage.add(lb.now, c.demandWindow, fromWireUnits(requested))
	return true
}

// peerTotalsOf returns what a gateway of the customer's set last announced for it.
func (lb *Balancer) peerTotalsOf(c *customer, from int) *peerTotals {
	if c.peerTotals == nil {
		c.peerTotals = make([]peerTotals, c.spread)
	}
	return &c.peerTotals[(from-c.first+lb.settings.Gateways)%lb.settings.Gateways]
}
