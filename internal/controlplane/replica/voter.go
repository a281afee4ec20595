// Package replica runs one voting replica of the agreed state: package agree's decisions, the folder that
// they are saved in, and a link to the other voters. One goroutine does all of it and waits for the disk.
// Its callers wait no longer than their contexts last.
package replica

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/failpoint"
	"mothcleat/internal/monotonic"
	"mothcleat/internal/storage/store"
)

// Transport carries messages to other voters. Its methods are called by the voter's goroutine, and must not block.
type Transport interface {
	// Send passes messages of a voter on, or drops them and says so to Voter.Unreachable.
	Send(from, to *controlpb.Voter, messages []*raftpb.Message)
	// Verify asks another voter what it was promised, and calls back from any goroutine; not at all where
	// there is no answer.
	Verify(to *controlpb.Voter, p *controlpb.Position, answer func(*controlpb.VerificationReply))
}

// Options configure a voter.
type Options struct {
	Dir              string
	Address          string                                   // where other voters reach it
	NewStateMachines func() map[string]consensus.StateMachine // new ones, for each time that the folder is opened
	TickInterval     time.Duration                            // 0: 40 ms
	ElectionTicks    int                                      // ticks; 0: 10
	KeepEntries      uint64                                   // entries; see agree.Config
	Log              *slog.Logger
	// OnChange is told of a machine that has changed, with its Query of nil; nil: nobody wants it. It must not block. Only
	// machines that count their changes are told: those that processes watch as a whole, and which are small.
	OnChange func(machine string, index uint64, state []byte)
}

// watched is a machine whose changes are told. A machine that holds something for each process must not be one: its whole
// state would be written out at each change.
type watched interface{ Changes() uint64 }

// Replica is a voter that runs. Its methods may be called concurrently.
type Replica struct {
	opt  Options
	link Transport
	id   Identity

	calls chan func()
	ended chan struct{}

	// Of the goroutine alone.
	folder   *Storage
	node     *consensus.Node
	proof    *consensus.Verification
	machines map[string]consensus.StateMachine
	told     map[string]uint64
	begun    bool
	asked    time.Duration // when proof was last asked for; 0: never
	reopenAt time.Duration // after the folder has failed
	kept     uint64        // index of the snapshot that the folder holds
	role     consensus.Leadership
	voters   string
	heard    map[uint64]*controlpb.Voter // who sent messages, by its own word

	mu     sync.Mutex
	status Status
}

const (
	maxQueuedCalls       = 1024
	maxCallsPerRound     = 256 // between two looks at what there is to save
	maxHeard             = 64  // senders of messages that are remembered
	proofInterval        = 250 * time.Millisecond
	reopenDelay          = time.Second
	defaultTick          = 40 * time.Millisecond
	defaultElectionTicks = 10
)

// folderRefused in Voter.asked means that the folder must not be used to vote.
const folderRefused = time.Duration(-1)

// Run opens a voter's folder and has it take part until the context ends; then Done is closed. A folder
// that can't be opened at first is an error; later it is tried again.
func Run(ctx context.Context, opt Options, link Transport) (*Replica, error) {
	if opt.TickInterval == 0 {
		opt.TickInterval = defaultTick
	}
	if opt.ElectionTicks == 0 {
		opt.ElectionTicks = defaultElectionTicks
	}
	v := &Replica{opt: opt, link: link, calls: make(chan func(), maxQueuedCalls), ended: make(chan struct{})}
	if err := v.open(); err != nil {
		return nil, err
	}
	v.publish()
	go v.run(ctx)
	return v, nil
}

// Done is closed when the voter has ended and its folder is closed.
func (v *Replica) Done() <-chan struct{} { return v.ended }

// Identity returns which voter it is.
func (v *Replica) Identity() Identity { return v.id }

// open opens the folder and begins the proof.
func (v *Replica) open() error {
	f, err := OpenStorage(v.opt.Dir, store.Options{})
	if err != nil {
		return err
	}
	saved, err := f.Load()
	if err != nil {
		return errors.Join(err, f.Close())
	}
	machines := v.opt.NewStateMachines()
	node, err := consensus.Open(monotonic.Now(), consensus.Config{
		Number: f.id.Number, StateMachines: machines, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		ElectionTicks: v.opt.ElectionTicks, HeartbeatTicks: 2, KeepEntries: v.opt.KeepEntries, Logger: raftLogger{v.opt.Log},
	}, saved)
	if err != nil {
		return errors.Join(err, f.Close())
	}
	v.id, v.folder, v.node, v.machines, v.told = f.id, f, node, machines, map[string]uint64{}
	v.kept = saved.Snapshot.Metadata.GetIndex()
	v.begun, v.asked = false, 0
	v.proof = consensus.NewVerification(node.Position(), len(v.others()))
	if node.Position() == (consensus.Position{}) {
		return v.begin(0) // it has never promised anything to anybody
	}
	return nil
}

// others returns the voters but this one.
func (v *Replica) others() (all []*controlpb.Voter) {
	for _, o := range v.node.Voters() {
		if o.Number != v.id.Number {
			all = append(all, o)
		}
	}
	return all
}

// begin has the voter take part.
func (v *Replica) begin(floor uint64) error {
	if err := v.node.Start(floor); err != nil {
		return err
	}
	v.begun = true
	v.opt.Log.Info("fleet: this voter takes part", "voter", v.id.Name, "term", v.node.Position().Term, "floor", floor, "entry", v.node.Position().LastIndex)
	return nil
}

// run is the voter's goroutine.
func (v *Replica) run(ctx context.Context) {
	defer close(v.ended)
	tick := time.NewTicker(v.opt.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			v.end("this process ends")
			return
		case <-tick.C:
			v.tick()
		case f := <-v.calls:
			f()
		}
		v.runQueuedCalls()
		if v.node == nil {
			continue
		}
		if err := v.work(); err != nil {
			// What was not saved was not promised. It begins anew from what its folder holds.
			v.opt.Log.Error("fleet: this voter can't go on, and begins anew from its folder", "voter", v.id.Name, "error", err)
			v.end("its folder fails: " + err.Error())
			v.reopenAt = monotonic.Now() + reopenDelay
		}
		v.publish()
	}
}

// tick does what is due at each tick of the clock.
func (v *Replica) tick() {
	switch {
	case v.node == nil:
		v.reopen()
	case v.begun:
		v.node.Tick(monotonic.Now())
	default:
		v.prove()
	}
}

// reopen opens the folder again after it has failed, when that is due.
func (v *Replica) reopen() {
	if monotonic.Now() < v.reopenAt {
		return
	}
	if err := v.open(); err != nil {
		v.reopenAt = monotonic.Now() + reopenDelay
		v.trouble(err.Error())
	}
}

// runQueuedCalls runs the calls that wait, up to a limit, so that one sync serves many of them.
func (v *Replica) runQueuedCalls() {
	for range maxCallsPerRound {
		select {
		case f := <-v.calls:
			f()
		default:
			return
		}
	}
}

// end drops the node and closes the folder.
func (v *Replica) end(why string) {
	if v.node == nil {
		return
	}
	for _, d := range v.node.Completions() {
		d.Tag.(func(*controlpb.Answer))(d.Answer)
	}
	v.node.FailPending(why)
	v.answer()
	_ = v.folder.Close() // all that was promised is synced
	v.node, v.folder, v.begun = nil, nil, false
	v.trouble(why)
}

// work saves, sends and answers until nothing is left to do.
func (v *Replica) work() error {
	for {
		w, ok := v.node.Ready(monotonic.Now())
		if !ok {
			break
		}
		if len(w.Entries) > 0 {
			failpoint.At("voter-before-sync")
		}
		if err := v.folder.Save(w); err != nil {
			return err
		}
		if len(w.Entries) > 0 {
			failpoint.At("voter-after-sync")
		}
		if w.Snapshot != nil {
			v.kept = w.Snapshot.Metadata.GetIndex()
		}
		messages, err := v.node.Advance(monotonic.Now())
		if err != nil {
			return err
		}
		v.send(messages)
	}
	if w, ok := v.node.SnapshotSince(v.kept); ok {
		if err := v.folder.Save(w); err != nil {
			return err
		}
		v.kept = w.Snapshot.Metadata.GetIndex()
	}
	v.answer()
	return nil
}

// send passes messages to the link, all for one voter at once.
func (v *Replica) send(messages []*raftpb.Message) {
	if len(messages) == 0 {
		return
	}
	by := map[uint64][]*raftpb.Message{}
	for _, m := range messages {
		by[m.GetTo()] = append(by[m.GetTo()], m)
	}
	from := &controlpb.Voter{Number: v.id.Number, Name: v.id.Name, Address: v.opt.Address}
	for _, o := range v.node.Voters() {
		if out := by[o.Number]; out != nil {
			v.link.Send(from, o, out)
			delete(by, o.Number)
		}
	}
	// One that joins has no list yet, and answers whom it hears.
	for number, out := range by {
		if o := v.heard[number]; o != nil {
			v.link.Send(from, o, out)
		}
	}
}

// answer ends the requests that the node has ended, and tells of machines that have changed.
func (v *Replica) answer() {
	for _, d := range v.node.Completions() {
		d.Tag.(func(*controlpb.Answer))(d.Answer)
	}
	if v.opt.OnChange == nil {
		return
	}
	for name, m := range v.machines {
		if w, ok := m.(watched); ok && w.Changes() != v.told[name] {
			v.told[name] = w.Changes()
			v.opt.OnChange(name, v.node.AppliedIndex(), m.Query(0, nil))
		}
	}
}
