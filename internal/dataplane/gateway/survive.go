package gateway

import (
	"context"
	"errors"
	"io/fs"
	"net"
	"time"

	"mothcleat/internal/dataplane/policy"
)

// Keeper keeps the module's state for the next process. It may be called from
// several goroutines.
type Keeper interface {
	// Load gives the state stored last; fs.ErrNotExist if there is none.
	Load() (policy.Snapshot, error)
	// Store replaces it. Durable: it must survive a power cut, too.
	Store(s policy.Snapshot, durable bool) error
}

// Survival is how a gateway outlives its process. The zero value is off.
type Survival struct {
	Keeper Keeper
	Every  time.Duration // between two states
	Oldest time.Duration // that a state may be to be taken in

	// Listen and ListenPacket make the sockets, or take those of the process
	// before; nil: new ones.
	Listen       func(address string) (net.Listener, error)
	ListenPacket func(address string) (net.PacketConn, error)
	// Successor tells that a process before this one still serves. It stops
	// when Ready is called, and then stores its last state.
	Successor bool
	Ready     func() error // nil: nobody waits for it

	// Meet is where a process finds the one before it, and is found by the one after; "":
	// it looks for none. docs/daily.md tells more.
	Meet string
}

// lastStateWithin is how long a successor waits for the last state of the process
// before; clients wait in the listener's backlog meanwhile.
const (
	lastStateWithin = 2 * time.Second
	lastStateEvery  = 5 * time.Millisecond
)

// survival is the loop's part of it.
type survival struct {
	Survival
	every policy.Time
	next  chan policy.Snapshot // the newest, for the writer
	bad   bool                 // the last state could not be kept
	ended bool                 // nothing is kept any more
}

func newSurvival(s Survival) survival {
	return survival{Survival: s, every: max(50_000, s.Every.Microseconds()), next: make(chan policy.Snapshot, 1)}
}

// restore takes in the state of the process before. What can't be used is told,
// and the start is cold.
func (l *Loop) restore() {
	s, err := l.survival.Keeper.Load()
	if err == nil {
		if err = l.module.Restore(l.now(), l.survival.Oldest.Microseconds(), &s); err == nil {
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

// keep begins to keep states.
func (l *Loop) keep(ctx context.Context) {
	if l.survival.Keeper == nil {
		return
	}
	go l.survival.write(ctx, l)
	if !l.survival.Successor {
		l.keepFrom()
	}
}

// keepFrom keeps a state at once, before the first request, and others from then
// on: whenever the process ends, there is one.
func (l *Loop) keepFrom() {
	l.keepNow()
	l.at(l.now()+l.survival.every, keeping{})
}

func (l *Loop) keepNow() {
	s := l.module.TakeSnapshot(l.now(), false)
	kept{l.survival.Keeper.Store(s, false), s.At}.handle(l)
}

// keeping has the state kept now and then.
type keeping struct{}

func (keeping) due(l *Loop) {
	v := &l.survival
	if v.ended {
		return
	}
	select {
	case <-v.next: // the writer has not come to it: it is of no use any more
	default:
	}
	v.next <- l.module.TakeSnapshot(l.now(), false)
	l.at(l.now()+v.every, keeping{})
}

// write writes states beside the loop.
func (v *survival) write(ctx context.Context, l *Loop) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-v.next:
			err := v.Keeper.Store(s, false)
			select {
			case l.events <- kept{err, s.At}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// kept tells how the write of the state given out at a time ended.
type kept struct {
	err error
	at  policy.Time
}

func (k kept) handle(l *Loop) {
	if k.err == nil {
		l.module.SnapshotStored(k.at)
	}
	if bad := k.err != nil; bad != l.survival.bad {
		l.survival.bad = bad
		if bad {
			l.log.Error("the state can't be kept: a restart would be cold", "error", k.err)
		} else {
			l.log.Info("the state is kept again")
		}
	}
}

// urgent keeps a state before anything else happens: a customer's lease is nearly
// spent. The loop waits for it, for the time that a small file takes to be written.
func (l *Loop) urgent() {
	if l.survival.Keeper != nil && !l.survival.ended && l.module.SnapshotDue() {
		l.keepNow()
	}
}

// lastState keeps the state for good. No request may reach the module after it.
func (l *Loop) lastState() {
	if v := &l.survival; v.Keeper != nil && !v.ended {
		v.ended = true
		s := l.module.TakeSnapshot(l.now(), true)
		kept{v.Keeper.Store(s, true), s.At}.handle(l)
	}
}

// takeOver ends the process before this one and takes its last state in, then
// has clients accepted.
func (l *Loop) takeOver() {
	began := l.clock.now()
	if l.survival.Ready != nil {
		if err := l.survival.Ready(); err != nil {
			l.log.Error("hand-over", "error", err)
		}
	}
	if l.survival.Keeper == nil || !l.survival.Successor {
		l.urgentPost(tookOver{})
		return
	}
	for end := time.Now().Add(lastStateWithin); time.Now().Before(end); time.Sleep(lastStateEvery) {
		if s, err := l.survival.Keeper.Load(); err == nil && s.Last && s.At >= began-lastStateWithin.Microseconds() {
			break
		}
	}
	l.urgentPost(tookOver{restore: true})
}

// tookOver tells that nothing serves beside this process any more.
type tookOver struct{ restore bool }

func (e tookOver) handle(l *Loop) {
	if e.restore {
		l.restore()
		l.keepFrom()
	}
	if l.peers.conn != nil && l.survival.Successor {
		go l.peers.read(l) // the process before has had the notes until now
	}
	l.serveClients()
}

// handedOver tells that a new process has taken over: this one accepts and takes
// nothing more, keeps its last state for the new one, and ends as after SIGTERM.
type handedOver struct{}

func (handedOver) handle(l *Loop) {
	if l.life.Parted() {
		return
	}
	l.life.Part(false)
	l.log.Info("handed over", "open", l.open)
	if l.peers.conn != nil {
		_ = l.peers.conn.Close() // the notes are for the new one
	}
	l.lastState()
	stop{}.handle(l)
}
