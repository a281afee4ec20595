package consensus

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrCacheMismatch is the error of an answer that does not lead on from what a MemberCache holds. The cache
// has forgotten that: its next query asks for the whole.
var ErrCacheMismatch = errors.New("agree: the answer does not lead on from what is known of the members")

// MemberCache is what a process outside the voters knows of who belongs to the fleet. It asks only
// for what has changed, and checks what it has by the answers' digests. It must not be used
// concurrently, nor with two queries under way.
type MemberCache struct {
	query    MembershipQuery
	revision Revision // zero: nothing is held, or what an older voter gave
	voters   []VoterInfo
	members  map[string]MemberInfo
	silent   UnresponsiveMembers
}

// NewMemberCache makes an empty cache for the part that a query asks for. The query has to be of
// ScopeVoters or ScopeMembers.
func NewMemberCache(query MembershipQuery) *MemberCache {
	return &MemberCache{query: query, members: map[string]MemberInfo{}}
}

// Query is the body of the Read that asks for what the cache lacks.
func (c *MemberCache) Query() []byte {
	q := c.query
	if c.revision != (Revision{}) {
		q.Revision, q.UnresponsiveDigest = &c.revision, c.silent.Digest
	}
	return q.Encode()
}

// Encode is the query as the body of a Read.
func (q *MembershipQuery) Encode() []byte {
	raw, err := json.Marshal(q)
	if err != nil {
		panic(err) // plain data
	}
	return raw
}

// Update takes in the answer to the last Query. An error, ErrCache among them, leaves the cache
// empty.
func (c *MemberCache) Update(body []byte) error {
	if len(body) == 0 && c.revision != (Revision{}) {
		return nil // nothing has changed
	}
	err := c.take(body)
	if err != nil {
		*c = *NewMemberCache(c.query)
	}
	return err
}

func (c *MemberCache) take(body []byte) error {
	a, err := ParseMembershipAnswer(body)
	if err != nil {
		return err
	}
	if !a.Delta {
		c.voters, c.members, c.silent = a.Voters, map[string]MemberInfo{}, UnresponsiveMembers{}
	} else if c.revision == (Revision{}) {
		return fmt.Errorf("%w: changes came, but nothing is known", ErrCacheMismatch)
	}
	for _, m := range a.Members {
		if len(c.query.IDs) == 0 || slices.Contains(c.query.IDs, m.ID) { // an older voter gives all
			c.members[m.ID] = m
		}
	}
	for _, id := range a.Removed {
		delete(c.members, id)
	}
	if a.Unresponsive != nil {
		c.silent = *a.Unresponsive
	}
	c.revision = a.Revision
	if a.Revision != (Revision{}) && c.digest() != a.Revision.Digest {
		return fmt.Errorf("%w: digest %x, not %x as at entry %d",
			ErrCacheMismatch, c.digest(), a.Revision.Digest, a.Revision.Index)
	}
	return nil
}

// digest is the digest of what the cache holds.
func (c *MemberCache) digest() uint64 {
	if c.query.Scope == ScopeVoters {
		return digestOfVoters(c.voters)
	}
	digest := uint64(digestOfNone)
	for _, m := range c.members {
		digest ^= digestOf(m.Member, m.Address)
	}
	return digest
}

// Voters returns the voters, by name, if they were asked for.
func (c *MemberCache) Voters() []VoterInfo { return slices.Clone(c.voters) }

// Members returns the members, by id, if they were asked for.
func (c *MemberCache) Members() []MemberInfo {
	all := slices.Collect(maps.Values(c.members))
	slices.SortFunc(all, func(a, b MemberInfo) int { return cmp.Compare(a.ID, b.ID) })
	for i := range all {
		_, all[i].Unresponsive = slices.BinarySearch(c.silent.IDs, all[i].ID)
	}
	return all
}

// ParseMembershipAnswer reads the answer to a MembershipQuery. A voter of an older version gives a
// List whatever is asked: that becomes an answer without a revision, which names the whole.
func ParseMembershipAnswer(body []byte) (*MembershipAnswer, error) {
	var a MembershipAnswer
	if err := json.Unmarshal(body, &a); err == nil && a.Revision != (Revision{}) {
		return &a, nil
	}
	var l Membership
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, fmt.Errorf("agree: the answer about members can't be read: %w", err)
	}
	return l.answer(), nil
}

// answer is the whole list as the answer to a query.
func (l *Membership) answer() *MembershipAnswer {
	a := &MembershipAnswer{Voters: l.Voters, Unresponsive: &UnresponsiveMembers{}}
	for _, m := range l.Members {
		a.Members = append(a.Members,
			MemberInfo{Member: m.Member, Address: m.Address, Retired: l.Retired[m.ID]})
		if l.At-m.LastSeen >= silentAfter {
			a.Unresponsive.IDs = append(a.Unresponsive.IDs, m.ID)
		}
	}
	slices.Sort(a.Unresponsive.IDs)
	return a
}
