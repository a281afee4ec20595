package policy

import "math"

// unresponsiveAfterObjectives is the time without an answer, in shortest latency objectives, after
// which a backend with attempts in flight is unhealthy.
const unresponsiveAfterObjectives = 1.0

// detectUnresponsive ejects a backend that does not answer: its process hangs, or the network drops
// packets without breaking connections. Only overdue attempts count; a single one counts half,
// since it may have been lost on the way. A very slow backend is readmitted by its own late
// answers.
func (lb *Balancer) detectUnresponsive(b *backend) {
	unanswered := float64(lb.activeTime - b.unansweredSince)
	evidence := unanswered * lb.warmFraction(b) * math.Min(1, float64(b.overdue)/2)
	if b.unhealthy || evidence <= unresponsiveAfterObjectives*float64(lb.minObjective) {
		return
	}
	b.unhealthy = true
	b.unresponsive = true
	lb.eject(b, "unresponsive")
}

// probeUnhealthy probes the unhealthy backends whose next probe is due, if probes are allowed.
func (lb *Balancer) probeUnhealthy() {
	if !lb.settings.Probes {
		return
	}
	for _, b := range lb.backends {
		if b.unhealthy && b.listed && b.State == Ready && lb.now >= b.nextProbe {
			b.nextProbe = lb.now + maxProbeBackoff
			lb.actions.Probe(b.Backend)
		}
	}
}

// ReceiveProbeResult handles the result of a Probe.
func (lb *Balancer) ReceiveProbeResult(now Time, id uint32, r Result, load []float32) {
	lb.advanceClock(now)
	b := lb.backendByID[id]
	if b == nil {
		return
	}
	if r == OK {
		lb.recordLoadReport(b, load)
		lb.readmit(b)
		return
	}
	if b.unhealthy {
		b.probeFailed(now, r)
	}
}

// recordLoadReport stores the queue length from a backend's load report.
func (lb *Balancer) recordLoadReport(b *backend, load []float32) {
	for i, value := range load {
		if i < len(lb.settings.LoadReportMetrics) && lb.settings.LoadReportMetrics[i] != Unused {
			b.reportedQueue = float64(value)
			b.queueReportedAt = lb.now
		}
	}
}

// CountBackends returns how many backends discovery lists, and how many of those are avoided
// because they are draining or ejected. It changes no state.
func (lb *Balancer) CountBackends() (listed, avoided int) {
	for _, b := range lb.backends {
		if !b.listed || b.State == Removed {
			continue
		}
		listed++
		if b.State != Ready || b.unhealthy || b.errorRate >= ejectionErrorRate {
			avoided++
		}
	}
	return listed, avoided
}
