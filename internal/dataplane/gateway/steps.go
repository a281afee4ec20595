package gateway

import (
	"time"

	"mothcleat/internal/dataplane/policy"
)

// untilReady is how long a start waits for discovery before it serves with the
// list it was given.
const untilReady policy.Time = 500_000

// steps carries out what the lifecycle decides.
type steps struct {
	closing   bool // no connection is accepted any more but those that the machine has accepted
	shut      bool // nor those
	abandoned bool
	at        policy.Time // when it is asked again; 0: nothing is due
}

// stop begins a planned shutdown.
type stop struct{}

func (stop) handle(l *Loop) {
	if l.life.Stopping() {
		return
	}
	l.log.Info("stopping", "open", l.open)
	l.life.Stop(l.now())
	l.step()
}

// step does what has become due and asks to be called again.
func (l *Loop) step() {
	now := l.now()
	if l.life.Closed(now) && !l.steps.closing {
		l.steps.closing = true
		if l.life.Parted() || l.handovers.successor != nil || !l.clients.accepts {
			l.shut() // others accept here
		} else {
			l.clients.last.Store(true)
			_ = l.clients.listener.SetDeadline(time.Now().Add(lastWithin)) // for an accept that waits already
		}
	}
	for c := range l.clients.conns {
		l.pass(c) // one that takes its answers slowly was not idle before
		ends := l.life.EndsIdle
		if c.worth() == 0 {
			ends = l.life.EndsNew
		}
		if !c.busy() && ends(now, c.lately()) {
			c.end(l)
		}
	}
	if l.life.Abandons(now) && !l.steps.abandoned {
		// What SIGKILL would find unanswered would be lost.
		l.steps.abandoned = true
		l.shut()
		l.failAll()
	}
	l.over()
}

// shut closes the listener.
func (l *Loop) shut() {
	if !l.steps.shut {
		l.steps.shut = true
		l.clients.shut()
		close(l.clients.goOn)
	}
}

// owed is how much somebody still waits for: the answers to open requests, connections that are to be accepted or read
// first, and answers that are not written to their end.
func (l *Loop) owed(now policy.Time) int {
	owed := l.open
	if !l.steps.shut {
		owed++
	}
	for c := range l.clients.conns {
		if c.owes(now) {
			owed++
		}
	}
	return owed
}

// over ends the gateway once nothing is open any more, and has step called when something
// changes by the passing of time.
func (l *Loop) over() {
	now := l.now()
	if l.life.Stopping() && l.life.Over(now, l.owed(now), len(l.clients.conns)) {
		l.done = true
	}
	if next, ok := l.life.Next(now); ok && (l.steps.at <= now || next < l.steps.at) {
		l.steps.at = next
		l.at(next, stepping{})
	}
}

type stepping struct{}

func (stepping) due(l *Loop) { l.step() }

// failAll answers all that is still open.
func (l *Loop) failAll() {
	now := l.now()
	for _, r := range l.requests {
		if !r.answered {
			l.answer(r, failed)
			l.module.ClientGone(now, r.id)
		}
	}
}
