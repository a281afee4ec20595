package policy

import "math"

// maxForwardStep is the largest step of a total on the wire, modulo 65536, that counts as forward:
// a larger one means that the message is older than one that was received before.
const maxForwardStep = math.MaxUint16 / 2

// peerTotals are the totals that a peer last announced for a customer, in wire units, which wrap
// around.
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

// informNewPeer schedules announcements of all buckets that are not full to a gateway that has just
// started. It assumes that the buckets that nobody announces to it are full.
func (lb *Balancer) informNewPeer(peer int) {
	for _, c := range lb.customerOrder {
		lb.refill(c)
		if c.bucket.level < c.bucket.capacity && !lb.hasHome(c) && lb.inSet(c, peer) {
			lb.markChanged(c)
			c.nextAnnouncement = 0
		}
	}
}

// mergePeerLoad merges a peer's load view into the load of all peers.
func (lb *Balancer) mergePeerLoad(from int, m peerMessage) {
	weight := math.Min(1, float64(lb.activeTime-lb.lastReceivedAt[from])/float64(second))
	lb.peerLoad.add(lb.activeTime, weight, m.inFlight, m.onTime)
	lb.lastReceivedAt[from] = lb.activeTime
}

// applyPeerEntry deducts a peer's consumption from a customer's bucket, and answers its query.
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

// applyFirstEntry applies the first entry of a peer's incarnation. As there is no earlier total to
// subtract, the bucket is limited to what the peer believes to remain. What the peer consumed since
// its last announcement to any gateway is deducted, because it is not yet known here.
func (lb *Balancer) applyFirstEntry(c *customer, knownBefore bool, e *usageEntry) {
	remaining := e.remaining*c.bucket.capacity - (c.consumed - c.announcedConsumed)
	afterNewUse := c.bucket.level - fromWireUnits(min(e.consumed, e.newlyRequested))
	switch {
	case c.restored:
		// The level of a peer that kept running is better than that of a snapshot, which is lower
		// by an allowance.
		c.restored = false
		c.bucket.level = math.Max(remaining, c.bucket.level)
		remaining = math.Max(remaining, afterNewUse)
	case knownBefore || lb.hasHome(c) && e.remaining == 1:
		// The peer has restarted: what it believes to remain is less reliable than the level here.
		remaining = afterNewUse
	default:
		remaining = math.Min(remaining, afterNewUse)
	}
	c.bucket.level = math.Max(0, math.Min(c.bucket.level, remaining))
	c.peerUsage.add(lb.now, c.demandWindow, fromWireUnits(e.newlyRequested))
}

// applyDifference applies what a peer consumed and requested since its last entry. It returns
// false, and does nothing, if a newer entry was received before.
func (lb *Balancer) applyDifference(c *customer, last *peerTotals, e *usageEntry) bool {
	consumed := e.consumed - last.consumed
	requested := e.requested - last.requested
	if requested > maxForwardStep || consumed > maxForwardStep && e.queryHalves == 0 {
		return false
	}
	if consumed > maxForwardStep {
		// The last total includes units that were granted to the peer and that it did not consume.
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
