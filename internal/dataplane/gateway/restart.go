package gateway

import (
	"net"
	"time"
)

// Restart is how state and sockets pass from one process to the next. The zero value disables it.
type Restart struct {
	Store            SnapshotStore // nil: no snapshots are taken
	SnapshotInterval time.Duration
	MaxSnapshotAge   time.Duration // of a snapshot that may be restored

	// Listen and ListenPacket make the sockets, or take over those of the predecessor; nil: new
	// sockets are opened.
	Listen       func(address string) (net.Listener, error)
	ListenPacket func(address string) (net.PacketConn, error)

	// Successor says that a predecessor still serves. It stops when StopPredecessor is called,
	// and then stores its last snapshot.
	Successor       bool
	StopPredecessor func() error // nil: there is nobody to stop

	// RendezvousPath is the socket through which a process finds its predecessor and is found by
	// its successor; "": it looks for none. docs/daily.md describes the handover.
	RendezvousPath string
}

// A successor waits so long for the predecessor's last snapshot; clients wait in the listener's
// backlog meanwhile.
const (
	lastSnapshotTimeout      = 2 * time.Second
	lastSnapshotPollInterval = 5 * time.Millisecond
)

// replacePredecessor stops the predecessor and waits for its last snapshot. It runs on a goroutine
// of its own.
func (g *Gateway) replacePredecessor() {
	began := g.clock.now()
	if g.snapshots.StopPredecessor != nil {
		if err := g.snapshots.StopPredecessor(); err != nil {
			g.log.Error("handover: stopping the predecessor", "error", err)
		}
	}
	if g.snapshots.Store == nil || !g.snapshots.Successor {
		g.postUrgent(predecessorStopped{})
		return
	}
	earliest := began - lastSnapshotTimeout.Microseconds()
	for end := time.Now().Add(lastSnapshotTimeout); time.Now().Before(end); {
		s, err := g.snapshots.Store.Load()
		if err == nil && s.Last && s.At >= earliest {
			break
		}
		time.Sleep(lastSnapshotPollInterval)
	}
	g.postUrgent(predecessorStopped{restore: true})
}

// predecessorStopped tells that no other process serves any more. restore: it left a snapshot.
type predecessorStopped struct{ restore bool }

func (e predecessorStopped) handle(g *Gateway) {
	if e.restore {
		g.restoreSnapshot()
		g.beginSnapshots()
	}
	if g.peers.conn != nil && g.snapshots.Successor {
		go g.peers.readMessages(g) // the predecessor has read from the socket until now
	}
	g.serveClients()
}

// handoverSignalled tells that a successor has taken over: this process accepts nothing more,
// stores its last snapshot for the successor, and shuts down.
type handoverSignalled struct{}

func (handoverSignalled) handle(g *Gateway) {
	if g.lifecycle.HandedOver() {
		return
	}
	g.lifecycle.HandOver(false)
	g.log.Info("handed over", "open", g.requests.open)
	if g.peers.conn != nil {
		_ = g.peers.conn.Close() // peers' messages are the successor's from now on
	}
	g.storeLastSnapshot()
	shutdownRequested{}.handle(g)
}
