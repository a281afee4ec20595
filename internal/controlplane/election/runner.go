package election

import (
	"context"
	"sync"
	"time"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/monotonic"
)

// runner takes part in the election of one role.
type runner struct {
	set  *Set
	name string
	work Work
	wake chan struct{}

	mu     sync.Mutex
	holder *lease.Claimant
	wish   string // id of the member to transfer the role to
	quit   bool   // transfer the role to the first in rank
	spread bool
	moveAt time.Duration // earliest time of the next transfer to the preferred leader
	soon   bool          // the role was offered to this process
	freed  bool          // the role has no leader
	cancel context.CancelFunc
	ender  *time.Timer // ends the work with the lease, whatever this runner waits for
	worked chan struct{}
	term   uint64 // term of the work under way
}

// stop ends the work under way. The caller holds r.mu.
func (r *runner) stop() {
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
}

// run steps until the context ends, and then transfers the role.
func (r *runner) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			r.transfer("")
			return
		case <-r.wake:
		case <-timer.C:
		}
		timer.Reset(r.step())
	}
}

// rank returns how many members come before this one for the role.
func (r *runner) rank() int {
	return lease.Rank(r.name, r.set.opt.Client.Me().ID, r.set.currentMembers())
}

// step does what is due and returns the time until the next step.
func (r *runner) step() time.Duration {
	r.mu.Lock()
	now := monotonic.Now()
	held := r.endIfExpired(now)
	wish, quit := r.wish, r.quit
	r.wish, r.quit = "", false
	rank := 0
	if !held && !r.soon {
		rank = min(r.rank(), 2*activeRanks)
		if r.freed {
			// A role without a leader goes to the first member in rank that asks.
			r.freed = false
			r.holder.Failed(now, -1, time.Duration(rank)*rankDelay)
		}
	}
	if held && wish == "" && !quit {
		wish = r.set.preferredLeader(r, now)
	}
	if r.soon {
		r.soon = false
		r.holder.Failed(now, -1, 0)
	}
	if held && (quit || wish != "" && wish != r.set.opt.Client.Me().ID) {
		r.mu.Unlock()
		r.transfer(wish)
		return 0
	}
	ask, at := r.holder.Due(now)
	if !ask {
		r.mu.Unlock()
		if held {
			// Not later than the end of the lease, which is acted on at once.
			return min(at-now, max(0, r.holder.Remaining(now)))
		}
		return at - now
	}
	r.holder.Sent(now)
	knows := r.holder.KnownTerm()
	r.mu.Unlock()
	r.request(now, knows, rank)
	return 0
}

// scheduleEnd ends the work when the lease runs out. The caller holds r.mu.
func (r *runner) scheduleEnd(left time.Duration) {
	if r.ender != nil {
		r.ender.Stop()
	}
	r.ender = time.AfterFunc(left, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.endIfExpired(monotonic.Now())
	})
}

// endIfExpired ends the work if the lease has run out. The caller holds r.mu.
func (r *runner) endIfExpired(now time.Duration) (held bool) {
	if _, held = r.holder.Holds(now); !held && r.cancel != nil {
		r.set.opt.Log.Warn("fleet: duty lost", "duty", r.name, "term", r.term, "why", r.holder.LossReason())
		r.stop()
	}
	return held
}

// begin starts the work under a new term, after the work of the term before has returned. The caller holds r.mu.
func (r *runner) begin(h lease.Lease) {
	r.stop()
	before := r.worked
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel, r.term, r.worked = cancel, h.Term, make(chan struct{})
	done := r.worked
	r.set.opt.Log.Info("fleet: duty taken", "duty", r.name, "term", h.Term, "cause", string(h.Cause))
	go func() {
		defer close(done)
		if before != nil {
			<-before // the work of one role never runs twice at once in this process
		}
		r.work(ctx, &Tenure{Role: r.name, Term: h.Term, r: r})
	}()
}
