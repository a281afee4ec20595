package election

import (
	"context"
	"time"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/monotonic"
)

// refreshMembers keeps the member list up to date until the context ends.
func (s *Set) refreshMembers(ctx context.Context) {
	for ctx.Err() == nil {
		requestCtx, cancel := context.WithTimeout(ctx, membersTimeout)
		eligible, err := s.eligible(requestCtx)
		cancel()
		if err == nil {
			s.setMembers(eligible)
		}
		select {
		case <-ctx.Done():
		case <-s.refreshNow:
			sleep(ctx, retryDelay)
		case <-time.After(membersInterval):
		}
	}
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// setMembers replaces the known members. Addresses of former members are kept: a lease may still
// name them.
func (s *Set) setMembers(eligible []consensus.MemberInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = idsOf(eligible)
	firstSeen := map[string]time.Duration{}
	for _, m := range eligible {
		s.addresses[m.ID] = m.Address
		firstSeen[m.ID] = monotonic.Now()
		if earlier := s.firstSeen[m.ID]; earlier > 0 {
			firstSeen[m.ID] = earlier
		}
	}
	s.firstSeen = firstSeen
}

// eligible returns the members that can lead: the active candidates.
func (s *Set) eligible(ctx context.Context) (eligible []consensus.MemberInfo, err error) {
	members, err := s.membership.List(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range members {
		if m.Active() && s.options.isCandidate(m.ID) {
			eligible = append(eligible, m)
		}
	}
	return eligible, nil
}

// idsOf returns the ids of members, in their order.
func idsOf(all []consensus.MemberInfo) (ids []string) {
	for _, m := range all {
		ids = append(ids, m.ID)
	}
	return ids
}

// currentMembers returns the ids of the members as last refreshed. The caller must not change them.
func (s *Set) currentMembers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// preferredLeader returns the member that a balanced role should be transferred to now, or "" if it
// should stay. The caller holds e.mu.
func (s *Set) preferredLeader(e *elector, now time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !e.balanced || now < e.nextMoveAt {
		return ""
	}
	for _, id := range s.members {
		if lease.Rank(e.role, id, s.members) != 0 {
			continue
		}
		firstSeen, known := s.firstSeen[id]
		if !known || id == s.self().ID || now-firstSeen < settledAge {
			return ""
		}
		// The member may be listed and still be unable to accept the role.
		e.nextMoveAt = now + moveInterval
		return id
	}
	return ""
}
