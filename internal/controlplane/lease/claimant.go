package lease

import "time"

// Claimant is one member's side of the lease of one role. It determines whether the member may act,
// and when to request the lease or its renewal. Its times are by the member's own clock, which must
// keep running while the process is suspended.
type Claimant struct {
	config Config
	role   string
	self   Member

	term          uint64
	expiresAt     time.Duration // 0: the lease is not held
	sentAt        time.Duration // when the request in flight was sent
	inFlight      bool          // a request is in flight
	nextRequestAt time.Duration // earliest time of the next request
	givenUpTerm   uint64        // the newest term that this side gave up
	lossReason    string        // why the last lease ended
}

// NewClaimant returns a claimant that does not hold the lease.
func NewClaimant(config Config, role string, self Member) *Claimant {
	return &Claimant{config: config, role: role, self: self}
}

// Holds reports whether this member may act now, and returns the term. It must be called
// immediately before each effect; even then, the receiver of the effect has to check the term.
func (c *Claimant) Holds(now time.Duration) (term uint64, ok bool) {
	if c.expiresAt != 0 && now >= c.expiresAt {
		c.endLease("its TTL has passed")
	}
	return c.term, c.expiresAt != 0
}

// Remaining returns how long the lease is still valid without renewal.
func (c *Claimant) Remaining(now time.Duration) time.Duration { return max(0, c.expiresAt-now) }

// Due reports whether to send a request now. If not, at is when to call Due again.
func (c *Claimant) Due(now time.Duration) (due bool, at time.Duration) {
	if c.inFlight {
		// The lease that a later answer grants would expire soon after the answer.
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

// KnownTerm returns the newest term that this side knows it was granted. Each request contains it.
func (c *Claimant) KnownTerm() uint64 { return c.term }

// Granted records that the request sent at sentAt was granted: this member holds the lease under a
// term, for a TTL counted from sentAt. It returns false if the grant can't be used: its TTL has
// passed, a newer term is known, or its term was given up (see GaveUp).
func (c *Claimant) Granted(now, sentAt time.Duration, term uint64, ttl time.Duration) bool {
	c.answered(sentAt)
	if term < c.term || term <= c.givenUpTerm {
		return false // the answer is out of date
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

// Rejected records that the request sent at sentAt was rejected: this member does not hold the
// lease. The next request is sent after retryDelay.
func (c *Claimant) Rejected(now, sentAt, retryDelay time.Duration, reason string) {
	c.answered(sentAt)
	if c.expiresAt != 0 {
		c.endLease(reason)
	}
	c.nextRequestAt = now + retryDelay
}

// Failed records that the request sent at sentAt got no answer. The next one is sent after
// retryDelay.
func (c *Claimant) Failed(now, sentAt, retryDelay time.Duration) {
	c.answered(sentAt)
	c.nextRequestAt = now + retryDelay
}

// answered records that the request sent at sentAt is no longer in flight.
func (c *Claimant) answered(sentAt time.Duration) {
	if sentAt == c.sentAt {
		c.inFlight = false
	}
}

// GiveUp ends the lease by this side's decision. The next request is sent after retryDelay. The
// term is never held again, because a member that was notified of its end may already act.
func (c *Claimant) GiveUp(now, retryDelay time.Duration, reason string) {
	c.givenUpTerm = c.term
	c.endLease(reason)
	c.nextRequestAt = now + retryDelay
}

// GaveUp reports whether this side gave up a term. A table that still grants such a term has not
// been notified: the caller has to notify it again, or the lease would be renewed without the work
// being done.
func (c *Claimant) GaveUp(term uint64) bool { return term != 0 && term <= c.givenUpTerm }

func (c *Claimant) endLease(reason string) {
	c.expiresAt = 0
	c.lossReason = reason
}

// LossReason returns why the last lease ended.
func (c *Claimant) LossReason() string { return c.lossReason }
