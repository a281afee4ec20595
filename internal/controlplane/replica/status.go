package replica

import (
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
)

// Status describes a voter.
type Status struct {
	Identity
	Leadership   consensus.Leadership
	Leader       string // its name
	Voters       []*controlpb.Voter
	AppliedIndex uint64
	FirstIndex   uint64
	Fault        string // why it takes no part; "": it does
}

// publish brings Status up to date and logs what has changed.
func (v *Replica) publish() {
	if v.node == nil {
		return
	}
	role, voters := v.node.Leadership(), v.node.Voters()
	leader := ""
	for _, o := range voters {
		if o.Number == role.Leader {
			leader = o.Name
		}
	}
	v.logChanges(role, leader, voters)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.status = Status{
		Identity:     v.id,
		Leadership:   role,
		Leader:       leader,
		Voters:       voters,
		AppliedIndex: v.node.AppliedIndex(),
		FirstIndex:   v.node.FirstIndex(),
		Fault:        v.publishedTrouble(),
	}
}

// publishedTrouble is why the voter takes no part. Called with mu held.
func (v *Replica) publishedTrouble() string {
	switch {
	case v.begun:
		return ""
	case v.status.Fault != "":
		return v.status.Fault
	}
	return "it waits for other voters to say what it has promised them"
}

// logChanges logs a new leader and a new list of voters.
func (v *Replica) logChanges(role consensus.Leadership, leader string, voters []*controlpb.Voter) {
	if role != v.role {
		v.opt.Log.Info("fleet: leader", "voter", v.id.Name, "term", role.Term, "leader", leader, "leads", role.IsLeader)
		v.role = role
	}
	list := ""
	for _, o := range voters {
		list += " " + o.Name
	}
	if list != v.voters {
		v.opt.Log.Info("fleet: voters", "voter", v.id.Name, "voters", list, "term", role.Term, "entry", v.node.AppliedIndex())
		v.voters = list
	}
}

// Status returns what the voter is now.
func (v *Replica) Status() Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.status
}

// trouble sets why the voter takes no part.
func (v *Replica) trouble(why string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.status.Fault, v.status.Leadership, v.status.Leader = why, consensus.Leadership{}, ""
}
