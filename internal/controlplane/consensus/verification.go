package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
)

// Position is how far a voter's stored state reaches: its term and its last entry.
type Position struct {
	Term      uint64
	LastIndex uint64
}

// Promise is what a voter has promised to another, as that other knows it: the newest term in which
// it voted for the other or accepted entries of it, and the last entry accepted in that term.
type Promise struct {
	Term  uint64
	Index uint64
}

// VerificationReply is what another voter answers to one that starts.
type VerificationReply struct {
	Term         uint64  // the term that the other is in
	Leader       uint64  // whom it knows as the leader of that term; 0: nobody
	Promised     Promise // what the one that starts has promised to it
	UnknownVoter bool    // by its list of voters the one that starts is none
}

// Verification is what a voter does before it takes part: it asks the others what it has promised
// to them. A voter whose stored state was restored from an older copy is detected by that: others
// know of promises that it does not, and by voting it could vote twice in a term.
//
// It passes once a majority, with the voter itself, knows of nothing more than the voter does. If
// they know a leader, that has to be among them: the leader knows what was promised in its own
// term, and its log holds everything that was committed before.
type Verification struct {
	own       Position
	others    int
	replies   map[uint64]VerificationReply // the newest of each voter
	rejection string
}

// NewVerification begins the verification of a voter that has some number of other voters.
func NewVerification(own Position, others int) *Verification {
	return &Verification{own: own, others: others, replies: map[uint64]VerificationReply{}}
}

// Receive records the reply of another voter.
func (v *Verification) Receive(from uint64, reply VerificationReply) {
	v.replies[from] = reply
	promised := reply.Promised
	switch {
	case v.isUnknownToMost():
		v.rejection = fmt.Sprintf("voter %x and others do not know this folder as a voter's: "+
			"its voter was removed, or replaced", from)
	case promised.Term > v.own.Term:
		v.rejection = fmt.Sprintf("it reaches to term %d, but voter %x was promised something in "+
			"term %d: the folder is an older copy", v.own.Term, from, promised.Term)
	case promised.Term == v.own.Term && promised.Index > v.own.LastIndex:
		v.rejection = fmt.Sprintf("it ends at entry %d, but voter %x had entry %d confirmed in "+
			"the same term: the folder is an older copy", v.own.LastIndex, from, promised.Index)
	}
}

// isUnknownToMost reports whether more than half of the others don't know this voter. A few may not
// yet know a new one, because they lag behind.
func (v *Verification) isUnknownToMost() bool {
	unknown := 0
	for _, reply := range v.replies {
		if reply.UnknownVoter {
			unknown++
		}
	}
	return 2*unknown > v.others
}

// Result reports whether the verification has passed. The voter must not vote in minTerm or before:
// it may have voted there without knowing it. A rejection that is not empty is why the voter must
// not take part, and is final.
func (v *Verification) Result() (passed bool, minTerm uint64, rejection string) {
	if v.rejection != "" {
		return false, 0, v.rejection
	}
	minTerm = v.own.Term
	for _, reply := range v.replies {
		minTerm = max(minTerm, reply.Term)
	}
	if !v.hasReplyOfLeader(minTerm) {
		return false, 0, ""
	}
	majority := (v.others+1)/2 + 1
	return len(v.replies)+1 >= majority, minTerm, ""
}

// hasReplyOfLeader reports whether the leader of a term has replied in that term, or none is known.
func (v *Verification) hasReplyOfLeader(term uint64) bool {
	for _, reply := range v.replies {
		if reply.Term != term || reply.Leader == 0 {
			continue
		}
		leader, replied := v.replies[reply.Leader]
		if !replied || leader.Term < term {
			return false
		}
	}
	return true
}

// AnswerVerification returns this voter's reply to another that starts.
func (n *Node) AnswerVerification(voter uint64) VerificationReply {
	_, isVoter := n.voters[voter]
	reply := VerificationReply{
		Term:         n.hardState.GetTerm(),
		Promised:     n.promises[voter],
		UnknownVoter: !isVoter,
	}
	if n.rawNode != nil {
		status := n.rawNode.BasicStatus()
		reply.Term = max(reply.Term, status.GetTerm())
		reply.Leader = status.Lead
	}
	return reply
}

// recordPromise records what a message shows that its sender has stored, so that the sender is
// detected if it comes back with less: that it accepted entries of this voter or voted for it, or,
// as a leader or candidate, that it voted for itself and has the entries that it sends.
func (n *Node) recordPromise(m *raftpb.Message) {
	promise := Promise{Term: m.GetTerm()}
	switch m.GetType() {
	case raftpb.MsgAppResp:
		if m.GetReject() {
			return
		}
		promise.Index = m.GetIndex()
	case raftpb.MsgVoteResp:
		if m.GetReject() {
			return
		}
	case raftpb.MsgApp:
		promise.Index = m.GetIndex() + uint64(len(m.Entries))
	case raftpb.MsgVote, raftpb.MsgHeartbeat:
	default:
		return
	}
	last := n.promises[m.GetFrom()]
	isNewer := promise.Term > last.Term ||
		promise.Term == last.Term && promise.Index > last.Index
	if isNewer {
		n.promises[m.GetFrom()] = promise
		n.newPromises[m.GetFrom()] = promise
	}
}
