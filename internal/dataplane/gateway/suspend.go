package gateway

import (
	"sync/atomic"

	"mothcleat/internal/dataplane/policy"
)

// suspendDetector are the times in which this process stood still: its loop turns many times a second, so a turn that comes late by seconds is one
// that could not come. What arrived meanwhile lay in the sockets, and nobody knows since when; it is held to be as old as the leap.
type suspendDetector struct {
	lastTurn                   atomic.Int64 // when the loop last turned
	suspendedFrom, suspendedTo atomic.Int64 // the last leap
}

const (
	minSuspension policy.Time = 1_000_000
	// What is read within so long after a leap was there before its end, as far as can be told.
	suspensionReadGrace policy.Time = 50_000
)

// recordTurn takes note that the loop turns.
func (p *suspendDetector) recordTurn(now policy.Time) (leapt policy.Time) {
	last := p.lastTurn.Swap(now)
	if last == 0 || now-last < minSuspension {
		return 0
	}
	p.suspendedFrom.Store(last)
	p.suspendedTo.Store(now)
	return now - last
}

// earliestArrival is when something that is read now has arrived at the earliest. Any goroutine may ask, also one that runs before the loop's after a
// leap.
func (p *suspendDetector) earliestArrival(now policy.Time) policy.Time {
	if last := p.lastTurn.Load(); last != 0 && now-last >= minSuspension {
		return last
	}
	if to := p.suspendedTo.Load(); to != 0 && now-to < suspensionReadGrace {
		return p.suspendedFrom.Load()
	}
	return now
}

// recordTurn takes note that the loop turns, and logs a leap.
func (l *Loop) recordTurn() {
	if leapt := l.suspend.recordTurn(l.clock.now()); leapt > 0 {
		l.log.Warn("this process stood still", "ms", leapt/1000, "open", l.open)
	}
}

// pastDeadline tells whether a request's client waits no more, or not long enough for any answer.
func (l *Loop) pastDeadline(r *request) bool { return r.deadline <= l.now() }
