package election

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/monotonic"
)

// supersededDelay is the pause before the next request of a process whose id another process has
// taken.
const supersededDelay = time.Hour

// propose proposes a command to the table of leases.
func (e *elector) propose(ctx context.Context, command lease.Command) (lease.Result, error) {
	var result lease.Result
	body, err := e.set.options.Client.Propose(ctx, lease.MachineName, command.Encode())
	if err != nil {
		return result, err
	}
	return result, json.Unmarshal(body, &result)
}

// requestContext returns a context with the deadline of a request: one TTL.
func (e *elector) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), e.set.options.LeaseConfig.TTL)
}

// request requests the lease or its renewal, and processes the answer. The arguments are the time
// of sending, the newest term that this process knows it holds, and this process's rank.
func (e *elector) request(sentAt time.Duration, knownTerm uint64, rank int) {
	ctx, cancel := e.requestContext()
	defer cancel()
	result, err := e.propose(ctx,
		lease.Command{Action: lease.ActionAcquire, Role: e.role, Term: knownTerm})
	e.mu.Lock()
	defer e.mu.Unlock()
	now := monotonic.Now()
	switch {
	case errors.Is(err, controlrpc.ErrSuperseded):
		e.claimant.Rejected(now, sentAt, supersededDelay, err.Error())
		e.endIfExpired(now)
	case err != nil:
		e.claimant.Failed(now, sentAt, retryDelay)
	case !result.OK:
		e.claimant.Rejected(now, sentAt, rejectedDelay(result.Remaining, rank), result.Reason)
		e.endIfExpired(now)
	case e.claimant.GaveUp(result.Lease.Term):
		e.claimant.Failed(now, sentAt, retryDelay)
		go e.release(result.Lease.Term) // an earlier release got no answer
	default:
		e.granted(now, sentAt, &result)
	}
}

// granted processes an answer that grants or renews the lease. The caller holds e.mu.
func (e *elector) granted(now, sentAt time.Duration, result *lease.Result) {
	if !e.claimant.Granted(now, sentAt, result.Lease.Term, result.TTL) {
		return
	}
	e.transferTo = result.Lease.TransferTo
	e.endWorkAfter(e.claimant.Remaining(now))
	if e.cancelWork == nil || e.workTerm != result.Lease.Term {
		e.startWork(result.Lease)
	}
}

// rejectedDelay returns the pause before the next request when another member holds the lease for
// some remaining time.
func rejectedDelay(remaining time.Duration, rank int) time.Duration {
	if rank >= activeRanks {
		return max(lowRankDelay, remaining)
	}
	const minDelay = 10 * time.Millisecond
	const afterExpiry = 5 * time.Millisecond
	delay := min(maxRequestDelay, max(minDelay, remaining+afterExpiry))
	return delay + time.Duration(rank)*rankDelay
}

// release proposes to the table of leases to release a term that this process gave up.
func (e *elector) release(term uint64) {
	ctx, cancel := e.requestContext()
	defer cancel()
	_, err := e.propose(ctx, lease.Command{Action: lease.ActionRelease, Role: e.role, Term: term})
	e.set.options.Log.Info("fleet: role released again",
		"role", e.role, "term", term, "error", err)
}
