// Package replica runs one voting replica of the replicated state: it connects the decisions of
// package consensus with the storage that holds them and a transport to the other voters. All of
// this runs on one goroutine, which also waits for the disk. Callers wait no longer than their
// contexts last.
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
	// Verify queries another voter for the promises that were made to it. It calls answer from any
	// goroutine, or not at all if there is no answer.
	Verify(
		to *controlpb.Voter, position *controlpb.Position,
		answer func(*controlpb.VerificationReply),
	)
}

// Options configures a replica.
type Options struct {
	Dir     string // directory of the storage
	Address string // where other voters reach this one
	// NewStateMachines returns new state machines, by name, each time that the storage is opened.
	NewStateMachines func() map[string]consensus.StateMachine
	TickInterval     time.Duration // 0: 40 ms
	ElectionTicks    int           // 0: 10; see consensus.Config
	KeepEntries      uint64        // see consensus.Config
	Log              *slog.Logger
	// OnChange is called with the name and the state of a state machine that has changed, and the
	// index of the last entry applied to the state. It must not block. It is called only for state
	// machines that count their changes (see changeCounter). It may be nil.
	OnChange func(machine string, index uint64, state []byte)
}

// changeCounter is a state machine whose changes are reported together with its complete state. A
// state machine with data for each process must not implement it, because its state is too large.
type changeCounter interface{ Changes() uint64 }

// Replica is a running voter. Its methods are safe for concurrent use.
type Replica struct {
	options   Options
	transport Transport
	identity  Identity

	calls chan func()   // for the goroutine
	done  chan struct{} // closed when the goroutine has ended

	// The fields from here to mu are used only by the goroutine.
	storage         *Storage
	node            *consensus.Node // nil after a fault, until the storage is opened again
	stateMachines   map[string]consensus.StateMachine
	notifiedChanges map[string]uint64 // by state machine: its count of changes when last reported

	verification      *consensus.Verification
	verifyRequestedAt time.Duration // 0: never
	rejected          bool          // the storage must not be used to vote
	started           bool          // the node was started and takes part

	reopenAt            time.Duration // earliest time to reopen the storage after a fault
	storedSnapshotIndex uint64
	loggedLeadership    consensus.Leadership
	loggedVoters        string
	knownSenders        map[uint64]*controlpb.Voter // by number, as their messages describe them

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

// Run opens a replica's storage and runs the replica until the context ends; then the channel of
// Done is closed. Run returns an error if the storage can't be opened. After a later fault, the
// replica reopens its storage.
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

// Identity returns the voter's identity.
func (r *Replica) Identity() Identity { return r.identity }

// open opens the storage and starts the verification.
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
		return r.start(0) // a voter with an empty log has made no promises
	}
	return nil
}

// otherVoters returns all voters except this one.
func (r *Replica) otherVoters() (others []*controlpb.Voter) {
	for _, v := range r.node.Voters() {
		if v.Number != r.identity.Number {
			others = append(others, v)
		}
	}
	return others
}

// start makes the node take part. The node does not vote for another voter in minTerm or an earlier
// term.
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
			// Nothing was promised that is not stored, so the replica can restart from its storage.
			r.options.Log.Error("fleet: this voter has failed and restarts from its folder",
				"voter", r.identity.Name, "error", err)
			r.stop("its folder fails: " + err.Error())
			r.reopenAt = monotonic.Now() + reopenDelay
		}
		r.publish()
	}
}

// tick reopens the storage, ticks the node or continues the verification, as the state requires.
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

// reopen opens the storage again after a fault, once reopenAt has passed.
func (r *Replica) reopen() {
	if monotonic.Now() < r.reopenAt {
		return
	}
	if err := r.open(); err != nil {
		r.reopenAt = monotonic.Now() + reopenDelay
		r.setFault(err.Error())
	}
}

// runQueuedCalls runs up to maxCallsPerRound of the queued calls, so that one sync serves many of
// them.
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

// stop drops the node and closes the storage. Pending requests are answered with the reason.
func (r *Replica) stop(reason string) {
	if r.node == nil {
		return
	}
	for _, completion := range r.node.Completions() {
		completion.Tag.(replyFunc)(completion.Answer)
	}
	r.node.FailPending(reason)
	r.deliverCompletions()
	_ = r.storage.Close() // all promises are on disk already
	r.node = nil
	r.storage = nil
	r.started = false
	r.setFault(reason)
}

// processReady stores what the node has ready and sends its messages until nothing is left, stores
// a new snapshot if there is one, and answers the completed requests.
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

// send passes messages to the transport, grouped by voter.
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
	// A joining voter has no list of voters yet, so it replies to the senders of the messages that
	// it received.
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
