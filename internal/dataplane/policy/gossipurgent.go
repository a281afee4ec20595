package policy

import (
	"math"
	"slices"
)

const (
	messageDelay          = second / 14 // until an urgent message arrives, including a margin
	delayIncrease         = second / 50 // added to that when messages prove late or lost
	delayDecrease         = second / 2000
	maxLearnedDelay       = second / 2
	counterDelayPeriods   = 2   // gossip intervals until the counter shows what others consume
	urgentMessageFraction = 0.8 // of the messages that a peer can take in, for urgent ones
	urgentBurst           = 8.0 // urgent messages that may be sent to one peer in a row
)

// urgentState limits the messages that are sent at once, and measures how late they are received.
type urgentState struct {
	urgentBuckets []tokenBucket // messages, for each peer
	urgentDelay   runningMean   // microseconds for which an urgent message waits for a token
	learnedDelay  Time          // how much later than messageDelay they arrive
}

// nearlyEmpty reports whether a customer's bucket may be empty before all gateways of its set are
// notified. They then announce at once what they consume. All of them decide by the same bucket.
func (lb *Balancer) nearlyEmpty(c *customer) bool {
	totalDemand := c.demand.total(lb.now)
	expectedDemand := totalDemand *
		float64(2*relaxedPeriods*lb.gossipInterval) / float64(c.demandWindow)
	return c.bucket.level < 2*c.lastUnits+expectedDemand
}

// notifyPeersNow announces a customer's use to its gateway set at once if the bucket is nearly
// empty and every peer can take in a message. Otherwise the next regular messages announce it.
func (lb *Balancer) notifyPeersNow(c *customer) {
	if !lb.settings.Peers || c.spread == 1 || lb.hasHome(c) || !lb.nearlyEmpty(c) {
		return
	}
	peers := lb.otherGateways(c)
	busy := func(peer int) bool { return lb.urgentBucket(peer).level < 1 }
	if slices.ContainsFunc(peers, busy) || !lb.queueUsage(c) {
		c.urgentSince = lb.now
		return
	}
	lb.urgentDelay.add(0, fastSampleWeight)
	c.markAllAnnounced()
	c.nextAnnouncement = lb.now + lb.gossipInterval
	c.pendingAnnouncements = announcementRepeats - 1
	for _, peer := range peers {
		lb.sendMessage(peer)
	}
}

// urgentBucket returns the bucket of messages that may be sent to a peer at once. The peer's limit
// is shared by its senders, which are assumed to be as many as the gateways that send to this one.
func (lb *Balancer) urgentBucket(peer int) *tokenBucket {
	b := &lb.urgentBuckets[peer]
	active := math.Max(1, lb.activePeers.get(lb.activeTime, second))
	senders := math.Min(float64(lb.settings.Gateways-1), active)
	b.rate = urgentMessageFraction * math.Max(lb.settings.MaxPeerMessagesPerSecond, 1) / senders
	b.capacity = urgentBurst
	b.refill(lb.now)
	return b
}

// notificationDelay returns the time until this gateway is notified of what the others in a set
// consume. Their urgent messages are assumed to wait for a token as long as those sent here.
func (lb *Balancer) notificationDelay(c *customer) Time {
	switch {
	case !lb.settings.Peers:
		return counterDelayPeriods * lb.gossipInterval
	case lb.nearlyEmpty(c):
		return messageDelay + lb.learnedDelay + Time(lb.urgentDelay.value)
	}
	return relaxedPeriods * lb.gossipInterval
}

// adjustLearnedDelay leaves more of a bucket to the peers if they prove to have consumed units that
// this gateway granted as well: messages are lost, or later than assumed.
func (lb *Balancer) adjustLearnedDelay(c *customer, consumed float64) {
	switch {
	case consumed == 0 || c.bucket.level >= consumed+2*c.lastUnits || !lb.settings.Peers:
		// The bucket is full enough to say nothing about delays.
	case c.bucket.level < consumed:
		lb.learnedDelay = min(lb.learnedDelay+delayIncrease, maxLearnedDelay)
	default:
		lb.learnedDelay = max(0, lb.learnedDelay-delayDecrease)
	}
}
