package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
)

// Position is the term and the last entry of a voter's stored state.
type Position struct {
	Term      uint64
	LastIndex uint64
}

// Promise is what a voter has promised to another voter, as known to that other voter (the
// recipient): the newest term in which the voter voted for the recipient or accepted entries from
// it, and the last entry accepted in that term.
type Promise struct {
	Term  uint64
	Index uint64
}

// VerificationReply is the reply of another voter to a voter that starts.
type VerificationReply struct {
	Term         uint64  // current term of the replying voter
	Leader       uint64  // leader of that term; 0: the replying voter knows none
	Promised     Promise // what the starting voter has promised to the replying one
	UnknownVoter bool    // the starting voter is not on the replying one's list of voters
}

// Verification is the check that a voter makes before it takes part: it queries the other voters
// for the promises that it has made to them. This detects a stored state that was restored from an
// older copy: the others know of promises that the stored state does not contain, and the voter
// could vote twice in a term.
//
// The verification passes once a majority, including the voter itself, knows of no promise beyond
// the stored state. If one of them knows a leader, the leader has to be among them: it knows what
// was promised in its own term, and its log holds all entries that were committed before.
type Verification struct {
	own       Position
	others    int
	replies   map[uint64]VerificationReply // the newest of each voter
	rejection string
}

// NewVerification returns the verification of a voter. The argument others is the number of other
// voters.
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

// isUnknownToMost reports whether more than half of the other voters don't know this voter. A few
// of them may lag behind and not know a new voter yet.
func (v *Verification) isUnknownToMost() bool {
	unknown := 0
	for _, reply := range v.replies {
		if reply.UnknownVoter {
			unknown++
		}
	}
	return 2*unknown > v.others
}

// Result reports whether the verification has passed. The voter must not vote in minTerm or an
// earlier term: it may have voted there, although its stored state does not show it. A rejection
// that is not empty is final and tells why the voter must not take part.
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

// hasReplyOfLeader reports whether the leader of a term has replied in that term, or no reply names
// a leader of the term.
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

// AnswerVerification returns this voter's reply to another voter that starts.
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

// recordPromise records what a message proves its sender to have stored, so that the sender is
// detected if it restarts with an older state. A response proves that the sender accepted entries
// of this voter or voted for it. A message from a leader or candidate proves that the sender voted
// for itself and has the entries that it sends.
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
