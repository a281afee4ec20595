package gateway

import (
	"time"

	"mothcleat/internal/dataplane/policy"
)

// Rights are this gateway's parts of the quotas that its fleet shares. All but Follow are called by the loop, and
// must not wait.
type Rights interface {
	policy.Allocations
	// By is until when what was taken for a request may be used; 0: nothing was.
	By(id uint64) time.Duration
	// Over tells whether that time is over, by the clock as it is now.
	Over(by time.Duration) bool
	// Order tells by which version of the plans customers' wholes are from now on.
	Order(order uint64)
	// Follow has the answers to Borrow go to a function, which may be called from any goroutine.
	Follow(lent func(Loan))
}

// Loan is the answer to a Borrow.
type Loan struct {
	ID     uint64
	Budget policy.SharedQuota
	Units  float64       // 0: none
	After  time.Duration // in which there may be as many
	By     time.Duration // until when they may be used
}

// lent is such an answer on its way to the module.
type lent Loan

func (e lent) handle(l *Loop) {
	if r := l.requests[e.ID]; r != nil && e.Units > 0 {
		r.use = e.By
	}
	l.module.ReceiveOnDemand(l.now(), e.ID, &e.Budget, e.Units, e.After.Microseconds())
}

// useRights has the module decide by rights.
func (l *Loop) useRights() {
	if l.cfg.Rights == nil {
		return
	}
	l.module.UseAllocations(l.cfg.Rights)
	l.cfg.Rights.Follow(func(loan Loan) { l.post(lent(loan)) })
}

// granted takes note of until when a request's first attempt may be written.
func (l *Loop) granted(r *request) {
	if l.cfg.Rights == nil || r.attempts > 0 {
		return
	}
	if by := l.cfg.Rights.By(r.id); by != 0 && (r.use == 0 || by < r.use) {
		r.use = by
	}
}

// lapsed ends an attempt whose request was decided by a right that is over: this process lay stopped, or the request
// waited long for a connection. Nothing of it was sent, and it is refused. It is asked at the last moment before a write.
func (l *Loop) lapsed(a *attempt) bool {
	if a.r != nil && (l.tooLate(a.r) || l.forbidden(a.r)) {
		switch {
		case a.r.counted:
			l.answer(a.r, failed) // it was sent on before, and may have run
		case l.tooLate(a.r):
			l.answer(a.r, l.comeBack(refuseAfter))
		default:
			l.turnAway(a.r)
		}
		l.finish(a, policy.Superseded, nil)
		return true
	}
	if a.r == nil || a.r.counted || a.r.use == 0 || !l.cfg.Rights.Over(a.r.use) {
		return false
	}
	l.answer(a.r, busy(0))
	l.finish(a, policy.Superseded, nil)
	return true
}
