package configversion

import (
	"maps"
	"slices"
	"time"
)

// Holder is one process's side: what it may act on. Times are of its own clock, which must go on while the process lies
// stopped.
type Holder struct {
	config        Config
	items         map[string]*itemState
	received      bool          // an answer has come
	seq           uint64        // of the state that it was by
	fencedByFleet string        // why nothing may be acted on; "": it may
	expiry        time.Duration // of what was heard
	fencedAt      time.Duration // when it was last shut out; 0: not since it began
	flaps         int           // it was, in a row
	readmitAt     time.Duration // it acts again from then on
	fenced        bool          // it is shut out now
	everLeased    bool          // it acted on something once
	fencedCount   uint64
}

// itemState is one item.
type itemState struct {
	target        Target
	effectiveFrom time.Duration            // the target holds from then on
	leases        map[uint64]time.Duration // until when it may be acted on
	inForce       uint64                   // at first 1: as this process's configuration has it
	available     map[string]bool          // digests whose content is here and was checked
	rejected      map[string]string        // digests that can't be acted on here
}

// NewHolder is a process that may act on nothing yet.
func NewHolder(r Config) *Holder { return &Holder{config: r, items: map[string]*itemState{}} }

// HandleLease takes in the answer to what was asked at a time.
func (h *Holder) HandleLease(now, sent time.Duration, t *LeaseResponse) {
	h.updateFencing(now)
	if h.received && t.Seq < h.seq {
		return // an older answer, overtaken
	}
	h.received, h.fencedByFleet, h.seq = true, t.FencedReason, t.Seq
	if t.FencedReason != "" {
		h.updateFencing(now)
		return
	}
	h.expiry = max(h.expiry, sent+h.config.TTL)
	for _, g := range t.Targets {
		i := h.items[g.Item]
		if i == nil {
			i = &itemState{inForce: 1, available: map[string]bool{"": true}, rejected: map[string]string{}}
			h.items[g.Item] = i
		}
		if g.Number != i.target.Number {
			i.effectiveFrom = now + g.EffectiveIn
		}
		i.target = g
		may := map[uint64]time.Duration{}
		for number, span := range g.Leases {
			// A permit that was given is not lessened by an older answer, nor by one of a leader that counts less time.
			may[number] = max(sent+min(span, h.config.TTL), i.leases[number])
		}
		i.leases = may // a number that is not named any more was withdrawn, or has ended
	}
	h.updateFencing(now)
}

// MissingContents are the contents that are not here yet: of the target first, and of what others may act on beside it.
func (h *Holder) MissingContents() (all []Ref) {
	for _, item := range slices.Sorted(maps.Keys(h.items)) {
		i := h.items[item]
		for _, r := range append([]Ref{i.target.Ref}, i.target.Overlapping...) {
			if !i.available[r.Digest] && i.rejected[r.Digest] == "" && !slices.Contains(all, r) {
				all = append(all, r)
			}
		}
	}
	return all
}

// ContentChecked takes in that a content is here and can be acted on, or why it can't be.
func (h *Holder) ContentChecked(digest string, why string) {
	for _, i := range h.items {
		if why == "" {
			i.available[digest] = true
		} else {
			i.rejected[digest] = why
		}
	}
}

// ContentLost takes in that a content that was here is not to be had any more: it is wanted again.
func (h *Holder) ContentLost(digest string) {
	for _, i := range h.items {
		if digest != "" {
			delete(i.available, digest)
		}
	}
}

// Target is what an item is to be.
func (h *Holder) Target(item string) Ref {
	if i := h.items[item]; i != nil {
		return i.target.Ref
	}
	return Ref{}
}

// ItemsWithContent are the items for which a content is wanted.
func (h *Holder) ItemsWithContent(digest string) (all []string) {
	for _, item := range h.Items() {
		t := &h.items[item].target
		if t.Digest == digest || slices.ContainsFunc(t.Overlapping, func(r Ref) bool { return r.Digest == digest }) {
			all = append(all, item)
		}
	}
	return all
}

// RejectionReason is why a content can't be acted on here; "": it can, as far as is known.
func (h *Holder) RejectionReason(item, digest string) string {
	if i := h.items[item]; i != nil {
		return i.rejected[digest]
	}
	return ""
}

// NextToApply is the target of an item if it is to be put in force now: its content is here, and it holds. Beside are the others whose terms
// bind as well: those of them whose content can't be had are not among them, and whole is false.
func (h *Holder) NextToApply(now time.Duration, item string) (to Ref, beside []Ref, whole, ok bool) {
	i := h.items[item]
	if i == nil || i.target.Number == 0 || !i.available[i.target.Digest] || now < i.effectiveFrom {
		return to, nil, false, false
	}
	whole = true
	for _, r := range i.target.Overlapping {
		switch {
		case i.available[r.Digest]:
			beside = append(beside, r)
		case i.rejected[r.Digest] == "":
			whole = false
		}
	}
	return i.target.Ref, beside, whole, true
}

// SetInForce takes in that an item's version decides from now on. A lower number than before is passed over.
func (h *Holder) SetInForce(now time.Duration, item string, number uint64) {
	if i := h.items[item]; i != nil && number > i.inForce {
		i.inForce = number
	}
	h.updateFencing(now)
}

// InForce is what this process acts on, by item.
func (h *Holder) InForce() map[string]uint64 {
	all := map[string]uint64{}
	for item, i := range h.items {
		all[item] = i.inForce
	}
	return all
}

// Items are the items that are known.
func (h *Holder) Items() []string { return slices.Sorted(maps.Keys(h.items)) }

// LeasedUntil tells until when this process may act by what is in force; 0: it is shut out. It has to be asked at the last
// moment before each act.
func (h *Holder) LeasedUntil(now time.Duration) time.Duration {
	return h.updateFencing(now)
}

// updateFencing brings up whether this process is shut out.
func (h *Holder) updateFencing(now time.Duration) time.Duration {
	until := h.leaseExpiry(now)
	switch {
	case until == 0 && !h.fenced:
		if h.fencedAt != 0 && now-h.fencedAt < h.config.FlapWindow {
			h.flaps++
		} else {
			h.flaps = 0
		}
		if h.fenced = true; h.everLeased { // one that never acted has not fallen
			h.fencedAt = now
			h.fencedCount++
		}
	case until != 0 && h.fenced:
		if h.readmitAt == 0 {
			h.readmitAt = now + h.readmissionDelay()
		}
		if now < h.readmitAt {
			return 0
		}
		h.fenced, h.readmitAt = false, 0
	case until == 0:
		h.readmitAt = 0
	}
	h.everLeased = h.everLeased || until != 0
	return until
}

// readmissionDelay is how long one that flaps stays out after it may act again.
func (h *Holder) readmissionDelay() time.Duration {
	if h.flaps == 0 {
		return 0
	}
	return min(h.config.ReadmissionDelay<<min(h.flaps-1, 6), h.config.FlapWindow/2)
}

// leaseExpiry is until when all that is in force may be acted on; 0: not now.
func (h *Holder) leaseExpiry(now time.Duration) time.Duration {
	if !h.received || h.fencedByFleet != "" || now >= h.expiry {
		return 0
	}
	until := h.expiry
	for _, i := range h.items {
		end := i.leases[i.inForce]
		if now >= end {
			return 0
		}
		until = min(until, end)
	}
	return until
}

// FencedReason is why this process is shut out.
func (h *Holder) FencedReason(now time.Duration) string {
	switch {
	case h.LeasedUntil(now) != 0:
		return ""
	case !h.received:
		return "it has not heard the fleet yet"
	case h.fencedByFleet != "":
		return h.fencedByFleet
	case now >= h.expiry:
		return "it has not heard the fleet for too long"
	case now < h.readmitAt:
		return "it was shut out more than once"
	}
	for _, item := range h.Items() {
		i := h.items[item]
		if why := i.rejected[i.target.Digest]; why != "" {
			return item + ": " + why
		}
		if i.inForce != i.target.Number {
			return item + ": it has not caught up"
		}
	}
	return "its permits are over"
}

// FencedCount is how often it was shut out since it first acted.
func (h *Holder) FencedCount() uint64 { return h.fencedCount }
