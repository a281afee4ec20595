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

// request asks for the lease of the role, or for its renewal, and takes in the answer. The arguments are the time
// of sending, the newest term that this process knows it holds, and its rank.
func (r *runner) request(sent time.Duration, knows uint64, rank int) {
	ctx, cancel := context.WithTimeout(context.Background(), r.set.opt.LeaseConfig.TTL)
	defer cancel()
	raw, err := r.set.opt.Client.Propose(ctx, lease.MachineName, lease.Op{Action: lease.ActionAcquire, Role: r.name, Term: knows}.Encode())
	var res lease.Result
	if err == nil {
		err = json.Unmarshal(raw, &res)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := monotonic.Now()
	switch {
	case errors.Is(err, controlrpc.ErrSuperseded):
		r.holder.Rejected(now, sent, time.Hour, err.Error())
		r.endIfExpired(now)
	case err != nil:
		r.holder.Failed(now, sent, retryDelay)
	case !res.OK:
		again := min(maxRequestDelay, max(10*time.Millisecond, res.Remaining+5*time.Millisecond)) + time.Duration(rank)*rankDelay
		if rank >= activeRanks {
			again = max(lowRankDelay, res.Remaining)
		}
		r.holder.Rejected(now, sent, again, res.Reason)
		r.endIfExpired(now)
	case r.holder.GaveUp(res.Lease.Term):
		r.holder.Failed(now, sent, retryDelay)
		go r.release(res.Lease.Term) // an earlier release got no answer
	case r.holder.Granted(now, sent, res.Lease.Term, res.TTL):
		r.wish = res.Lease.TransferTo
		r.scheduleEnd(r.holder.Remaining(now))
		if r.cancel == nil || r.term != res.Lease.Term {
			r.begin(res.Lease)
		}
	}
}

// release tells the agreed table that this process gave up a term.
func (r *runner) release(term uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), r.set.opt.LeaseConfig.TTL)
	defer cancel()
	_, err := r.set.opt.Client.Propose(ctx, lease.MachineName, lease.Op{Action: lease.ActionRelease, Role: r.name, Term: term}.Encode())
	r.set.opt.Log.Info("fleet: duty given up again", "duty", r.name, "term", term, "error", err)
}
