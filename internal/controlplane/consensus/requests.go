package consensus

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// maxEarlyRejectionAge is the largest age of a session's last entry at which a command may be
// rejected without an entry. An early rejection does not keep the session alive: without this
// limit, a member whose commands are always rejected would lose its session.
const maxEarlyRejectionAge = SessionTTL / 6

// Completion is the answer to a command, a read or a change of voters. The tag identifies the
// request; the caller chose it.
type Completion struct {
	Tag    any
	Answer *controlpb.Answer
}

// Completions returns the requests that were completed since the last call.
func (n *Node) Completions() []Completion {
	completions := n.completions
	n.completions = nil
	return completions
}

func (n *Node) addCompletion(tag any, answer *controlpb.Answer) {
	n.completions = append(n.completions, Completion{tag, answer})
}

// complete completes a request with the body of its answer.
func (n *Node) complete(tag any, body []byte) {
	n.addCompletion(tag, &controlpb.Answer{Body: body})
}

// reject completes a request with an error code and names the leader if one is known.
func (n *Node) reject(tag any, code controlpb.Code, reason string) {
	answer := &controlpb.Answer{Code: code, Reason: reason}
	if n.rawNode != nil {
		if leader := n.voters[n.rawNode.BasicStatus().Lead]; leader != nil {
			answer.Leader = leader.Name
		}
	}
	n.addCompletion(tag, answer)
}

// rejectUnknownMachine rejects a request for a state machine that does not exist.
func (n *Node) rejectUnknownMachine(tag any, machine string) {
	n.reject(tag, controlpb.Code_REFUSED,
		fmt.Sprintf("no part of the replicated state is called %q", machine))
}

// acceptsRequests reports whether this node accepts requests. If not, it rejects the request.
func (n *Node) acceptsRequests(tag any) bool {
	switch {
	case n.rawNode == nil:
		n.reject(tag, controlpb.Code_NOT_READY, "this voter does not take part yet")
	case n.rawNode.BasicStatus().RaftState != raft.StateLeader:
		n.reject(tag, controlpb.Code_NOT_LEADER, "this voter is not the leader")
	case !n.isLeader():
		n.reject(tag, controlpb.Code_NOT_READY, "this voter has just become the leader")
	default:
		return true
	}
	return false
}

// Propose proposes a command. A command with session 0 opens a session for its member. The result
// is a Completion with the tag.
func (n *Node) Propose(now time.Duration, c *controlpb.Command, tag any) {
	if !n.acceptsRequests(tag) {
		return
	}
	member := lease.Member{ID: c.Member.GetId(), Incarnation: c.Member.GetIncarnation()}
	timestamp := n.clock.now(now)
	entry := &controlpb.Entry{
		At:       uint64(timestamp),
		Session:  c.Session,
		Seq:      c.Seq,
		AckedSeq: c.AckedSeq,
		Machine:  c.Machine,
		Body:     c.Body,
	}
	if c.Session == 0 {
		entry.Member = c.Member
	} else if n.completeWithoutEntry(timestamp, member, c, tag) {
		return
	}
	if tags := n.pendingCommands[c.Session][c.Seq]; len(tags) > 0 {
		// The command was sent again before its entry was committed: one entry answers both.
		n.pendingCommands[c.Session][c.Seq] = append(tags, tag)
		return
	}
	data, err := proto.Marshal(entry)
	if err == nil {
		err = n.rawNode.Propose(data)
	}
	if err != nil {
		n.reject(tag, controlpb.Code_NOT_READY, err.Error())
		return
	}
	n.awaitEntry(member, c, tag)
}

// completeWithoutEntry completes a command of a session if it needs no entry: if it was answered
// before, its state machine rejects it early, or it can't be accepted. It reports whether the
// command was completed.
func (n *Node) completeWithoutEntry(
	timestamp time.Duration, member lease.Member, c *controlpb.Command, tag any,
) bool {
	s, answer, wasApplied, code := n.sessions.lookup(c.Session, c.Seq)
	if code == controlpb.Code_NO_SESSION && n.sessions.isRetired(member) {
		n.reject(tag, controlpb.Code_SUPERSEDED, supersededReason(member))
		return true
	}
	if code != controlpb.Code_OK {
		n.reject(tag, code, "")
		return true
	}
	if wasApplied {
		n.complete(tag, answer)
		return true
	}
	machine := n.config.StateMachines[c.Machine]
	if machine == nil && c.Machine != "" {
		n.rejectUnknownMachine(tag, c.Machine)
		return true
	}
	rejecter, ok := machine.(EarlyRejecter)
	if !ok || timestamp-s.lastSeen >= maxEarlyRejectionAge {
		return false
	}
	answer, rejected := rejecter.RejectEarly(timestamp, s.member, c.Body)
	if rejected {
		n.complete(tag, answer)
	}
	return rejected
}

// awaitEntry keeps the tag of a proposed command until its entry is applied.
func (n *Node) awaitEntry(member lease.Member, c *controlpb.Command, tag any) {
	if c.Session == 0 {
		n.pendingOpens[member] = append(n.pendingOpens[member], tag)
		return
	}
	bySeq := n.pendingCommands[c.Session]
	if bySeq == nil {
		bySeq = map[uint64][]any{}
		n.pendingCommands[c.Session] = bySeq
	}
	bySeq[c.Seq] = append(bySeq[c.Seq], tag)
}

// supersededReason returns the reason for rejecting a member whose id a newer process has taken.
func supersededReason(member lease.Member) string {
	return fmt.Sprintf("another process has taken the id %s since; this one is %s",
		member.ID, member)
}

// rejectPending rejects all pending requests of a voter that is no longer the leader. Their entries
// may still be committed, so the callers have to send them again to the next leader.
func (n *Node) rejectPending() {
	reject := func(tags ...any) {
		for _, tag := range tags {
			n.reject(tag, controlpb.Code_NOT_LEADER, "this voter is not the leader any more")
		}
	}
	// The order is fixed so that an emulator's run with the same seed gives the same history.
	for _, session := range slices.Sorted(maps.Keys(n.pendingCommands)) {
		bySeq := n.pendingCommands[session]
		for _, seq := range slices.Sorted(maps.Keys(bySeq)) {
			reject(bySeq[seq]...)
		}
	}
	for _, member := range slices.SortedFunc(maps.Keys(n.pendingOpens), compareMembers) {
		reject(n.pendingOpens[member]...)
	}
	reject(n.reads.drop()...)
	reject(n.pendingVoterChanges...)
	clear(n.pendingCommands)
	clear(n.pendingOpens)
	n.pendingVoterChanges = nil
}

func compareMembers(a, b lease.Member) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// FailPending completes all pending requests with the reason why this voter stops. Their entries
// may still be committed.
func (n *Node) FailPending(reason string) {
	n.rejectPending()
	for _, completion := range n.completions {
		completion.Answer.Code = controlpb.Code_NOT_READY
		completion.Answer.Reason = reason
	}
}
