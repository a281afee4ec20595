package policy

const (
	faultReportDecay   = 8 * second // time in which a fault report fades to 1/e
	faultReportRepeats = 8          // messages that carry each report
	maxFaultReports    = 3          // reports that a message carries at most, the latest
)

// pendingFault is a fault report and the number of messages that are still to carry it.
type pendingFault struct {
	faultReport
	remaining int
}

// reportFault records a fault at a backend for one class or plan, and has the peers notified. Any
// one gateway rarely sees such a fault at any one backend, so all gateways prefer other backends
// until the report fades. This may do harm if all of them avoid a backend for too long.
func (lb *Balancer) reportFault(b *backend, subject int) {
	b.faultReports[subject].add(lb.now, faultReportDecay, 1)
	oldest := max(0, len(lb.pendingFaults)-maxFaultReports+1)
	report := faultReport{backend: b.Backend, subject: byte(subject)}
	lb.pendingFaults = append(lb.pendingFaults[oldest:], pendingFault{report, faultReportRepeats})
}

// classSubject and planSubject return the numbers by which reports name a class or a plan.
func (lb *Balancer) classSubject(class int) int { return class }
func (lb *Balancer) planSubject(plan int) int   { return len(lb.settings.Classes) + plan }

// applyFaultReport records a peer's fault report.
func (lb *Balancer) applyFaultReport(now Time, report faultReport) {
	b := lb.backendByID[report.backend]
	if b != nil && int(report.subject) < len(b.faultReports) {
		b.faultReports[report.subject].add(now, faultReportDecay, 1)
	}
}

// appendFaultReports appends the pending reports to a message.
func (lb *Balancer) appendFaultReports(message []byte) []byte {
	kept := lb.pendingFaults[:0]
	for _, fault := range lb.pendingFaults {
		message = fault.appendTo(message)
		fault.remaining--
		if fault.remaining > 0 {
			kept = append(kept, fault)
		}
	}
	lb.pendingFaults = kept
	return message
}

// faultsReported returns the decayed number of fault reports on a request's class or plan at a
// backend.
func (lb *Balancer) faultsReported(b *backend, r *request) float64 {
	return b.faultReports[lb.classSubject(r.Class)].get(lb.now, faultReportDecay) +
		b.faultReports[lb.planSubject(r.Plan)].get(lb.now, faultReportDecay)
}
