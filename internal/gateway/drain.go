package gateway

import "mothcleat/decide"

// The steps of a planned restart, after SIGTERM. New connections go on coming
// for a while; SIGKILL may come 3.7 s after it at the soonest.
const (
	acceptFor = 500_000
	answerFor = 3_200_000
	closeFor  = 300_000 // for the other side to close after the last answer
)

// drain is the state of a planned shutdown.
type drain struct {
	begun, closing, answered, last bool
	handed                         bool // a new process serves: nothing more is taken
}

// stop begins a planned shutdown.
type stop struct{}

func (stop) handle(l *Loop) {
	if l.drain.begun {
		return
	}
	l.drain.begun = true
	l.log.Info("stopping", "open", l.open)
	now := l.now()
	l.at(now+acceptFor, drainStep{closing: true})
	l.at(now+answerFor, drainStep{answer: true})
	l.at(now+answerFor+closeFor, drainStep{exit: true})
}

type drainStep struct{ closing, answer, exit bool }

func (s drainStep) due(l *Loop) {
	switch {
	case s.closing:
		l.drain.closing = true
		_ = l.clients.listener.Close()
		for c := range l.clients.conns {
			c.end(l)
		}
	case s.answer:
		// What SIGKILL would find unanswered would be lost.
		l.drain.answered = true
		l.failAll()
	case s.exit:
		l.done = true
	}
	l.drain.check(l)
}

// failAll answers all that is still open.
func (l *Loop) failAll() {
	now := l.now()
	for _, r := range l.requests {
		if !r.answered {
			l.answer(r, failed)
			l.module.Gone(now, r.id)
		}
	}
}

// check ends the gateway as soon as nothing is open any more: the other sides
// have read their answers and closed, or have had their time for it.
func (d *drain) check(l *Loop) {
	if !d.closing || l.open > 0 {
		return
	}
	if len(l.clients.conns) == 0 {
		l.done = true
	} else if !d.last {
		d.last = true
		l.at(l.now()+closeFor, drainStep{exit: true})
	}
}

// untilReady is how long a start waits for discovery before it serves with the
// list it was given.
const untilReady decide.Time = 500_000
