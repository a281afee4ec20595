package gateway

import (
	"sync/atomic"

	"mothcleat/internal/dataplane/policy"
)

// suspendDetector finds the times in which this process did not run (a stopped machine, SIGSTOP).
// The event loop turns many times a second, so a turn that is late by seconds tells of one.
// Commands that arrived meanwhile lay in the sockets for an unknown time; they are treated as old
// as the suspension, and so are those that came while a process that starts did not accept
// yet. recordIteration belongs to the loop; earliestArrival may be called from anywhere.
type suspendDetector struct {
	lastIteration atomic.Int64 // of the event loop; 0: none yet
	suspendedFrom atomic.Int64 // the last suspension
	suspendedTo   atomic.Int64 // 0: there was none
}

const (
	minSuspension policy.Time = 1_000_000
	// What is read so soon after a suspension may have arrived during it.
	suspensionReadGrace policy.Time = 50_000
)

// recordBacklog records that commands may have lain in sockets since a time at which nobody read.
func (d *suspendDetector) recordBacklog(since, now policy.Time) {
	d.suspendedFrom.Store(since)
	d.suspendedTo.Store(now)
}

// recordIteration records a turn of the event loop. It returns how long the process was suspended
// before it; 0: it was not.
func (d *suspendDetector) recordIteration(now policy.Time) (suspended policy.Time) {
	last := d.lastIteration.Swap(now)
	if last == 0 || now-last < minSuspension {
		return 0
	}
	d.suspendedFrom.Store(last)
	d.suspendedTo.Store(now)
	return now - last
}

// earliestArrival returns the earliest time at which something that is read now can have arrived.
// A goroutine may call it after a suspension before the loop has turned.
func (d *suspendDetector) earliestArrival(now policy.Time) policy.Time {
	if last := d.lastIteration.Load(); last != 0 && now-last >= minSuspension {
		return last
	}
	if to := d.suspendedTo.Load(); to != 0 && now-to < suspensionReadGrace {
		return d.suspendedFrom.Load()
	}
	return now
}

// recordIteration records a turn of the event loop, and logs a suspension that ended with it.
func (g *Gateway) recordIteration() {
	suspended := g.suspend.recordIteration(g.clock.now())
	if suspended > 0 {
		g.log.Warn("this process was suspended", "ms", suspended/1000, "open", g.requests.open)
	}
}

// pastDeadline reports whether a request's client no longer waits, or not long enough for an
// answer to reach it.
func (g *Gateway) pastDeadline(r *request) bool { return r.deadline <= g.now() }
