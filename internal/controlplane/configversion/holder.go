package configversion

import (
	"maps"
	"slices"
	"time"
)

// Holder tracks the version leases that one process holds and the contents that it has stored.
// Times are by the process's own clock, which must advance while the process is stopped.
type Holder struct {
	config   Config
	items    map[string]*itemState
	received bool          // whether a response was received
	seq      uint64        // of the state that the last response is from
	expiry   time.Duration // of the lease as a whole
	fencing  fencing
}

// itemState is the state of one item.
type itemState struct {
	target        Target
	effectiveFrom time.Duration            // of the target
	leases        map[uint64]time.Duration // expiry by version number
	// inForce is a version number. It starts at 1, which stands for this process's own
	// configuration.
	inForce   uint64
	available map[string]bool   // digests whose content is stored here and was checked
	rejected  map[string]string // reason by digest, for contents that can't be applied here
}

// NewHolder returns a holder without leases.
func NewHolder(c Config) *Holder { return &Holder{config: c, items: map[string]*itemState{}} }

// HandleLease handles the response to the lease request that was sent at the time sent. It ignores
// a response from an older state than that of the last response.
func (h *Holder) HandleLease(now, sent time.Duration, r *LeaseResponse) {
	h.updateFencing(now)
	if h.received && r.Seq < h.seq {
		return
	}
	h.received = true
	h.seq = r.Seq
	h.fencing.fleetReason = r.FencedReason
	if r.FencedReason != "" {
		h.updateFencing(now)
		return
	}
	h.expiry = max(h.expiry, sent+h.config.TTL)
	for _, target := range r.Targets {
		h.setTarget(now, sent, target)
	}
	h.updateFencing(now)
}

// setTarget sets the target of one item and its leases.
func (h *Holder) setTarget(now, sent time.Duration, target Target) {
	i := h.items[target.Item]
	if i == nil {
		i = &itemState{inForce: 1, available: map[string]bool{"": true},
			rejected: map[string]string{}}
		h.items[target.Item] = i
	}
	if target.Number != i.target.Number {
		i.effectiveFrom = now + target.EffectiveIn
	}
	i.target = target
	leases := map[uint64]time.Duration{}
	for number, ttl := range target.Leases {
		// Neither a late response nor a leader whose clock is behind shortens a lease.
		leases[number] = max(sent+min(ttl, h.config.TTL), i.leases[number])
	}
	i.leases = leases // a version without a lease was withdrawn or has expired
}

// MissingContents returns the contents to fetch: for each item, that of the target first, then
// those of the versions that overlap with it.
func (h *Holder) MissingContents() (refs []Ref) {
	for _, item := range h.Items() {
		i := h.items[item]
		for _, ref := range append([]Ref{i.target.Ref}, i.target.Overlapping...) {
			missing := !i.available[ref.Digest] && i.rejected[ref.Digest] == ""
			if missing && !slices.Contains(refs, ref) {
				refs = append(refs, ref)
			}
		}
	}
	return refs
}

// ContentChecked records that a content is stored here and, if why is empty, can be applied.
// Otherwise why is the reason for which it can't.
func (h *Holder) ContentChecked(digest string, why string) {
	for _, i := range h.items {
		if why == "" {
			i.available[digest] = true
		} else {
			i.rejected[digest] = why
		}
	}
}

// ContentLost records that a content is no longer stored here and must be fetched again.
func (h *Holder) ContentLost(digest string) {
	if digest == "" {
		return
	}
	for _, i := range h.items {
		delete(i.available, digest)
	}
}

// Target returns the target of an item, a zero Ref if there is none.
func (h *Holder) Target(item string) Ref {
	i := h.items[item]
	if i == nil {
		return Ref{}
	}
	return i.target.Ref
}

// ItemsWithContent returns the items that need a content, sorted.
func (h *Holder) ItemsWithContent(digest string) (items []string) {
	hasDigest := func(ref Ref) bool { return ref.Digest == digest }
	for _, item := range h.Items() {
		target := &h.items[item].target
		if hasDigest(target.Ref) || slices.ContainsFunc(target.Overlapping, hasDigest) {
			items = append(items, item)
		}
	}
	return items
}

// RejectionReason returns why a content can't be applied here, "" if no reason is known.
func (h *Holder) RejectionReason(item, digest string) string {
	i := h.items[item]
	if i == nil {
		return ""
	}
	return i.rejected[digest]
}

// NextToApply returns the target of an item if its content is stored here and it is effective;
// otherwise ok is false. overlapping are the other versions whose terms apply as well, without
// those whose content is rejected. complete is false while the content of one of them is missing.
func (h *Holder) NextToApply(now time.Duration, item string) (target Ref, overlapping []Ref,
	complete, ok bool) {
	i := h.items[item]
	if i == nil || i.target.Number == 0 || !i.available[i.target.Digest] || now < i.effectiveFrom {
		return Ref{}, nil, false, false
	}
	complete = true
	for _, ref := range i.target.Overlapping {
		switch {
		case i.available[ref.Digest]:
			overlapping = append(overlapping, ref)
		case i.rejected[ref.Digest] == "":
			complete = false
		}
	}
	return i.target.Ref, overlapping, complete, true
}

// SetInForce records that a version of an item is in force from now on. It ignores a number that is
// lower than that in force.
func (h *Holder) SetInForce(now time.Duration, item string, number uint64) {
	if i := h.items[item]; i != nil && number > i.inForce {
		i.inForce = number
	}
	h.updateFencing(now)
}

// InForce returns the numbers of the versions in force, by item.
func (h *Holder) InForce() map[string]uint64 {
	numbers := map[string]uint64{}
	for item, i := range h.items {
		numbers[item] = i.inForce
	}
	return numbers
}

// Items returns the known items, sorted.
func (h *Holder) Items() []string { return slices.Sorted(maps.Keys(h.items)) }
