package consensus

import (
	"cmp"
	"slices"
	"time"
)

// sampleAnswer is a sample of the active members, the members that vote, and the voters. It looks at each session once:
// with each new version of the configuration all gateways ask at once.
func (n *Node) sampleAnswer(q *MembershipQuery, at time.Duration) *MembershipAnswer {
	a := &MembershipAnswer{Voters: n.votersAt()}
	drawn := sample{size: q.Sample, seed: q.Seed}
	for _, in := range n.sessions.byID {
		switch {
		case in.address == "" || in.silent(at):
		case n.nameTaken(in.member.ID):
			a.Members = append(a.Members, in.memberAt(nil))
		default:
			drawn.offer(in)
		}
	}
	for _, one := range drawn.drawn {
		a.Members = append(a.Members, one.session.memberAt(nil))
	}
	slices.SortFunc(a.Members, func(x, y MemberInfo) int { return cmp.Compare(x.ID, y.ID) })
	a.Revision.Digest = digestOfMembers(a.Members)
	return a
}

// sample draws some sessions: those that come first in an order that a seed gives. Another seed gives another order, and
// the order in which sessions are offered does not matter.
type sample struct {
	size  int
	seed  uint64
	drawn []sampled // in their order
}

// sampled is a session with its place in the order.
type sampled struct {
	rank    uint64
	session *session
}

// offer takes a session into the sample if it comes before one that is in it, or the sample is not full.
func (s *sample) offer(in *session) {
	one := sampled{mixed(in.digest ^ s.seed), in}
	if len(s.drawn) == s.size {
		if s.size == 0 || compareSampled(s.drawn[s.size-1], one) < 0 {
			return
		}
		s.drawn = s.drawn[:s.size-1]
	}
	at, _ := slices.BinarySearchFunc(s.drawn, one, compareSampled)
	s.drawn = slices.Insert(s.drawn, at, one)
}

func compareSampled(a, b sampled) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.session.member.ID, b.session.member.ID))
}
