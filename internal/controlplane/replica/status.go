package replica

import (
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
)

// Status describes a replica.
type Status struct {
	Identity
	Leadership   consensus.Leadership
	Leader       string             // name; "": none is known
	Voters       []*controlpb.Voter // by name
	AppliedIndex uint64
	FirstIndex   uint64 // of the first entry still in the log
	Fault        string // why the replica takes no part; "": it takes part
}

// Status returns the replica's status after the last round of its goroutine.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// publish updates the status and logs a new leader or a new list of voters. The goroutine calls it
// after each round, so its cost must not grow with the number of members.
func (r *Replica) publish() {
	if r.node == nil {
		return
	}
	leadership := r.node.Leadership()
	voters := r.node.Voters()
	leader := ""
	for _, v := range voters {
		if v.Number == leadership.Leader {
			leader = v.Name
		}
	}
	r.logChanges(leadership, leader, voters)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = Status{
		Identity:     r.identity,
		Leadership:   leadership,
		Leader:       leader,
		Voters:       voters,
		AppliedIndex: r.node.AppliedIndex(),
		FirstIndex:   r.node.FirstIndex(),
		Fault:        r.currentFault(),
	}
}

// currentFault returns why the replica takes no part. The caller holds r.mu.
func (r *Replica) currentFault() string {
	if r.started {
		return ""
	}
	if r.status.Fault != "" {
		return r.status.Fault
	}
	return "it waits for other voters to say what it has promised them"
}

// logChanges logs the leadership and the list of voters if they have changed.
func (r *Replica) logChanges(
	leadership consensus.Leadership, leader string, voters []*controlpb.Voter,
) {
	if leadership != r.loggedLeadership {
		r.options.Log.Info("fleet: leader", "voter", r.identity.Name, "term", leadership.Term,
			"leader", leader, "leads", leadership.IsLeader)
		r.loggedLeadership = leadership
	}
	names := ""
	for _, v := range voters {
		names += " " + v.Name
	}
	if names != r.loggedVoters {
		r.options.Log.Info("fleet: voters", "voter", r.identity.Name, "voters", names,
			"term", leadership.Term, "entry", r.node.AppliedIndex())
		r.loggedVoters = names
	}
}

// setFault sets the reason why the replica takes no part.
func (r *Replica) setFault(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Fault = reason
	r.status.Leadership = consensus.Leadership{}
	r.status.Leader = ""
}
