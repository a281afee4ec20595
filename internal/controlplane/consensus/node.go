package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// StateMachine is a part of the agreed state. Every voter applies the same commands in the same order, and
// has to come to the same state: nothing but the arguments may decide.
type StateMachine interface {
	// Apply carries a command out and gives its answer. at is the fleet's time.
	Apply(at time.Duration, index uint64, who lease.Member, body []byte) []byte
	// Query reads; at is the fleet's time as the leader has it.
	Query(at time.Duration, body []byte) []byte
	Snapshot() []byte
	Restore(state []byte) error
}

// EarlyRejecter is a machine that can tell beforehand that a command would change nothing: such a
// command is answered without an entry.
type EarlyRejecter interface {
	RejectEarly(at time.Duration, who lease.Member, body []byte) (answer []byte, refused bool)
}

// Config is how a voter is set up.
type Config struct {
	Number        uint64 // of the voter's folder, never 0
	StateMachines map[string]StateMachine
	Random        *rand.Rand

	// ElectionTicks is how many ticks a voter hears of no leader before it stands itself: from once to twice
	// as many. HeartbeatTicks is between two words of a leader.
	ElectionTicks, HeartbeatTicks int
	// KeepEntries is how many applied entries stay in the log behind a snapshot. A snapshot is made when
	// twice as many have been applied since the last; 0: 4,096.
	KeepEntries uint64
	Logger      raft.Logger
}

// Node is one voter. It must not be used concurrently.
type Node struct {
	cfg Config
	rn  *raft.RawNode
	log *raft.MemoryStorage

	clock     fleetClock
	fleet     string
	voters    map[uint64]*controlpb.Voter
	sessions  *sessions
	conf      *raftpb.ConfState
	applied   uint64
	lastAt    time.Duration // stamp of the last entry applied
	lastLocal time.Duration // when that was, by the voter's clock
	termSeen  uint64        // of the last entry applied
	snapshot  uint64        // index of the last
	saved     uint64        // index of the last entry on disk

	hard    *raftpb.HardState
	wait    int // ticks until it stands
	ready   *raft.Ready
	pending map[uint64]map[uint64][]any // by session and command
	opens   map[lease.Member][]any
	changes []any
	reads   reads
	witness map[uint64]Promise
	newer   map[uint64]Promise // since the last work
	done    []Completion
}

var errDamaged = errors.New("agree: the log does not fit together")

// BootstrapState gives what the folder of a new fleet's voter holds at first. All voters of a fleet have to be given the
// same, but for which of them they are.
func BootstrapState(fleet string, voters []*controlpb.Voter) (StoredState, error) {
	s := &controlpb.Snapshot{Fleet: fleet, Voters: voters}
	cs := &raftpb.ConfState{}
	for _, v := range voters {
		cs.Voters = append(cs.Voters, v.Number)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return StoredState{}, fmt.Errorf("agree: found: %w", err)
	}
	return StoredState{
		HardState: &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))},
		Snapshot:  &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{ConfState: cs, Index: new(uint64(1)), Term: new(uint64(1))}},
	}, nil
}

// JoinState gives what the folder of a voter holds at first that is to be added to a fleet: nothing.
func JoinState() StoredState {
	return StoredState{HardState: &raftpb.HardState{}, Snapshot: raftpb.EnsureSnapshot(nil)}
}

// Open makes a voter of what its folder holds. now is the voter's clock. It takes no part before Begin.
func Open(now time.Duration, cfg Config, from StoredState) (*Node, error) {
	if cfg.KeepEntries == 0 {
		cfg.KeepEntries = 4096
	}
	if from.Snapshot == nil || from.HardState == nil {
		return nil, fmt.Errorf("%w: no snapshot to begin from", errDamaged)
	}
	n := &Node{cfg: cfg, log: raft.NewMemoryStorage(), pending: map[uint64]map[uint64][]any{}, opens: map[lease.Member][]any{},
		witness: map[uint64]Promise{}, newer: map[uint64]Promise{}}
	for of, p := range from.Promises {
		n.witness[of] = p
	}
	if err := n.log.ApplySnapshot(from.Snapshot); err != nil {
		return nil, fmt.Errorf("agree: %w", err)
	}
	next := from.Snapshot.Metadata.GetIndex() + 1
	var entries []*raftpb.Entry
	for _, e := range from.Entries {
		if e.GetIndex() < next {
			continue
		}
		if e.GetIndex() != next {
			return nil, fmt.Errorf("%w: entry %d where %d was due", errDamaged, e.GetIndex(), next)
		}
		entries, next = append(entries, e), next+1
	}
	if err := n.log.Append(entries); err != nil {
		return nil, fmt.Errorf("agree: %w", err)
	}
	if from.HardState.GetCommit() >= next {
		return nil, fmt.Errorf("%w: entry %d is agreed, the last one here is %d", errDamaged, from.HardState.GetCommit(), next-1)
	}
	if index := from.Snapshot.Metadata.GetIndex(); from.HardState.GetCommit() < index {
		from.HardState.Commit = new(index) // a snapshot holds nothing that is not agreed
	}
	n.hard = from.HardState
	n.saved = next - 1
	if err := n.log.SetHardState(from.HardState); err != nil {
		return nil, fmt.Errorf("agree: %w", err)
	}
	return n, n.restore(now, from.Snapshot)
}

// Position is how far the folder's record reaches.
func (n *Node) Position() Position { return Position{n.hard.GetTerm(), n.saved} }

// Start has the voter take part, once its proof was good: it votes in no term up to the floor.
func (n *Node) Start(floor uint64) error {
	hard := proto.Clone(n.hard).(*raftpb.HardState)
	if floor > hard.GetTerm() {
		// It counts as having voted for itself there, which nobody counts.
		hard.Term, hard.Vote = new(floor), new(n.cfg.Number)
		if err := n.log.SetHardState(hard); err != nil {
			return err
		}
		n.hard = hard
	}
	var err error
	n.rn, err = raft.NewRawNode(&raft.Config{
		ID: n.cfg.Number, ElectionTick: n.cfg.ElectionTicks, HeartbeatTick: n.cfg.HeartbeatTicks, Storage: n.log,
		Applied: n.applied, MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxInflightBytes: 8 << 20,
		MaxUncommittedEntriesSize: 16 << 20, CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe,
		Logger: n.cfg.Logger, DisableProposalForwarding: true,
	})
	n.rearm()
	return err
}

// rearm sets when the voter stands for leader: from once to twice the election's ticks from now.
func (n *Node) rearm() { n.wait = n.cfg.ElectionTicks + n.cfg.Random.IntN(n.cfg.ElectionTicks) }

// Tick counts one tick of the voter's clock.
func (n *Node) Tick(now time.Duration) {
	st := n.rn.BasicStatus()
	if st.RaftState == raft.StateLeader {
		n.rn.Tick()
		return
	}
	n.rn.TickQuiesced()
	if n.wait--; n.wait > 0 {
		return
	}
	n.rearm()
	if n.votes() {
		_ = n.rn.Campaign() // a change of voters under way keeps it back: it is tried again
	}
}

// votes tells whether this voter is one by its own log.
func (n *Node) votes() bool {
	return slices.Contains(n.conf.GetVoters(), n.cfg.Number) || slices.Contains(n.conf.GetVotersOutgoing(), n.cfg.Number)
}

// Step takes in a message of another voter.
func (n *Node) Step(m *raftpb.Message) {
	term := n.rn.BasicStatus().GetTerm()
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= term {
			n.rearm() // a leader speaks
		}
	case raftpb.MsgVote:
		if m.GetTerm() > term {
			n.rearm()
		}
	}
	n.promised(m)
	_ = n.rn.Step(m) // messages of strangers and of the past are dropped
}

// promised keeps what a message shows that another voter has on disk, for when it comes back with less: that it took
// entries or voted for this one; and of a leader or candidate, that it voted for itself and has what it sends.
func (n *Node) promised(m *raftpb.Message) {
	p := Promise{Term: m.GetTerm()}
	switch m.GetType() {
	case raftpb.MsgAppResp:
		if m.GetReject() {
			return
		}
		p.Index = m.GetIndex()
	case raftpb.MsgVoteResp:
		if m.GetReject() {
			return
		}
	case raftpb.MsgApp:
		p.Index = m.GetIndex() + uint64(len(m.Entries))
	case raftpb.MsgVote, raftpb.MsgHeartbeat:
	default:
		return
	}
	by := m.GetFrom()
	if last := n.witness[by]; p.Term > last.Term || p.Term == last.Term && p.Index > last.Index {
		n.witness[by], n.newer[by] = p, p
	}
}

// AnswerVerification is what this voter says to another that starts.
func (n *Node) AnswerVerification(voter uint64) VerificationReply {
	_, known := n.voters[voter]
	w := VerificationReply{Term: n.hard.GetTerm(), Promised: n.witness[voter], UnknownVoter: !known}
	if n.rn != nil {
		st := n.rn.BasicStatus()
		w.Term, w.Leader = max(w.Term, st.GetTerm()), st.Lead
	}
	return w
}

// ReportUnreachable takes in that messages to another voter are lost.
func (n *Node) ReportUnreachable(voter uint64) { n.rn.ReportUnreachable(voter) }

// ReportSnapshot takes in whether a snapshot was passed to another voter.
func (n *Node) ReportSnapshot(voter uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	n.rn.ReportSnapshot(voter, status)
}

// TransferLeader has another voter lead, if it is up to date.
func (n *Node) TransferLeader(to uint64) { n.rn.TransferLeader(to) }
