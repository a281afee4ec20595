package policy

import "math"

const (
	retryBudgetRatio     = 0.2  // further attempts that a first attempt earns
	maxRetryBudget       = 10.0 // further attempts saved up
	executedRetryCost    = 1.0
	notExecutedRetryCost = 0.1 // after an attempt that cost the back end next to nothing

	// retryTimeDivisor: a retry needs one tenth of the latency objective until the deadline.
	retryTimeDivisor = 10

	// deduplicationMarginTicks is how much earlier a deduplication window is taken to close.
	deduplicationMarginTicks = 4
)

// retryBudget is the number of further attempts that may be made. It bounds the load that retries
// add to a back end that fails.
type retryBudget struct{ attempts float64 }

// earn adds what a first attempt earns.
func (b *retryBudget) earn() {
	b.attempts = math.Min(maxRetryBudget, b.attempts+retryBudgetRatio)
}

// covers reports whether a retry of a cost may be made.
func (b *retryBudget) covers(cost float64) bool { return b.attempts >= cost }

// spend takes the cost of a retry.
func (b *retryBudget) spend(cost float64) { b.attempts -= cost }

// retryOrAnswer sends a request again after its last attempt has failed, or gives its final answer.
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

// retry sends a further attempt if the limits allow it and there is a backend for it.
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

// MayStillSend reports whether an attempt that a Send asked for may be written now. The host may
// have waited for a connection, while a deduplication window closes. It changes nothing and may be
// called during Send.
func (lb *Balancer) MayStillSend(now Time, id uint64, attempt int) bool {
	r := lb.requests[id]
	if r == nil || attempt >= len(r.attempts) {
		return false
	}
	return lb.mayRetry(r, r.attempts[:attempt], now).allowed
}

// retryDecision tells how a request may go on after the attempts made.
type retryDecision struct {
	allowed   bool     // it may be sent again
	within    *attempt // only within this attempt's deduplication scope; nil: anywhere
	mayReject bool     // the client may be told that a repetition is harmless
}

func (lb *Balancer) mayRetry(r *request, made []*attempt, now Time) retryDecision {
	margin := deduplicationMarginTicks * lb.settings.Tick
	return lb.settings.Classes[r.Class].mayRetry(made, lb.settings.Hedging, now, margin)
}

// mayRetry decides whether a request may be sent again. A deduplication window is taken to close
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

// sameScope reports whether two backends drop each other's repetitions.
func (c *Class) sameScope(a, b *backend) bool {
	switch c.DeduplicationScope {
	case ScopeZone:
		return a.Zone == b.Zone
	case ScopeCell:
		return a.Cell == b.Cell
	}
	return true
}
