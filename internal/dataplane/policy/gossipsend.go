package policy

import (
	"cmp"
	"slices"
)

const (
	minGossipInterval     = second / 30
	gossipMessageFraction = 0.5 // of the messages that a peer can take in, for regular gossip
	maxDirectPeers        = 8   // gateways that announce all their use to each other
	announcementRepeats   = 2   // announcements of a change: one more than needed, in case of loss
	relaxedPeriods        = 4   // gossip intervals between messages of a bucket far from empty
	startupPeriods        = 4   // gossip intervals until a new gateway knows all buckets
	loadViewFanout        = 6   // random peers that are sent the load view in each sweep
)

// gossipState is what this gateway sends to its peers, and when it last received from each.
type gossipState struct {
	incarnation      uint32 // of this process
	gossipInterval   Time
	pendingGossip    []*customer // whose use has changed since its last announcement
	outgoing         [][]byte    // for each peer, the message under construction
	pendingFaults    []pendingFault
	peerIncarnations []uint32
	lastReceivedAt   []Time
	urgentState
}

// announcements is what was announced to a customer's gateway set.
type announcements struct {
	announcedConsumed    float64 // units, of those consumed here
	announcedRequested   float64 // units, of those requested here
	pendingAnnouncements int     // how often its use is still to be announced
	nextAnnouncement     Time    // not earlier, if the peers can wait
	urgentSince          Time    // when an urgent message began to wait for a token; 0: none waits
	peerTotals           []peerTotals
	restored             bool // the bucket was restored and no peer has reported it since
}

func newGossipState(settings *Settings, incarnation uint32) gossipState {
	s := gossipState{
		incarnation:      incarnation,
		gossipInterval:   minGossipInterval,
		outgoing:         make([][]byte, settings.Gateways),
		peerIncarnations: make([]uint32, settings.Gateways),
		lastReceivedAt:   make([]Time, settings.Gateways),
		urgentState:      urgentState{urgentBuckets: make([]tokenBucket, settings.Gateways)},
	}
	if settings.MaxPeerMessagesPerSecond > 0 {
		senders := min(settings.Gateways-1, maxDirectPeers)
		s.gossipInterval = max(s.gossipInterval, settings.messageIntakeTime(senders))
	}
	return s
}

// messageIntakeTime returns the time in which a gateway can take in one message from each of a
// number of senders.
func (settings *Settings) messageIntakeTime(senders int) Time {
	rate := gossipMessageFraction * max(settings.MaxPeerMessagesPerSecond, 1)
	return Time(float64(senders) / rate * float64(second))
}

func (lb *Balancer) messageIntakeTime(senders int) Time {
	return lb.settings.messageIntakeTime(senders)
}

// announceStart informs the neighbours that this gateway has just started and has no state.
func (lb *Balancer) announceStart() {
	for peer := range lb.outgoing {
		lb.lastReceivedAt[peer] = lb.now
		if lb.announcesStartTo(lb.settings.Self, peer) {
			lb.actions.SendToPeer(peer, lb.newPeerMessage())
		}
	}
}

// announcesStartTo reports whether a gateway announces its start to another.
func (lb *Balancer) announcesStartTo(from, to int) bool {
	n := lb.settings.Gateways
	return lb.settings.Peers && from != to && (to-from+n)%n <= maxDirectPeers
}

// markChanged schedules the announcement of a customer's use with the next regular messages.
func (lb *Balancer) markChanged(c *customer) {
	if c.spread == 1 || !lb.sharesUsage || lb.isRemote(c) && lb.consultsHome(c) {
		c.announcedConsumed = c.consumed
		return
	}
	if c.pendingAnnouncements == 0 {
		lb.pendingGossip = append(lb.pendingGossip, c)
	}
	c.pendingAnnouncements = announcementRepeats
}

// gossip announces the use of every customer for whom it has changed to the peers or to the
// counter, in the order of compareUnannounced.
func (lb *Balancer) gossip() {
	slices.SortStableFunc(lb.pendingGossip, compareUnannounced)
	kept := lb.pendingGossip[:0]
	for _, c := range lb.pendingGossip {
		lb.refill(c)
		lb.updateGrant(c)
		lb.announceUsage(c)
		if c.pendingAnnouncements > 0 {
			kept = append(kept, c)
		}
	}
	lb.pendingGossip = kept
	lb.flushMessages()
}

// compareUnannounced orders customers by the units consumed and not yet announced, as a fraction of
// the burst, largest first. The quotients are compared as products.
func compareUnannounced(a, b *customer) int {
	return cmp.Compare(
		(b.consumed-b.announcedConsumed)*a.bucket.capacity,
		(a.consumed-a.announcedConsumed)*b.bucket.capacity,
	)
}

// announceUsage announces a customer's use if an announcement is due and the messages have room.
func (lb *Balancer) announceUsage(c *customer) {
	if lb.now < c.nextAnnouncement && lb.announcementCanWait(c) {
		return
	}
	if !lb.settings.Peers {
		lb.addToCounter(c)
		return
	}
	if lb.queueUsage(c) {
		lb.recordAnnouncement(c)
	}
}

// announcementCanWait reports whether the peers decide equally well without the next announcement.
func (lb *Balancer) announcementCanWait(c *customer) bool {
	if lb.isRemote(c) && c.grantFraction < 1 {
		return true
	}
	return lb.settings.Peers && !lb.hasHome(c) && !lb.nearlyEmpty(c)
}

// markAllAnnounced records that all use so far is announced.
func (c *customer) markAllAnnounced() {
	c.announcedConsumed = c.consumed
	c.announcedRequested = c.requested
}

// recordAnnouncement records that a customer's use is in the messages under construction.
func (lb *Balancer) recordAnnouncement(c *customer) {
	c.markAllAnnounced()
	c.pendingAnnouncements--
	c.nextAnnouncement = lb.now + relaxedPeriods*lb.gossipInterval
	if lb.hasHome(c) {
		c.pendingAnnouncements = 0
		c.nextAnnouncement = lb.now + lb.messageIntakeTime(c.spread)
	}
	if c.urgentSince != 0 {
		lb.urgentDelay.add(float64(lb.now-c.urgentSince), fastSampleWeight)
		c.urgentSince = 0
	}
}

// queueUsage adds a customer to the messages for all gateways that receive its use, and returns
// true. If one of the messages has no room it adds the customer to none, and returns false.
func (lb *Balancer) queueUsage(c *customer) bool {
	first, n := lb.gossipTargets(c)
	for i := range n {
		peer := (first + i) % lb.settings.Gateways
		if len(lb.outgoing[peer])+entrySize > maxMessageSize {
			return false
		}
	}
	e := lb.usageEntryOf(c)
	for i := range n {
		peer := (first + i) % lb.settings.Gateways
		if peer != lb.settings.Self {
			lb.outgoing[peer] = e.appendTo(lb.messageTo(peer))
		}
	}
	return true
}

// gossipTargets returns the gateways that receive a customer's use: n consecutive ones from first.
func (lb *Balancer) gossipTargets(c *customer) (first, n int) {
	if lb.hasHome(c) {
		return lb.homeOf(c), 1
	}
	return c.first, c.spread
}

// usageEntryOf returns the usage entry of a customer.
func (lb *Balancer) usageEntryOf(c *customer) usageEntry {
	remaining := c.bucket.level / max(c.bucket.capacity, 1e-9)
	if lb.hasHome(c) {
		remaining = c.grantFraction
	}
	return usageEntry{
		id:             c.id,
		plan:           c.plan,
		first:          c.first,
		spread:         c.spread,
		consumed:       toWireUnits(c.consumed),
		requested:      toWireUnits(c.requested),
		newlyRequested: toWireUnits(c.requested - c.announcedRequested),
		remaining:      remaining,
	}
}

// shareLoadView begins messages with this gateway's load view to n random peers, so that they also
// learn the load of a gateway that serves none of their customers.
func (lb *Balancer) shareLoadView(n int) {
	for range n {
		peer := lb.rand.IntN(lb.settings.Gateways)
		if lb.settings.Peers && peer != lb.settings.Self {
			lb.outgoing[peer] = lb.messageTo(peer)
		}
	}
}

// messageTo returns the message under construction for a peer, or a new one.
func (lb *Balancer) messageTo(peer int) []byte {
	if len(lb.outgoing[peer]) == 0 {
		return lb.newPeerMessage()
	}
	return lb.outgoing[peer]
}

// newPeerMessage returns a message with the header and the pending fault reports.
func (lb *Balancer) newPeerMessage() []byte {
	inFlight, onTime, gateways := lb.loadView()
	message := messageHeader(lb.incarnation, inFlight/gateways, onTime/gateways)
	return lb.appendFaultReports(message)
}

// flushMessages sends the messages under construction.
func (lb *Balancer) flushMessages() {
	for peer, message := range lb.outgoing {
		if len(message) > 0 {
			lb.sendMessage(peer)
		}
	}
}

// sendMessage sends the message under construction for a peer. It takes a token for urgent
// messages, so that those use only what the regular messages leave.
func (lb *Balancer) sendMessage(peer int) {
	lb.urgentBucket(peer).level--
	lb.actions.SendToPeer(peer, lb.outgoing[peer])
	lb.outgoing[peer] = lb.outgoing[peer][:0]
}
