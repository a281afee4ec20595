package election

import (
	"encoding/json"
	"strconv"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/monotonic"
)

// updateLeases processes an update of the table of leases, and notifies the electors that have to
// act on it.
func (s *Set) updateLeases(state []byte) {
	var view lease.View
	if json.Unmarshal(state, &view) != nil {
		return
	}
	s.recordLeases(view.Leases)
	for i := range view.Leases {
		l := &view.Leases[i]
		e := s.electors[l.Role]
		if e != nil && e.observe(l) {
			e.notify()
		}
	}
}

// recordLeases records the leases unless a newer term is known, and requests a refresh of the
// members if the address of a holder is unknown.
func (s *Set) recordLeases(leases []lease.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range leases {
		if l.Term < s.leases[l.Role].Term {
			continue // an older state, from another replica
		}
		s.leases[l.Role] = l
		_, known := s.addresses[l.Holder.ID]
		if l.Holder.ID != "" && !known {
			select {
			case s.refreshNow <- struct{}{}:
			default:
			}
		}
	}
}

// observe processes an update of the elector's lease. It reports whether the elector has to act on
// it.
func (e *elector) observe(l *lease.Lease) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	self := e.set.self()
	term, held := e.claimant.Holds(monotonic.Now())
	switch {
	case held && l.Term > term && l.Holder != self:
		reason := "another member holds the lease under term " + strconv.FormatUint(l.Term, 10)
		e.claimant.GiveUp(monotonic.Now(), maxRequestDelay, reason)
		e.endIfExpired(monotonic.Now())
	case held && l.Term == term && l.TransferTo != "":
		e.transferTo = l.TransferTo
	case !held && l.Holder == self && l.Unconfirmed:
		e.offered = true
	case !held && l.Holder.ID == "":
		e.vacant = true
	default:
		return false
	}
	return true
}
