package replica

import (
	"context"
	"errors"

	"go.etcd.io/raft/v3/raftpb"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/monotonic"
)

// post has the voter's goroutine call f. It returns false, without waiting, if the queue is full.
func (v *Voter) post(f func()) bool {
	select {
	case v.calls <- f:
		return true
	default:
		return false
	}
}

// call has the voter's goroutine answer a request. Where the context ends first, the answer says so.
func (v *Voter) call(ctx context.Context, do func(end func(*controlpb.Answer))) *controlpb.Answer {
	answer := make(chan *controlpb.Answer, 1)
	end := func(a *controlpb.Answer) {
		select {
		case answer <- a:
		default:
		}
	}
	if !v.post(func() {
		if v.node == nil || !v.begun {
			end(&controlpb.Answer{Code: controlpb.Code_NOT_READY, Why: "this voter takes no part now"})
			return
		}
		do(end)
	}) {
		return &controlpb.Answer{Code: controlpb.Code_NOT_READY, Why: "this voter has too much to do"}
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return &controlpb.Answer{Code: controlpb.Code_NOT_READY, Why: "no answer in time: it may be agreed yet"}
	case <-v.ended:
		return &controlpb.Answer{Code: controlpb.Code_NOT_READY, Why: "this voter has ended: it may be agreed yet"}
	}
}

// Do proposes a command. After an answer NOT_READY or NOT_LEADER the command may still be agreed.
func (v *Voter) Do(ctx context.Context, c *controlpb.Command) *controlpb.Answer {
	return v.call(ctx, func(end func(*controlpb.Answer)) { v.node.Submit(monotonic.Now(), c, end) })
}

// Ask queries a machine; it is a linearizable read.
func (v *Voter) Ask(ctx context.Context, q *controlpb.Query) *controlpb.Answer {
	return v.call(ctx, func(end func(*controlpb.Answer)) { v.node.Read(q.Machine, q.Body, end) })
}

// Alter proposes to add or remove a voter.
func (v *Voter) Alter(ctx context.Context, c *controlpb.Change) *controlpb.Answer {
	return v.call(ctx, func(end func(*controlpb.Answer)) { v.node.Alter(c.Add, c.Voter, end) })
}

// Snapshot has the voter write a snapshot and drop old entries.
func (v *Voter) Snapshot(ctx context.Context) error {
	a := v.call(ctx, func(end func(*controlpb.Answer)) {
		a := &controlpb.Answer{}
		if err := v.node.Compact(); err != nil {
			a.Code, a.Why = controlpb.Code_REFUSED, err.Error()
		}
		end(a)
	})
	if a.Code != controlpb.Code_OK {
		return errors.New(a.Why)
	}
	return nil
}

// Step takes in messages of another voter. If the queue is full they are dropped; raft sends them again.
func (v *Voter) Step(from *controlpb.Voter, messages []*raftpb.Message) {
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

// Unreachable takes in that messages to a voter were dropped.
func (v *Voter) Unreachable(number uint64) {
	v.post(func() {
		if v.begun {
			v.node.Unreachable(number)
		}
	})
}

// SnapshotSent takes in whether a snapshot was passed to a voter.
func (v *Voter) SnapshotSent(number uint64, ok bool) {
	v.post(func() {
		if v.begun {
			v.node.SnapshotSent(number, ok)
		}
	})
}

// Witness returns what this voter was promised by another, or nil if it can't tell before the context
// ends. It answers also while it does not take part itself.
func (v *Voter) Witness(ctx context.Context, p *controlpb.Position) *controlpb.Witness {
	answer := make(chan *controlpb.Witness, 1)
	v.post(func() {
		if v.node == nil || v.asked == folderRefused {
			return
		}
		w := v.node.Know(p.Voter)
		answer <- &controlpb.Witness{From: v.id.Number, Term: w.Term, Leader: w.Leader, Promised: w.Promised.Term, Index: w.Promised.Index, Stranger: w.Stranger}
	})
	select {
	case w := <-answer:
		return w
	case <-ctx.Done():
		return nil
	}
}

// Resign transfers leadership, if this voter leads, to another that is up to date.
func (v *Voter) Resign() {
	v.post(func() {
		if v.node == nil || !v.begun || !v.node.Role().Leads {
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
