package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrCacheMismatch is returned for an answer that does not follow from the content of a
// MemberCache. The cache is empty afterwards, and its next query requests the complete list.
var ErrCacheMismatch = errors.New(
	"consensus: the answer does not follow from the cached members")

// MemberCache is a client's copy of the fleet's membership. It queries only for changes, and checks
// its content against the digests in the answers. It is not safe for concurrent use, and only one
// of its queries may be in flight.
type MemberCache struct {
	query        MembershipQuery
	revision     Revision // zero: nothing is cached, or a voter of an older version answered
	voters       []VoterInfo
	members      map[string]MemberInfo // by id
	unresponsive UnresponsiveMembers
}

// NewMemberCache returns an empty cache for the part of the membership that a query requests. The
// query's scope has to be ScopeVoters or ScopeMembers.
func NewMemberCache(query MembershipQuery) *MemberCache {
	return &MemberCache{query: query, members: map[string]MemberInfo{}}
}

// Query returns the body of the Read that requests what the cache lacks.
func (c *MemberCache) Query() []byte {
	q := c.query
	if c.hasRevision() {
		q.Revision = &c.revision
		q.UnresponsiveDigest = c.unresponsive.Digest
	}
	return q.Encode()
}

func (c *MemberCache) hasRevision() bool { return c.revision != (Revision{}) }

// Update applies the answer to the last Query. An error, such as ErrCacheMismatch, leaves the cache
// empty.
func (c *MemberCache) Update(body []byte) error {
	if len(body) == 0 && c.hasRevision() {
		return nil // nothing has changed
	}
	err := c.apply(body)
	if err != nil {
		*c = *NewMemberCache(c.query)
	}
	return err
}

func (c *MemberCache) apply(body []byte) error {
	answer, err := ParseMembershipAnswer(body)
	if err != nil {
		return err
	}
	if answer.Delta && !c.hasRevision() {
		return fmt.Errorf("%w: it lists only changes, but nothing is cached", ErrCacheMismatch)
	}
	if !answer.Delta {
		c.voters = answer.Voters
		c.members = map[string]MemberInfo{}
		c.unresponsive = UnresponsiveMembers{}
	}
	for _, m := range answer.Members {
		// A voter of an older version sends all members.
		if len(c.query.IDs) == 0 || slices.Contains(c.query.IDs, m.ID) {
			c.members[m.ID] = m
		}
	}
	for _, id := range answer.Removed {
		delete(c.members, id)
	}
	if answer.Unresponsive != nil {
		c.unresponsive = *answer.Unresponsive
	}
	c.revision = answer.Revision
	if c.hasRevision() && c.digest() != c.revision.Digest {
		return fmt.Errorf("%w: the digest is %x, but must be %x at entry %d",
			ErrCacheMismatch, c.digest(), c.revision.Digest, c.revision.Index)
	}
	return nil
}

// digest returns the digest of the cached list.
func (c *MemberCache) digest() uint64 {
	if c.query.Scope == ScopeVoters {
		return votersDigest(c.voters)
	}
	return membersDigest(slices.Collect(maps.Values(c.members)))
}

// Voters returns the voters, sorted by name, if the query requests them.
func (c *MemberCache) Voters() []VoterInfo { return slices.Clone(c.voters) }

// Members returns the members, sorted by id, if the query requests them.
func (c *MemberCache) Members() []MemberInfo {
	all := slices.Collect(maps.Values(c.members))
	slices.SortFunc(all, compareMemberInfos)
	for i := range all {
		_, all[i].Unresponsive = slices.BinarySearch(c.unresponsive.IDs, all[i].ID)
	}
	return all
}

// ParseMembershipAnswer reads the answer to a MembershipQuery. A voter of an older version answers
// every query with a Membership, which becomes a complete answer without a revision.
func ParseMembershipAnswer(body []byte) (*MembershipAnswer, error) {
	var answer MembershipAnswer
	err := json.Unmarshal(body, &answer)
	if err == nil && answer.Revision != (Revision{}) {
		return &answer, nil
	}
	var all Membership
	if err := json.Unmarshal(body, &all); err != nil {
		return nil, fmt.Errorf("consensus: can't parse the answer about members: %w", err)
	}
	return all.answer(), nil
}

// answer returns the complete membership as the answer to a query.
func (m *Membership) answer() *MembershipAnswer {
	answer := &MembershipAnswer{Voters: m.Voters, Unresponsive: &UnresponsiveMembers{}}
	for _, one := range m.Members {
		answer.Members = append(answer.Members, MemberInfo{
			Member:  one.Member,
			Address: one.Address,
			Retired: m.Retired[one.ID],
		})
		if m.At-one.LastSeen >= unresponsiveAfter {
			answer.Unresponsive.IDs = append(answer.Unresponsive.IDs, one.ID)
		}
	}
	slices.Sort(answer.Unresponsive.IDs)
	return answer
}
