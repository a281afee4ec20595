package replica

import (
	"context"
	"errors"

	"go.etcd.io/raft/v3/raftpb"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/monotonic"
)

// replyFunc delivers the answer to a request. The replica passes it to the node as the request's
// tag.
type replyFunc = func(*controlpb.Answer)

// post queues f for the replica's goroutine. It never blocks: if the queue is full it returns
// false.
func (r *Replica) post(f func()) bool {
	select {
	case r.calls <- f:
		return true
	default:
		return false
	}
}

// call makes a request on the replica's goroutine and waits for its answer. If the context or the
// replica ends first, or the queue is full, the answer is NOT_READY with the reason.
func (r *Replica) call(ctx context.Context, request func(reply replyFunc)) *controlpb.Answer {
	answers := make(chan *controlpb.Answer, 1)
	reply := func(answer *controlpb.Answer) {
		select {
		case answers <- answer:
		default:
		}
	}
	posted := r.post(func() {
		if r.node == nil || !r.started {
			reply(notReady("this voter takes no part now"))
			return
		}
		request(reply)
	})
	if !posted {
		return notReady("this voter has too many requests queued")
	}
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
		return notReady("no answer in time: it may still be committed")
	case <-r.done:
		return notReady("this voter has ended: it may still be committed")
	}
}

func notReady(reason string) *controlpb.Answer {
	return &controlpb.Answer{Code: controlpb.Code_NOT_READY, Reason: reason}
}

// Propose proposes a command. After an answer NOT_READY or NOT_LEADER the command may still be
// committed.
func (r *Replica) Propose(ctx context.Context, c *controlpb.Command) *controlpb.Answer {
	return r.call(ctx, func(reply replyFunc) { r.node.Propose(monotonic.Now(), c, reply) })
}

// Read queries a state machine. It is a linearizable read.
func (r *Replica) Read(ctx context.Context, q *controlpb.Query) *controlpb.Answer {
	return r.call(ctx, func(reply replyFunc) { r.node.Read(q.Machine, q.Body, reply) })
}

// ChangeVoter proposes to add or remove a voter.
func (r *Replica) ChangeVoter(ctx context.Context, c *controlpb.VoterChange) *controlpb.Answer {
	return r.call(ctx, func(reply replyFunc) { r.node.ChangeVoter(c.Add, c.Voter, reply) })
}

// CreateSnapshot makes the replica store a snapshot and drop old entries.
func (r *Replica) CreateSnapshot(ctx context.Context) error {
	answer := r.call(ctx, func(reply replyFunc) {
		answer := &controlpb.Answer{}
		if err := r.node.CreateSnapshot(); err != nil {
			answer.Code = controlpb.Code_REFUSED
			answer.Reason = err.Error()
		}
		reply(answer)
	})
	if answer.Code != controlpb.Code_OK {
		return errors.New(answer.Reason)
	}
	return nil
}

// Step processes messages from another voter. If the queue is full they are dropped, and raft
// resends them.
func (r *Replica) Step(from *controlpb.Voter, messages []*raftpb.Message) {
	r.post(func() {
		if r.node == nil || !r.started {
			return
		}
		if r.knownSenders == nil || len(r.knownSenders) > maxKnownSenders {
			r.knownSenders = map[uint64]*controlpb.Voter{}
		}
		r.knownSenders[from.Number] = from
		for _, m := range messages {
			r.node.Step(m)
		}
	})
}

// ReportUnreachable reports that messages to a voter were dropped.
func (r *Replica) ReportUnreachable(number uint64) {
	r.post(func() {
		if r.started {
			r.node.ReportUnreachable(number)
		}
	})
}

// ReportSnapshot reports whether a snapshot was sent to a voter.
func (r *Replica) ReportSnapshot(number uint64, ok bool) {
	r.post(func() {
		if r.started {
			r.node.ReportSnapshot(number, ok)
		}
	})
}

// TransferLeadership transfers leadership to a voter that is up to date, if this replica is the
// leader and there is one.
func (r *Replica) TransferLeadership() {
	r.post(func() {
		if r.node == nil || !r.started || !r.node.Leadership().IsLeader {
			return
		}
		for _, v := range r.otherVoters() {
			if r.node.UpToDate(v.Number) {
				r.node.TransferLeader(v.Number)
				return
			}
		}
	})
}
