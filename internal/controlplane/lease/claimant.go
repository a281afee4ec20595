package lease

import "time"

// Claimant is one member's side of the lease of one role: whether the member may act, and when to
// request the lease or its renewal. Its times are of the member's own clock, which must go on
// while the process is suspended.
type Claimant struct {
	config Config
	role   string
	self   Member

	term          uint64
	expiresAt     time.Duration // 0: the lease is not held
	sentAt        time.Duration // when the request in flight was sent
	inFlight      bool          // a request is in flight
	nextRequestAt time.Duration // no request is sent before
	givenUpTerm   uint64        // the newest term that this side gave up
	lossReason    string        // why the last lease ended
}

// NewClaimant returns a claimant that does not hold the lease.
func NewClaimant(config Config, role string, self Member) *Claimant {
	return &Claimant{config: config, role: role, self: self}
}

// Holds returns the term under which this member may act at a time, and whether it may. It has to
// be called at the last moment before each effect, and even so the receiver's check decides.
func (c *Claimant) Holds(now time.Duration) (term uint64, ok bool) {
	if c.expiresAt != 0 && now >= c.expiresAt {
		c.endLease("its TTL is over")
	}
	return c.term, c.expiresAt != 0
}

// Remaining returns how long the lease lasts without renewal.
func (c *Claimant) Remaining(now time.Duration) time.Duration { return max(0, c.expiresAt-now) }

// Due reports whether to send a request now, and else when to look again.
func (c *Claimant) Due(now time.Duration) (due bool, at time.Duration) {
	if c.inFlight {
		// A later answer could hardly be of use: its lease would be over soon.
		retryAt := c.sentAt + c.config.TTL/2
		if now < retryAt {
			return false, retryAt
		}
		c.inFlight = false
	}
	if now < c.nextRequestAt {
		return false, c.nextRequestAt
	}
	return true, now
}

// Sent records that a request for the lease or its renewal is sent now.
func (c *Claimant) Sent(now time.Duration) {
	c.sentAt = now
	c.inFlight = true
}

// KnownTerm returns the newest term that this side knows it was granted. A request names it.
func (c *Claimant) KnownTerm() uint64 { return c.term }

// Granted records the answer to the request that was sent at a time: the lease was granted under a
// term, for a TTL counted from the sending. It returns false if the grant is of no use any more:
// its TTL is over, or its term was given up (see GaveUp).
func (c *Claimant) Granted(now, sentAt time.Duration, term uint64, ttl time.Duration) bool {
	c.answered(sentAt)
	if term < c.term || term <= c.givenUpTerm {
		return false // an older answer, overtaken by a newer one
	}
	ttl = min(ttl, c.config.TTL)
	expiresAt := sentAt + ttl
	if expiresAt > now && (term > c.term || expiresAt > c.expiresAt) {
		c.term = term
		c.expiresAt = expiresAt
	}
	c.nextRequestAt = sentAt + ttl/4
	_, ok := c.Holds(now)
	return ok
}

// Rejected records that the request sent at a time was rejected: this member does not hold the
// lease. It is requested again after retryDelay.
func (c *Claimant) Rejected(now, sentAt, retryDelay time.Duration, reason string) {
	c.answered(sentAt)
	if c.expiresAt != 0 {
		c.endLease(reason)
	}
	c.nextRequestAt = now + retryDelay
}

// Failed records that the request sent at a time got no answer. The next one is sent after
// retryDelay.
func (c *Claimant) Failed(now, sentAt, retryDelay time.Duration) {
	c.answered(sentAt)
	c.nextRequestAt = now + retryDelay
}

// answered records that the request sent at a time is not in flight any more.
func (c *Claimant) answered(sentAt time.Duration) {
	if sentAt == c.sentAt {
		c.inFlight = false
	}
}

// GiveUp ends the lease by this side's decision, and requests it again only after retryDelay. The
// term is never held again: whoever was notified of its end may already act.
func (c *Claimant) GiveUp(now, retryDelay time.Duration, reason string) {
	c.givenUpTerm = c.term
	c.endLease(reason)
	c.nextRequestAt = now + retryDelay
}

// GaveUp reports whether this side gave a term up. A table that still grants that term does not
// know so: it has to be notified again, or the lease would be renewed and the work not done.
func (c *Claimant) GaveUp(term uint64) bool { return term != 0 && term <= c.givenUpTerm }

func (c *Claimant) endLease(reason string) {
	c.expiresAt = 0
	c.lossReason = reason
}

// LossReason returns why the last lease ended.
func (c *Claimant) LossReason() string { return c.lossReason }
