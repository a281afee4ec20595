package policy

const (
	hedgeAfterMeanLatencies   Time    = 10   // of the class
	minHedgeObjectiveFraction float64 = 0.05 // a short pause must not cause a hedge
)

// hedgeAt returns when the attempt just made is given up for another one, or 0 if it may last until
// the client's deadline. It is given up only if another attempt may be made, the back end has
// capacity for that, and the answer can still arrive within the latency objective.
func (lb *Balancer) hedgeAt(r *request) Time {
	class := &lb.settings.Classes[r.Class]
	if class.Idempotency == NotIdempotent || !lb.retries.covers(executedRetryCost) ||
		len(r.attempts) == lb.settings.MaxAttempts || lb.saturated(sharedBucketCapacity) {
		return 0
	}
	latency := Time(lb.classLatencies[r.Class].value)
	minDelay := Time(minHedgeObjectiveFraction * float64(class.LatencyObjective))
	at := lb.now + max(hedgeAfterMeanLatencies*latency, minDelay)
	if latency == 0 || at+latency > r.attempts[0].sentAt+class.LatencyObjective {
		return 0
	}
	return at
}
