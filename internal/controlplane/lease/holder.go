package lease

import "time"

// Claimant is one member's side of one duty: whether it may act, and what to ask when. Times are of
// the member's own clock, which must go on while the process lies stopped.
type Claimant struct {
	rules Config
	duty  string
	me    Member

	term  uint64
	until time.Duration // 0: does not hold
	asked time.Duration // when the asking under way was sent
	out   bool          // an asking is under way
	next  time.Duration // no asking before
	wish  string
	left  uint64 // the last term that this side gave up
	lost  string // why the last holding ended
}

// NewClaimant is a member that does not hold the duty.
func NewClaimant(r Config, duty string, me Member) *Claimant {
	return &Claimant{rules: r, duty: duty, me: me}
}

// Holds gives the term under which this member may act at a time. It has to be asked at the last
// moment before each act, and even so the receiver's gate decides.
func (h *Claimant) Holds(now time.Duration) (term uint64, ok bool) {
	if h.until != 0 && now >= h.until {
		h.end("the span is over")
	}
	return h.term, h.until != 0
}

// Remaining is how long the holding lasts without renewal.
func (h *Claimant) Remaining(now time.Duration) time.Duration { return max(0, h.until-now) }

// Due tells whether to ask now, and else when to look again. A member that does not hold the duty waits
// as long as its rank says, after every refusal.
func (h *Claimant) Due(now time.Duration) (ask bool, at time.Duration) {
	if h.out {
		// An asking without answer is asked again when its answer could hardly be of use.
		if again := h.asked + h.rules.TTL/2; now < again {
			return false, again
		}
		h.out = false
	}
	if now < h.next {
		return false, h.next
	}
	return true, now
}

// Sent takes note that the duty is asked for, or its renewal, from now on.
func (h *Claimant) Sent(now time.Duration) { h.asked, h.out = now, true }

// KnownTerm is the newest term that this side has heard that it holds: what an asking says.
func (h *Claimant) KnownTerm() uint64 { return h.term }

// Granted takes in that the asking sent at a time was granted under a term, for a span from the sending. It returns false if that is
// of no use any more: the span, which counts from the sending, is over, or the term was given up (see GaveUp).
func (h *Claimant) Granted(now, sent time.Duration, term uint64, span time.Duration, wish string) bool {
	if sent == h.asked {
		h.out = false
	}
	if term < h.term || term <= h.left {
		return false // an older answer, overtaken
	}
	if until := sent + min(span, h.rules.TTL); until > now && (term > h.term || until > h.until) {
		h.term, h.until = term, until
	}
	h.wish = wish
	h.next = sent + min(span, h.rules.TTL)/4
	_, ok := h.Holds(now)
	return ok
}

// Rejected takes in that another holds the duty; it is asked for again after a while.
func (h *Claimant) Rejected(now, sent, again time.Duration, why string) {
	if sent == h.asked {
		h.out = false
	}
	if h.until != 0 {
		h.end(why)
	}
	h.next = now + again
}

// Failed takes in that no answer is to be had to what was sent at a time.
func (h *Claimant) Failed(now, sent, again time.Duration) {
	if sent == h.asked {
		h.out = false
	}
	h.next = now + again
}

// GiveUp gives the holding up by this side's doing; it is not asked for again before a while has passed. The term
// is never held again: whoever was told of its end may act already.
func (h *Claimant) GiveUp(now, again time.Duration, why string) {
	h.left = h.term
	h.end(why)
	h.next = now + again
}

// GaveUp tells whether a term was given up here. A table that still grants it has not heard of that: it has
// to be told again, or the duty would be renewed and not carried out.
func (h *Claimant) GaveUp(term uint64) bool { return term != 0 && term <= h.left }

func (h *Claimant) end(why string) { h.until, h.lost, h.wish = 0, why, "" }

// TransferTo is the id to which the duty is to be handed on; "": none.
func (h *Claimant) TransferTo() string { return h.wish }

// LossReason is why the last holding ended.
func (h *Claimant) LossReason() string { return h.lost }
