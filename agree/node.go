package agree

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/fleetpb"
	"mothcleat/lease"
)

// Machine is a part of the agreed state. Every voter applies the same commands in the same order, and
// has to come to the same state: nothing but the arguments may decide.
type Machine interface {
	// Apply carries a command out and gives its answer. at is the fleet's time.
	Apply(at time.Duration, index uint64, who lease.Member, body []byte) []byte
	// Query reads; at is the fleet's time as the leader has it.
	Query(at time.Duration, body []byte) []byte
	Snapshot() []byte
	Restore(state []byte) error
}

// Refuser is a machine that can tell beforehand that a command would change nothing: such a
// command is answered without an entry.
type Refuser interface {
	Refuse(at time.Duration, who lease.Member, body []byte) (answer []byte, refused bool)
}

// freshFor is how long ago a session's last entry may be for a command of it to be answered without one.
const freshFor = SessionSpan / 6

// Config is how a voter is set up.
type Config struct {
	Number   uint64 // of the voter's folder, never 0
	Machines map[string]Machine
	Random   *rand.Rand

	// ElectionTicks is how many ticks a voter hears of no leader before it stands itself: from once to twice
	// as many. HeartbeatTicks is between two words of a leader.
	ElectionTicks, HeartbeatTicks int
	// KeepEntries is how many applied entries stay in the log behind a snapshot. A snapshot is made when
	// twice as many have been applied since the last; 0: 4,096.
	KeepEntries uint64
	Log         raft.Logger
}

// Saved is what a voter's folder holds.
type Saved struct {
	Hard     *raftpb.HardState // nil: nothing was saved
	Snapshot *raftpb.Snapshot
	Entries  []*raftpb.Entry
	Witness  map[uint64]Promise
}

// Work is what has to be on disk before Saved is called. It is whole or not at all.
type Work struct {
	Hard     *raftpb.HardState // nil: as it was
	Entries  []*raftpb.Entry   // replace those of the same index; all behind the last one go
	Snapshot *raftpb.Snapshot  // nil: as it was
	Reset    bool              // all entries saved before go, whatever their index
	First    uint64            // entries below it are of no more use
	Witness  map[uint64]Promise
	Sync     bool // it has to be on disk; otherwise it may come with the next that has to
}

// Done is the end of a command or a read.
type Done struct {
	Tag    any
	Answer *fleetpb.Answer
}

// Role is what a voter is at a time.
type Role struct {
	Term   uint64
	Leader uint64 // 0: none is known
	Leads  bool   // this voter, and it takes commands
}

// Node is one voter.
type Node struct {
	cfg Config
	rn  *raft.RawNode
	log *raft.MemoryStorage

	clock     fleetClock
	fleet     string
	voters    map[uint64]*fleetpb.Voter
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
	reads   map[uint64]*read
	nextID  uint64
	witness map[uint64]Promise
	newer   map[uint64]Promise // since the last work
	done    []Done
}

type read struct {
	tag     any
	machine string
	body    []byte
	index   uint64 // 0: not confirmed yet
}

var errDamaged = errors.New("agree: the log does not fit together")

// Found gives what the folder of a new fleet's voter holds at first. All voters of a fleet have to be given the
// same, but for which of them they are.
func Found(fleet string, voters []*fleetpb.Voter) (Saved, error) {
	s := &fleetpb.Snapshot{Fleet: fleet, Voters: voters}
	cs := &raftpb.ConfState{}
	for _, v := range voters {
		cs.Voters = append(cs.Voters, v.Number)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return Saved{}, fmt.Errorf("agree: found: %w", err)
	}
	return Saved{
		Hard:     &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))},
		Snapshot: &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{ConfState: cs, Index: new(uint64(1)), Term: new(uint64(1))}},
	}, nil
}

// Join gives what the folder of a voter holds at first that is to be added to a fleet: nothing.
func Join() Saved {
	return Saved{Hard: &raftpb.HardState{}, Snapshot: raftpb.EnsureSnapshot(nil)}
}

// Open makes a voter of what its folder holds. now is the voter's clock. It takes no part before Begin.
func Open(now time.Duration, cfg Config, from Saved) (*Node, error) {
	if cfg.KeepEntries == 0 {
		cfg.KeepEntries = 4096
	}
	if from.Snapshot == nil || from.Hard == nil {
		return nil, fmt.Errorf("%w: no snapshot to begin from", errDamaged)
	}
	n := &Node{cfg: cfg, log: raft.NewMemoryStorage(), pending: map[uint64]map[uint64][]any{}, opens: map[lease.Member][]any{},
		reads: map[uint64]*read{}, witness: map[uint64]Promise{}, newer: map[uint64]Promise{}}
	for of, p := range from.Witness {
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
	if from.Hard.GetCommit() >= next {
		return nil, fmt.Errorf("%w: entry %d is agreed, the last one here is %d", errDamaged, from.Hard.GetCommit(), next-1)
	}
	if index := from.Snapshot.Metadata.GetIndex(); from.Hard.GetCommit() < index {
		from.Hard.Commit = new(index) // a snapshot holds nothing that is not agreed
	}
	n.hard = from.Hard
	n.saved = next - 1
	if err := n.log.SetHardState(from.Hard); err != nil {
		return nil, fmt.Errorf("agree: %w", err)
	}
	return n, n.restore(now, from.Snapshot)
}

// Position is how far the folder's record reaches.
func (n *Node) Position() Position { return Position{n.hard.GetTerm(), n.saved} }

// Begin has the voter take part, once its proof was good: it votes in no term up to the floor.
func (n *Node) Begin(floor uint64) error {
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
		Logger: n.cfg.Log, DisableProposalForwarding: true,
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

// Know is what this voter says to another that starts.
func (n *Node) Know(voter uint64) Word {
	_, known := n.voters[voter]
	w := Word{Term: n.hard.GetTerm(), Promised: n.witness[voter], Stranger: !known}
	if n.rn != nil {
		st := n.rn.BasicStatus()
		w.Term, w.Leader = max(w.Term, st.GetTerm()), st.Lead
	}
	return w
}

// Unreachable takes in that messages to another voter are lost.
func (n *Node) Unreachable(voter uint64) { n.rn.ReportUnreachable(voter) }

// SnapshotSent takes in whether a snapshot was passed to another voter.
func (n *Node) SnapshotSent(voter uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	n.rn.ReportSnapshot(voter, status)
}

// Role is what this voter is now.
func (n *Node) Role() Role {
	if n.rn == nil {
		return Role{Term: n.hard.GetTerm()}
	}
	st := n.rn.BasicStatus()
	return Role{st.GetTerm(), st.Lead, n.leads()}
}

// leads tells whether this voter leads and has applied an entry of its own term: only then does it know all that
// was agreed, and what time it is.
func (n *Node) leads() bool {
	st := n.rn.BasicStatus()
	return st.RaftState == raft.StateLeader && n.termSeen == st.GetTerm()
}

// Voters are those of the agreed list.
func (n *Node) Voters() []*fleetpb.Voter {
	all := make([]*fleetpb.Voter, 0, len(n.voters))
	for _, v := range n.voters {
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b *fleetpb.Voter) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Members are the processes that have a session, by id.
func (n *Node) Members() []Present { return n.sessions.members() }

// Fleet is the name that the fleet was founded under.
func (n *Node) Fleet() string { return n.fleet }

// Applied is the last entry that the state holds.
func (n *Node) Applied() uint64 { return n.applied }

// First is the first entry that the log still holds.
func (n *Node) First() uint64 { first, _ := n.log.FirstIndex(); return first }

// refuse ends a command at once.
func (n *Node) refuse(tag any, code fleetpb.Code, why string) {
	a := &fleetpb.Answer{Code: code, Why: why}
	if n.rn != nil {
		if v := n.voters[n.rn.BasicStatus().Lead]; v != nil {
			a.Leader = v.Name
		}
	}
	n.done = append(n.done, Done{tag, a})
}

// able tells whether commands are taken; it ends the command with why not.
func (n *Node) able(tag any) bool {
	switch {
	case n.rn == nil:
		n.refuse(tag, fleetpb.Code_NOT_READY, "this voter does not take part yet")
	case n.rn.BasicStatus().RaftState != raft.StateLeader:
		n.refuse(tag, fleetpb.Code_NOT_LEADER, "another voter leads, or none")
	case !n.leads():
		n.refuse(tag, fleetpb.Code_NOT_READY, "this voter leads only since now")
	default:
		return true
	}
	return false
}

// Submit proposes a command; session 0 opens a session for its member. It ends in a Done with the tag.
func (n *Node) Submit(now time.Duration, c *fleetpb.Command, tag any) {
	if !n.able(tag) {
		return
	}
	who := lease.Member{ID: c.Member.GetId(), Boot: c.Member.GetBoot()}
	at := n.clock.now(now)
	e := &fleetpb.Entry{At: uint64(at), Session: c.Session, Seq: c.Seq, Floor: c.Floor, Machine: c.Machine, Body: c.Body}
	if c.Session == 0 {
		e.Member = c.Member
	} else {
		in, answer, had, code := n.sessions.known(c.Session, c.Seq)
		switch {
		case code == fleetpb.Code_NO_SESSION && slices.Contains(n.sessions.retired[who.ID], who.Boot):
			n.refuse(tag, fleetpb.Code_SUPERSEDED, superseded(who))
			return
		case code != fleetpb.Code_OK:
			n.refuse(tag, code, "")
			return
		case had:
			n.done = append(n.done, Done{tag, &fleetpb.Answer{Body: answer}})
			return
		}
		m := n.cfg.Machines[c.Machine]
		if m == nil && c.Machine != "" {
			n.refuse(tag, fleetpb.Code_REFUSED, fmt.Sprintf("no part of the agreed state is called %q", c.Machine))
			return
		}
		// A word without an entry leaves no trace in the session: one that is always refused would be taken for gone.
		if r, ok := m.(Refuser); ok && at-in.seen < freshFor {
			if answer, refused := r.Refuse(at, in.member, c.Body); refused {
				n.done = append(n.done, Done{tag, &fleetpb.Answer{Body: answer}})
				return
			}
		}
	}
	if tags := n.pending[c.Session][c.Seq]; len(tags) > 0 {
		n.pending[c.Session][c.Seq] = append(tags, tag) // it is under way: asked again before it was agreed
		return
	}
	raw, err := proto.Marshal(e)
	if err == nil {
		err = n.rn.Propose(raw)
	}
	if err != nil {
		n.refuse(tag, fleetpb.Code_NOT_READY, err.Error())
		return
	}
	if c.Session == 0 {
		n.opens[who] = append(n.opens[who], tag)
		return
	}
	in := n.pending[c.Session]
	if in == nil {
		in = map[uint64][]any{}
		n.pending[c.Session] = in
	}
	in[c.Seq] = append(in[c.Seq], tag)
}

func superseded(who lease.Member) string {
	return fmt.Sprintf("another process has taken the id %s since; this one is %s", who.ID, who)
}

// Read asks a machine for what it has, after all that was answered before. It ends in a Done with the tag.
func (n *Node) Read(machine string, body []byte, tag any) {
	if !n.able(tag) {
		return
	}
	if n.cfg.Machines[machine] == nil && machine != FleetName {
		n.refuse(tag, fleetpb.Code_REFUSED, fmt.Sprintf("no part of the agreed state is called %q", machine))
		return
	}
	n.nextID++
	n.reads[n.nextID] = &read{tag: tag, machine: machine, body: body}
	n.rn.ReadIndex(fmt.Appendf(nil, "%d", n.nextID))
}

// Alter proposes another list of voters: one more, or one less, by joint consensus. It ends in a Done with the tag.
func (n *Node) Alter(add bool, v *fleetpb.Voter, tag any) {
	if !n.able(tag) {
		return
	}
	known, is := n.voters[v.Number]
	switch {
	case add && is && known.Name == v.Name:
		n.done = append(n.done, Done{tag, &fleetpb.Answer{}})
		return
	case !add && !is:
		n.refuse(tag, fleetpb.Code_REFUSED, fmt.Sprintf("%q is no voter", v.Name))
		return
	case !add && len(n.voters) == 1:
		n.refuse(tag, fleetpb.Code_REFUSED, "the last voter stays")
		return
	}
	for _, other := range n.voters {
		if add && other.Name == v.Name {
			n.refuse(tag, fleetpb.Code_REFUSED, fmt.Sprintf("%s is a voter already, by another folder: remove it first", v.Name))
			return
		}
	}
	kind := raftpb.ConfChangeAddNode
	if !add {
		kind = raftpb.ConfChangeRemoveNode
	}
	context, err := proto.Marshal(v)
	if err == nil {
		err = n.rn.ProposeConfChange(&raftpb.ConfChangeV2{Context: context, Transition: new(raftpb.ConfChangeTransitionJointImplicit),
			Changes: []*raftpb.ConfChangeSingle{{Type: new(kind), NodeId: new(v.Number)}}})
	}
	if err != nil {
		n.refuse(tag, fleetpb.Code_NOT_READY, err.Error())
		return
	}
	n.changes = append(n.changes, tag)
}

// TransferLeader has another voter lead, if it is up to date.
func (n *Node) TransferLeader(to uint64) { n.rn.TransferLeader(to) }

// Work is what has to be saved next; ok is false if there is nothing to save or to send. Saved has to be called
// once it is on disk, before anything else is asked of the node.
func (n *Node) Work(now time.Duration) (w Work, ok bool) {
	if n.rn == nil || !n.rn.HasReady() {
		return w, false
	}
	rd := n.rn.Ready()
	n.ready = &rd
	w.Hard, w.Entries, w.Sync = rd.HardState, rd.Entries, rd.MustSync
	if rd.HardState != nil && raft.IsEmptyHardState(rd.HardState) {
		w.Hard = nil
	}
	if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
		w.Snapshot, w.Sync, w.Reset = rd.Snapshot, true, true
		w.First = rd.Snapshot.Metadata.GetIndex() + 1
	}
	if len(n.newer) > 0 {
		w.Witness, n.newer = n.newer, map[uint64]Promise{}
	}
	return w, true
}

// Saved takes in that the work is on disk. It returns the messages that may go out now, and what has ended.
func (n *Node) Saved(now time.Duration) ([]*raftpb.Message, error) {
	rd := n.ready
	n.ready = nil
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		n.hard = rd.HardState
		if err := n.log.SetHardState(rd.HardState); err != nil {
			return nil, err
		}
	}
	if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
		if err := n.log.ApplySnapshot(rd.Snapshot); err != nil {
			return nil, err
		}
		if err := n.restore(now, rd.Snapshot); err != nil {
			return nil, err
		}
		n.saved = rd.Snapshot.Metadata.GetIndex()
	}
	if err := n.log.Append(rd.Entries); err != nil {
		return nil, err
	}
	if l := len(rd.Entries); l > 0 {
		n.saved = rd.Entries[l-1].GetIndex()
	}
	for _, e := range rd.CommittedEntries {
		if err := n.apply(now, e); err != nil {
			return nil, err
		}
	}
	for _, s := range rd.ReadStates {
		var id uint64
		_, _ = fmt.Sscanf(string(s.RequestCtx), "%d", &id)
		if r := n.reads[id]; r != nil {
			r.index = max(1, s.Index)
		}
	}
	n.answerReads(now)
	n.rn.Advance(*rd)
	if n.rn.BasicStatus().RaftState != raft.StateLeader {
		n.stepDown()
	}
	return rd.Messages, nil
}

// answerReads answers those whose entries are applied.
func (n *Node) answerReads(now time.Duration) {
	if len(n.reads) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(n.reads)) {
		r := n.reads[id]
		if r.index != 0 && r.index <= n.applied {
			at := n.clock.now(now)
			body := n.list(at)
			if r.machine != FleetName {
				body = n.cfg.Machines[r.machine].Query(at, r.body)
			}
			n.done = append(n.done, Done{r.tag, &fleetpb.Answer{Body: body}})
			delete(n.reads, id)
		}
	}
}

// stepDown ends all that waits for a leader's word: it may yet be agreed, and has to be asked of the next.
func (n *Node) stepDown() {
	end := func(tags ...any) {
		for _, tag := range tags {
			n.refuse(tag, fleetpb.Code_NOT_LEADER, "this voter leads no more")
		}
	}
	// In an order of their own: one seed of the emulator has one history.
	for _, s := range slices.Sorted(maps.Keys(n.pending)) {
		for _, seq := range slices.Sorted(maps.Keys(n.pending[s])) {
			end(n.pending[s][seq]...)
		}
	}
	for _, who := range slices.SortedFunc(maps.Keys(n.opens), func(a, b lease.Member) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Boot, b.Boot))
	}) {
		end(n.opens[who]...)
	}
	for _, id := range slices.Sorted(maps.Keys(n.reads)) {
		end(n.reads[id].tag)
	}
	end(n.changes...)
	clear(n.pending)
	clear(n.opens)
	clear(n.reads)
	n.changes = nil
}

// Ended gives all that has ended since the last call.
func (n *Node) Ended() []Done {
	d := n.done
	n.done = nil
	return d
}

// Drop ends all that waits, with a reason: this voter goes on no more. It may be agreed yet.
func (n *Node) Drop(why string) {
	n.stepDown()
	for _, d := range n.done {
		d.Answer.Code, d.Answer.Why = fleetpb.Code_NOT_READY, why
	}
}

// FleetName is the part of the agreed state that every node has itself: who votes, and who has a session. A Read of it
// gives a List.
const FleetName = "fleet"

// List is who belongs to the fleet.
type List struct {
	Fleet   string        `json:"fleet"`
	At      time.Duration `json:"at"` // the fleet's time
	Term    uint64        `json:"term"`
	Leader  string        `json:"leader"`
	Applied uint64        `json:"applied"`
	First   uint64        `json:"first"` // entry still in the log
	Voters  []VoterAt     `json:"voters"`
	Members []Present     `json:"members"`
	// Retired are earlier boots of ids that had a session, as far as they are kept.
	Retired map[string][]uint64 `json:"retired"`
}

// VoterAt is a voter of the agreed list.
type VoterAt struct {
	Name    string `json:"name"`
	Number  string `json:"number"` // of its folder, in hexadecimal
	Address string `json:"address"`
}

func (n *Node) list(at time.Duration) []byte {
	r := n.Role()
	l := List{Fleet: n.fleet, At: at, Term: r.Term, Applied: n.applied, First: n.First(), Members: n.Members(), Retired: n.sessions.retired}
	for _, v := range n.Voters() {
		l.Voters = append(l.Voters, VoterAt{v.Name, fmt.Sprintf("%016x", v.Number), v.Address})
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

// UpToDate tells whether another voter is known to hold all that this leader does, and was heard of lately.
func (n *Node) UpToDate(voter uint64) (yes bool) {
	last, _ := n.log.LastIndex()
	n.rn.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if id == voter {
			yes = pr.RecentActive && pr.Match >= last
		}
	})
	return yes
}
