package gateway

import (
	"time"

	"mothcleat/internal/dataplane/policy"
)

// Allocations are this gateway's shares of the quotas that the fleet shares. Expiries are by a
// clock of the implementation's. All methods but OnReply are called on the event loop's goroutine,
// and must not block.
type Allocations interface {
	policy.Allocations
	// UsableUntil returns when the units taken for a request expire; 0: none were taken.
	UsableUntil(id uint64) time.Duration
	// Expired reports whether that time is over now.
	Expired(until time.Duration) bool
	// SetPlanOrder tells by which version of the plans customers' limits are from now on.
	SetPlanOrder(order uint64)
	// OnReply sets the receiver of the answers to on-demand requests. It is called once, and
	// the receiver may be called from any goroutine.
	OnReply(receive func(OnDemandReply))
}

// OnDemandReply is the answer to a request for an on-demand allocation.
type OnDemandReply struct {
	RequestID   uint64
	Quota       policy.SharedQuota
	Units       float64       // 0: none were granted
	RetryAfter  time.Duration // after which there may be as many
	UsableUntil time.Duration // when the units expire
}

// onDemandReplied is such an answer on its way to the balancer.
type onDemandReplied OnDemandReply

func (e onDemandReplied) handle(g *Gateway) {
	if r := g.requests.byID[e.RequestID]; r != nil && e.Units > 0 {
		r.allocationUntil = e.UsableUntil
	}
	retryAfter := e.RetryAfter.Microseconds()
	g.balancer.ReceiveOnDemand(g.now(), e.RequestID, &e.Quota, e.Units, retryAfter)
}

// useAllocations has the balancer decide by allocations, where the fleet grants them.
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

// decisionExpired ends an attempt whose request was admitted by something that has expired since:
// its deadline, its version lease or its allocation. The process may have been suspended, or the
// request may have waited for a connection, so this is checked last before a write. It reports
// whether the attempt has ended.
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

// answerExpired answers a request whose deadline or version lease is over.
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

// allocationExpired reports whether the allocation expired that admitted a request, before its
// first attempt was written.
func (g *Gateway) allocationExpired(r *request) bool {
	if r.sent || r.allocationUntil == 0 {
		return false
	}
	return g.cfg.Allocations.Expired(r.allocationUntil)
}
