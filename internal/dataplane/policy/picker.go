package policy

import "math"

const (
	crossZoneLoadWeight    = 5.0         // load per unit of the settings' cross-zone price
	idleConnectionLifetime = 10 * second // after which a backend may have closed the connection
	handshakeLoad          = 1.0         // added by a new connection that serves a single request
	reportedQueueLifetime  = second
)

// pick returns the least loaded usable backend, or nil. It prefers healthy backends that the
// request has not tried; if there is none, it enters panic mode and ignores health. A request with
// an idempotency key that may have been executed stays within the scope of that attempt.
func (lb *Balancer) pick(r *request, within *attempt) *backend {
	for _, panicMode := range []bool{false, true} {
		if b := lb.pickLeastLoaded(r, within, panicMode); b != nil {
			return b
		}
	}
	return nil
}

// pickLeastLoaded returns the usable backend with the lowest load score, or nil. Among equal scores
// it draws in proportion to the weights.
func (lb *Balancer) pickLeastLoaded(r *request, within *attempt, panicMode bool) *backend {
	var best *backend
	bestScore := math.Inf(1)
	weights := 0.0 // of the backends with the best score
	for _, b := range lb.backends {
		if !lb.usable(b, r, within, panicMode) {
			continue
		}
		score := lb.loadScore(b) * (1 + lb.peerWeight()*lb.faultsReported(b, r))
		if score > bestScore {
			continue
		}
		if score < bestScore {
			weights = 0
		}
		weight := lb.relativeWeight(b)
		weights += weight
		if lb.rand.Float64()*weights < weight {
			best = b
			bestScore = score
		}
	}
	return best
}

// usable reports whether a request may be sent to a backend.
func (lb *Balancer) usable(b *backend, r *request, within *attempt, panicMode bool) bool {
	if b.State != Ready || !b.listed || !lb.slowStartAllows(b) {
		return false
	}
	if b.awaitsTrial(lb.now) || lb.now < b.backoffUntil {
		return false
	}
	if within != nil && !lb.settings.Classes[r.Class].sameScope(within, b) {
		return false
	}
	return panicMode || !lb.ejected(b) && !r.tried(b)
}

// loadScore returns the time that a request may have to wait at a backend, relative to others. The
// weight does not improve the score of an idle backend: in a large fleet each gateway has hardly
// any attempts in flight, and all gateways would send to the largest backend only.
func (lb *Balancer) loadScore(b *backend) float64 {
	queue := float64(b.inFlight)
	if lb.now-b.queueReportedAt < reportedQueueLifetime {
		queue = math.Max(queue, queue/2+b.reportedQueue)
	}
	score := (queue/lb.relativeWeight(b) + 1) * b.currentLatencyRatio(lb.now)
	if b.Zone != lb.settings.Zone {
		score *= 1 + lb.settings.CrossZonePrice*crossZoneLoadWeight
	}
	if lb.needsHandshake(b) {
		sends := lb.sendPace.get(lb.now, sendPaceWindow) *
			float64(idleConnectionLifetime) / float64(sendPaceWindow)
		score *= 1 + handshakeLoad/(1+sends)
	}
	return score
}

// needsHandshake reports whether a request to a backend probably needs a new connection and whether
// that matters: in a large fleet each gateway sends requests to any one backend so rarely that
// nearly every request would pay for a handshake.
func (lb *Balancer) needsHandshake(b *backend) bool {
	if lb.settings.Gateways <= maxConcurrentTrials {
		return false
	}
	if b.lastSend != 0 && lb.now-b.lastSend <= idleConnectionLifetime {
		return false
	}
	return lb.warmFraction(b) == 1
}

// relativeWeight returns a backend's capacity relative to the mean, or 1 if the endpoint list has
// no comparable weight for it.
func (lb *Balancer) relativeWeight(b *backend) float64 {
	if lb.settings.ComparableWeights && b.Weight > 0 && lb.meanWeight > 0 {
		return b.Weight / lb.meanWeight
	}
	return 1
}
