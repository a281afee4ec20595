package gateway

import (
	"time"

	"mothcleat/internal/dataplane/hotrestart"
	"mothcleat/internal/dataplane/lifecycle"
	"mothcleat/internal/dataplane/policy"
)

// settleConns carries out the lifecycle's decisions on all connections.
func (g *Gateway) settleConns() {
	for c := range g.clients.conns {
		g.settleConn(c)
	}
}

// settleConn carries out the lifecycle's decision on a connection: to pass it to the successor, to
// keep it, or to answer its commands and close it. It is called whenever the state of the
// connection or of the process may have changed.
func (g *Gateway) settleConn(c *client) {
	if c.closed {
		return
	}
	state := g.connState(c)
	action := g.lifecycle.DecideConn(g.now(), state)
	if action == lifecycle.KeepConn {
		return
	}
	g.log.Debug("client connection",
		"action", action, "open", state.Open, "held", state.Held, "closing", state.CloseRequested)
	switch action {
	case lifecycle.StopReader:
		c.reading.requestDetach(c.conn)
		c.resumeReader() // to end
	case lifecycle.PassConn:
		g.passConn(c)
	case lifecycle.RestartReader:
		g.readAgain(c)
	case lifecycle.AdmitHeld:
		g.admitHeld(c)
	case lifecycle.HaltReader:
		c.reading.requestHalt(c.conn)
	case lifecycle.ResumeReader:
		c.resumeReader()
	case lifecycle.CloseConn:
		c.finish(g)
	}
}

// maxHeldBytes returns the size of the commands held for a successor at which connections with open
// requests are no longer read.
func (g *Gateway) maxHeldBytes() int { return g.cfg.MemoryMB << 20 / 16 }

// connState returns the state on which the lifecycle's decision depends.
func (g *Gateway) connState(c *client) lifecycle.Conn {
	successor := g.handover.successor
	passesOutput := successor != nil && successor.TakesUnsent()
	return lifecycle.Conn{
		Reader:         c.readerState(),
		Open:           len(c.pipeline),
		Held:           len(c.reading.held),
		HeldFull:       g.handover.heldBytes >= g.maxHeldBytes(),
		CloseRequested: c.closeWhenIdle,
		WriteEnded:     c.writeEnded,
		OutputPending:  !passesOutput && !c.out.drained(),
	}
}

func (c *client) readerState() lifecycle.ReaderState {
	switch {
	case c.ignoreInput.Load() || c.reading.framingLost:
		return lifecycle.ReaderDone
	case c.reading.detached:
		return lifecycle.ReaderStopped
	case c.reading.halted:
		return lifecycle.ReaderHalted
	}
	return lifecycle.ReaderRunning
}

// passConn passes a connection to the successor.
func (g *Gateway) passConn(c *client) {
	passed := c.exportForSuccessor(g.now())
	g.releaseHeld(c)
	c.endReader()
	g.clients.remove(c)
	g.metrics.ConnsPassed.Add(1)
	g.handover.inTransit.Add(1)
	g.handover.passer.pass(queuedConn{passed, c.out})
}

// readAgain starts a new reader for a connection whose reader has ended. The connection keeps its
// slot and its sender, which may still write answers.
func (g *Gateway) readAgain(c *client) {
	kept := c.exportForSuccessor(g.now())
	g.releaseHeld(c)
	c.endReader()
	delete(g.clients.conns, c)
	_ = c.conn.SetReadDeadline(time.Time{})
	next := clientFrom(&kept, g.now())
	next.out = c.out
	g.startClient(next)
}

// holdCommand holds a command while a successor may answer it, and reports whether it does. A
// command that needs no decision by the balancer is held only behind others, or while connections
// are passed on.
func (g *Gateway) holdCommand(e commandRead) bool {
	if !g.lifecycle.HoldsCommands(g.now()) {
		return false
	}
	c := e.client
	needsDecision := e.command.args != nil
	if len(c.reading.held) == 0 && !needsDecision && !g.lifecycle.PassesConns() {
		return false
	}
	g.hold(e)
	g.settleConn(c)
	return true
}

// admitHeld admits the held commands of a connection in their order. An admission may answer the
// command at once, and so settle the connection.
func (g *Gateway) admitHeld(c *client) {
	for len(c.reading.held) > 0 && !c.closed {
		e := c.reading.held[0]
		c.reading.held = c.reading.held[1:]
		g.handover.heldBytes -= e.argBytes
		g.admit(e)
	}
}

// hold adds a command to those that its connection holds.
func (g *Gateway) hold(e commandRead) {
	rc := &e.client.reading
	rc.held = append(rc.held, e)
	rc.framingLost = rc.framingLost || e.framingLost
	g.handover.heldBytes += e.argBytes
}

// releaseHeld releases the held commands of a connection that this process no longer has.
func (g *Gateway) releaseHeld(c *client) {
	for _, e := range c.reading.held {
		g.handover.heldBytes -= e.argBytes
	}
	c.reading.held = nil
}

// exportForSuccessor returns a connection with the state that a successor needs.
func (c *client) exportForSuccessor(now policy.Time) hotrestart.ClientConn {
	rc := &c.reading
	p := hotrestart.ClientConn{
		Conn: c.conn,
		State: hotrestart.ConnState{
			Commands: c.commands,
			WaitedUS: rc.waited().Microseconds(),
		},
	}
	if k := c.credential; k != nil {
		p.State.HasCredential = true
		p.State.User = k.User
		p.State.Secret = k.Secret
		p.State.Named = k.Named
	}
	for _, e := range rc.held {
		p.State.HeldAgesUS = append(p.State.HeldAgesUS, max(0, now-e.arrived))
		p.Unread = e.appendEncoded(p.Unread)
	}
	for _, arrived := range rc.inheritedArrivals { // the reader has not read these
		p.State.HeldAgesUS = append(p.State.HeldAgesUS, max(0, now-arrived))
	}
	p.State.HeldCommands = len(p.State.HeldAgesUS)
	if p.State.HeldCommands > 0 {
		p.State.AgeUS = p.State.HeldAgesUS[0]
	}
	p.Unread = append(p.Unread, rc.unread...)
	return p
}

// readerDetached reports that a client's reader has ended. last is a command that it has read but
// not posted, because the pipeline had no free slot; nil: there is none. rest is the data that it
// had read beyond the last complete command.
type readerDetached struct {
	client *client
	last   *commandRead
	rest   []byte
}

func (e readerDetached) handle(g *Gateway) {
	c := e.client
	if e.last != nil {
		g.clients.incomingBytes.Add(-int64(e.last.argBytes))
	}
	if c.closed {
		return
	}
	c.reading.detached = true
	c.reading.unread = e.rest
	if e.last != nil {
		g.hold(*e.last)
	}
	g.settleConn(c)
}
