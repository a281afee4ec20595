package election

import (
	"context"
	"time"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/monotonic"
)

// transfer ends the work and transfers the role to the member named, or else to the first in rank.
func (r *runner) transfer(to string) {
	ctx, cancel := context.WithTimeout(context.Background(), r.set.opt.LeaseConfig.TTL)
	defer cancel()
	next, known := r.successor(ctx, to)
	if to != "" && !known {
		// That member takes no part: the wish is withdrawn, and the role stays here.
		_, err := r.set.opt.Client.Propose(ctx, lease.MachineName, lease.Op{Action: lease.ActionRequestTransfer, Role: r.name}.Encode())
		r.set.opt.Log.Warn("fleet: duty can't be handed on: no such gateway takes part", "duty", r.name, "to", to, "error", err)
		return
	}
	r.mu.Lock()
	now := monotonic.Now()
	term, held := r.holder.Holds(now)
	r.stop()
	worked := r.worked
	r.mu.Unlock()
	if !held {
		return
	}
	select {
	case <-worked:
	case <-time.After(stopTimeout):
	}
	op := lease.Op{Action: lease.ActionRelease, Role: r.name, Term: term}
	if known {
		op.Action, op.To = lease.ActionTransfer, next
	}
	_, err := r.set.opt.Client.Propose(ctx, lease.MachineName, op.Encode())
	r.mu.Lock()
	r.holder.GiveUp(monotonic.Now(), 2*r.set.opt.LeaseConfig.OfferTTL, "handed on")
	r.term = 0
	r.mu.Unlock()
	r.set.opt.Log.Info("fleet: duty given up", "duty", r.name, "term", term, "to", op.To.ID, "error", err)
}

// successor returns the member to transfer the role to. The result known is false where there is none.
func (r *runner) successor(ctx context.Context, named string) (best lease.Member, known bool) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	all, err := r.set.eligible(ctx)
	if err != nil {
		return best, false
	}
	ids := idsOf(all)
	rank := len(ids)
	for _, m := range all {
		if m.ID == r.set.opt.Client.Me().ID || named != "" && m.ID != named {
			continue
		}
		if n := lease.Rank(r.name, m.ID, ids); n < rank {
			best, rank = m.Member, n
		}
	}
	return best, best.ID != ""
}
