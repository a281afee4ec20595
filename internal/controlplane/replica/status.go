package replica

import (
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
)

// Status describes a voter.
type Status struct {
	Identity
	Role    consensus.Role
	Leader  string // its name
	Voters  []*controlpb.Voter
	Applied uint64
	First   uint64
	Trouble string // why it takes no part; "": it does
}

// publish brings Status up to date and logs what has changed.
func (v *Voter) publish() {
	if v.node == nil {
		return
	}
	role, voters := v.node.Role(), v.node.Voters()
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
		Identity: v.id,
		Role:     role,
		Leader:   leader,
		Voters:   voters,
		Applied:  v.node.Applied(),
		First:    v.node.First(),
		Trouble:  v.publishedTrouble(),
	}
}

// publishedTrouble is why the voter takes no part. Called with mu held.
func (v *Voter) publishedTrouble() string {
	switch {
	case v.begun:
		return ""
	case v.status.Trouble != "":
		return v.status.Trouble
	}
	return "it waits for other voters to say what it has promised them"
}

// logChanges logs a new leader and a new list of voters.
func (v *Voter) logChanges(role consensus.Role, leader string, voters []*controlpb.Voter) {
	if role != v.role {
		v.opt.Log.Info("fleet: leader", "voter", v.id.Name, "term", role.Term, "leader", leader, "leads", role.Leads)
		v.role = role
	}
	list := ""
	for _, o := range voters {
		list += " " + o.Name
	}
	if list != v.voters {
		v.opt.Log.Info("fleet: voters", "voter", v.id.Name, "voters", list, "term", role.Term, "entry", v.node.Applied())
		v.voters = list
	}
}

// Status returns what the voter is now.
func (v *Voter) Status() Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.status
}

// trouble sets why the voter takes no part.
func (v *Voter) trouble(why string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.status.Trouble, v.status.Role, v.status.Leader = why, consensus.Role{}, ""
}
