package gateway

import (
	"time"

	"mothcleat/internal/dataplane/policy"
)

// Allocations are this gateway's shares of the fleet's quotas. Expiries are on the implementation's
// own clock. All methods except OnReply are called on the event loop's goroutine and must not
// block.
type Allocations interface {
	policy.Allocations
	// UsableUntil returns when the units taken for a request expire; 0: none were taken.
	UsableUntil(id uint64) time.Duration
	// Expired reports whether the expiry until has passed.
	Expired(until time.Duration) bool
	// SetPlanOrder sets the order of the plan version that determines customers' limits from now
	// on.
	SetPlanOrder(order uint64)
	// OnReply sets the function that receives the answers to on-demand requests. It is called once.
	// The function may be called from any goroutine.
	OnReply(receive func(OnDemandReply))
}

// OnDemandReply is the answer to a request for an on-demand allocation.
type OnDemandReply struct {
	RequestID   uint64
	Quota       policy.SharedQuota
	Units       float64       // units granted; 0: none
	RetryAfter  time.Duration // after which the requested units may be available
	UsableUntil time.Duration // when the units expire
}

// onDemandReplied passes an OnDemandReply to the balancer.
type onDemandReplied OnDemandReply

func (e onDemandReplied) handle(g *Gateway) {
	if r := g.requests.byID[e.RequestID]; r != nil && e.Units > 0 {
		r.allocationUntil = e.UsableUntil
	}
	retryAfter := e.RetryAfter.Microseconds()
	g.balancer.ReceiveOnDemand(g.now(), e.RequestID, &e.Quota, e.Units, retryAfter)
}

// useAllocations makes the balancer decide by allocations if the gateway has them.
func (g *Gateway) useAllocations() {
	if g.cfg.Allocations == nil {
		return
	}
	g.balancer.UseAllocations(g.cfg.Allocations)
	g.cfg.Allocations.OnReply(func(reply OnDemandReply) { g.post(onDemandReplied(reply)) })
}

// recordAllocation records until when a request's first attempt may be written.
func (g *Gateway) recordAllocation(r *request) {
	if g.cfg.Allocations == nil || r.attemptsMade > 0 {
		return
	}
	until := g.cfg.Allocations.UsableUntil(r.id)
	if until != 0 && (r.allocationUntil == 0 || until < r.allocationUntil) {
		r.allocationUntil = until
	}
}

// decisionExpired ends an attempt if the deadline, the version lease or the allocation of its
// request has expired. This is the last check before a write, because the process may have been
// suspended or the request may have waited for a connection. It reports whether it ended the
// attempt.
func (g *Gateway) decisionExpired(a *attempt) bool {
	r := a.request
	if r == nil {
		return false
	}
	switch {
	case g.pastDeadline(r) || g.versionLeaseExpired(r):
		g.answerExpired(r)
	case g.allocationExpired(r):
		g.answer(r, busyReply(0))
	default:
		return false
	}
	g.finishAttempt(a, policy.Superseded, nil)
	return true
}

// answerExpired answers a request whose deadline or version lease has expired.
func (g *Gateway) answerExpired(r *request) {
	switch {
	case r.sent:
		g.answer(r, failedReply) // it may have been executed
	case g.pastDeadline(r):
		g.answer(r, g.retryLaterReply(overloadRetryAfter))
	default:
		g.rejectFenced(r)
	}
}

// allocationExpired reports whether the allocation that admitted a request has expired before the
// first attempt was written.
func (g *Gateway) allocationExpired(r *request) bool {
	if r.sent || r.allocationUntil == 0 {
		return false
	}
	return g.cfg.Allocations.Expired(r.allocationUntil)
}
