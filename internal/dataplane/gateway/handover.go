package gateway

import (
	"net"
	"sync/atomic"
	"time"

	"mothcleat/internal/dataplane/forwardauth"
	"mothcleat/internal/dataplane/hotrestart"
	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/snapshot"
)

// handoverLinks are the links to the predecessor and to a successor of this process. They belong to
// the event loop.
type handoverLinks struct {
	predecessor *hotrestart.Predecessor // nil: no process served when this one started
	listener    *hotrestart.Listener    // accepts a successor; nil: successors are not accepted
	successor   *hotrestart.Successor   // has taken over or is about to; nil: none
	heldBytes   int                     // size of the commands held for a successor
	// inTransit is the number of connections that were passed and neither received by the successor
	// nor taken back. It is safe for concurrent use.
	inTransit atomic.Int64
	passer    *connPasser // nil: connections are not being passed
}

const (
	maxHandoverStateAge policy.Time = 60_000_000 // an older state of a predecessor is not restored
	maxClockSkew        policy.Time = 1_000_000  // between the clocks of two processes
	bindRetryDelay                  = 200 * time.Millisecond
)

// findPredecessor looks for a process that already serves.
func (g *Gateway) findPredecessor() {
	if g.snapshots.RendezvousPath == "" {
		return
	}
	predecessor, err := hotrestart.FindPredecessor(g.snapshots.RendezvousPath)
	if err != nil {
		return
	}
	g.log.Info("handover: another process serves; taking its place")
	g.handover.predecessor = predecessor
	g.snapshots.Successor = true
}

// listenForSuccessor lets a successor connect to this process.
func (g *Gateway) listenForSuccessor() {
	if g.snapshots.RendezvousPath == "" {
		return
	}
	listener, err := hotrestart.Listen(g.snapshots.RendezvousPath)
	if err != nil {
		g.log.Warn("handover: a successor will start without state", "error", err)
		return
	}
	g.handover.listener = listener
	go listener.Serve(func(s *hotrestart.Successor) { g.postUrgent(successorReady{s}) })
}

// end waits until all connections have been passed and closes the links to other processes.
func (h *handoverLinks) end() {
	if h.listener != nil {
		h.listener.Close()
	}
	if h.passer != nil {
		h.passer.finish()
	}
	if h.successor != nil {
		h.successor.Close()
	}
}

// takeFromPredecessor receives the predecessor's state. It runs on its own goroutine.
func (g *Gateway) takeFromPredecessor() {
	received, err := g.handover.predecessor.TakeState()
	e := predecessorState{received: received, err: err}
	if err == nil {
		e.state, e.err = snapshot.DecodeHandover(received.Snapshot)
	}
	g.postUrgent(e)
}

// predecessorState is the state received from the predecessor, or the error that prevented it.
type predecessorState struct {
	received hotrestart.State
	state    snapshot.HandoverState
	err      error
}

func (e predecessorState) handle(g *Gateway) {
	if e.err == nil {
		e.err = e.restore(g)
	}
	if e.err != nil {
		g.log.Error("handover: starting without state beside the predecessor", "error", e.err)
		g.handover.predecessor.Close()
	} else {
		g.log.Info("handover: state restored",
			"customers", len(e.state.Customers), "backends", len(e.state.Backends))
		go g.receiveConns()
	}
	e.takePeerSocket(g)
	if g.snapshots.Store != nil {
		g.beginSnapshots()
	}
	g.serveClients()
}

// restore loads the state into the balancer and confirms that to the predecessor.
func (e *predecessorState) restore(g *Gateway) error {
	if ahead := e.state.At - g.now(); ahead > 0 && ahead < maxClockSkew {
		e.state.At = g.now()
	}
	if err := g.balancer.Restore(g.now(), maxHandoverStateAge, &e.state.Snapshot); err != nil {
		return err
	}
	for _, id := range e.state.ExecutedIDs {
		g.requests.executed.add(id, g.now())
	}
	return g.handover.predecessor.Confirm()
}

// takePeerSocket takes over the predecessor's peer socket, or opens a new one.
func (e *predecessorState) takePeerSocket(g *Gateway) {
	switch {
	case e.received.PeerSocket != nil && e.err == nil:
		g.peers.conn = e.received.PeerSocket
		go g.peers.readMessages(g)
	case g.cfg.Settings.Peers:
		if e.received.PeerSocket != nil {
			_ = e.received.PeerSocket.Close()
		}
		go g.bindPeerSocket()
	}
}

// bindPeerSocket opens the peer socket as soon as the other process has closed its own. It runs on
// its own goroutine.
func (g *Gateway) bindPeerSocket() {
	for {
		p, err := newPeerLink(&g.cfg, g.log)
		if err == nil {
			g.postUrgent(peerSocketBound{p.conn})
			return
		}
		time.Sleep(bindRetryDelay)
	}
}

// peerSocketBound is the peer socket, opened by bindPeerSocket.
type peerSocketBound struct{ conn *net.UDPConn }

func (e peerSocketBound) handle(g *Gateway) {
	if g.lifecycle.HandedOver() {
		_ = e.conn.Close()
		return
	}
	g.peers.conn = e.conn
	go g.peers.readMessages(g)
}

// receiveConns receives client connections until the predecessor has passed all of them. It runs on
// its own goroutine.
func (g *Gateway) receiveConns() {
	err := g.handover.predecessor.ReceiveClients(g.receiveConn)
	if err != nil {
		g.log.Warn("handover: receiving client connections failed", "error", err)
	}
}

// receiveConn posts a connection from the predecessor once a slot is free.
func (g *Gateway) receiveConn(c hotrestart.ClientConn) {
	g.clients.slots <- struct{}{}
	g.post(connReceived{c})
}

// connReceived is a client connection received from the predecessor.
type connReceived struct{ from hotrestart.ClientConn }

func (e connReceived) handle(g *Gateway) {
	g.metrics.ConnsReceived.Add(1)
	g.startClient(clientFrom(&e.from, g.now()))
}

// clientFrom returns a client for a connection received from the predecessor, or for one that was
// not passed to the successor after all.
func clientFrom(from *hotrestart.ClientConn, now policy.Time) *client {
	head := &from.State
	c := newClient(from.Conn, now)
	if len(from.Unsent) > 0 {
		c.out.send(from.Unsent)
	}
	c.commands = head.Commands
	if head.HasCredential {
		c.credential = &forwardauth.Credential{
			User: head.User, Secret: head.Secret, Named: head.Named,
		}
	}
	c.reading.unread = from.Unread
	if head.WaitedUS > 0 {
		c.reading.waitingSince = time.Now().Add(-time.Duration(head.WaitedUS) * time.Microsecond)
	}
	for i := range head.HeldCommands {
		c.reading.inheritedArrivals = append(c.reading.inheritedArrivals, now-heldAge(head, i))
	}
	return c
}

// heldAge returns the age of a held command. A predecessor of an earlier build sends only that of
// the first one, which no other exceeds.
func heldAge(state *hotrestart.ConnState, command int) policy.Time {
	if command < len(state.HeldAgesUS) {
		return state.HeldAgesUS[command]
	}
	return state.AgeUS
}

// successorReady reports that a successor is ready to take over. The successor is sent this
// process's state. Commands that arrive in the meantime are held until it is known which process
// answers them.
type successorReady struct{ successor *hotrestart.Successor }

func (e successorReady) handle(g *Gateway) {
	if g.handover.successor != nil || g.lifecycle.HandedOver() {
		e.successor.Close()
		return
	}
	g.handover.successor = e.successor
	g.lifecycle.Pause()
	_ = g.clients.listener.SetDeadline(expiredDeadline)
	state := hotrestart.State{PeerSocket: g.peers.conn}
	if state.PeerSocket != nil {
		_ = state.PeerSocket.SetReadDeadline(expiredDeadline)
	}
	var err error
	state.Snapshot, err = snapshot.EncodeHandover(snapshot.HandoverState{
		Snapshot:    g.balancer.TakeSnapshot(g.now(), true),
		ExecutedIDs: g.idsForSuccessor(),
	})
	if err != nil {
		e.successor.Close()
		handoverDone{err}.handle(g)
		return
	}
	go func() { g.postUrgent(handoverDone{e.successor.SendState(state)}) }()
}

// handoverDone reports that the successor has taken over, or with err why it has not.
type handoverDone struct{ err error }

func (e handoverDone) handle(g *Gateway) {
	if e.err != nil {
		g.log.Error("handover: the successor did not take over; this process serves on",
			"error", e.err)
		g.resumeServing()
		return
	}
	g.log.Info("handover: the successor has taken over",
		"open", g.requests.open, "connections", len(g.clients.conns))
	g.lifecycle.HandOver(true)
	h := &g.handover
	h.passer = newConnPasser(g, h.successor)
	if g.peers.conn != nil {
		_ = g.peers.conn.Close()
		g.peers.conn = nil
	}
	g.storeLastSnapshot()
	g.settleConns()
	g.shutdown.step(g)
}

// resumeServing resumes service after a failed handover and admits the held commands.
func (g *Gateway) resumeServing() {
	g.handover.successor = nil
	g.lifecycle.Unpause()
	g.resumeAccepting()
	if g.peers.conn != nil {
		_ = g.peers.conn.SetReadDeadline(time.Time{})
		go g.peers.readMessages(g)
	}
	g.settleConns()
}

// resumeAccepting accepts clients again after a pause, unless accepting has ended.
func (g *Gateway) resumeAccepting() {
	if g.shutdown.acceptingEnds {
		return
	}
	_ = g.clients.listener.SetDeadline(time.Time{})
	select {
	case g.clients.resumeAccept <- struct{}{}:
	default:
	}
}
