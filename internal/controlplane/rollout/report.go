package rollout

import (
	"context"

	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/failpoint"
)

// report is a command that reports a version, with the digest of the content of that version.
type report struct {
	command configversion.Command
	digest  string
}

// reportVersions reports to the fleet which versions are in force here and which are rejected,
// until the context ends.
func (a *Agent) reportVersions(ctx context.Context) {
	repeat(ctx, a.config.RenewInterval/4, func() {
		for _, r := range a.pendingReports() {
			failpoint.At("version-before-report")
			err := a.execute(ctx, r.command)
			a.finishReport(r, err)
		}
	})
}

// pendingReports returns the reports that were not committed yet.
func (a *Agent) pendingReports() (reports []report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, number := range a.holder.InForce() {
		target := a.holder.Target(name)
		if number >= target.Number && number > a.reported[name] {
			reports = append(reports, report{
				command: configversion.Command{Kind: configversion.KindReport, Item: name,
					Number: number},
				digest: target.Digest,
			})
		}
		why := a.holder.RejectionReason(name, target.Digest)
		if why != "" && !a.reportedRejections[target.Digest] {
			reports = append(reports, report{
				command: configversion.Command{Kind: configversion.KindReport, Item: name,
					Number: target.Number, Rejected: true, Why: why},
				digest: target.Digest,
			})
		}
	}
	return reports
}

// finishReport records whether a report was committed. A report that was not is sent again.
func (a *Agent) finishReport(r report, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err != nil:
		a.log.Debug("fleet: versions: a report was not committed", "item", r.command.Item,
			"error", err)
	case r.command.Rejected:
		a.reportedRejections[r.digest] = true
	default:
		a.reported[r.command.Item] = max(a.reported[r.command.Item], r.command.Number)
	}
}

// reportHead reports the head of this process's audit log to the fleet whenever it has changed,
// until the context ends.
func (a *Agent) reportHead(ctx context.Context) {
	if a.headSource == nil {
		return
	}
	var last auditlog.Head
	repeat(ctx, headReportInterval, func() {
		head := a.headSource()
		if head == nil || *head == last {
			return
		}
		if err := a.execute(ctx, configversion.Command{Kind: configversion.KindReportHead,
			Head: head}); err == nil {
			last = *head
		}
	})
}
