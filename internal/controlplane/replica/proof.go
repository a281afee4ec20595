package replica

import (
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/monotonic"
)

// prove asks the other voters what this one has promised them, until enough have answered.
func (v *Voter) prove() {
	good, floor, old := v.proof.Verdict()
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
func (v *Voter) refuseFolder(why string) {
	if v.status.Trouble != "" && v.asked < 0 {
		return
	}
	v.asked = folderRefused
	v.opt.Log.Error("fleet: this voter's folder must not vote: "+why+"; have another voter remove it (mothcleat fleet voters remove "+v.id.Name+
		"), empty the folder, make it anew with mothcleat fleet join, and add it again", "voter", v.id.Name, "folder", v.opt.Dir)
	v.trouble(why)
}

// askForProof asks each other voter once.
func (v *Voter) askForProof() {
	node, p := v.node, v.node.Position()
	position := &controlpb.Position{Fleet: v.id.Fleet, Voter: v.id.Number, Term: p.Term, Last: p.Last}
	for _, o := range v.others() {
		v.link.Prove(o, position, func(w *controlpb.Witness) {
			v.post(func() {
				if v.node == node && !v.begun {
					v.proof.Hear(w.From, wordOf(w))
				}
			})
		})
	}
}

func wordOf(w *controlpb.Witness) consensus.Word {
	return consensus.Word{
		Term:     w.Term,
		Leader:   w.Leader,
		Promised: consensus.Promise{Term: w.Promised, Index: w.Index},
		Stranger: w.Stranger,
	}
}
