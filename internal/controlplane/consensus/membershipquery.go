package consensus

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"mothcleat/internal/controlplane/lease"
)

// Scope says which part of who belongs to the fleet a MembershipQuery asks for.
type Scope string

const (
	// ScopeVoters is the voters alone.
	ScopeVoters Scope = "voters"
	// ScopeMembers is the processes with a session, or some of them.
	ScopeMembers Scope = "members"
	// ScopeSample is some processes that are reached and were heard of lately, drawn by a seed,
	// beside those that vote.
	ScopeSample Scope = "sample"
)

// silentAfter is after what time without a command a member counts as silent.
const silentAfter = SessionTTL / 2

// maxSample is the largest sample that is answered.
const maxSample = 64

// MembershipQuery is a Read of FleetName for no more than an asker needs. A Read without a body is
// answered by a List.
//
// An asker that says what it has gets an empty answer where nothing of it has changed, and for all
// members only what changed.
type MembershipQuery struct {
	Scope Scope `json:"scope"`
	// IDs are the members that ScopeMembers asks for; empty: all.
	IDs []string `json:"ids,omitempty"`
	// Retired asks for the earlier boots of each member's id as well.
	Retired bool `json:"retired,omitempty"`
	// Sample is how many members ScopeSample asks for, and Seed which.
	Sample int    `json:"sample,omitempty"`
	Seed   uint64 `json:"seed,omitempty"`
	// Revision is what the asker has; nil: nothing.
	Revision *Revision `json:"revision,omitempty"`
	// UnresponsiveDigest is the digest of the silent members that the asker knows of.
	UnresponsiveDigest uint64 `json:"silent,omitempty"`
}

// MembershipAnswer is what a MembershipQuery gets, unless nothing has changed.
type MembershipAnswer struct {
	Revision Revision `json:"revision"` // never zero
	// Delta says that Members are only those that were added or replaced, and Ended those that are
	// no more.
	Delta        bool                 `json:"delta,omitempty"`
	Voters       []VoterInfo          `json:"voters,omitempty"`
	Members      []MemberInfo         `json:"members,omitempty"`
	Removed      []string             `json:"ended,omitempty"`
	Unresponsive *UnresponsiveMembers `json:"silent,omitempty"` // nil: as the asker knows them
}

// UnresponsiveMembers is the members that nothing was heard of for half of a session's span.
type UnresponsiveMembers struct {
	Digest uint64   `json:"digest"` // 0: there are none
	IDs    []string `json:"ids,omitempty"`
}

// MemberInfo is one process with a session, and where it is reached.
type MemberInfo struct {
	lease.Member
	Address      string   `json:"address,omitempty"` // "": nowhere
	Retired      []uint64 `json:"retired,omitempty"` // earlier boots of its id, if they were asked for
	Unresponsive bool     `json:"-"`                 // nothing was heard of it lately; a MemberCache sets it
}

// Active reports whether the member is reached somewhere and was heard of lately.
func (m *MemberInfo) Active() bool { return m.Address != "" && !m.Unresponsive }

// parseMembershipQuery reads the body of a Read of FleetName; nil: a List is asked for.
func parseMembershipQuery(body []byte) (*MembershipQuery, error) {
	if len(body) == 0 {
		return nil, nil
	}
	q := &MembershipQuery{}
	if err := json.Unmarshal(body, q); err != nil {
		return nil, fmt.Errorf("the query for members can't be read: %w", err)
	}
	switch {
	case q.Scope != ScopeVoters && q.Scope != ScopeMembers && q.Scope != ScopeSample:
		return nil, fmt.Errorf("the query's scope %.40q is none of voters, members and sample", q.Scope)
	case q.Sample < 0 || q.Sample > maxSample:
		return nil, fmt.Errorf("the query's sample is %d members, %d at most", q.Sample, maxSample)
	}
	return q, nil
}

// membershipAnswer answers a query at a time of the fleet; nil: the asker has all of it.
func (n *Node) membershipAnswer(q *MembershipQuery, at time.Duration) []byte {
	var a *MembershipAnswer
	switch q.Scope {
	case ScopeVoters:
		a = n.voterAnswer(q)
	case ScopeSample:
		a = n.sampleAnswer(q, at)
	default:
		a = n.sessions.memberAnswer(q, at)
	}
	if a == nil {
		return nil
	}
	raw, err := json.Marshal(a)
	if err != nil {
		panic(err) // plain data
	}
	return raw
}

// voterAnswer is the voters, if they are not those that the asker has.
func (n *Node) voterAnswer(q *MembershipQuery) *MembershipAnswer {
	a := &MembershipAnswer{Voters: n.votersAt()}
	a.Revision.Digest = digestOfVoters(a.Voters)
	if q.Revision != nil && *q.Revision == a.Revision {
		return nil
	}
	return a
}

// memberAnswer is the members that are asked for, as far as the asker does not have them.
func (s *sessions) memberAnswer(q *MembershipQuery, at time.Duration) *MembershipAnswer {
	a := &MembershipAnswer{}
	if len(q.IDs) == 0 {
		s.allMembers(q, a)
	} else {
		s.someMembers(q, a)
	}
	silent := s.silentOf(q.IDs, at)
	if silent.Digest != q.UnresponsiveDigest || !a.Delta {
		a.Unresponsive = silent
	}
	if q.Revision != nil && *q.Revision == a.Revision && a.Unresponsive == nil {
		return nil
	}
	return a
}

// allMembers puts all members into an answer, or what has changed of them.
func (s *sessions) allMembers(q *MembershipQuery, a *MembershipAnswer) {
	a.Revision = s.log.current()
	if q.Revision != nil {
		if ids, ok := s.log.since(*q.Revision); ok && len(ids) <= len(s.byID) {
			a.Delta = true
			s.put(ids, q.Retired, a)
			return
		}
	}
	for _, in := range s.byID {
		a.Members = append(a.Members, in.memberAt(s.retiredFor(q.Retired, in.member.ID)))
	}
	slices.SortFunc(a.Members, func(x, y MemberInfo) int { return cmp.Compare(x.ID, y.ID) })
}

// someMembers puts the members of some ids into an answer, unless the asker has them.
func (s *sessions) someMembers(q *MembershipQuery, a *MembershipAnswer) {
	ids := slices.Clone(q.IDs)
	slices.Sort(ids)
	s.put(slices.Compact(ids), q.Retired, a)
	a.Removed = nil
	a.Revision.Digest = digestOfMembers(a.Members)
	if q.Revision != nil && *q.Revision == a.Revision {
		a.Delta, a.Members = true, nil
	}
}

// put puts what there is of some ids into an answer.
func (s *sessions) put(ids []string, retired bool, a *MembershipAnswer) {
	for _, id := range ids {
		if in := s.byID[id]; in != nil {
			a.Members = append(a.Members, in.memberAt(s.retiredFor(retired, id)))
		} else {
			a.Removed = append(a.Removed, id)
		}
	}
}

func (s *sessions) retiredFor(wanted bool, id string) []uint64 {
	if !wanted {
		return nil
	}
	return s.retired[id]
}

// silentOf is which of the members, or of some of them, are silent.
func (s *sessions) silentOf(ids []string, at time.Duration) *UnresponsiveMembers {
	silent := &UnresponsiveMembers{}
	look := func(in *session) {
		if in != nil && in.silent(at) {
			silent.IDs = append(silent.IDs, in.member.ID)
			silent.Digest ^= in.digest
		}
	}
	if len(ids) == 0 {
		for _, in := range s.byID {
			look(in)
		}
	}
	for _, id := range ids {
		look(s.byID[id])
	}
	slices.Sort(silent.IDs)
	return silent
}

// silent reports whether nothing was heard of the session's process lately.
func (n *session) silent(at time.Duration) bool { return at-n.seen >= silentAfter }

// memberAt is the session's process as askers are given it.
func (n *session) memberAt(retired []uint64) MemberInfo {
	return MemberInfo{Member: n.member, Address: n.address, Retired: retired}
}

// digestOfMembers is the digest of a list of members, in any order.
func digestOfMembers(all []MemberInfo) uint64 {
	digest := uint64(digestOfNone)
	for i := range all {
		digest ^= digestOf(all[i].Member, all[i].Address)
	}
	return digest
}

// digestOfVoters is the digest of a list of voters.
func digestOfVoters(all []VoterInfo) uint64 {
	digest := uint64(digestOfNone)
	for _, v := range all {
		h := fnv.New64a()
		_, _ = h.Write([]byte(v.Name + "\x00" + v.Number + "\x00" + v.Address)) // a hash has no errors
		digest ^= mixed(h.Sum64())
	}
	return digest
}
