package consensus

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// freshFor is how long ago a session's last entry may be for a command of it to be answered without one.
const freshFor = SessionTTL / 6

// Completion is the end of a command, a read or a change of voters. Tag is what its caller gave.
type Completion struct {
	Tag    any
	Answer *controlpb.Answer
}

// answer ends a command or a read with its answer.
func (n *Node) answer(tag any, body []byte) {
	n.done = append(n.done, Completion{tag, &controlpb.Answer{Body: body}})
}

// refuseUnknown ends a request for a machine that there is none of.
func (n *Node) refuseUnknown(tag any, machine string) {
	n.refuse(tag, controlpb.Code_REFUSED, fmt.Sprintf("no part of the agreed state is called %q", machine))
}

// refuse ends a command or a read with an error, and names the leader if one is known.
func (n *Node) refuse(tag any, code controlpb.Code, why string) {
	a := &controlpb.Answer{Code: code, Reason: why}
	if n.rn != nil {
		if v := n.voters[n.rn.BasicStatus().Lead]; v != nil {
			a.Leader = v.Name
		}
	}
	n.done = append(n.done, Completion{tag, a})
}

// able reports whether this node takes requests. If not, it ends the request with the reason.
func (n *Node) able(tag any) bool {
	switch {
	case n.rn == nil:
		n.refuse(tag, controlpb.Code_NOT_READY, "this voter does not take part yet")
	case n.rn.BasicStatus().RaftState != raft.StateLeader:
		n.refuse(tag, controlpb.Code_NOT_LEADER, "another voter leads, or none")
	case !n.leads():
		n.refuse(tag, controlpb.Code_NOT_READY, "this voter leads only since now")
	default:
		return true
	}
	return false
}

// Propose proposes a command; session 0 opens a session for its member. It ends in a Done with the tag.
func (n *Node) Propose(now time.Duration, c *controlpb.Command, tag any) {
	if !n.able(tag) {
		return
	}
	who := lease.Member{ID: c.Member.GetId(), Incarnation: c.Member.GetIncarnation()}
	at := n.clock.now(now)
	e := &controlpb.Entry{At: uint64(at), Session: c.Session, Seq: c.Seq, AckedSeq: c.AckedSeq, Machine: c.Machine, Body: c.Body}
	if c.Session == 0 {
		e.Member = c.Member
	} else if n.endsAtOnce(at, who, c, tag) {
		return
	}
	if tags := n.pending[c.Session][c.Seq]; len(tags) > 0 {
		n.pending[c.Session][c.Seq] = append(tags, tag) // it is under way: asked again before it was agreed
		return
	}
	raw, err := proto.Marshal(e)
	if err == nil {
		err = n.rn.Propose(raw)
	}
	if err != nil {
		n.refuse(tag, controlpb.Code_NOT_READY, err.Error())
		return
	}
	n.await(who, c, tag)
}

// endsAtOnce ends a command of a session that needs no entry: one that was answered before, that its
// machine refuses, or that can't be taken. It reports whether the command has ended.
func (n *Node) endsAtOnce(at time.Duration, who lease.Member, c *controlpb.Command, tag any) bool {
	in, answer, had, code := n.sessions.known(c.Session, c.Seq)
	switch {
	case code == controlpb.Code_NO_SESSION && slices.Contains(n.sessions.retired[who.ID], who.Incarnation):
		n.refuse(tag, controlpb.Code_SUPERSEDED, superseded(who))
		return true
	case code != controlpb.Code_OK:
		n.refuse(tag, code, "")
		return true
	case had:
		n.answer(tag, answer)
		return true
	}
	m := n.cfg.StateMachines[c.Machine]
	if m == nil && c.Machine != "" {
		n.refuseUnknown(tag, c.Machine)
		return true
	}
	// A command without an entry leaves no trace in the session: one that is always refused would be taken for gone.
	if r, ok := m.(EarlyRejecter); ok && at-in.seen < freshFor {
		if answer, refused := r.RejectEarly(at, in.member, c.Body); refused {
			n.answer(tag, answer)
			return true
		}
	}
	return false
}

// await keeps the tag of a proposed command until its entry is applied.
func (n *Node) await(who lease.Member, c *controlpb.Command, tag any) {
	if c.Session == 0 {
		n.opens[who] = append(n.opens[who], tag)
		return
	}
	bySeq := n.pending[c.Session]
	if bySeq == nil {
		bySeq = map[uint64][]any{}
		n.pending[c.Session] = bySeq
	}
	bySeq[c.Seq] = append(bySeq[c.Seq], tag)
}

// superseded is why a process whose id another has taken since is refused.
func superseded(who lease.Member) string {
	return fmt.Sprintf("another process has taken the id %s since; this one is %s", who.ID, who)
}

// ChangeVoter proposes another list of voters, with one added or one removed, by joint consensus. It ends in a
// Done with the tag.
func (n *Node) ChangeVoter(add bool, v *controlpb.Voter, tag any) {
	if !n.able(tag) {
		return
	}
	known, is := n.voters[v.Number]
	switch {
	case add && is && known.Name == v.Name:
		n.answer(tag, nil)
		return
	case !add && !is:
		n.refuse(tag, controlpb.Code_REFUSED, fmt.Sprintf("%q is no voter", v.Name))
		return
	case !add && len(n.voters) == 1:
		n.refuse(tag, controlpb.Code_REFUSED, "the last voter stays")
		return
	case add && n.nameTaken(v.Name):
		n.refuse(tag, controlpb.Code_REFUSED, fmt.Sprintf("%s is a voter already, by another folder: remove it first", v.Name))
		return
	}
	if err := n.proposeVoterChange(add, v); err != nil {
		n.refuse(tag, controlpb.Code_NOT_READY, err.Error())
		return
	}
	n.changes = append(n.changes, tag)
}

// nameTaken reports whether a voter has the name.
func (n *Node) nameTaken(name string) bool {
	for _, v := range n.voters {
		if v.Name == name {
			return true
		}
	}
	return false
}

func (n *Node) proposeVoterChange(add bool, v *controlpb.Voter) error {
	kind := raftpb.ConfChangeAddNode
	if !add {
		kind = raftpb.ConfChangeRemoveNode
	}
	context, err := proto.Marshal(v)
	if err != nil {
		return err
	}
	return n.rn.ProposeConfChange(&raftpb.ConfChangeV2{
		Context:    context,
		Transition: new(raftpb.ConfChangeTransitionJointImplicit),
		Changes:    []*raftpb.ConfChangeSingle{{Type: new(kind), NodeId: new(v.Number)}},
	})
}

// stepDown ends all requests that wait for this leader. They may be agreed yet, and have to be repeated at
// the next leader.
func (n *Node) stepDown() {
	end := func(tags ...any) {
		for _, tag := range tags {
			n.refuse(tag, controlpb.Code_NOT_LEADER, "this voter leads no more")
		}
	}
	// In a fixed order, so that one seed of the emulator has one history.
	for _, s := range slices.Sorted(maps.Keys(n.pending)) {
		for _, seq := range slices.Sorted(maps.Keys(n.pending[s])) {
			end(n.pending[s][seq]...)
		}
	}
	for _, who := range slices.SortedFunc(maps.Keys(n.opens), func(a, b lease.Member) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	}) {
		end(n.opens[who]...)
	}
	end(n.reads.drop()...)
	end(n.changes...)
	clear(n.pending)
	clear(n.opens)
	n.changes = nil
}

// Completions returns the requests that have ended since the last call.
func (n *Node) Completions() []Completion {
	d := n.done
	n.done = nil
	return d
}

// FailPending ends all requests that wait, with a reason why this voter stops. They may be agreed yet.
func (n *Node) FailPending(why string) {
	n.stepDown()
	for _, d := range n.done {
		d.Answer.Code, d.Answer.Reason = controlpb.Code_NOT_READY, why
	}
}
