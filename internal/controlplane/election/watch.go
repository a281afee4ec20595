package election

import (
	"encoding/json"
	"strconv"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/monotonic"
)

// received takes in an update of the agreed table of leases and wakes the runners that it concerns.
func (s *Set) received(state []byte) {
	var v lease.View
	if json.Unmarshal(state, &v) != nil {
		return
	}
	me := s.opt.Client.Me()
	s.mu.Lock()
	for _, h := range v.Leases {
		if h.Term < s.owners[h.Role].Term {
			continue // an older state, from another replica
		}
		s.owners[h.Role] = h
		if _, known := s.at[h.Holder.ID]; h.Holder.ID != "" && !known {
			select {
			case s.unknown <- struct{}{}:
			default:
			}
		}
	}
	s.mu.Unlock()
	for _, h := range v.Leases {
		r := s.runners[h.Role]
		if r == nil {
			continue
		}
		r.mu.Lock()
		term, held := r.holder.Holds(monotonic.Now())
		switch {
		case held && h.Term > term && h.Holder != me:
			r.holder.GiveUp(monotonic.Now(), maxRequestDelay, "another holds it under term "+strconv.FormatUint(h.Term, 10))
			r.endIfExpired(monotonic.Now())
		case held && h.Term == term && h.TransferTo != "":
			r.wish = h.TransferTo
		case !held && h.Holder == me && h.Unconfirmed:
			r.soon = true
		case !held && h.Holder.ID == "":
			r.freed = true
		default:
			r.mu.Unlock()
			continue
		}
		r.mu.Unlock()
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}
