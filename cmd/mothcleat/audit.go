//go:build !nofleet

package main

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/controlplane/configversion"
)

const (
	// gapThreshold is the time without entries in an audit log that counts as a gap.
	gapThreshold = 10 * time.Second
	// clockTolerance is by how much the times of two gateways may differ: entries are written once
	// a second, and clocks are not synchronized exactly.
	clockTolerance = 2 * time.Second
)

// auditFilter selects the part of the audit logs that is reported. Empty names select all.
type auditFilter struct {
	item, gateway string
	from, to      int64 // microseconds since 1970
}

// setTimes parses the bounds, which are RFC 3339 times. An empty string is no bound.
func (f *auditFilter) setTimes(from, to string) (err error) {
	if f.from, err = parseTime(from, 0); err != nil {
		return err
	}
	f.to, err = parseTime(to, math.MaxInt64)
	return err
}

func parseTime(text string, unset int64) (microseconds int64, err error) {
	if text == "" {
		return unset, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, usageError{err}
	}
	return at.UnixMicro(), nil
}

// selects reports whether a gateway's interval or gap is to be reported. from and to are its bounds
// in microseconds since 1970; to is 0 if it has not ended.
func (f *auditFilter) selects(gateway string, from, to int64) bool {
	return (f.gateway == "" || f.gateway == gateway) && (to == 0 || to >= f.from) && from <= f.to
}

// auditReport is the result of an audit.
type auditReport struct {
	Intervals []auditlog.Interval  `json:"stretches"`
	Late      []lateInterval       `json:"late"`
	Gaps      []auditlog.Gap       `json:"gaps"`
	Damage    []auditlog.Violation `json:"damage"`
	Entries   int                  `json:"entries"`
}

// lateInterval is an interval of operations under a version that extends beyond the end of that
// version.
type lateInterval struct {
	auditlog.Interval
	// EndedAt is when the version ended, by the clock of the process that proposed its end.
	EndedAt int64 `json:"ended"`
	// Bound is how long after its end the version may still be applied.
	Bound time.Duration `json:"bound"`
	// After is how long after its end it was applied, by the gateway's clock.
	After time.Duration `json:"after"`
}

// newAuditReport verifies the entries against the committed chain heads and summarizes them.
func newAuditReport(
	committed configversion.View,
	entries []auditlog.Entry,
	filter *auditFilter,
) *auditReport {
	valid, violations := auditlog.Verify(entries, committed.Heads)
	report := &auditReport{
		Damage:  append([]auditlog.Violation{}, violations...), // never nil: JSON has [] for none
		Entries: len(valid),
	}
	report.Damage = append(report.Damage, committed.Forks...)
	intervals, gaps := auditlog.Summarize(valid, gapThreshold.Microseconds())
	for _, gap := range gaps {
		if filter.selects(gap.ID, gap.From, gap.To) {
			report.Gaps = append(report.Gaps, gap)
		}
	}
	for _, interval := range intervals {
		itemSelected := filter.item == "" || filter.item == interval.Item
		if !itemSelected || !filter.selects(interval.ID, interval.From, interval.To) {
			continue
		}
		report.Intervals = append(report.Intervals, interval)
		if late, isLate := findLate(&interval, committed.Versions); isLate {
			report.Late = append(report.Late, late)
		}
	}
	return report
}

// findLate returns an interval together with how far it extends beyond the end of its version.
// isLate is false if it doesn't, or if nothing was forwarded in the interval.
func findLate(
	interval *auditlog.Interval,
	versions []configversion.Version,
) (late lateInterval, isLate bool) {
	i := slices.IndexFunc(versions, func(v configversion.Version) bool {
		return v.Item == interval.Item && v.Number == interval.Number
	})
	if i < 0 {
		return late, false
	}
	version := &versions[i]
	endedAt := version.EndedWallTime
	if endedAt == 0 || interval.To <= endedAt || interval.Forwarded+interval.Retries == 0 {
		return late, false
	}
	return lateInterval{
		Interval: *interval,
		EndedAt:  endedAt,
		Bound:    version.ExpiresAt - version.EndedAt,
		After:    time.Duration(interval.To-endedAt) * time.Microsecond,
	}, true
}

// printTable prints the report as a table, followed by the late intervals, gaps and violations.
func (r *auditReport) printTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(
		w,
		"GATEWAY\tBOOT\tITEM\tNUMBER\tFROM\tTO\t"+
			"SENT ON\tAGAIN\tUNITS\tREFUSED\tTURNED AWAY\tENTRIES\n",
	)
	for _, i := range r.Intervals {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%g\t%d\t%d\t%d to %d\n",
			i.ID, i.Incarnation, i.Item, i.Number, formatTime(i.From), formatTime(i.To),
			i.Forwarded, i.Retries, i.Units, i.Rejected, i.RejectedFenced, i.First, i.Last)
	}
	for _, l := range r.Late {
		verdict := "within the bound"
		if l.After > l.Bound+clockTolerance {
			verdict = "BEYOND THE BOUND, as far as clocks agree"
		}
		fmt.Fprintf(
			w,
			"\n%s acted on %s %d for up to %v after its end was proposed at %s; "+
				"the bound was %v: %s (entries %d to %d)",
			l.ID,
			l.Item,
			l.Number,
			l.After.Round(time.Millisecond),
			formatTime(l.EndedAt),
			l.Bound.Round(time.Millisecond),
			verdict,
			l.First,
			l.Last,
		)
	}
	for _, gap := range r.Gaps {
		until := "now"
		if gap.To != 0 {
			until = formatTime(gap.To)
		}
		fmt.Fprintf(
			w,
			"\ngap: %s/%s from %s to %s: %s",
			gap.ID,
			gap.Incarnation,
			formatTime(gap.From),
			until,
			gap.Why,
		)
	}
	for _, violation := range r.Damage {
		fmt.Fprintf(w, "\ndoes not hold: %s", violation)
	}
	fmt.Fprintln(w)
	return w.Flush()
}

// formatTime formats microseconds since 1970 as the time of the day in UTC.
func formatTime(microseconds int64) string {
	return time.UnixMicro(microseconds).UTC().Format("15:04:05.000")
}
