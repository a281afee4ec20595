package policy

import (
	"fmt"
	"math"
)

const (
	ejectionErrorRate    = 0.25 // fraction of errors among recent answers
	connectionFaultDecay = second
	maxRecentResets      = 2.5
	minProbeBackoff      = second / 2
	maxProbeBackoff      = 4 * second
	latencyRatioHalfLife = 4 * second
	maxLatencyRatio      = 20.0 // of a single answer
	promptAnswerFactor   = 2.0  // usual latencies up to which an answer shows a warm backend
)

// outlierState is a backend's health as seen by this gateway. An unhealthy backend, or one with too
// many errors, is ejected: it receives nothing but trials.
type outlierState struct {
	unhealthy        bool // until a trial succeeds
	unresponsive     bool // unhealthy without a sign that its process has ended
	errorRate        float64
	connectionFaults decayingSum
	ejectedAt        Time // when it was last ejected
	probeBackoff     Time // between trials
	nextProbe        Time
}

// latencyState tracks how slow a backend is.
type latencyState struct {
	latencyRatio   float64 // to the usual latency of each class; 0: unknown
	latencyRatioAt Time
}

// ejected reports whether a backend may be sent no requests now. If probes are allowed, they are
// the trials of an unhealthy backend. Without probes, and after errors, the trials are single
// requests.
func (lb *Balancer) ejected(b *backend) bool {
	if b.unhealthy && lb.settings.Probes {
		return true
	}
	if !b.unhealthy && b.errorRate < ejectionErrorRate {
		return false
	}
	return lb.now < b.nextProbe || b.inFlight > 0
}

// eject ejects a backend, for longer with each ejection in a row.
func (lb *Balancer) eject(b *backend, reason string) {
	b.startEjection(lb.now)
	lb.actions.Log(fmt.Sprintf("backend %d ejected: %s", b.Backend, reason))
}

// startEjection sets when the backend is tried again. An ejection soon after the previous one
// doubles the wait.
func (s *outlierState) startEjection(now Time) {
	if now-s.ejectedAt > 2*maxProbeBackoff {
		s.probeBackoff = 0
	}
	s.probeBackoff = min(max(minProbeBackoff, 2*s.probeBackoff), maxProbeBackoff)
	s.ejectedAt = now
	s.nextProbe = now + s.probeBackoff
}

// probeFailed doubles the wait for the next probe.
func (s *outlierState) probeFailed(now Time, r Result) {
	s.unresponsive = s.unresponsive && r != ConnectFailed
	s.probeBackoff = min(2*s.probeBackoff, maxProbeBackoff)
	s.nextProbe = now + s.probeBackoff
}

// readmit ends an ejection for bad health. If no connection could be made, the process may have
// restarted, whether discovery reports that or not, and the backend enters slow start. A backend
// that was unresponsive or only reset connections is still warm.
func (lb *Balancer) readmit(b *backend) {
	if !b.unhealthy {
		return
	}
	b.unhealthy = false
	b.latencyRatio = 0
	b.unansweredSince = lb.activeTime
	if !b.unresponsive {
		b.StartedAt = max(b.StartedAt, lb.now)
		b.slowStart = lb.newSlowStartBucket()
	}
	lb.actions.Log(fmt.Sprintf("backend %d readmitted", b.Backend))
}

// recordOutcome updates a backend's health and latency by the outcome of an attempt. The duration
// is in microseconds.
func (lb *Balancer) recordOutcome(a *attempt, class int, r Result, duration float64) {
	b := a.backend
	switch r {
	case OK:
		lb.readmit(b)
		b.consecutiveRejections = 0
		lb.recordPromptness(b, class, duration)
		if !a.spansSuspension {
			lb.recordLatency(b, class, r, duration)
			b.recordError(0)
		}
	case TimedOut:
		if !a.spansSuspension {
			lb.recordLatency(b, class, r, duration)
			b.recordError(0)
		}
	case Failed:
		b.recordError(1)
		lb.ejectForErrors(b)
	case ConnectFailed, Reset:
		b.maybeRestarted = true // before discovery reports it
		if !lb.recordConnectionFault(b, r) {
			b.recordError(1)
			lb.ejectForErrors(b)
		}
	}
}

// recordError adds an answer to the error rate: 1 for an error, 0 for none.
func (s *outlierState) recordError(failed float64) {
	s.errorRate += fastSampleWeight * (failed - s.errorRate)
}

// ejectForErrors ejects a backend with too many errors, unless it is ejected already.
func (lb *Balancer) ejectForErrors(b *backend) {
	if b.errorRate >= ejectionErrorRate && lb.now >= b.nextProbe {
		lb.eject(b, "errors")
	}
}

// recordPromptness clears the suspicion that a backend has restarted if an answer was prompt.
func (lb *Balancer) recordPromptness(b *backend, class int, duration float64) {
	objective := float64(lb.settings.Classes[class].LatencyObjective)
	usual := math.Max(lb.classLatencies[class].value, saturationLatencyFraction*objective)
	b.maybeRestarted = b.maybeRestarted && duration > promptAnswerFactor*usual
}

// recordLatency adds an answer's latency to the means and to the backend's ratio. A backend in slow
// start is expected to be slower in proportion.
func (lb *Balancer) recordLatency(b *backend, class int, r Result, duration float64) {
	warm := lb.warmFraction(b)
	if r == OK && warm == 1 {
		lb.meanLatency.add(duration, slowSampleWeight)
		lb.classLatencies[class].add(duration, slowSampleWeight)
	}
	usual := lb.classLatencies[class].value
	if usual > 0 {
		b.addLatencyRatio(lb.now, duration*warm/usual)
	}
}

// addLatencyRatio adds the ratio of an answer's latency to the usual one.
func (s *latencyState) addLatencyRatio(now Time, ratio float64) {
	current := s.currentLatencyRatio(now)
	s.latencyRatio = current + fastSampleWeight*(math.Min(ratio, maxLatencyRatio)-current)
	s.latencyRatioAt = now
}

// currentLatencyRatio returns the ratio as of now. Without answers it decays to 1.
func (s *latencyState) currentLatencyRatio(now Time) float64 {
	if s.latencyRatio == 0 {
		return 1
	}
	age := float64(now - s.latencyRatioAt)
	return 1 + (s.latencyRatio-1)*math.Exp2(-age/float64(latencyRatioHalfLife))
}

// recordConnectionFault records that a connection to a backend failed or was reset, and reports
// whether the backend is unhealthy. A single reset concerns a single connection. Even after many
// resets the process may still run and be warm: only a failure to connect shows that it has ended.
func (lb *Balancer) recordConnectionFault(b *backend, r Result) bool {
	b.connectionFaults.add(lb.now, connectionFaultDecay, 1)
	if r == Reset && b.connectionFaults.sum < maxRecentResets {
		return false
	}
	b.unresponsive = r == Reset && (b.unresponsive || !b.unhealthy)
	if !b.unhealthy || lb.now >= b.nextProbe {
		b.unhealthy = true
		lb.eject(b, "connections break")
	}
	return true
}
