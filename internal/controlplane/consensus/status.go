package consensus

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"

	"mothcleat/internal/controlplane/controlpb"
)

// Leadership is what a voter is at a time.
type Leadership struct {
	Term     uint64
	Leader   uint64 // 0: none is known
	IsLeader bool   // this voter, and it takes commands
}

// Leadership returns what this voter is now.
func (n *Node) Leadership() Leadership {
	if n.rn == nil {
		return Leadership{Term: n.hard.GetTerm()}
	}
	st := n.rn.BasicStatus()
	return Leadership{st.GetTerm(), st.Lead, n.leads()}
}

// leads reports whether this voter leads and has applied an entry of its own term: only then does it know all that
// was agreed, and what time it is.
func (n *Node) leads() bool {
	st := n.rn.BasicStatus()
	return st.RaftState == raft.StateLeader && n.termSeen == st.GetTerm()
}

// Voters returns the agreed voters, by name.
func (n *Node) Voters() []*controlpb.Voter {
	all := make([]*controlpb.Voter, 0, len(n.voters))
	for _, v := range n.voters {
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b *controlpb.Voter) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Members returns the processes that have a session, by id.
func (n *Node) Members() []SessionInfo { return n.sessions.members() }

// Fleet returns the name that the fleet was founded under.
func (n *Node) Fleet() string { return n.fleet }

// AppliedIndex returns the index of the last entry that the state holds.
func (n *Node) AppliedIndex() uint64 { return n.applied }

// FirstIndex returns the index of the first entry that the log still holds.
func (n *Node) FirstIndex() uint64 {
	first, _ := n.log.FirstIndex() // the log in memory has no errors
	return first
}

// MembershipName is the part of the agreed state that every node has itself: who votes, and who has a session. A Read of it
// without a body gives a List, one with a MembershipQuery only the part that it asks for.
const MembershipName = "fleet"

// Membership is who belongs to the fleet.
type Membership struct {
	Fleet        string        `json:"fleet"`
	At           time.Duration `json:"at"` // the fleet's time
	Term         uint64        `json:"term"`
	Leader       string        `json:"leader"`
	AppliedIndex uint64        `json:"applied"`
	FirstIndex   uint64        `json:"first"` // entry still in the log
	Voters       []VoterInfo   `json:"voters"`
	Members      []SessionInfo `json:"members"`
	// Retired are earlier boots of ids that had a session, as far as they are kept.
	Retired map[string][]uint64 `json:"retired"`
}

// VoterInfo is a voter of the agreed list.
type VoterInfo struct {
	Name    string `json:"name"`
	Number  string `json:"number"` // of its folder, in hexadecimal
	Address string `json:"address"`
}

// votersAt returns the agreed voters as askers are given them, by name.
func (n *Node) votersAt() (all []VoterInfo) {
	for _, v := range n.Voters() {
		all = append(all, VoterInfo{v.Name, fmt.Sprintf("%016x", v.Number), v.Address})
	}
	return all
}

// list returns the List as JSON, at a time of the fleet.
func (n *Node) list(at time.Duration) []byte {
	r := n.Leadership()
	l := Membership{Fleet: n.fleet, At: at, Term: r.Term, AppliedIndex: n.applied, FirstIndex: n.FirstIndex(), Members: n.Members(), Retired: n.sessions.retired}
	l.Voters = n.votersAt()
	for _, v := range n.Voters() {
		if v.Number == r.Leader {
			l.Leader = v.Name
		}
	}
	raw, err := json.Marshal(l)
	if err != nil {
		panic(err) // plain data
	}
	return raw
}

// UpToDate reports whether another voter is known to hold all that this leader does and was active lately.
func (n *Node) UpToDate(voter uint64) (yes bool) {
	last, _ := n.log.LastIndex()
	n.rn.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if id == voter {
			yes = pr.RecentActive && pr.Match >= last
		}
	})
	return yes
}
