package policy

import "math"

// A backend without attempts in flight may still have little capacity, so many gateways must not
// try it at the same time. Up to maxConcurrentTrials gateways may; each further one adds
// trialSpacing to the time over which their trials begin. This needs no messages between gateways.
const (
	maxConcurrentTrials = 6
	trialSpacing        = second / 30
)

// trialState keeps a gateway from a backend that may be cold or full.
type trialState struct {
	maybeRestarted        bool // only a stale list names it, or a connection failed
	notBefore             Time // when it may be tried if it may have restarted
	consecutiveRejections int
	backoffUntil          Time // after a rejection, nothing is sent before
}

// trialSpread returns the time over which all gateways begin to try a backend, in microseconds.
func (lb *Balancer) trialSpread() float64 {
	return float64(trialSpacing * Time(max(0, lb.settings.Gateways-maxConcurrentTrials)))
}

// awaitsTrial reports whether nothing may be sent now to a backend that may have restarted. Such a
// backend gets one attempt at a time.
func (b *backend) awaitsTrial(now Time) bool {
	return b.maybeRestarted && (b.inFlight > 0 || now < b.notBefore)
}

// scheduleTrial draws when a backend that only a stale list names may be tried.
func (lb *Balancer) scheduleTrial(b *backend) {
	b.notBefore = lb.now + Time(lb.rand.Float64()*lb.trialSpread())
}

// backOffRejecting stops sends to a backend for a while after it rejected an attempt: without
// attempts in flight it would look idle to every gateway. The wait is random and doubles with each
// rejection in a row.
func (lb *Balancer) backOffRejecting(b *backend) {
	if lb.now < b.backoffUntil {
		return // sent before the first rejection was known
	}
	wait := lb.trialSpread() * math.Exp2(float64(b.consecutiveRejections))
	b.consecutiveRejections++
	drawn := math.Min(wait, float64(maxProbeBackoff)) * (0.5 + lb.rand.Float64()/2)
	b.backoffUntil = lb.now + Time(drawn)
}
