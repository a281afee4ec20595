package consensus

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
)

// Scope is the part of the membership that a MembershipQuery requests.
type Scope string

const (
	// ScopeVoters requests only the voters.
	ScopeVoters Scope = "voters"
	// ScopeMembers requests the processes with a session, or some of them.
	ScopeMembers Scope = "members"
	// ScopeSample requests the voters, the members that vote, and some other active members, which
	// are drawn by a seed.
	ScopeSample Scope = "sample"
)

const (
	// unresponsiveAfter is the time without a command after which a member counts as unresponsive.
	unresponsiveAfter = SessionTTL / 2
	// maxSample is the largest sample, in members, that a query may request.
	maxSample = 64
)

// MembershipQuery is the body of a Read of MembershipName that requests only the part of the
// membership that a client needs. A Read without a body is answered with a Membership.
//
// A client that names the revision of its copy gets an empty answer if nothing has changed since
// then. If it requests all members, it gets only those that have changed.
type MembershipQuery struct {
	Scope Scope `json:"scope"`
	// IDs are the members that ScopeMembers requests; empty: all.
	IDs []string `json:"ids,omitempty"`
	// Retired requests also the superseded incarnations of each member's id.
	Retired bool `json:"retired,omitempty"`
	// Sample is how many members ScopeSample requests. Seed determines which ones are drawn.
	Sample int    `json:"sample,omitempty"`
	Seed   uint64 `json:"seed,omitempty"`
	// Revision is the revision of the client's copy; nil: it has none.
	Revision *Revision `json:"revision,omitempty"`
	// UnresponsiveDigest is the digest of the unresponsive members that the client knows of.
	UnresponsiveDigest uint64 `json:"silent,omitempty"`
}

// MembershipAnswer is the answer to a MembershipQuery, unless nothing has changed.
type MembershipAnswer struct {
	Revision Revision `json:"revision"` // never zero
	// Delta means that Members lists only those that were added or replaced since the client's
	// revision, and Removed those that have no session any more.
	Delta        bool                 `json:"delta,omitempty"`
	Voters       []VoterInfo          `json:"voters,omitempty"`
	Members      []MemberInfo         `json:"members,omitempty"`
	Removed      []string             `json:"ended,omitempty"`
	Unresponsive *UnresponsiveMembers `json:"silent,omitempty"` // nil: unchanged
}

// UnresponsiveMembers are the members that have sent no command for half of SessionTTL.
type UnresponsiveMembers struct {
	Digest uint64   `json:"digest"` // 0: there are none
	IDs    []string `json:"ids,omitempty"`
}

// MemberInfo describes a process that has a session.
type MemberInfo struct {
	lease.Member
	Address      string   `json:"address,omitempty"` // "": it has none
	Retired      []uint64 `json:"retired,omitempty"` // superseded incarnations, if requested
	Unresponsive bool     `json:"-"`                 // set by a MemberCache
}

// Active reports whether the member has an address and is responsive.
func (m *MemberInfo) Active() bool { return m.Address != "" && !m.Unresponsive }

func compareMemberInfos(a, b MemberInfo) int { return cmp.Compare(a.ID, b.ID) }

// Encode returns the query as the body of a Read.
func (q *MembershipQuery) Encode() []byte { return mustjson.Marshal(q) }

// parseMembershipQuery parses the body of a Read of MembershipName. It returns nil if the body is
// empty, which requests a Membership.
func parseMembershipQuery(body []byte) (*MembershipQuery, error) {
	if len(body) == 0 {
		return nil, nil
	}
	q := &MembershipQuery{}
	if err := json.Unmarshal(body, q); err != nil {
		return nil, fmt.Errorf("the query for members can't be read: %w", err)
	}
	switch q.Scope {
	case ScopeVoters, ScopeMembers, ScopeSample:
	default:
		return nil, fmt.Errorf("the query's scope %.40q is none of voters, members and sample",
			q.Scope)
	}
	if q.Sample < 0 || q.Sample > maxSample {
		return nil, fmt.Errorf("the query's sample is %d members, %d at most", q.Sample, maxSample)
	}
	return q, nil
}

// membershipAnswer returns the encoded answer to a query; now is the fleet's time. It returns nil
// if the client's copy is up to date.
func (n *Node) membershipAnswer(q *MembershipQuery, now time.Duration) []byte {
	var answer *MembershipAnswer
	switch q.Scope {
	case ScopeVoters:
		answer = n.voterAnswer(q)
	case ScopeSample:
		answer = n.sampleAnswer(q, now)
	default:
		answer = n.sessions.memberAnswer(q, now)
	}
	if answer == nil {
		return nil
	}
	return mustjson.Marshal(answer)
}

// voterAnswer returns the voters, or nil if the client's copy is up to date.
func (n *Node) voterAnswer(q *MembershipQuery) *MembershipAnswer {
	answer := &MembershipAnswer{Voters: n.voterInfos()}
	answer.Revision.Digest = votersDigest(answer.Voters)
	if q.Revision != nil && *q.Revision == answer.Revision {
		return nil
	}
	return answer
}

// memberAnswer returns the requested members that the client's copy lacks, or nil if it is up to
// date.
func (s *sessions) memberAnswer(q *MembershipQuery, now time.Duration) *MembershipAnswer {
	answer := &MembershipAnswer{}
	if len(q.IDs) == 0 {
		s.answerAll(q, answer)
	} else {
		s.answerSome(q, answer)
	}
	unresponsive := s.unresponsiveMembers(q.IDs, now)
	if unresponsive.Digest != q.UnresponsiveDigest || !answer.Delta {
		answer.Unresponsive = unresponsive
	}
	if q.Revision != nil && *q.Revision == answer.Revision && answer.Unresponsive == nil {
		return nil
	}
	return answer
}

// answerAll adds all members to an answer, or only the changes since the client's revision if that
// is still in the log and not longer than the complete list.
func (s *sessions) answerAll(q *MembershipQuery, answer *MembershipAnswer) {
	answer.Revision = s.log.current()
	if q.Revision != nil {
		ids, ok := s.log.since(*q.Revision)
		if ok && len(ids) <= len(s.byID) {
			answer.Delta = true
			s.addMembers(ids, q.Retired, answer)
			return
		}
	}
	for _, one := range s.byID {
		retired := s.retiredIfRequested(q.Retired, one.member.ID)
		answer.Members = append(answer.Members, one.memberInfo(retired))
	}
	slices.SortFunc(answer.Members, compareMemberInfos)
}

// answerSome adds the members whose ids are requested to an answer, unless the client's copy is up
// to date.
func (s *sessions) answerSome(q *MembershipQuery, answer *MembershipAnswer) {
	ids := slices.Clone(q.IDs)
	slices.Sort(ids)
	s.addMembers(slices.Compact(ids), q.Retired, answer)
	answer.Removed = nil
	answer.Revision.Digest = membersDigest(answer.Members)
	if q.Revision != nil && *q.Revision == answer.Revision {
		answer.Delta = true
		answer.Members = nil
	}
}

// addMembers adds the members with the given ids to an answer. Ids without a session are added to
// Removed.
func (s *sessions) addMembers(ids []string, withRetired bool, answer *MembershipAnswer) {
	for _, id := range ids {
		one := s.byID[id]
		if one == nil {
			answer.Removed = append(answer.Removed, id)
			continue
		}
		retired := s.retiredIfRequested(withRetired, id)
		answer.Members = append(answer.Members, one.memberInfo(retired))
	}
}

func (s *sessions) retiredIfRequested(requested bool, id string) []uint64 {
	if !requested {
		return nil
	}
	return s.retired[id]
}

// unresponsiveMembers returns the unresponsive members among those with the given ids, or among all
// members if ids is empty.
func (s *sessions) unresponsiveMembers(ids []string, now time.Duration) *UnresponsiveMembers {
	unresponsive := &UnresponsiveMembers{}
	check := func(one *session) {
		if one != nil && one.unresponsive(now) {
			unresponsive.IDs = append(unresponsive.IDs, one.member.ID)
			unresponsive.Digest ^= one.digest
		}
	}
	if len(ids) == 0 {
		for _, one := range s.byID {
			check(one)
		}
	}
	for _, id := range ids {
		check(s.byID[id])
	}
	slices.Sort(unresponsive.IDs)
	return unresponsive
}

// unresponsive reports whether the session's process has sent no command for unresponsiveAfter.
func (s *session) unresponsive(now time.Duration) bool {
	return now-s.lastSeen >= unresponsiveAfter
}

// memberInfo describes the session's process to a client.
func (s *session) memberInfo(retired []uint64) MemberInfo {
	return MemberInfo{Member: s.member, Address: s.address, Retired: retired}
}
