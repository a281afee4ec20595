package election

import (
	"context"
	"sync"
	"time"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/monotonic"
)

// elector takes part in the election of one role. One goroutine steps it; mu guards what that
// shares with the work, its timer and the updates of the leases.
type elector struct {
	set  *Set
	role string
	work Work
	wake chan struct{} // has the goroutine step at once

	mu         sync.Mutex
	claimant   *lease.Claimant
	transferTo string // id of the member that the role is to be transferred to; "": none
	resign     bool   // the role is to be transferred to the first in rank
	balanced   bool   // see Set.AddBalanced
	nextMoveAt time.Duration
	offered    bool // the lease was granted to this process, which is yet to confirm it
	vacant     bool // the role has no leader

	// The work under way. It runs until its context ends; workDone is closed when it has returned.
	cancelWork context.CancelFunc // nil: there is none
	workTerm   uint64
	workDone   chan struct{}
	endTimer   *time.Timer // ends the work with the lease, whatever the goroutine waits for
}

// notify has the elector step at once.
func (e *elector) notify() {
	select {
	case e.wake <- struct{}{}:
	default: // it was notified already
	}
}

// run steps until the context ends, and then transfers the role.
func (e *elector) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			e.transfer("")
			return
		case <-e.wake:
		case <-timer.C:
		}
		timer.Reset(e.step())
	}
}

// rank returns how many members come before this one for the role.
func (e *elector) rank() int {
	return lease.Rank(e.role, e.set.self().ID, e.set.currentMembers())
}

// step does what is due, and returns the time until the next step.
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
			// Not later than the end of the lease, which is acted on at once.
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

// prepareRequest sets when the lease may be requested, if that has changed, and returns this
// member's rank, as far as it matters; 0 for a lease that it holds or was offered. The caller holds
// e.mu.
func (e *elector) prepareRequest(now time.Duration, held bool) (rank int) {
	const noRequest = -1 // no request was sent at this time: one in flight stays so
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
// the first in rank. Requests to transfer it end with this call. The caller holds e.mu.
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

// endWorkAfter ends the work when the lease expires. The caller holds e.mu.
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

// stopWork ends the context of the work under way. The caller holds e.mu.
func (e *elector) stopWork() {
	if e.cancelWork != nil {
		e.cancelWork()
		e.cancelWork = nil
	}
}

// startWork starts the work under a new term, once that of the term before has returned: the work
// of one role never runs twice at once in this process. The caller holds e.mu.
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
