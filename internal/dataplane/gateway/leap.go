package gateway

import (
	"sync/atomic"

	"mothcleat/internal/dataplane/policy"
)

// leaps are the times in which this process stood still: its loop turns many times a second, so a turn that comes late by seconds is one
// that could not come. What arrived meanwhile lay in the sockets, and nobody knows since when; it is held to be as old as the leap.
type leaps struct {
	turned   atomic.Int64 // when the loop last turned
	from, to atomic.Int64 // the last leap
}

const (
	leapLeast policy.Time = 1_000_000
	// What is read within so long after a leap was there before its end, as far as can be told.
	leapAfter policy.Time = 50_000
)

// turn takes note that the loop turns.
func (p *leaps) turn(now policy.Time) (leapt policy.Time) {
	last := p.turned.Swap(now)
	if last == 0 || now-last < leapLeast {
		return 0
	}
	p.from.Store(last)
	p.to.Store(now)
	return now - last
}

// since is when something that is read now has arrived at the earliest. Any goroutine may ask, also one that runs before the loop's after a
// leap.
func (p *leaps) since(now policy.Time) policy.Time {
	if last := p.turned.Load(); last != 0 && now-last >= leapLeast {
		return last
	}
	if to := p.to.Load(); to != 0 && now-to < leapAfter {
		return p.from.Load()
	}
	return now
}

// turn takes note that the loop turns, and logs a leap.
func (l *Loop) turn() {
	if leapt := l.leaps.turn(l.clock.now()); leapt > 0 {
		l.log.Warn("this process stood still", "ms", leapt/1000, "open", l.open)
	}
}

// tooLate tells whether a request's client waits no more, or not long enough for any answer.
func (l *Loop) tooLate(r *request) bool { return r.deadline <= l.now() }
