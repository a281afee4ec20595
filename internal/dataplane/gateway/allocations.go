package gateway

import (
	"time"

	"mothcleat/internal/dataplane/policy"
)

// Allocations are this gateway's parts of the quotas that its fleet shares. All but Follow are called by the loop, and
// must not wait.
type Allocations interface {
	policy.Allocations
	// UsableUntil is until when what was taken for a request may be used; 0: nothing was.
	UsableUntil(id uint64) time.Duration
	// Expired tells whether that time is over, by the clock as it is now.
	Expired(by time.Duration) bool
	// SetPlanOrder tells by which version of the plans customers' wholes are from now on.
	SetPlanOrder(order uint64)
	// OnReply has the answers to Borrow go to a function, which may be called from any goroutine.
	OnReply(lent func(OnDemandReply))
}

// OnDemandReply is the answer to a Borrow.
type OnDemandReply struct {
	RequestID   uint64
	Quota       policy.SharedQuota
	Units       float64       // 0: none
	RetryAfter  time.Duration // in which there may be as many
	UsableUntil time.Duration // until when they may be used
}

// onDemandReplied is such an answer on its way to the module.
type onDemandReplied OnDemandReply

func (e onDemandReplied) handle(l *Loop) {
	if r := l.requests[e.RequestID]; r != nil && e.Units > 0 {
		r.allocationUntil = e.UsableUntil
	}
	l.balancer.ReceiveOnDemand(l.now(), e.RequestID, &e.Quota, e.Units, e.RetryAfter.Microseconds())
}

// useAllocations has the module decide by rights.
func (l *Loop) useAllocations() {
	if l.cfg.Allocations == nil {
		return
	}
	l.balancer.UseAllocations(l.cfg.Allocations)
	l.cfg.Allocations.OnReply(func(loan OnDemandReply) { l.post(onDemandReplied(loan)) })
}

// recordAllocation takes note of until when a request's first attempt may be written.
func (l *Loop) recordAllocation(r *request) {
	if l.cfg.Allocations == nil || r.attemptsMade > 0 {
		return
	}
	if by := l.cfg.Allocations.UsableUntil(r.id); by != 0 && (r.allocationUntil == 0 || by < r.allocationUntil) {
		r.allocationUntil = by
	}
}

// decisionExpired ends an attempt whose request was decided by a right that is over: this process lay stopped, or the request
// waited long for a connection. Nothing of it was sent, and it is refused. It is asked at the last moment before a write.
func (l *Loop) decisionExpired(a *attempt) bool {
	if a.request != nil && (l.pastDeadline(a.request) || l.versionLeaseExpired(a.request)) {
		switch {
		case a.request.sentOn:
			l.answer(a.request, failedReply) // it was sent on before, and may have run
		case l.pastDeadline(a.request):
			l.answer(a.request, l.retryLaterReply(overloadRetryAfter))
		default:
			l.rejectFenced(a.request)
		}
		l.finishAttempt(a, policy.Superseded, nil)
		return true
	}
	if a.request == nil || a.request.sentOn || a.request.allocationUntil == 0 || !l.cfg.Allocations.Expired(a.request.allocationUntil) {
		return false
	}
	l.answer(a.request, busyReply(0))
	l.finishAttempt(a, policy.Superseded, nil)
	return true
}
