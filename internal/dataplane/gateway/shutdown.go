package gateway

import (
	"time"

	"mothcleat/internal/dataplane/policy"
)

// shutdown carries out the lifecycle's decisions on shutdown and drains. It belongs to the event
// loop.
type shutdown struct {
	acceptingEnds  bool // only connections already accepted by the kernel are still served
	listenerClosed bool
	requestsFailed bool        // all open requests were failed
	nextCheck      policy.Time // when step runs again; 0: it is not scheduled
}

// shutdownRequested begins a planned shutdown.
type shutdownRequested struct{}

func (shutdownRequested) handle(g *Gateway) {
	if g.lifecycle.Stopping() {
		return
	}
	g.log.Info("stopping", "open", g.requests.open)
	g.lifecycle.Stop(g.now())
	g.shutdown.step(g)
}

// step carries out the due parts of a shutdown or drain: it stops accepting, closes idle
// connections and fails the remaining requests.
func (s *shutdown) step(g *Gateway) {
	now := g.now()
	// A process that has handed over keeps its listener, without accepting, until its shutdown
	// starts, so that it can accept again if its successor exits.
	ends := g.lifecycle.Stopping() && g.lifecycle.AcceptingEnded(now)
	if ends && !s.acceptingEnds {
		s.acceptingEnds = true
		s.endAccepting(g)
	}
	if g.lifecycle.FailsOpenRequests(now) && !s.requestsFailed {
		// Requests that are unanswered at SIGKILL would be lost.
		s.requestsFailed = true
		g.clients.readsAll.Store(true) // what is read from now on is rejected in short answers
		s.closeListener(g)
		g.failOpenRequests()
	}
	for c := range g.clients.conns {
		ends := g.lifecycle.ClosesIdle
		if c.activityRank() == 0 {
			ends = g.lifecycle.ClosesUnused
		}
		idle := !c.awaitingAnswer()
		if idle && ends(now, c.lastActivity()) || !idle && g.lifecycle.ClosesBusy(now) {
			c.closeWhenIdle = true
		}
		g.settleConn(c) // also because answers may have been written since
	}
	s.endIfDone(g)
}

// endAccepting closes the listener: immediately if another process accepts on the same socket,
// otherwise once the kernel's backlog is drained.
func (s *shutdown) endAccepting(g *Gateway) {
	shared := g.lifecycle.HandedOver() || g.handover.successor != nil
	if shared || !g.clients.accepting {
		s.closeListener(g)
		return
	}
	g.clients.drainBacklog.Store(true)
	// Interrupts an accept that is already waiting.
	_ = g.clients.listener.SetDeadline(time.Now().Add(backlogQuietTime))
}

// closeListener closes the client listener. Only the first call has an effect.
func (s *shutdown) closeListener(g *Gateway) {
	if s.listenerClosed {
		return
	}
	s.listenerClosed = true
	g.clients.closeListener()
	close(g.clients.resumeAccept)
}

// pendingWork returns the amount of unfinished work: the open requests, an open listener, which may
// still hold connections, the clients that delay the shutdown, and the connections that the
// successor has not received.
func (s *shutdown) pendingWork(g *Gateway, now policy.Time) int {
	pending := g.requests.open + int(g.handover.inTransit.Load())
	if !s.listenerClosed {
		pending++
	}
	for c := range g.clients.conns {
		if c.delaysShutdown(now) {
			pending++
		}
	}
	return pending
}

// endIfDone ends the event loop once no work is pending, and schedules step for the next change of
// the lifecycle that depends on time alone. It must be called whenever the last request or the last
// connection may have ended.
func (s *shutdown) endIfDone(g *Gateway) {
	now := g.now()
	conns := len(g.clients.conns)
	if g.lifecycle.Stopping() && g.lifecycle.Done(now, s.pendingWork(g, now), conns) {
		g.done = true
	}
	next, ok := g.lifecycle.NextChange(now)
	if ok && (s.nextCheck <= now || next < s.nextCheck) {
		s.nextCheck = next
		g.schedule(next, shutdownTimer{})
	}
}

// shutdownTimer runs the next step of a shutdown or drain.
type shutdownTimer struct{}

func (shutdownTimer) due(g *Gateway) { g.shutdown.step(g) }

// failOpenRequests fails every open request.
func (g *Gateway) failOpenRequests() {
	now := g.now()
	for _, r := range g.requests.byID {
		if !r.answered {
			g.answer(r, failedReply)
			g.balancer.ClientGone(now, r.id)
		}
	}
}
