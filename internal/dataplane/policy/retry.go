package policy

import "math"

const (
	retryBudgetRatio     = 0.2  // retries that a first attempt earns
	maxRetryBudget       = 10.0 // retries that can accumulate
	executedRetryCost    = 1.0
	notExecutedRetryCost = 0.1 // after an attempt that cost the back end next to nothing

	// retryTimeDivisor divides the latency objective: a retry needs more than one tenth of it until
	// the deadline.
	retryTimeDivisor = 10

	// deduplicationMarginTicks is how many ticks earlier a deduplication window is assumed to
	// close.
	deduplicationMarginTicks = 4
)

// retryBudget is the number of retries that may be made. It bounds the load that retries add to a
// failing back end.
type retryBudget struct{ attempts float64 }

// earn adds the retries that a first attempt earns.
func (b *retryBudget) earn() {
	b.attempts = math.Min(maxRetryBudget, b.attempts+retryBudgetRatio)
}

// covers reports whether the budget suffices for a retry of a cost.
func (b *retryBudget) covers(cost float64) bool { return b.attempts >= cost }

// spend deducts the cost of a retry.
func (b *retryBudget) spend(cost float64) { b.attempts -= cost }

// retryOrAnswer retries a request whose last attempt has failed, or gives its final answer.
func (lb *Balancer) retryOrAnswer(r *request, last *attempt) {
	decision := lb.mayRetry(r, r.attempts, lb.now)
	if decision.allowed {
		cost := notExecutedRetryCost
		if last.mayHaveRun {
			cost = executedRetryCost
		}
		if lb.retry(r, decision.within, cost) {
			return
		}
	}
	delete(lb.requests, r.ID)
	if decision.mayReject {
		lb.reject(r.ID, lb.minObjective/2, ReasonAttemptLimit)
	} else {
		lb.actions.Fail(r.ID)
	}
}

// retry sends a further attempt and returns true if the limits allow it and a backend is usable.
func (lb *Balancer) retry(r *request, within *attempt, cost float64) bool {
	objective := lb.settings.Classes[r.Class].LatencyObjective
	if len(r.attempts) >= lb.settings.MaxAttempts || !lb.retries.covers(cost) {
		return false
	}
	if r.deadline-lb.now <= objective/retryTimeDivisor {
		return false
	}
	b := lb.pick(r, within)
	if b == nil {
		return false
	}
	lb.retries.spend(cost)
	lb.sendAttempt(r, b)
	return true
}

// MayStillSend reports whether an attempt that was requested by Send may be written now. The
// deduplication window may have closed while the host waited for a connection. It changes no state
// and may be called during Send.
func (lb *Balancer) MayStillSend(now Time, id uint64, attempt int) bool {
	r := lb.requests[id]
	if r == nil || attempt >= len(r.attempts) {
		return false
	}
	return lb.mayRetry(r, r.attempts[:attempt], now).allowed
}

// retryDecision tells how a request may continue after the attempts made.
type retryDecision struct {
	allowed   bool     // it may be sent again
	within    *attempt // only within this attempt's deduplication scope; nil: anywhere
	mayReject bool     // the client may be told that a retry is harmless
}

func (lb *Balancer) mayRetry(r *request, made []*attempt, now Time) retryDecision {
	margin := deduplicationMarginTicks * lb.settings.Tick
	return lb.settings.Classes[r.Class].mayRetry(made, lb.settings.Hedging, now, margin)
}

// mayRetry decides whether a request may be sent again. A deduplication window is assumed to close
// earlier by the margin.
func (c *Class) mayRetry(made []*attempt, hedging bool, now, margin Time) retryDecision {
	d := retryDecision{allowed: true, mayReject: true}
	for _, a := range made {
		if a.pending && !hedging {
			d.allowed = false
		}
		if !a.mayHaveRun || c.Idempotency == Idempotent {
			continue
		}
		if c.Idempotency == NotIdempotent {
			return retryDecision{}
		}
		if d.within == nil {
			d.within = a
			d.allowed = d.allowed && now < a.sentAt+c.DeduplicationWindow-margin
			d.mayReject = c.DeduplicationScope == ScopeAll
		}
	}
	return d
}

// sameScope reports whether a backend drops repetitions of an attempt that was made at another one:
// both are in one deduplication scope. The other one's zone and cell are those at the time of the
// attempt: its name may have passed to another process since.
func (c *Class) sameScope(a *attempt, b *backend) bool {
	switch c.DeduplicationScope {
	case ScopeZone:
		return a.zone == b.Zone
	case ScopeCell:
		return a.cell == b.Cell
	}
	return true
}
