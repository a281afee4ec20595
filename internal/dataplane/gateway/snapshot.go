package gateway

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"mothcleat/internal/dataplane/policy"
)

// SnapshotStore stores snapshots of the balancer's state for the next process. It must be safe for
// concurrent use.
type SnapshotStore interface {
	// Load returns the latest stored snapshot. Its error is fs.ErrNotExist if there is none.
	Load() (policy.Snapshot, error)
	// Store replaces the stored snapshot. A durable snapshot also survives a power failure.
	Store(s policy.Snapshot, durable bool) error
}

// minSnapshotInterval is the minimum interval of periodic snapshots.
const minSnapshotInterval = 50 * time.Millisecond

// snapshotter takes snapshots of the balancer and stores them. It belongs to the event loop, except
// for Store and pending, which storePending uses on its own goroutine.
type snapshotter struct {
	Restart
	interval policy.Time
	pending  chan policy.Snapshot // the newest periodic snapshot, for storePending
	failing  bool                 // the latest snapshot could not be stored
	stopped  bool                 // the final snapshot is stored: none may follow
}

func newSnapshotter(r Restart) snapshotter {
	return snapshotter{
		Restart:  r,
		interval: snapshotInterval(r),
		pending:  make(chan policy.Snapshot, 1),
	}
}

func snapshotInterval(r Restart) policy.Time {
	return max(minSnapshotInterval, r.SnapshotInterval).Microseconds()
}

// restoreSnapshot loads the predecessor's snapshot into the balancer. If the snapshot can't be
// used, that is logged and the gateway starts without state.
func (g *Gateway) restoreSnapshot() {
	s, err := g.snapshots.Store.Load()
	if err == nil {
		err = g.balancer.Restore(g.now(), g.snapshots.MaxSnapshotAge.Microseconds(), &s)
	}
	switch {
	case err == nil:
		g.log.Info("snapshot restored",
			"age_ms", (g.now()-s.At)/1000, "customers", len(s.Customers),
			"backends", len(s.Backends), "orderly", s.Last)
	case errors.Is(err, fs.ErrNotExist):
		g.log.Info("no snapshot: starting without state")
	default:
		g.log.Warn("snapshot rejected: starting without state", "error", err)
	}
}

// startSnapshots starts the goroutine that stores periodic snapshots. It also starts taking
// snapshots, unless a predecessor still serves: the predecessor's snapshot must not be overwritten.
func (g *Gateway) startSnapshots(ctx context.Context) {
	if g.snapshots.Store == nil {
		return
	}
	go g.snapshots.storePending(ctx, g)
	if !g.snapshots.Successor {
		g.beginSnapshots()
	}
}

// beginSnapshots stores a snapshot before the first request and periodically from then on, so that
// one exists whenever the process ends.
func (g *Gateway) beginSnapshots() {
	g.storeSnapshot()
	g.schedule(g.now()+g.snapshots.interval, snapshotTimer{})
}

// storeSnapshot stores a snapshot and waits until the file is written.
func (g *Gateway) storeSnapshot() {
	s := g.balancer.TakeSnapshot(g.now(), false)
	err := g.snapshots.Store.Store(s, false)
	snapshotStored{err, s.At}.handle(g)
}

// snapshotTimer takes a periodic snapshot.
type snapshotTimer struct{}

func (snapshotTimer) due(g *Gateway) {
	s := &g.snapshots
	if s.stopped {
		return
	}
	select {
	case <-s.pending: // storePending has not stored it yet, and a newer one replaces it
	default:
	}
	s.pending <- g.balancer.TakeSnapshot(g.now(), false)
	g.schedule(g.now()+s.interval, snapshotTimer{})
}

// storePending stores periodic snapshots until the context ends. It runs on its own goroutine.
func (s *snapshotter) storePending(ctx context.Context, g *Gateway) {
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-s.pending:
			err := s.Store.Store(snapshot, false)
			select {
			case g.events <- snapshotStored{err, snapshot.At}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// snapshotStored is the result of storing the snapshot that was taken at the time at.
type snapshotStored struct {
	err error
	at  policy.Time
}

func (e snapshotStored) handle(g *Gateway) {
	if e.err == nil {
		g.balancer.SnapshotStored(e.at)
	}
	failing := e.err != nil
	if failing == g.snapshots.failing {
		return
	}
	g.snapshots.failing = failing
	if failing {
		g.log.Error("snapshots can't be stored: a restart would lose state", "error", e.err)
	} else {
		g.log.Info("snapshots are stored again")
	}
}

// storeSnapshotIfDue stores a snapshot, before the next event is handled, if a customer's reserved
// units are nearly spent. The event loop blocks while the small file is written.
func (g *Gateway) storeSnapshotIfDue() {
	if g.snapshots.Store != nil && !g.snapshots.stopped && g.balancer.SnapshotDue() {
		g.storeSnapshot()
	}
}

// storeLastSnapshot stores the final snapshot durably. No request may reach the balancer after it.
// Only the first call has an effect.
func (g *Gateway) storeLastSnapshot() {
	if g.snapshots.Store == nil || g.snapshots.stopped {
		return
	}
	g.snapshots.stopped = true
	s := g.balancer.TakeSnapshot(g.now(), true)
	err := g.snapshots.Store.Store(s, true)
	snapshotStored{err, s.At}.handle(g)
}
