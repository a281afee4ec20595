package voter

import (
	"context"
	"errors"

	"go.etcd.io/raft/v3/raftpb"

	"mothcleat/internal/fleetpb"
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
func (v *Voter) call(ctx context.Context, do func(end func(*fleetpb.Answer))) *fleetpb.Answer {
	answer := make(chan *fleetpb.Answer, 1)
	end := func(a *fleetpb.Answer) {
		select {
		case answer <- a:
		default:
		}
	}
	if !v.post(func() {
		if v.node == nil || !v.begun {
			end(&fleetpb.Answer{Code: fleetpb.Code_NOT_READY, Why: "this voter takes no part now"})
			return
		}
		do(end)
	}) {
		return &fleetpb.Answer{Code: fleetpb.Code_NOT_READY, Why: "this voter has too much to do"}
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return &fleetpb.Answer{Code: fleetpb.Code_NOT_READY, Why: "no answer in time: it may be agreed yet"}
	case <-v.ended:
		return &fleetpb.Answer{Code: fleetpb.Code_NOT_READY, Why: "this voter has ended: it may be agreed yet"}
	}
}

// Do proposes a command. After an answer NOT_READY or NOT_LEADER the command may still be agreed.
func (v *Voter) Do(ctx context.Context, c *fleetpb.Command) *fleetpb.Answer {
	return v.call(ctx, func(end func(*fleetpb.Answer)) { v.node.Submit(monotonic.Now(), c, end) })
}

// Ask queries a machine; it is a linearizable read.
func (v *Voter) Ask(ctx context.Context, q *fleetpb.Query) *fleetpb.Answer {
	return v.call(ctx, func(end func(*fleetpb.Answer)) { v.node.Read(q.Machine, q.Body, end) })
}

// Alter proposes to add or remove a voter.
func (v *Voter) Alter(ctx context.Context, c *fleetpb.Change) *fleetpb.Answer {
	return v.call(ctx, func(end func(*fleetpb.Answer)) { v.node.Alter(c.Add, c.Voter, end) })
}

// Snapshot has the voter write a snapshot and drop old entries.
func (v *Voter) Snapshot(ctx context.Context) error {
	a := v.call(ctx, func(end func(*fleetpb.Answer)) {
		a := &fleetpb.Answer{}
		if err := v.node.Compact(); err != nil {
			a.Code, a.Why = fleetpb.Code_REFUSED, err.Error()
		}
		end(a)
	})
	if a.Code != fleetpb.Code_OK {
		return errors.New(a.Why)
	}
	return nil
}

// Step takes in messages of another voter. If the queue is full they are dropped; raft sends them again.
func (v *Voter) Step(from *fleetpb.Voter, messages []*raftpb.Message) {
	v.post(func() {
		if v.node == nil || !v.begun {
			return
		}
		if v.heard == nil || len(v.heard) > maxHeard {
			v.heard = map[uint64]*fleetpb.Voter{}
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
func (v *Voter) Witness(ctx context.Context, p *fleetpb.Position) *fleetpb.Witness {
	answer := make(chan *fleetpb.Witness, 1)
	v.post(func() {
		if v.node == nil || v.asked == folderRefused {
			return
		}
		w := v.node.Know(p.Voter)
		answer <- &fleetpb.Witness{From: v.id.Number, Term: w.Term, Leader: w.Leader, Promised: w.Promised.Term, Index: w.Promised.Index, Stranger: w.Stranger}
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
