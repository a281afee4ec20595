package election

import (
	"context"
	"time"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/monotonic"
)

// transfer ends the work and transfers the role to the member with the given id, or for "" to the
// first in rank. If no member is found for "", the role is released. A transfer to a member that is
// not found is withdrawn, and the work continues.
func (e *elector) transfer(id string) {
	ctx, cancel := e.requestContext()
	defer cancel()
	successor, found := e.successor(ctx, id)
	if id != "" && !found {
		e.withdrawTransfer(ctx, id)
		return
	}
	e.mu.Lock()
	term, held := e.claimant.Holds(monotonic.Now())
	e.stopWork()
	workDone := e.workDone
	e.mu.Unlock()
	if !held {
		return
	}
	select {
	case <-workDone:
	case <-time.After(stopTimeout):
	}
	command := lease.Command{Action: lease.ActionRelease, Role: e.role, Term: term}
	if found {
		command.Action = lease.ActionTransfer
		command.To = successor
	}
	_, err := e.propose(ctx, command)
	e.mu.Lock()
	e.claimant.GiveUp(monotonic.Now(), 2*e.set.options.LeaseConfig.OfferTTL, "transferred")
	e.workTerm = 0
	e.mu.Unlock()
	e.set.options.Log.Info("fleet: role released",
		"role", e.role, "term", term, "to", command.To.ID, "error", err)
}

// withdrawTransfer withdraws the request to transfer the role to a member that is not active. This
// process keeps the role.
func (e *elector) withdrawTransfer(ctx context.Context, id string) {
	_, err := e.propose(ctx, lease.Command{Action: lease.ActionRequestTransfer, Role: e.role})
	e.set.options.Log.Warn("fleet: role can't be transferred: the target is not an active member",
		"role", e.role, "to", id, "error", err)
}

// successor returns the active member to transfer the role to: the one with the given id, or for ""
// the first in rank. The result found is false if there is none.
func (e *elector) successor(ctx context.Context, id string) (best lease.Member, found bool) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	eligible, err := e.set.eligible(ctx)
	if err != nil {
		return best, false
	}
	ids := idsOf(eligible)
	bestRank := len(ids)
	for _, m := range eligible {
		if m.ID == e.set.self().ID || id != "" && m.ID != id {
			continue
		}
		if rank := lease.Rank(e.role, m.ID, ids); rank < bestRank {
			best = m.Member
			bestRank = rank
		}
	}
	return best, best.ID != ""
}
