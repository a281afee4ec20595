package gateway

import (
	"sync/atomic"

	"mothcleat/internal/dataplane/policy"
)

// suspendDetector detects periods in which this process did not run (a stopped machine, SIGSTOP).
// The event loop iterates many times a second, so an iteration that is late by seconds indicates a
// suspension. Commands that arrived during one waited in the sockets for an unknown time and are
// treated as if they had arrived at its start. The same applies to commands that arrived before a
// starting process accepted. recordIteration belongs to the event loop; earliestArrival is safe for
// concurrent use.
type suspendDetector struct {
	lastIteration atomic.Int64 // of the event loop; 0: there was none yet
	suspendedFrom atomic.Int64 // start of the last suspension
	suspendedTo   atomic.Int64 // end of the last suspension; 0: there was none
}

const (
	minSuspension policy.Time = 1_000_000
	// Commands read within this time after a suspension may have arrived during it.
	suspensionReadGrace policy.Time = 50_000
)

// recordBacklog records that commands read now may have waited in the sockets since the given time.
func (d *suspendDetector) recordBacklog(since, now policy.Time) {
	d.suspendedFrom.Store(since)
	d.suspendedTo.Store(now)
}

// recordIteration records an iteration of the event loop. It returns how long the process was
// suspended before the iteration, or 0 if it was not.
func (d *suspendDetector) recordIteration(now policy.Time) (suspended policy.Time) {
	last := d.lastIteration.Swap(now)
	if last == 0 || now-last < minSuspension {
		return 0
	}
	d.suspendedFrom.Store(last)
	d.suspendedTo.Store(now)
	return now - last
}

// earliestArrival returns the earliest time at which data read now can have arrived. A goroutine
// may call it after a suspension before the event loop's next iteration.
func (d *suspendDetector) earliestArrival(now policy.Time) policy.Time {
	if last := d.lastIteration.Load(); last != 0 && now-last >= minSuspension {
		return last
	}
	if to := d.suspendedTo.Load(); to != 0 && now-to < suspensionReadGrace {
		return d.suspendedFrom.Load()
	}
	return now
}

// recordIteration records an iteration of the event loop and logs a suspension that preceded it.
func (g *Gateway) recordIteration() {
	suspended := g.suspend.recordIteration(g.clock.now())
	if suspended > 0 {
		g.log.Warn("this process was suspended", "ms", suspended/1000, "open", g.requests.open)
	}
}

// pastDeadline reports whether a request's client no longer waits, or not long enough to receive an
// answer.
func (g *Gateway) pastDeadline(r *request) bool { return r.deadline <= g.now() }
