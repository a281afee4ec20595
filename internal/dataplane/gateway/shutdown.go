package gateway

import (
	"time"

	"mothcleat/internal/dataplane/policy"
)

// discoveryWait is how long a start waits for discovery before it serves with the
// list it was given.
const discoveryWait policy.Time = 500_000

// shutdown carries out what the lifecycle decides.
type shutdown struct {
	acceptingEnds  bool // no connection is accepted any more but those that the machine has accepted
	listenerClosed bool // nor those
	abandoned      bool
	nextCheck      policy.Time // when it is asked again; 0: nothing is due
}

// shutdownRequested begins a planned shutdown.
type shutdownRequested struct{}

func (shutdownRequested) handle(l *Loop) {
	if l.lifecycle.Stopping() {
		return
	}
	l.log.Info("stopping", "open", l.open)
	l.lifecycle.Stop(l.now())
	l.step()
}

// step does what has become due and asks to be called again.
func (l *Loop) step() {
	now := l.now()
	if l.lifecycle.Closed(now) && !l.shutdown.acceptingEnds {
		l.shutdown.acceptingEnds = true
		if l.lifecycle.Parted() || l.handover.successor != nil || !l.clients.accepting {
			l.closeListener() // others accept here
		} else {
			l.clients.drainBacklog.Store(true)
			_ = l.clients.listener.SetDeadline(time.Now().Add(backlogQuietTime)) // for an accept that waits already
		}
	}
	for c := range l.clients.conns {
		l.passToSuccessor(c) // one that takes its answers slowly was not idle before
		ends := l.lifecycle.EndsIdle
		if c.activityRank() == 0 {
			ends = l.lifecycle.EndsNew
		}
		if !c.awaitingAnswer() && ends(now, c.lastActivity()) {
			c.closeAfterAnswers(l)
		}
	}
	if l.lifecycle.Abandons(now) && !l.shutdown.abandoned {
		// What SIGKILL would find unanswered would be lost.
		l.shutdown.abandoned = true
		l.closeListener()
		l.failAll()
	}
	l.endIfDone()
}

// closeListener closes the listener.
func (l *Loop) closeListener() {
	if !l.shutdown.listenerClosed {
		l.shutdown.listenerClosed = true
		l.clients.closeListener()
		close(l.clients.resumeAccept)
	}
}

// pendingWork is how much somebody still waits for: the answers to open requests, connections that are to be accepted or read
// first, and answers that are not written to their end.
func (l *Loop) pendingWork(now policy.Time) int {
	owed := l.open
	if !l.shutdown.listenerClosed {
		owed++
	}
	for c := range l.clients.conns {
		if c.delaysShutdown(now) {
			owed++
		}
	}
	return owed
}

// endIfDone ends the gateway once nothing is open any more, and has step called when something
// changes by the passing of time.
func (l *Loop) endIfDone() {
	now := l.now()
	if l.lifecycle.Stopping() && l.lifecycle.Over(now, l.pendingWork(now), len(l.clients.conns)) {
		l.done = true
	}
	if next, ok := l.lifecycle.Next(now); ok && (l.shutdown.nextCheck <= now || next < l.shutdown.nextCheck) {
		l.shutdown.nextCheck = next
		l.schedule(next, shutdownTimer{})
	}
}

type shutdownTimer struct{}

func (shutdownTimer) due(l *Loop) { l.step() }

// failAll answers all that is still open.
func (l *Loop) failAll() {
	now := l.now()
	for _, r := range l.requests {
		if !r.answered {
			l.answer(r, failedReply)
			l.balancer.ClientGone(now, r.id)
		}
	}
}
