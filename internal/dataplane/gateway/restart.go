package gateway

import (
	"net"
	"time"
)

// Restart configures how state and sockets pass from one process to the next. The zero value
// disables it.
type Restart struct {
	Store            SnapshotStore // nil: no snapshots are taken
	SnapshotInterval time.Duration
	MaxSnapshotAge   time.Duration // older snapshots are not restored

	// Listen and ListenPacket open the sockets or take over those of the predecessor; nil: new
	// sockets are opened.
	Listen       func(address string) (net.Listener, error)
	ListenPacket func(address string) (net.PacketConn, error)

	// Successor says that a predecessor still serves. The predecessor stops when StopPredecessor is
	// called, and then stores its last snapshot.
	Successor       bool
	StopPredecessor func() error // nil: there is no predecessor to stop

	// RendezvousPath is the path of the socket through which a process finds its predecessor and
	// its successor finds it; "": it looks for neither. docs/daily.md describes the handover.
	RendezvousPath string
}

// Limits of a successor's wait for the predecessor's last snapshot. Clients wait in the listener's
// backlog in the meantime.
const (
	lastSnapshotTimeout      = 2 * time.Second
	lastSnapshotPollInterval = 5 * time.Millisecond
)

// replacePredecessor stops the predecessor and waits for its last snapshot. It runs on its own
// goroutine.
func (g *Gateway) replacePredecessor() {
	began := g.clock.now()
	if g.snapshots.StopPredecessor != nil {
		if err := g.snapshots.StopPredecessor(); err != nil {
			g.log.Error("handover: could not stop the predecessor", "error", err)
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

// predecessorStopped reports that the predecessor no longer serves. restore: a snapshot may be
// available.
type predecessorStopped struct{ restore bool }

func (e predecessorStopped) handle(g *Gateway) {
	if e.restore {
		g.restoreSnapshot()
		g.beginSnapshots()
	}
	if g.peers.conn != nil && g.snapshots.Successor {
		go g.peers.readMessages(g) // until now the predecessor has read from the socket
	}
	g.serveClients()
}

// handoverSignalled reports that a successor has taken over. This process stops accepting, stores
// its last snapshot for the successor and shuts down.
type handoverSignalled struct{}

func (handoverSignalled) handle(g *Gateway) {
	if g.lifecycle.HandedOver() {
		return
	}
	g.lifecycle.HandOver(false)
	g.log.Info("handed over", "open", g.requests.open)
	if g.peers.conn != nil {
		_ = g.peers.conn.Close() // from now on the successor receives the messages of peers
	}
	g.storeLastSnapshot()
	shutdownRequested{}.handle(g)
}
