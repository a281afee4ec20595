package gateway

import (
	"net"
	"time"

	"mothcleat/internal/dataplane/forwardauth"
	"mothcleat/internal/dataplane/hotrestart"
	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/snapshot"
)

// handoverLinks are the processes before and after this one. It belongs to the event loop.
type handoverLinks struct {
	predecessor *hotrestart.Predecessor // nil: none served when this process started
	listener    *hotrestart.Listener    // where a successor asks; nil: nowhere
	successor   *hotrestart.Successor   // takes over or is about to; nil: none
	passer      *connPasser             // nil: no connections are passed
	// keepsDetached: the successor accepts no more connections, and detached connections are read
	// here again.
	keepsDetached bool
}

const (
	maxHandoverStateAge policy.Time = 60_000_000 // a predecessor's state is newer than that
	maxClockSkew        policy.Time = 1_000_000  // between the clocks of two processes
	bindRetryDelay                  = 200 * time.Millisecond
)

// passingConns reports whether connections are being passed to a successor.
func (h *handoverLinks) passingConns() bool { return h.passer != nil }

// findPredecessor looks for a process that serves already.
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

// listenForSuccessor lets the next process find this one.
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

// end waits until all connections are passed on, and ends the links to other processes.
func (h *handoverLinks) end() {
	if h.listener != nil {
		h.listener.Close()
	}
	if h.passingConns() {
		h.passer.finish()
	}
	if h.successor != nil {
		h.successor.Close()
	}
}

// takeFromPredecessor takes over the predecessor's state. It runs on a goroutine of its own.
func (g *Gateway) takeFromPredecessor() {
	received, err := g.handover.predecessor.TakeState()
	e := predecessorState{received: received, err: err}
	if err == nil {
		e.state, e.err = snapshot.Decode(received.Snapshot)
	}
	g.postUrgent(e)
}

// predecessorState is what the predecessor has handed over, or why there is nothing.
type predecessorState struct {
	received hotrestart.State
	state    policy.Snapshot
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

// restore loads the state into the balancer and tells the predecessor so.
func (e *predecessorState) restore(g *Gateway) error {
	if ahead := e.state.At - g.now(); ahead > 0 && ahead < maxClockSkew {
		e.state.At = g.now()
	}
	if err := g.balancer.Restore(g.now(), maxHandoverStateAge, &e.state); err != nil {
		return err
	}
	return g.handover.predecessor.Confirm()
}

// takePeerSocket continues with the predecessor's socket for peers' messages, or opens one.
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

// bindPeerSocket opens the peers' socket as soon as the predecessor has closed it. It runs on a
// goroutine of its own.
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

// peerSocketBound is the peers' socket, opened late.
type peerSocketBound struct{ conn *net.UDPConn }

func (e peerSocketBound) handle(g *Gateway) {
	if g.lifecycle.HandedOver() {
		_ = e.conn.Close()
		return
	}
	g.peers.conn = e.conn
	go g.peers.readMessages(g)
}

// receiveConns takes over the clients' connections of the predecessor until it has passed all. It
// runs on a goroutine of its own.
func (g *Gateway) receiveConns() {
	err := g.handover.predecessor.ReceiveClients(g.receiveConn)
	if err != nil {
		g.log.Warn("handover: clients' connections", "error", err)
	}
}

// receiveConn posts a connection from the predecessor, once there is a place for it.
func (g *Gateway) receiveConn(c hotrestart.ClientConn) {
	g.clients.slots <- struct{}{}
	g.post(connReceived{c})
}

// connReceived is a client's connection from the predecessor.
type connReceived struct{ from hotrestart.ClientConn }

func (e connReceived) handle(g *Gateway) {
	g.metrics.ConnsReceived.Add(1)
	g.startClient(clientFrom(&e.from, g.now()))
}

// clientFrom makes a client of a connection from another process, or of one that was to be passed.
func clientFrom(from *hotrestart.ClientConn, now policy.Time) *client {
	head := &from.State
	c := newClient(from.Conn, now)
	c.commands = head.Commands
	if head.HasCredential {
		c.credential = &forwardauth.Credential{
			User: head.User, Secret: head.Secret, Named: head.Named,
		}
	}
	c.reading.unread = from.Unread
	c.reading.inheritedCommands = head.HeldCommands
	c.reading.inheritedAge = head.AgeUS
	c.reading.inheritedAt = now
	return c
}

// successorReady tells that a successor is ready to take over. It is given this process's state;
// commands that come meanwhile are held until it is known which process answers them.
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
	state.Snapshot, err = snapshot.Encode(g.balancer.TakeSnapshot(g.now(), true))
	if err != nil {
		e.successor.Close()
		handoverDone{err}.handle(g)
		return
	}
	go func() { g.postUrgent(handoverDone{e.successor.SendState(state)}) }()
}

// handoverDone tells whether the successor has taken over; err: why not.
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
	h.keepsDetached = false
	h.passer = newConnPasser(g, h.successor)
	if g.peers.conn != nil {
		_ = g.peers.conn.Close()
		g.peers.conn = nil
	}
	g.storeLastSnapshot()
	for c := range g.clients.conns {
		c.reading.requestDetach(c.conn)
	}
	g.shutdown.step(g)
}

// resumeServing goes on as if there had been no successor, and admits the held commands.
func (g *Gateway) resumeServing() {
	g.handover.successor = nil
	g.lifecycle.Unpause()
	g.resumeAccepting()
	if g.peers.conn != nil {
		_ = g.peers.conn.SetReadDeadline(time.Time{})
		go g.peers.readMessages(g)
	}
	g.admitHeld()
}

// resumeAccepting accepts clients again after a pause, unless the process ends.
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

// admitHeld admits the commands that were held for a successor.
func (g *Gateway) admitHeld() {
	for c := range g.clients.conns {
		held := c.reading.held
		c.reading.held = nil
		for _, e := range held {
			if c.closed {
				break
			}
			g.admit(e)
		}
	}
}

// holdForSuccessor holds a command while it is open which process answers it, or passes it on with
// its connection. It returns false if this process is to answer.
func (g *Gateway) holdForSuccessor(e commandRead) bool {
	if g.handover.successor == nil || g.lifecycle.FailsOpenRequests(g.now()) {
		return false
	}
	c := e.client
	needsDecision := e.command.args != nil
	if len(c.reading.held) == 0 && !needsDecision && !g.handover.passingConns() {
		return false
	}
	c.reading.held = append(c.reading.held, e)
	if e.framingLost { // nothing more is read after it
		c.reading.detached = true
	}
	g.passToSuccessor(c)
	return true
}

// mayPass reports whether a client's connection can be passed on now: its reader has ended, and no
// answer is pending.
func (c *client) mayPass() bool {
	ended := c.closed || c.writeEnded || c.overLimit || c.ignoreInput.Load()
	return c.reading.detached && !ended && len(c.pipeline) == 0 && c.out.drained()
}

// passToSuccessor passes a client's connection to the successor, if connections are being passed
// and this one may be. It is called again whenever that may have changed.
func (g *Gateway) passToSuccessor(c *client) {
	h := &g.handover
	if !h.passingConns() && !h.keepsDetached || !c.mayPass() {
		return
	}
	passed := c.exportForSuccessor(g.now())
	c.endReader()
	if !h.passingConns() {
		delete(g.clients.conns, c)
		g.restartReader(passed) // in the same place
		return
	}
	g.clients.remove(c)
	g.metrics.ConnsPassed.Add(1)
	h.passer.pass(passed)
}

// exportForSuccessor is what a successor needs to know of a connection.
func (c *client) exportForSuccessor(now policy.Time) hotrestart.ClientConn {
	rc := &c.reading
	p := hotrestart.ClientConn{
		Conn:  c.conn,
		State: hotrestart.ConnState{Commands: c.commands, HeldCommands: len(rc.held)},
	}
	if k := c.credential; k != nil {
		p.State.HasCredential = true
		p.State.User = k.User
		p.State.Secret = k.Secret
		p.State.Named = k.Named
	}
	for i, e := range rc.held {
		if i == 0 {
			p.State.AgeUS = max(0, now-e.arrived)
		}
		p.Unread = e.appendEncoded(p.Unread)
	}
	if rc.inheritedCommands > 0 && len(rc.held) == 0 {
		// They came from the predecessor and were never read here.
		p.State.HeldCommands = rc.inheritedCommands
		p.State.AgeUS = rc.inheritedAge + now - rc.inheritedAt
	}
	p.Unread = append(p.Unread, rc.unread...)
	return p
}

// readerDetached tells that a client's reader has ended, and what it had read beyond the last
// command.
type readerDetached struct {
	client *client
	rest   []byte
}

func (e readerDetached) handle(g *Gateway) {
	c := e.client
	if c.closed {
		return
	}
	c.reading.detached = true
	c.reading.unread = e.rest
	g.passToSuccessor(c)
	if !c.closed && c.closeWhenIdle && len(c.pipeline) == 0 {
		c.finish(g)
	}
}
