package consensus

import (
	"cmp"
	"slices"
	"time"
)

// sampleAnswer returns a sample of the active members, the members that vote, and the voters. It
// looks at each session once: with each new version of the configuration all gateways ask at once.
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

// sample is a few of the sessions that it is offered: the first ones in an order that its seed
// gives. The order in which sessions are offered does not matter.
type sample struct {
	size   int
	seed   uint64
	ranked []rankedSession // in the seed's order
}

// rankedSession is a session with its place in the seed's order.
type rankedSession struct {
	rank    uint64
	session *session
}

// offer adds a session to the sample if the sample is not full, or in place of its last one.
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
