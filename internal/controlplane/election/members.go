package election

import (
	"context"
	"time"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/monotonic"
)

// preferredLeader returns the member that a spread role should be transferred to now, or "" where it stays.
func (s *Set) preferredLeader(r *runner, now time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.spread || now < r.moveAt {
		return ""
	}
	for _, id := range s.members {
		if lease.Rank(r.name, id, s.members) == 0 {
			if since, ok := s.since[id]; !ok || id == s.opt.Client.Me().ID || now-since < settledAge {
				return ""
			}
			r.moveAt = now + moveInterval // the member may be known and yet unable to take the role
			return id
		}
	}
	return ""
}

// refreshMembers keeps the list of members up to date until the context ends.
func (s *Set) refreshMembers(ctx context.Context) {
	for ctx.Err() == nil {
		one, cancel := context.WithTimeout(ctx, membersTimeout)
		all, err := s.eligible(one)
		cancel()
		if err == nil {
			s.mu.Lock()
			s.members = idsOf(all)
			there := map[string]time.Duration{}
			for _, m := range all {
				s.at[m.ID] = m.Address
				if there[m.ID] = monotonic.Now(); s.since[m.ID] > 0 {
					there[m.ID] = s.since[m.ID]
				}
			}
			s.since = there
			s.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-s.unknown:
			wait := time.NewTimer(retryDelay)
			select {
			case <-ctx.Done():
			case <-wait.C:
			}
		case <-time.After(membersInterval):
		}
	}
}

// eligible returns the members that can be leaders: candidates that are active, so with an address and a recent sign
// of life.
func (s *Set) eligible(ctx context.Context) (all []consensus.MemberInfo, err error) {
	members, err := s.agreed.List(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range members {
		if m.Active() && s.opt.candidate(m.ID) {
			all = append(all, m)
		}
	}
	return all, nil
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
