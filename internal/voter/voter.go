// Package voter runs one voter of the fleet's agreed state: agree's decisions, their folder, and a
// link to the other voters. One goroutine does it all, and waits for its disk; nobody waits for it
// without a deadline.
package voter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"mothcleat/agree"
	"mothcleat/internal/faultpoint"
	"mothcleat/internal/fleetpb"
	"mothcleat/internal/monotonic"
	"mothcleat/store"
)

// Link carries messages to other voters. Its methods are called by the voter's goroutine, and must not block.
type Link interface {
	// Send passes messages of a voter on, or drops them and says so to Voter.Unreachable.
	Send(from, to *fleetpb.Voter, messages []*raftpb.Message)
	// Prove asks another voter what it was promised, and calls back from any goroutine; not at all where
	// there is no answer.
	Prove(to *fleetpb.Voter, p *fleetpb.Position, answer func(*fleetpb.Witness))
}

// Options say how a voter runs.
type Options struct {
	Dir      string
	Address  string                          // where other voters reach it
	Machines func() map[string]agree.Machine // new ones, for each time that the folder is opened
	Tick     time.Duration                   // 0: 40 ms
	Election int                             // ticks; 0: 10
	Keep     uint64                          // entries; see agree.Config
	Log      *slog.Logger
	// News is told of a machine that has changed, with its Query of nil; nil: nobody wants it. It must not block.
	News func(machine string, index uint64, state []byte)
}

// watched is a machine whose changes are told.
type watched interface{ Changes() uint64 }

// Voter is a voter that runs. Its methods may be called concurrently.
type Voter struct {
	opt  Options
	link Link
	id   Identity

	calls chan func()
	ended chan struct{}

	// Of the goroutine alone.
	folder   *Folder
	node     *agree.Node
	proof    *agree.Proof
	machines map[string]agree.Machine
	told     map[string]uint64
	begun    bool
	asked    time.Duration
	kept     uint64 // index of the snapshot that the folder holds
	role     agree.Role
	voters   string
	heard    map[uint64]*fleetpb.Voter // who sent messages, by its own word

	mu     sync.Mutex
	status Status
}

// Status is what a voter tells of itself.
type Status struct {
	Identity
	Role    agree.Role
	Leader  string // its name
	Voters  []*fleetpb.Voter
	Applied uint64
	First   uint64
	Members []agree.Present
	Trouble string // why it takes no part; "": it does
}

const (
	queued       = 1024
	proveEvery   = 250 * time.Millisecond
	reopenAfter  = time.Second
	atOnce       = 256 // calls between two looks at what there is to save
	defaultTick  = 40 * time.Millisecond
	defaultElect = 10
)

// Run opens a voter's folder and has it take part until the context ends; then Done is closed. A folder
// that can't be opened at first is an error; later it is tried again.
func Run(ctx context.Context, opt Options, link Link) (*Voter, error) {
	if opt.Tick == 0 {
		opt.Tick = defaultTick
	}
	if opt.Election == 0 {
		opt.Election = defaultElect
	}
	v := &Voter{opt: opt, link: link, calls: make(chan func(), queued), ended: make(chan struct{})}
	if err := v.open(); err != nil {
		return nil, err
	}
	v.publish()
	go v.run(ctx)
	return v, nil
}

// Done is closed when the voter has ended and its folder is closed.
func (v *Voter) Done() <-chan struct{} { return v.ended }

// Identity says which voter it is.
func (v *Voter) Identity() Identity { return v.id }

// open opens the folder and begins the proof.
func (v *Voter) open() error {
	f, err := Open(v.opt.Dir, store.Options{})
	if err != nil {
		return err
	}
	saved, err := f.Load()
	if err != nil {
		return errors.Join(err, f.Close())
	}
	machines := v.opt.Machines()
	node, err := agree.Open(monotonic.Now(), agree.Config{
		Number: f.id.Number, Machines: machines, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		ElectionTicks: v.opt.Election, HeartbeatTicks: 2, KeepEntries: v.opt.Keep, Log: quiet{v.opt.Log},
	}, saved)
	if err != nil {
		return errors.Join(err, f.Close())
	}
	v.id, v.folder, v.node, v.machines, v.told = f.id, f, node, machines, map[string]uint64{}
	v.kept = saved.Snapshot.Metadata.GetIndex()
	v.begun, v.asked = false, 0
	v.proof = agree.NewProof(node.Position(), len(v.others()))
	if node.Position() == (agree.Position{}) {
		return v.begin(0) // it has never promised anything to anybody
	}
	return nil
}

// others are the voters but this one.
func (v *Voter) others() (all []*fleetpb.Voter) {
	for _, o := range v.node.Voters() {
		if o.Number != v.id.Number {
			all = append(all, o)
		}
	}
	return all
}

// begin has the voter take part.
func (v *Voter) begin(floor uint64) error {
	if err := v.node.Begin(floor); err != nil {
		return err
	}
	v.begun = true
	v.opt.Log.Info("fleet: this voter takes part", "voter", v.id.Name, "term", v.node.Position().Term, "floor", floor, "entry", v.node.Position().Last)
	return nil
}

// run is the voter's goroutine.
func (v *Voter) run(ctx context.Context) {
	defer close(v.ended)
	tick := time.NewTicker(v.opt.Tick)
	defer tick.Stop()
	var again time.Duration
	for {
		select {
		case <-ctx.Done():
			v.end("this process ends")
			return
		case <-tick.C:
			if v.node == nil {
				if monotonic.Now() >= again {
					if err := v.open(); err != nil {
						again = monotonic.Now() + reopenAfter
						v.trouble(err.Error())
					}
				}
			} else if v.begun {
				v.node.Tick(monotonic.Now())
			} else {
				v.prove()
			}
		case f := <-v.calls:
			f()
		}
		for range atOnce {
			select {
			case f := <-v.calls:
				f()
				continue
			default:
			}
			break
		}
		if v.node == nil {
			continue
		}
		if err := v.work(); err != nil {
			// What was not saved was not promised. It begins anew from what its folder holds.
			v.opt.Log.Error("fleet: this voter can't go on, and begins anew from its folder", "voter", v.id.Name, "error", err)
			v.end("its folder fails: " + err.Error())
			again = monotonic.Now() + reopenAfter
		}
		v.publish()
	}
}

// end drops the node and closes the folder.
func (v *Voter) end(why string) {
	if v.node == nil {
		return
	}
	for _, d := range v.node.Ended() {
		d.Tag.(func(*fleetpb.Answer))(d.Answer)
	}
	v.node.Drop(why)
	v.answer()
	_ = v.folder.Close() // all that was promised is synced
	v.node, v.folder, v.begun = nil, nil, false
	v.trouble(why)
}

func (v *Voter) trouble(why string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.status.Trouble, v.status.Role, v.status.Leader = why, agree.Role{}, ""
}

// prove asks the others what they know, until enough have said so.
func (v *Voter) prove() {
	good, floor, old := v.proof.Verdict()
	switch {
	case old != "":
		if v.status.Trouble == "" || v.asked >= 0 {
			v.asked = -1
			v.opt.Log.Error("fleet: this voter's folder must not vote: "+old+"; have another voter remove it (mothcleat fleet voters remove "+v.id.Name+
				"), empty the folder, make it anew with mothcleat fleet join, and add it again", "voter", v.id.Name, "folder", v.opt.Dir)
			v.trouble(old)
		}
		return
	case good:
		if err := v.begin(floor); err != nil {
			v.opt.Log.Error("fleet: this voter can't begin", "error", err)
			v.end(err.Error())
		}
		return
	}
	now := monotonic.Now()
	if v.asked != 0 && now-v.asked < proveEvery {
		return
	}
	v.asked = now
	p := v.node.Position()
	node := v.node
	for _, o := range v.others() {
		v.link.Prove(o, &fleetpb.Position{Fleet: v.id.Fleet, Voter: v.id.Number, Term: p.Term, Last: p.Last}, func(w *fleetpb.Witness) {
			v.post(func() {
				if v.node == node && !v.begun {
					v.proof.Hear(w.From, agree.Word{Term: w.Term, Leader: w.Leader, Promised: agree.Promise{Term: w.Promised, Index: w.Index}, Stranger: w.Stranger})
				}
			})
		})
	}
}

// work saves, sends and answers until nothing is left to do.
func (v *Voter) work() error {
	for {
		w, ok := v.node.Work(monotonic.Now())
		if !ok {
			break
		}
		if len(w.Entries) > 0 {
			faultpoint.At("voter-before-sync")
		}
		if err := v.folder.Save(w); err != nil {
			return err
		}
		if len(w.Entries) > 0 {
			faultpoint.At("voter-after-sync")
		}
		if w.Snapshot != nil {
			v.kept = w.Snapshot.Metadata.GetIndex()
		}
		messages, err := v.node.Saved(monotonic.Now())
		if err != nil {
			return err
		}
		v.send(messages)
	}
	if w, ok := v.node.Compacted(v.kept); ok {
		if err := v.folder.Save(w); err != nil {
			return err
		}
		v.kept = w.Snapshot.Metadata.GetIndex()
	}
	v.answer()
	return nil
}

func (v *Voter) send(messages []*raftpb.Message) {
	if len(messages) == 0 {
		return
	}
	by := map[uint64][]*raftpb.Message{}
	for _, m := range messages {
		by[m.GetTo()] = append(by[m.GetTo()], m)
	}
	from := &fleetpb.Voter{Number: v.id.Number, Name: v.id.Name, Address: v.opt.Address}
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

func (v *Voter) answer() {
	for _, d := range v.node.Ended() {
		d.Tag.(func(*fleetpb.Answer))(d.Answer)
	}
	if v.opt.News == nil {
		return
	}
	for name, m := range v.machines {
		if w, ok := m.(watched); ok && w.Changes() != v.told[name] {
			v.told[name] = w.Changes()
			v.opt.News(name, v.node.Applied(), m.Query(0, nil))
		}
	}
}

// publish tells what the voter is, and logs what has changed of it.
func (v *Voter) publish() {
	if v.node == nil {
		return
	}
	role := v.node.Role()
	names := map[uint64]string{}
	list := ""
	voters := v.node.Voters()
	for _, o := range voters {
		names[o.Number] = o.Name
		list += " " + o.Name
	}
	if role != v.role {
		v.opt.Log.Info("fleet: leader", "voter", v.id.Name, "term", role.Term, "leader", names[role.Leader], "leads", role.Leads)
		v.role = role
	}
	if list != v.voters {
		v.opt.Log.Info("fleet: voters", "voter", v.id.Name, "voters", list, "term", role.Term, "entry", v.node.Applied())
		v.voters = list
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	trouble := ""
	if !v.begun {
		trouble = v.status.Trouble
		if trouble == "" {
			trouble = "it waits for other voters to say what it has promised them"
		}
	}
	v.status = Status{v.id, role, names[role.Leader], voters, v.node.Applied(), v.node.First(), v.node.Members(), trouble}
}

// Status tells what the voter is.
func (v *Voter) Status() Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.status
}

// post has something done by the goroutine; it returns false if too much waits there.
func (v *Voter) post(f func()) bool {
	select {
	case v.calls <- f:
		return true
	default:
		return false
	}
}

// call has a question answered by the goroutine, within the context's time.
func (v *Voter) call(ctx context.Context, do func(end func(*fleetpb.Answer))) *fleetpb.Answer {
	answer := make(chan *fleetpb.Answer, 1)
	end := func(a *fleetpb.Answer) {
		select {
		case answer <- a:
		default:
		}
	}
	if !v.post(func() {
		if v.node == nil || !v.begun {
			end(&fleetpb.Answer{Code: fleetpb.Code_NOT_READY, Why: "this voter takes no part now"})
			return
		}
		do(end)
	}) {
		return &fleetpb.Answer{Code: fleetpb.Code_NOT_READY, Why: "this voter has too much to do"}
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return &fleetpb.Answer{Code: fleetpb.Code_NOT_READY, Why: "no answer in time: it may be agreed yet"}
	case <-v.ended:
		return &fleetpb.Answer{Code: fleetpb.Code_NOT_READY, Why: "this voter has ended: it may be agreed yet"}
	}
}

// Do proposes a command. An answer NOT_READY or NOT_LEADER does not mean that it will not be agreed.
func (v *Voter) Do(ctx context.Context, c *fleetpb.Command) *fleetpb.Answer {
	return v.call(ctx, func(end func(*fleetpb.Answer)) { v.node.Submit(monotonic.Now(), c, end) })
}

// Ask reads what a machine has, after all that was answered before.
func (v *Voter) Ask(ctx context.Context, q *fleetpb.Query) *fleetpb.Answer {
	return v.call(ctx, func(end func(*fleetpb.Answer)) { v.node.Read(q.Machine, q.Body, end) })
}

// Alter proposes one voter more or less.
func (v *Voter) Alter(ctx context.Context, c *fleetpb.Change) *fleetpb.Answer {
	return v.call(ctx, func(end func(*fleetpb.Answer)) { v.node.Alter(c.Add, c.Voter, end) })
}

// Snapshot has the voter write its state down whole and drop old entries.
func (v *Voter) Snapshot(ctx context.Context) error {
	a := v.call(ctx, func(end func(*fleetpb.Answer)) {
		a := &fleetpb.Answer{}
		if err := v.node.Compact(); err != nil {
			a.Code, a.Why = fleetpb.Code_REFUSED, err.Error()
		}
		end(a)
	})
	if a.Code != fleetpb.Code_OK {
		return errors.New(a.Why)
	}
	return nil
}

// Step takes in messages of another voter. What finds no room is dropped: it is sent again.
func (v *Voter) Step(from *fleetpb.Voter, messages []*raftpb.Message) {
	v.post(func() {
		if v.node == nil || !v.begun {
			return
		}
		if v.heard == nil || len(v.heard) > 64 {
			v.heard = map[uint64]*fleetpb.Voter{}
		}
		v.heard[from.Number] = from
		for _, m := range messages {
			v.node.Step(m)
		}
	})
}

// Unreachable takes in that messages to a voter were dropped; SnapshotSent whether a snapshot went out.
func (v *Voter) Unreachable(number uint64) {
	v.post(func() {
		if v.begun {
			v.node.Unreachable(number)
		}
	})
}

// SnapshotSent takes in whether a snapshot was passed on.
func (v *Voter) SnapshotSent(number uint64, ok bool) {
	v.post(func() {
		if v.begun {
			v.node.SnapshotSent(number, ok)
		}
	})
}

// Witness says what this voter was promised by another; nil where it can't say now. It answers also while
// it does not take part itself.
func (v *Voter) Witness(ctx context.Context, p *fleetpb.Position) *fleetpb.Witness {
	answer := make(chan *fleetpb.Witness, 1)
	v.post(func() {
		if v.node == nil || v.asked == -1 {
			return
		}
		w := v.node.Know(p.Voter)
		answer <- &fleetpb.Witness{From: v.id.Number, Term: w.Term, Leader: w.Leader, Promised: w.Promised.Term, Index: w.Promised.Index, Stranger: w.Stranger}
	})
	select {
	case w := <-answer:
		return w
	case <-ctx.Done():
		return nil
	}
}

// quiet has the library's warnings logged, and its chatter dropped.
type quiet struct{ log *slog.Logger }

func (q quiet) Debug(...any)          {}
func (q quiet) Debugf(string, ...any) {}
func (q quiet) Info(...any)           {}
func (q quiet) Infof(string, ...any)  {}

func (q quiet) Warning(v ...any)                 { q.log.Debug("fleet: log", "warning", fmt.Sprint(v...)) }
func (q quiet) Warningf(format string, v ...any) { q.Warning(fmt.Sprintf(format, v...)) }
func (q quiet) Error(v ...any)                   { q.log.Warn("fleet: log", "error", fmt.Sprint(v...)) }
func (q quiet) Errorf(format string, v ...any)   { q.Error(fmt.Sprintf(format, v...)) }
func (q quiet) Fatal(v ...any)                   { panic(fmt.Sprint(v...)) }
func (q quiet) Fatalf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
func (q quiet) Panic(v ...any)                   { panic(fmt.Sprint(v...)) }
func (q quiet) Panicf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }

var _ raft.Logger = quiet{}

// Resign has another voter lead, where this one does and another is up to date.
func (v *Voter) Resign() {
	v.post(func() {
		if v.node == nil || !v.begun || !v.node.Role().Leads {
			return
		}
		for _, o := range v.others() {
			if v.node.UpToDate(o.Number) {
				v.node.TransferLeader(o.Number)
				return
			}
		}
	})
}
