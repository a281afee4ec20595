package replica

import (
	"context"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/monotonic"
)

// verify queries the other voters for the promises that this one has made to them, until enough of
// them have replied. Then it starts the node or rejects the storage.
func (r *Replica) verify() {
	passed, minTerm, rejection := r.verification.Result()
	if rejection != "" {
		r.reject(rejection)
		return
	}
	if passed {
		if err := r.start(minTerm); err != nil {
			r.options.Log.Error("fleet: this voter failed to start", "error", err)
			r.stop(err.Error())
		}
		return
	}
	now := monotonic.Now()
	if r.verifyRequestedAt != 0 && now-r.verifyRequestedAt < verifyInterval {
		return
	}
	r.verifyRequestedAt = now
	r.requestVerification()
}

// reject records that the storage must not be used to vote, and logs once how to replace it.
func (r *Replica) reject(reason string) {
	if r.rejected {
		return
	}
	r.rejected = true
	r.options.Log.Error("fleet: this voter's folder must not vote: "+reason+
		"; have another voter remove it (mothcleat fleet voters remove "+r.identity.Name+
		"), empty the folder, make it anew with mothcleat fleet join, and add it again",
		"voter", r.identity.Name, "folder", r.options.Dir)
	r.setFault(reason)
}

// requestVerification sends one query to each other voter.
func (r *Replica) requestVerification() {
	node := r.node
	position := &controlpb.Position{
		Fleet:     r.identity.Fleet,
		Voter:     r.identity.Number,
		Term:      node.Position().Term,
		LastIndex: node.Position().LastIndex,
	}
	for _, v := range r.otherVoters() {
		r.transport.Verify(v, position, func(reply *controlpb.VerificationReply) {
			r.post(func() {
				if r.node == node && !r.started {
					r.verification.Receive(reply.From, decodeReply(reply))
				}
			})
		})
	}
}

func decodeReply(reply *controlpb.VerificationReply) consensus.VerificationReply {
	return consensus.VerificationReply{
		Term:         reply.Term,
		Leader:       reply.Leader,
		Promised:     consensus.Promise{Term: reply.PromisedTerm, Index: reply.PromisedIndex},
		UnknownVoter: reply.UnknownVoter,
	}
}

func encodeReply(from uint64, reply consensus.VerificationReply) *controlpb.VerificationReply {
	return &controlpb.VerificationReply{
		From:          from,
		Term:          reply.Term,
		Leader:        reply.Leader,
		PromisedTerm:  reply.Promised.Term,
		PromisedIndex: reply.Promised.Index,
		UnknownVoter:  reply.UnknownVoter,
	}
}

// AnswerVerification returns what another voter has promised to this one, even while this replica
// takes no part itself. It returns nil if there is no answer before the context ends.
func (r *Replica) AnswerVerification(
	ctx context.Context, position *controlpb.Position,
) *controlpb.VerificationReply {
	replies := make(chan *controlpb.VerificationReply, 1)
	r.post(func() {
		if r.node == nil || r.rejected {
			return
		}
		replies <- encodeReply(r.identity.Number, r.node.AnswerVerification(position.Voter))
	})
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		return nil
	}
}
