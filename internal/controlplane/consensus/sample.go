package consensus

import (
	"cmp"
	"slices"
	"time"
)

// sampleAnswer returns the voters, the members that vote, and a sample of the other active members.
// It visits each session only once, because all gateways send this query at the same time after
// each new version of the configuration.
func (n *Node) sampleAnswer(q *MembershipQuery, now time.Duration) *MembershipAnswer {
	answer := &MembershipAnswer{Voters: n.voterInfos()}
	drawn := sample{size: q.Sample, seed: q.Seed}
	for _, s := range n.sessions.byID {
		if s.address == "" || s.unresponsive(now) {
			continue
		}
		if n.hasVoterNamed(s.member.ID) {
			answer.Members = append(answer.Members, s.memberInfo(nil))
		} else {
			drawn.offer(s)
		}
	}
	for _, one := range drawn.ranked {
		answer.Members = append(answer.Members, one.session.memberInfo(nil))
	}
	slices.SortFunc(answer.Members, compareMemberInfos)
	answer.Revision.Digest = membersDigest(answer.Members)
	return answer
}

// sample selects a few of the sessions that are offered to it: the first ones in an order that is
// determined by the seed. The order in which sessions are offered does not matter.
type sample struct {
	size   int
	seed   uint64
	ranked []rankedSession // in the seed's order
}

// rankedSession is a session with its rank in the seed's order.
type rankedSession struct {
	rank    uint64
	session *session
}

// offer adds a session to the sample. If the sample is full, the session replaces the last one, or
// is dropped if it ranks behind that.
func (s *sample) offer(offered *session) {
	one := rankedSession{mixBits(offered.digest ^ s.seed), offered}
	if len(s.ranked) == s.size {
		if s.size == 0 || compareRanked(s.ranked[s.size-1], one) < 0 {
			return
		}
		s.ranked = s.ranked[:s.size-1]
	}
	at, _ := slices.BinarySearchFunc(s.ranked, one, compareRanked)
	s.ranked = slices.Insert(s.ranked, at, one)
}

func compareRanked(a, b rankedSession) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.session.member.ID, b.session.member.ID),
	)
}
