package configversion

import (
	"maps"
	"slices"
	"time"
)

// Holder is one process's side: the leases that it holds, and the contents that it has. Times are
// by the process's own clock, which must go on while the process is stopped.
type Holder struct {
	config   Config
	items    map[string]*itemState
	received bool          // a response has come
	seq      uint64        // of the state that the last response was from
	expiry   time.Duration // of the lease as a whole
	fencing  fencing
}

// itemState is one item.
type itemState struct {
	target        Target
	effectiveFrom time.Duration            // of the target
	leases        map[uint64]time.Duration // expiry by version number
	// Version number, at first 1: what this process's configuration has.
	inForce   uint64
	available map[string]bool   // digests whose content is here and was checked
	rejected  map[string]string // why, by digests that can't be applied here
}

// NewHolder returns a holder without leases.
func NewHolder(c Config) *Holder { return &Holder{config: c, items: map[string]*itemState{}} }

// HandleLease takes in the response to the request that was sent at a time. A response from an
// older state than the last one is ignored.
func (h *Holder) HandleLease(now, sent time.Duration, r *LeaseResponse) {
	h.updateFencing(now)
	if h.received && r.Seq < h.seq {
		return
	}
	h.received = true
	h.seq = r.Seq
	h.fencing.byFleet = r.FencedReason
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

// setTarget takes in the target of one item, and its leases.
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
		// No lease is shortened by a late response, nor by a leader whose time is behind.
		leases[number] = max(sent+min(ttl, h.config.TTL), i.leases[number])
	}
	i.leases = leases // a version without a lease was withdrawn, or has expired
}

// MissingContents returns the contents to fetch: of each target first, and then of the versions
// that overlap with it.
func (h *Holder) MissingContents() (all []Ref) {
	for _, item := range h.Items() {
		i := h.items[item]
		for _, ref := range append([]Ref{i.target.Ref}, i.target.Overlapping...) {
			missing := !i.available[ref.Digest] && i.rejected[ref.Digest] == ""
			if missing && !slices.Contains(all, ref) {
				all = append(all, ref)
			}
		}
	}
	return all
}

// ContentChecked takes in that a content is here and can be applied, or why it can't be.
func (h *Holder) ContentChecked(digest string, why string) {
	for _, i := range h.items {
		if why == "" {
			i.available[digest] = true
		} else {
			i.rejected[digest] = why
		}
	}
}

// ContentLost takes in that a content that was here is gone: it has to be fetched again.
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

// ItemsWithContent returns the items for which a content is wanted.
func (h *Holder) ItemsWithContent(digest string) (all []string) {
	hasDigest := func(ref Ref) bool { return ref.Digest == digest }
	for _, item := range h.Items() {
		target := &h.items[item].target
		if hasDigest(target.Ref) || slices.ContainsFunc(target.Overlapping, hasDigest) {
			all = append(all, item)
		}
	}
	return all
}

// RejectionReason returns why a content can't be applied here; "": it can, as far as is known.
func (h *Holder) RejectionReason(item, digest string) string {
	i := h.items[item]
	if i == nil {
		return ""
	}
	return i.rejected[digest]
}

// NextToApply returns the target of an item if its content is here and it is effective; else ok is
// false. overlapping are the other versions whose terms bind as well, without those whose content
// is rejected. complete is false while a content of them is missing.
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

// SetInForce takes in that an item's version decides from now on. A lower number than before is
// ignored.
func (h *Holder) SetInForce(now time.Duration, item string, number uint64) {
	if i := h.items[item]; i != nil && number > i.inForce {
		i.inForce = number
	}
	h.updateFencing(now)
}

// InForce returns the version numbers in force, by item.
func (h *Holder) InForce() map[string]uint64 {
	all := map[string]uint64{}
	for item, i := range h.items {
		all[item] = i.inForce
	}
	return all
}

// Items returns the items that are known, sorted.
func (h *Holder) Items() []string { return slices.Sorted(maps.Keys(h.items)) }
