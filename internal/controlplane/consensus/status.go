package consensus

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/mustjson"
)

// Leadership names the leader of the voters, as far as one voter knows it.
type Leadership struct {
	Term     uint64
	Leader   uint64 // 0: none is known
	IsLeader bool   // this voter is the leader and accepts commands
}

// Leadership returns the current leadership, as far as this voter knows it.
func (n *Node) Leadership() Leadership {
	if n.rawNode == nil {
		return Leadership{Term: n.hardState.GetTerm()}
	}
	status := n.rawNode.BasicStatus()
	return Leadership{status.GetTerm(), status.Lead, n.isLeader()}
}

// isLeader reports whether this voter is the leader and has applied an entry of its own term. Only
// then does it know all committed entries and the fleet's time.
func (n *Node) isLeader() bool {
	status := n.rawNode.BasicStatus()
	return status.RaftState == raft.StateLeader && n.appliedTerm == status.GetTerm()
}

// Voters returns the voters, sorted by name.
func (n *Node) Voters() []*controlpb.Voter {
	all := make([]*controlpb.Voter, 0, len(n.voters))
	for _, v := range n.voters {
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b *controlpb.Voter) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Members returns the processes that have a session, sorted by id.
func (n *Node) Members() []SessionInfo { return n.sessions.members() }

// Fleet returns the name of the fleet.
func (n *Node) Fleet() string { return n.fleet }

// AppliedIndex returns the index of the last entry that is applied to the state.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// FirstIndex returns the index of the first entry that the log still holds.
func (n *Node) FirstIndex() uint64 {
	first, _ := n.storage.FirstIndex() // the log in memory returns no errors
	return first
}

// MembershipName is the name under which a Read gets the part of the replicated state that belongs
// to no state machine: the voters, and the processes that have a session. A Read without a body is
// answered with a Membership. A Read whose body is a MembershipQuery is answered with the part that
// the query requests.
const MembershipName = "fleet"

// Membership lists the voters and members of the fleet.
type Membership struct {
	Fleet        string        `json:"fleet"`
	At           time.Duration `json:"at"` // the fleet's time
	Term         uint64        `json:"term"`
	Leader       string        `json:"leader"` // name
	AppliedIndex uint64        `json:"applied"`
	FirstIndex   uint64        `json:"first"` // of the first entry still in the log
	Voters       []VoterInfo   `json:"voters"`
	Members      []SessionInfo `json:"members"`
	// Retired lists the superseded incarnations of each id, as far as they are kept.
	Retired map[string][]uint64 `json:"retired"`
}

// VoterInfo describes a voter.
type VoterInfo struct {
	Name    string `json:"name"`
	Number  string `json:"number"` // in hexadecimal
	Address string `json:"address"`
}

// voterInfos returns a description of the voters, sorted by name.
func (n *Node) voterInfos() (all []VoterInfo) {
	for _, v := range n.Voters() {
		all = append(all, VoterInfo{v.Name, fmt.Sprintf("%016x", v.Number), v.Address})
	}
	return all
}

// encodedMembership returns a Membership as JSON; now is the fleet's time.
func (n *Node) encodedMembership(now time.Duration) []byte {
	leadership := n.Leadership()
	m := Membership{
		Fleet:        n.fleet,
		At:           now,
		Term:         leadership.Term,
		AppliedIndex: n.appliedIndex,
		FirstIndex:   n.FirstIndex(),
		Voters:       n.voterInfos(),
		Members:      n.Members(),
		Retired:      n.sessions.retired,
	}
	if leader := n.voters[leadership.Leader]; leader != nil {
		m.Leader = leader.Name
	}
	return mustjson.Marshal(m)
}

// UpToDate reports whether another voter is known to have all entries of this leader, and was
// active recently.
func (n *Node) UpToDate(voter uint64) (upToDate bool) {
	last, _ := n.storage.LastIndex() // the log in memory returns no errors
	n.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, progress tracker.Progress) {
		if id == voter {
			upToDate = progress.RecentActive && progress.Match >= last
		}
	})
	return upToDate
}
