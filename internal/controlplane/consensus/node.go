package consensus

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// Limits of the raft library.
const (
	maxMessageBytes     = 256 << 10
	maxInflightMessages = 64 // to one voter
	maxInflightBytes    = 8 << 20
	maxUncommittedBytes = 16 << 20
)

// Node is one voter. It is not safe for concurrent use.
type Node struct {
	config  Config
	rawNode *raft.RawNode // nil before Start
	storage *raft.MemoryStorage

	// The replicated state, except for the state machines in config.
	fleet     string
	voters    map[uint64]*controlpb.Voter // by number
	confState *raftpb.ConfState
	sessions  *sessions

	clock         fleetClock
	appliedIndex  uint64        // of the last entry applied
	appliedTerm   uint64        // of the last entry applied
	lastTimestamp time.Duration // of the last entry applied
	lastAppliedAt time.Duration // the voter's clock when it applied that entry
	snapshotIndex uint64        // of the newest snapshot

	hardState       *raftpb.HardState // as stored
	lastSavedIndex  uint64            // of the last entry stored
	currentReady    *raft.Ready       // between Ready and Advance
	ticksToCampaign int

	// Tags of the requests that wait for their completion.
	pendingCommands     map[uint64]map[uint64][]any // by session and sequence number
	pendingOpens        map[lease.Member][]any
	pendingVoterChanges []any
	reads               reads
	completions         []Completion // since the last call of Completions

	promises    map[uint64]Promise // by the voter that made them
	newPromises map[uint64]Promise // since the last Ready
}

// Position returns the term and the last entry of the stored state.
func (n *Node) Position() Position { return Position{n.hardState.GetTerm(), n.lastSavedIndex} }

// Start makes the voter take part. It is called once the verification has passed. The voter does
// not vote for another voter in minTerm or an earlier term.
func (n *Node) Start(minTerm uint64) error {
	hardState := proto.Clone(n.hardState).(*raftpb.HardState)
	if minTerm > hardState.GetTerm() {
		// A stored vote for itself in minTerm prevents a vote for another voter in that term. No
		// candidate counts it.
		hardState.Term = new(minTerm)
		hardState.Vote = new(n.config.Number)
		if err := n.storage.SetHardState(hardState); err != nil {
			return err
		}
		n.hardState = hardState
	}
	var err error
	n.rawNode, err = raft.NewRawNode(&raft.Config{
		ID:                        n.config.Number,
		ElectionTick:              n.config.ElectionTicks,
		HeartbeatTick:             n.config.HeartbeatTicks,
		Storage:                   n.storage,
		Applied:                   n.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxInflightBytes:          maxInflightBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		Logger:                    n.config.Logger,
		DisableProposalForwarding: true,
	})
	n.resetElectionTimer()
	return err
}

// resetElectionTimer sets the next campaign to a random time between once and twice ElectionTicks
// from now. The raft library's own timer is not used, because it draws from the system's
// randomness.
func (n *Node) resetElectionTimer() {
	ticks := n.config.ElectionTicks
	n.ticksToCampaign = ticks + n.config.Random.IntN(ticks)
}

// Tick counts one tick of the voter's clock.
func (n *Node) Tick(now time.Duration) {
	if n.rawNode.BasicStatus().RaftState == raft.StateLeader {
		n.rawNode.Tick()
		return
	}
	n.rawNode.TickQuiesced()
	n.ticksToCampaign--
	if n.ticksToCampaign > 0 {
		return
	}
	n.resetElectionTimer()
	if n.isVoter() {
		// An error means that a change of voters is in progress; the next timeout retries.
		_ = n.rawNode.Campaign()
	}
}

// isVoter reports whether this node is a voter according to its own log.
func (n *Node) isVoter() bool {
	return slices.Contains(n.confState.GetVoters(), n.config.Number) ||
		slices.Contains(n.confState.GetVotersOutgoing(), n.config.Number)
}

// Step processes a message from another voter.
func (n *Node) Step(m *raftpb.Message) {
	term := n.rawNode.BasicStatus().GetTerm()
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap: // from a leader
		if m.GetTerm() >= term {
			n.resetElectionTimer()
		}
	case raftpb.MsgVote:
		if m.GetTerm() > term {
			n.resetElectionTimer()
		}
	}
	n.recordPromise(m)
	_ = n.rawNode.Step(m) // it drops messages of unknown senders and old ones with an error
}

// ReportUnreachable reports that messages to another voter were lost.
func (n *Node) ReportUnreachable(voter uint64) { n.rawNode.ReportUnreachable(voter) }

// ReportSnapshot reports whether a snapshot was sent to another voter.
func (n *Node) ReportSnapshot(voter uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	n.rawNode.ReportSnapshot(voter, status)
}

// TransferLeader transfers leadership to another voter if that voter is up to date.
func (n *Node) TransferLeader(to uint64) { n.rawNode.TransferLeader(to) }
