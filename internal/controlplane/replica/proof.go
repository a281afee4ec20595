package replica

import (
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/monotonic"
)

// prove asks the other voters what this one has promised them, until enough have answered.
func (v *Replica) prove() {
	good, floor, old := v.proof.Result()
	switch {
	case old != "":
		v.refuseFolder(old)
		return
	case good:
		if err := v.begin(floor); err != nil {
			v.opt.Log.Error("fleet: this voter can't begin", "error", err)
			v.end(err.Error())
		}
		return
	}
	now := monotonic.Now()
	if v.asked != 0 && now-v.asked < proofInterval {
		return
	}
	v.asked = now
	v.askForProof()
}

// refuseFolder logs, once, why this voter's folder must not be used to vote.
func (v *Replica) refuseFolder(why string) {
	if v.status.Fault != "" && v.asked < 0 {
		return
	}
	v.asked = folderRefused
	v.opt.Log.Error("fleet: this voter's folder must not vote: "+why+"; have another voter remove it (mothcleat fleet voters remove "+v.id.Name+
		"), empty the folder, make it anew with mothcleat fleet join, and add it again", "voter", v.id.Name, "folder", v.opt.Dir)
	v.trouble(why)
}

// askForProof asks each other voter once.
func (v *Replica) askForProof() {
	node, p := v.node, v.node.Position()
	position := &controlpb.Position{Fleet: v.id.Fleet, Voter: v.id.Number, Term: p.Term, LastIndex: p.LastIndex}
	for _, o := range v.others() {
		v.link.Verify(o, position, func(w *controlpb.VerificationReply) {
			v.post(func() {
				if v.node == node && !v.begun {
					v.proof.Receive(w.From, wordOf(w))
				}
			})
		})
	}
}

func wordOf(w *controlpb.VerificationReply) consensus.VerificationReply {
	return consensus.VerificationReply{
		Term:         w.Term,
		Leader:       w.Leader,
		Promised:     consensus.Promise{Term: w.PromisedTerm, Index: w.PromisedIndex},
		UnknownVoter: w.UnknownVoter,
	}
}
