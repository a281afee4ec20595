// Package replica runs one voting replica of the replicated state: the decisions of package
// consensus, the storage that they are saved in, and a transport to the other voters. One goroutine
// does all of it and waits for the disk. Callers wait no longer than their contexts last.
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

// Transport carries messages to other voters. Its methods are called by the replica's goroutine and
// must not block.
type Transport interface {
	// Send sends messages to a voter, or drops them and reports so to Replica.ReportUnreachable.
	Send(from, to *controlpb.Voter, messages []*raftpb.Message)
	// Verify asks another voter what it was promised. It calls answer from any goroutine, and not
	// at all if there is no answer.
	Verify(
		to *controlpb.Voter, position *controlpb.Position,
		answer func(*controlpb.VerificationReply),
	)
}

// Options configure a replica.
type Options struct {
	Dir     string // of the storage
	Address string // where other voters reach it
	// NewStateMachines returns new state machines, by name, each time that the storage is opened.
	NewStateMachines func() map[string]consensus.StateMachine
	TickInterval     time.Duration // 0: 40 ms
	ElectionTicks    int           // 0: 10; see consensus.Config
	KeepEntries      uint64        // see consensus.Config
	Log              *slog.Logger
	// OnChange is called with the name and the state of a state machine that has changed, and the
	// index of the entry up to which the state is applied; nil: never. It must not block. It is
	// called only for state machines that count their changes (see changeCounter).
	OnChange func(machine string, index uint64, state []byte)
}

// changeCounter is a state machine whose changes are reported, with its whole state. A state
// machine that holds something for each process must not be one: its state is too large.
type changeCounter interface{ Changes() uint64 }

// Replica is a voter that runs. Its methods are safe for concurrent use.
type Replica struct {
	options   Options
	transport Transport
	identity  Identity

	calls chan func()   // for the goroutine
	done  chan struct{} // closed when the goroutine has ended

	// The fields below are the goroutine's alone.
	storage         *Storage
	node            *consensus.Node // nil after a fault, until the storage is opened again
	stateMachines   map[string]consensus.StateMachine
	notifiedChanges map[string]uint64 // by state machine: its changes as last reported

	verification      *consensus.Verification
	verifyRequestedAt time.Duration // 0: never
	rejected          bool          // the storage must not be used to vote
	started           bool          // the node takes part

	reopenAt            time.Duration // after a fault of the storage
	storedSnapshotIndex uint64
	loggedLeadership    consensus.Leadership
	loggedVoters        string
	knownSenders        map[uint64]*controlpb.Voter // as their messages describe them

	mu     sync.Mutex
	status Status
}

const (
	maxQueuedCalls       = 1024
	maxCallsPerRound     = 256 // between two writes to the storage
	maxKnownSenders      = 64
	verifyInterval       = 250 * time.Millisecond
	reopenDelay          = time.Second
	defaultTickInterval  = 40 * time.Millisecond
	defaultElectionTicks = 10
	heartbeatTicks       = 2
)

// Run opens a replica's storage and has the replica take part until the context ends; then Done is
// closed. If the storage can't be opened at first, Run returns an error; later it is opened again
// after each fault.
func Run(ctx context.Context, options Options, transport Transport) (*Replica, error) {
	if options.TickInterval == 0 {
		options.TickInterval = defaultTickInterval
	}
	if options.ElectionTicks == 0 {
		options.ElectionTicks = defaultElectionTicks
	}
	r := &Replica{
		options:   options,
		transport: transport,
		calls:     make(chan func(), maxQueuedCalls),
		done:      make(chan struct{}),
	}
	if err := r.open(); err != nil {
		return nil, err
	}
	r.publish()
	go r.run(ctx)
	return r, nil
}

// Done returns a channel that is closed when the replica has ended and its storage is closed.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Identity returns which voter the replica is.
func (r *Replica) Identity() Identity { return r.identity }

// open opens the storage and begins the verification.
func (r *Replica) open() error {
	storage, err := OpenStorage(r.options.Dir, store.Options{})
	if err != nil {
		return err
	}
	stored, err := storage.Load()
	if err != nil {
		return errors.Join(err, storage.Close())
	}
	stateMachines := r.options.NewStateMachines()
	node, err := consensus.Open(monotonic.Now(), consensus.Config{
		Number:         storage.identity.Number,
		StateMachines:  stateMachines,
		Random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		ElectionTicks:  r.options.ElectionTicks,
		HeartbeatTicks: heartbeatTicks,
		KeepEntries:    r.options.KeepEntries,
		Logger:         raftLogger{r.options.Log},
	}, stored)
	if err != nil {
		return errors.Join(err, storage.Close())
	}
	r.identity = storage.identity
	r.storage = storage
	r.storedSnapshotIndex = stored.Snapshot.Metadata.GetIndex()
	r.node = node
	r.stateMachines = stateMachines
	r.notifiedChanges = map[string]uint64{}
	r.started = false
	r.rejected = false
	r.verifyRequestedAt = 0
	r.verification = consensus.NewVerification(node.Position(), len(r.otherVoters()))
	if node.Position() == (consensus.Position{}) {
		return r.start(0) // an empty log has never promised anything to anybody
	}
	return nil
}

// otherVoters returns the voters but this one.
func (r *Replica) otherVoters() (others []*controlpb.Voter) {
	for _, v := range r.node.Voters() {
		if v.Number != r.identity.Number {
			others = append(others, v)
		}
	}
	return others
}

// start has the node take part. It does not vote in minTerm or an earlier term.
func (r *Replica) start(minTerm uint64) error {
	if err := r.node.Start(minTerm); err != nil {
		return err
	}
	r.started = true
	position := r.node.Position()
	r.options.Log.Info("fleet: this voter takes part", "voter", r.identity.Name,
		"term", position.Term, "min_term", minTerm, "entry", position.LastIndex)
	return nil
}

// run is the replica's goroutine.
func (r *Replica) run(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(r.options.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.stop("this process ends")
			return
		case <-ticker.C:
			r.tick()
		case call := <-r.calls:
			call()
		}
		r.runQueuedCalls()
		if r.node == nil {
			continue
		}
		if err := r.processReady(); err != nil {
			// What was not stored was not promised: the replica begins again from its storage.
			r.options.Log.Error("fleet: this voter can't go on, and begins again from its folder",
				"voter", r.identity.Name, "error", err)
			r.stop("its folder fails: " + err.Error())
			r.reopenAt = monotonic.Now() + reopenDelay
		}
		r.publish()
	}
}

// tick does what is due at each tick of the clock.
func (r *Replica) tick() {
	switch {
	case r.node == nil:
		r.reopen()
	case r.started:
		r.node.Tick(monotonic.Now())
	default:
		r.verify()
	}
}

// reopen opens the storage again after a fault, when that is due.
func (r *Replica) reopen() {
	if monotonic.Now() < r.reopenAt {
		return
	}
	if err := r.open(); err != nil {
		r.reopenAt = monotonic.Now() + reopenDelay
		r.setFault(err.Error())
	}
}

// runQueuedCalls runs the calls that wait, up to a limit, so that one sync serves many of them.
func (r *Replica) runQueuedCalls() {
	for range maxCallsPerRound {
		select {
		case call := <-r.calls:
			call()
		default:
			return
		}
	}
}

// stop drops the node and closes the storage. The requests that wait get the reason.
func (r *Replica) stop(reason string) {
	if r.node == nil {
		return
	}
	for _, completion := range r.node.Completions() {
		completion.Tag.(replyFunc)(completion.Answer)
	}
	r.node.FailPending(reason)
	r.deliverCompletions()
	_ = r.storage.Close() // everything that was promised is synced
	r.node = nil
	r.storage = nil
	r.started = false
	r.setFault(reason)
}

// processReady stores, sends and answers until nothing is left to do.
func (r *Replica) processReady() error {
	for {
		ready, ok := r.node.Ready(monotonic.Now())
		if !ok {
			break
		}
		if len(ready.Entries) > 0 {
			failpoint.At("voter-before-sync")
		}
		if err := r.storage.Save(ready); err != nil {
			return err
		}
		if len(ready.Entries) > 0 {
			failpoint.At("voter-after-sync")
		}
		if ready.Snapshot != nil {
			r.storedSnapshotIndex = ready.Snapshot.Metadata.GetIndex()
		}
		messages, err := r.node.Advance(monotonic.Now())
		if err != nil {
			return err
		}
		r.send(messages)
	}
	if snapshot, ok := r.node.SnapshotSince(r.storedSnapshotIndex); ok {
		if err := r.storage.Save(snapshot); err != nil {
			return err
		}
		r.storedSnapshotIndex = snapshot.Snapshot.Metadata.GetIndex()
	}
	r.deliverCompletions()
	return nil
}

// send passes messages to the transport, all those for one voter at once.
func (r *Replica) send(messages []*raftpb.Message) {
	if len(messages) == 0 {
		return
	}
	byVoter := map[uint64][]*raftpb.Message{}
	for _, m := range messages {
		byVoter[m.GetTo()] = append(byVoter[m.GetTo()], m)
	}
	from := &controlpb.Voter{
		Number:  r.identity.Number,
		Name:    r.identity.Name,
		Address: r.options.Address,
	}
	for _, to := range r.node.Voters() {
		if toSend := byVoter[to.Number]; toSend != nil {
			r.transport.Send(from, to, toSend)
			delete(byVoter, to.Number)
		}
	}
	// A voter that joins has no list of voters yet: it answers the senders that it knows.
	for number, toSend := range byVoter {
		if to := r.knownSenders[number]; to != nil {
			r.transport.Send(from, to, toSend)
		}
	}
}

// deliverCompletions answers the requests that the node has completed, and reports the state
// machines that have changed.
func (r *Replica) deliverCompletions() {
	for _, completion := range r.node.Completions() {
		completion.Tag.(replyFunc)(completion.Answer)
	}
	if r.options.OnChange == nil {
		return
	}
	for name, machine := range r.stateMachines {
		counter, ok := machine.(changeCounter)
		if !ok || counter.Changes() == r.notifiedChanges[name] {
			continue
		}
		r.notifiedChanges[name] = counter.Changes()
		r.options.OnChange(name, r.node.AppliedIndex(), machine.Query(0, nil))
	}
}
