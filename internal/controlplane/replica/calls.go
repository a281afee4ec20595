package replica

import (
	"context"
	"errors"

	"go.etcd.io/raft/v3/raftpb"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/monotonic"
)

// post has the voter's goroutine call f. It returns false, without waiting, if the queue is full.
func (v *Replica) post(f func()) bool {
	select {
	case v.calls <- f:
		return true
	default:
		return false
	}
}

// call has the voter's goroutine answer a request. Where the context ends first, the answer says so.
func (v *Replica) call(ctx context.Context, do func(end func(*controlpb.Answer))) *controlpb.Answer {
	answer := make(chan *controlpb.Answer, 1)
	end := func(a *controlpb.Answer) {
		select {
		case answer <- a:
		default:
		}
	}
	if !v.post(func() {
		if v.node == nil || !v.begun {
			end(&controlpb.Answer{Code: controlpb.Code_NOT_READY, Reason: "this voter takes no part now"})
			return
		}
		do(end)
	}) {
		return &controlpb.Answer{Code: controlpb.Code_NOT_READY, Reason: "this voter has too much to do"}
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return &controlpb.Answer{Code: controlpb.Code_NOT_READY, Reason: "no answer in time: it may be agreed yet"}
	case <-v.ended:
		return &controlpb.Answer{Code: controlpb.Code_NOT_READY, Reason: "this voter has ended: it may be agreed yet"}
	}
}

// Propose proposes a command. After an answer NOT_READY or NOT_LEADER the command may still be agreed.
func (v *Replica) Propose(ctx context.Context, c *controlpb.Command) *controlpb.Answer {
	return v.call(ctx, func(end func(*controlpb.Answer)) { v.node.Propose(monotonic.Now(), c, end) })
}

// Read queries a machine; it is a linearizable read.
func (v *Replica) Read(ctx context.Context, q *controlpb.Query) *controlpb.Answer {
	return v.call(ctx, func(end func(*controlpb.Answer)) { v.node.Read(q.Machine, q.Body, end) })
}

// ChangeVoter proposes to add or remove a voter.
func (v *Replica) ChangeVoter(ctx context.Context, c *controlpb.VoterChange) *controlpb.Answer {
	return v.call(ctx, func(end func(*controlpb.Answer)) { v.node.ChangeVoter(c.Add, c.Voter, end) })
}

// CreateSnapshot has the voter write a snapshot and drop old entries.
func (v *Replica) CreateSnapshot(ctx context.Context) error {
	a := v.call(ctx, func(end func(*controlpb.Answer)) {
		a := &controlpb.Answer{}
		if err := v.node.CreateSnapshot(); err != nil {
			a.Code, a.Reason = controlpb.Code_REFUSED, err.Error()
		}
		end(a)
	})
	if a.Code != controlpb.Code_OK {
		return errors.New(a.Reason)
	}
	return nil
}

// Step takes in messages of another voter. If the queue is full they are dropped; raft sends them again.
func (v *Replica) Step(from *controlpb.Voter, messages []*raftpb.Message) {
	v.post(func() {
		if v.node == nil || !v.begun {
			return
		}
		if v.heard == nil || len(v.heard) > maxHeard {
			v.heard = map[uint64]*controlpb.Voter{}
		}
		v.heard[from.Number] = from
		for _, m := range messages {
			v.node.Step(m)
		}
	})
}

// ReportUnreachable takes in that messages to a voter were dropped.
func (v *Replica) ReportUnreachable(number uint64) {
	v.post(func() {
		if v.begun {
			v.node.ReportUnreachable(number)
		}
	})
}

// ReportSnapshot takes in whether a snapshot was passed to a voter.
func (v *Replica) ReportSnapshot(number uint64, ok bool) {
	v.post(func() {
		if v.begun {
			v.node.ReportSnapshot(number, ok)
		}
	})
}

// AnswerVerification returns what this voter was promised by another, or nil if it can't tell before the context
// ends. It answers also while it does not take part itself.
func (v *Replica) AnswerVerification(ctx context.Context, p *controlpb.Position) *controlpb.VerificationReply {
	answer := make(chan *controlpb.VerificationReply, 1)
	v.post(func() {
		if v.node == nil || v.asked == folderRefused {
			return
		}
		w := v.node.AnswerVerification(p.Voter)
		answer <- &controlpb.VerificationReply{From: v.id.Number, Term: w.Term, Leader: w.Leader, PromisedTerm: w.Promised.Term, PromisedIndex: w.Promised.Index, UnknownVoter: w.UnknownVoter}
	})
	select {
	case w := <-answer:
		return w
	case <-ctx.Done():
		return nil
	}
}

// TransferLeadership transfers leadership, if this voter leads, to another that is up to date.
func (v *Replica) TransferLeadership() {
	v.post(func() {
		if v.node == nil || !v.begun || !v.node.Leadership().IsLeader {
			return
		}
		for _, o := range v.others() {
			if v.node.UpToDate(o.Number) {
				v.node.TransferLeader(o.Number)
				return
			}
		}
	})
}
