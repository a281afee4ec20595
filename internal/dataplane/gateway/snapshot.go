package gateway

import (
	"context"
	"errors"
	"io/fs"
	"net"
	"time"

	"mothcleat/internal/dataplane/policy"
)

// SnapshotStore keeps the module's state for the next process. It may be called from
// several goroutines.
type SnapshotStore interface {
	// Load gives the state stored last; fs.ErrNotExist if there is none.
	Load() (policy.Snapshot, error)
	// Store replaces it. Durable: it must survive a power cut, too.
	Store(s policy.Snapshot, durable bool) error
}

// Restart is how a gateway outlives its process. The zero value is off.
type Restart struct {
	Store            SnapshotStore
	SnapshotInterval time.Duration // between two states
	MaxSnapshotAge   time.Duration // that a state may be to be taken in

	// Listen and ListenPacket make the sockets, or take those of the process
	// before; nil: new ones.
	Listen       func(address string) (net.Listener, error)
	ListenPacket func(address string) (net.PacketConn, error)
	// Successor tells that a process before this one still serves. It stops
	// when Ready is called, and then stores its last state.
	Successor       bool
	StopPredecessor func() error // nil: nobody waits for it

	// RendezvousPath is where a process finds the one before it, and is found by the one after; "":
	// it looks for none. docs/daily.md tells more.
	RendezvousPath string
}

// lastStateWithin is how long a successor waits for the last state of the process
// before; clients wait in the listener's backlog meanwhile.
const (
	lastSnapshotTimeout      = 2 * time.Second
	lastSnapshotPollInterval = 5 * time.Millisecond
)

// snapshotter is the loop's part of it.
type snapshotter struct {
	Restart
	interval policy.Time
	pending  chan policy.Snapshot // the newest, for the writer
	failing  bool                 // the last state could not be kept
	stopped  bool                 // nothing is kept any more
}

func newSnapshotter(s Restart) snapshotter {
	return snapshotter{Restart: s, interval: max(50_000, s.SnapshotInterval.Microseconds()), pending: make(chan policy.Snapshot, 1)}
}

// restore takes in the state of the process before. What can't be used is told,
// and the start is cold.
func (l *Loop) restore() {
	s, err := l.snapshots.Store.Load()
	if err == nil {
		if err = l.balancer.Restore(l.now(), l.snapshots.MaxSnapshotAge.Microseconds(), &s); err == nil {
			l.log.Info("state taken in", "age_ms", (l.now()-s.At)/1000, "customers", len(s.Customers),
				"backends", len(s.Backends), "orderly", s.Last)
			return
		}
	}
	if errors.Is(err, fs.ErrNotExist) {
		l.log.Info("no state: starting cold")
		return
	}
	l.log.Warn("state refused: starting cold", "error", err)
}

// startSnapshots begins to keep states.
func (l *Loop) startSnapshots(ctx context.Context) {
	if l.snapshots.Store == nil {
		return
	}
	go l.snapshots.storePending(ctx, l)
	if !l.snapshots.Successor {
		l.beginSnapshots()
	}
}

// beginSnapshots keeps a state at once, before the first request, and others from then
// on: whenever the process ends, there is one.
func (l *Loop) beginSnapshots() {
	l.storeSnapshot()
	l.schedule(l.now()+l.snapshots.interval, snapshotTimer{})
}

func (l *Loop) storeSnapshot() {
	s := l.balancer.TakeSnapshot(l.now(), false)
	snapshotStored{l.snapshots.Store.Store(s, false), s.At}.handle(l)
}

// snapshotTimer has the state kept now and then.
type snapshotTimer struct{}

func (snapshotTimer) due(l *Loop) {
	v := &l.snapshots
	if v.stopped {
		return
	}
	select {
	case <-v.pending: // the writer has not come to it: it is of no use any more
	default:
	}
	v.pending <- l.balancer.TakeSnapshot(l.now(), false)
	l.schedule(l.now()+v.interval, snapshotTimer{})
}

// storePending writes states beside the loop.
func (v *snapshotter) storePending(ctx context.Context, l *Loop) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-v.pending:
			err := v.Store.Store(s, false)
			select {
			case l.events <- snapshotStored{err, s.At}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// snapshotStored tells how the write of the state given out at a time ended.
type snapshotStored struct {
	err error
	at  policy.Time
}

func (k snapshotStored) handle(l *Loop) {
	if k.err == nil {
		l.balancer.SnapshotStored(k.at)
	}
	if bad := k.err != nil; bad != l.snapshots.failing {
		l.snapshots.failing = bad
		if bad {
			l.log.Error("the state can't be kept: a restart would be cold", "error", k.err)
		} else {
			l.log.Info("the state is kept again")
		}
	}
}

// storeSnapshotIfDue keeps a state before anything else happens: a customer's lease is nearly
// spent. The loop waits for it, for the time that a small file takes to be written.
func (l *Loop) storeSnapshotIfDue() {
	if l.snapshots.Store != nil && !l.snapshots.stopped && l.balancer.SnapshotDue() {
		l.storeSnapshot()
	}
}

// storeLastSnapshot keeps the state for good. No request may reach the module after it.
func (l *Loop) storeLastSnapshot() {
	if v := &l.snapshots; v.Store != nil && !v.stopped {
		v.stopped = true
		s := l.balancer.TakeSnapshot(l.now(), true)
		snapshotStored{v.Store.Store(s, true), s.At}.handle(l)
	}
}

// replacePredecessor ends the process before this one and takes its last state in, then
// has clients accepted.
func (l *Loop) replacePredecessor() {
	began := l.clock.now()
	if l.snapshots.StopPredecessor != nil {
		if err := l.snapshots.StopPredecessor(); err != nil {
			l.log.Error("hand-over", "error", err)
		}
	}
	if l.snapshots.Store == nil || !l.snapshots.Successor {
		l.postUrgent(predecessorStopped{})
		return
	}
	for end := time.Now().Add(lastSnapshotTimeout); time.Now().Before(end); time.Sleep(lastSnapshotPollInterval) {
		if s, err := l.snapshots.Store.Load(); err == nil && s.Last && s.At >= began-lastSnapshotTimeout.Microseconds() {
			break
		}
	}
	l.postUrgent(predecessorStopped{restore: true})
}

// predecessorStopped tells that nothing serves beside this process any more.
type predecessorStopped struct{ restore bool }

func (e predecessorStopped) handle(l *Loop) {
	if e.restore {
		l.restore()
		l.beginSnapshots()
	}
	if l.peers.conn != nil && l.snapshots.Successor {
		go l.peers.readMessages(l) // the process before has had the notes until now
	}
	l.serveClients()
}

// handoverSignalled tells that a new process has taken over: this one accepts and takes
// nothing more, keeps its last state for the new one, and ends as after SIGTERM.
type handoverSignalled struct{}

func (handoverSignalled) handle(l *Loop) {
	if l.lifecycle.Parted() {
		return
	}
	l.lifecycle.Part(false)
	l.log.Info("handed over", "open", l.open)
	if l.peers.conn != nil {
		_ = l.peers.conn.Close() // the notes are for the new one
	}
	l.storeLastSnapshot()
	shutdownRequested{}.handle(l)
}
