package election

import (
	"context"
	"sync"
	"time"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/monotonic"
)

// elector takes part in the election of one role. One goroutine calls step; mu guards the state
// that it shares with the work, with the work's timer and with the updates of the leases.
type elector struct {
	set     *Set
	role    string
	work    Work
	stepNow chan struct{} // makes the goroutine call step at once

	mu         sync.Mutex
	claimant   *lease.Claimant
	transferTo string // id of the member that the role is to be transferred to; "": none
	resign     bool   // the role is to be transferred to the first in rank
	balanced   bool   // see Set.AddBalanced
	nextMoveAt time.Duration
	offered    bool // the lease was granted to this process, which has not confirmed it yet
	vacant     bool // the role has no leader

	// The running work. It runs until its context ends; workDone is closed when it has returned.
	cancelWork context.CancelFunc // nil: no work is running
	workTerm   uint64
	workDone   chan struct{}
	endTimer   *time.Timer // ends the work when the lease expires, even if the goroutine is blocked
}

// notify makes the elector's goroutine call step at once.
func (e *elector) notify() {
	select {
	case e.stepNow <- struct{}{}:
	default: // a notification is pending already
	}
}

// run calls step repeatedly until the context ends, and then transfers the role.
func (e *elector) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			e.transfer("")
			return
		case <-e.stepNow:
		case <-timer.C:
		}
		timer.Reset(e.step())
	}
}

// rank returns the number of members that precede this one in rank for the role.
func (e *elector) rank() int {
	return lease.Rank(e.role, e.set.self().ID, e.set.currentMembers())
}

// step ends expired work, transfers the role or requests the lease, whichever is due, and returns
// the time until the next step.
func (e *elector) step() time.Duration {
	e.mu.Lock()
	now := monotonic.Now()
	held := e.endIfExpired(now)
	rank := e.prepareRequest(now, held)
	if to, due := e.takeTransfer(now, held); due {
		e.mu.Unlock()
		e.transfer(to)
		return 0
	}
	due, at := e.claimant.Due(now)
	if !due {
		defer e.mu.Unlock()
		if held {
			// The next step is no later than the end of the lease, so that the loss is handled at
			// once.
			return min(at-now, e.claimant.Remaining(now))
		}
		return at - now
	}
	e.claimant.Sent(now)
	knownTerm := e.claimant.KnownTerm()
	e.mu.Unlock()
	e.request(now, knownTerm, rank)
	return 0
}

// prepareRequest reschedules the next request if the lease has become vacant or was offered to this
// member. It returns the member's rank, limited to 2*activeRanks, or 0 if the member holds the
// lease or was offered it. The caller holds e.mu.
func (e *elector) prepareRequest(now time.Duration, held bool) (rank int) {
	const noRequest = -1 // not the time of any request: a request in flight stays in flight
	if !held && !e.offered {
		rank = min(e.rank(), 2*activeRanks)
		if e.vacant {
			// A role without a leader goes to the first member in rank that requests it.
			e.vacant = false
			e.claimant.Failed(now, noRequest, time.Duration(rank)*rankDelay)
		}
	}
	if e.offered {
		e.offered = false
		e.claimant.Failed(now, noRequest, 0)
	}
	return rank
}

// takeTransfer reports whether the role is to be transferred now, and to which member; "" means to
// the first in rank. It clears the pending requests to transfer the role. The caller holds e.mu.
func (e *elector) takeTransfer(now time.Duration, held bool) (to string, due bool) {
	to = e.transferTo
	resign := e.resign
	e.transferTo = ""
	e.resign = false
	if !held {
		return "", false
	}
	if to == "" && !resign {
		to = e.set.preferredLeader(e, now)
	}
	return to, resign || to != "" && to != e.set.self().ID
}

// endIfExpired ends the work if the lease has expired, and reports whether the lease is held. The
// caller holds e.mu.
func (e *elector) endIfExpired(now time.Duration) (held bool) {
	_, held = e.claimant.Holds(now)
	if !held && e.cancelWork != nil {
		e.set.options.Log.Warn("fleet: role lost",
			"role", e.role, "term", e.workTerm, "reason", e.claimant.LossReason())
		e.stopWork()
	}
	return held
}

// endWorkAfter sets the timer that ends the work when the lease expires, after the remaining time.
// The caller holds e.mu.
func (e *elector) endWorkAfter(remaining time.Duration) {
	if e.endTimer != nil {
		e.endTimer.Stop()
	}
	e.endTimer = time.AfterFunc(remaining, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.endIfExpired(monotonic.Now())
	})
}

// stopWork ends the context of the running work, if any. The caller holds e.mu.
func (e *elector) stopWork() {
	if e.cancelWork != nil {
		e.cancelWork()
		e.cancelWork = nil
	}
}

// startWork starts the work under a new term after the work of the previous term has returned: the
// work of a role never runs twice concurrently in this process. The caller holds e.mu.
func (e *elector) startWork(l lease.Lease) {
	e.stopWork()
	previousDone := e.workDone
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	e.cancelWork = cancel
	e.workTerm = l.Term
	e.workDone = done
	e.set.options.Log.Info("fleet: role acquired",
		"role", e.role, "term", l.Term, "cause", string(l.Cause))
	go func() {
		defer close(done)
		if previousDone != nil {
			<-previousDone
		}
		e.work(ctx, &Tenure{Role: e.role, Term: l.Term, elector: e})
	}()
}
