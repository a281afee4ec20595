package rollout

import (
	"context"

	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/failpoint"
)

// report is a command that reports a version, and the digest of its content.
type report struct {
	op     configversion.Command
	digest string
}

// reportVersions reports to the fleet what is in force here and what is rejected, until the context
// ends.
func (a *Agent) reportVersions(ctx context.Context) {
	repeat(ctx, a.config.RenewInterval/4, func() {
		for _, r := range a.pendingReports() {
			failpoint.At("version-before-report")
			err := a.execute(ctx, r.op)
			a.finishReport(r, err)
		}
	})
}

// pendingReports returns what was not reported yet.
func (a *Agent) pendingReports() (all []report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, number := range a.holder.InForce() {
		target := a.holder.Target(name)
		if number >= target.Number && number > a.reported[name] {
			all = append(all, report{
				op: configversion.Command{Kind: configversion.KindReport, Item: name,
					Number: number},
				digest: target.Digest,
			})
		}
		why := a.holder.RejectionReason(name, target.Digest)
		if why != "" && !a.reportedRejections[target.Digest] {
			all = append(all, report{
				op: configversion.Command{Kind: configversion.KindReport, Item: name,
					Number: target.Number, Rejected: true, Why: why},
				digest: target.Digest,
			})
		}
	}
	return all
}

// finishReport takes in whether a report was committed. One that was not is sent again.
func (a *Agent) finishReport(r report, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err != nil:
		a.log.Debug("fleet: versions: a report was not committed", "item", r.op.Item, "error", err)
	case r.op.Rejected:
		a.reportedRejections[r.digest] = true
	default:
		a.reported[r.op.Item] = max(a.reported[r.op.Item], r.op.Number)
	}
}

// reportHead reports the head of this process's audit log to the fleet, until the context ends.
func (a *Agent) reportHead(ctx context.Context) {
	if a.recordHead == nil {
		return
	}
	var last auditlog.Head
	repeat(ctx, headReportInterval, func() {
		head := a.recordHead()
		if head == nil || *head == last {
			return
		}
		if err := a.execute(ctx, configversion.Command{Kind: configversion.KindReportHead,
			Head: head}); err == nil {
			last = *head
		}
	})
}
