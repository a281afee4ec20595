package electiontest

import (
	"context"
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/controlplane/usageexporter"
	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/testcluster"
)

const (
	// exportTimeout is how long a run waits at its end until all usage is exported.
	exportTimeout = 15 * time.Second
	// exportCheckInterval is the time between two checks of the exports.
	exportCheckInterval = 100 * time.Millisecond
	// stopTimeout is how long the fleet may take to stop.
	stopTimeout = 30 * time.Second
	// maxReportedErrors is how many errors of a run are reported.
	maxReportedErrors = 4
)

// check waits until all usage is exported, stops the fleet, and compares what was committed with
// what happened.
func (t *trialRun) check(
	ctx context.Context, w *writers, duration time.Duration,
) (*harness.Summary, error) {
	t.f.Heal()
	sent := t.sentUnits()
	exports := t.waitForExports(ctx, sent)
	leaderChanges := t.roleLeaderChanges()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	t.fail(t.f.World.Stop(stopCtx))
	t.writeLogs()

	summary := t.f.Summary("owner")
	twoLeaders, lateEffects := countConflicts(&exports)
	summary.Broken["two_owners"] = twoLeaders
	summary.Broken["late_effects"] = lateEffects
	t.checkWrites(summary, w, duration)
	t.checkExports(summary, &exports, sent)
	t.reportVacancies(summary)
	t.reportFaults(summary)
	summary.Extra["rss_mb_max"] = t.f.Memory()
	summary.Extra["owner_changes"] = leaderChanges
	summary.Extra["leader_changes"] = t.logLeaderChanges()
	if leaderChanges == 0 || t.logLeaderChanges() == 0 {
		summary.AddFailure("no change of owner, or of leader: nothing was shown")
	}
	t.conclude(summary)
	return summary, nil
}

// waitForExports returns the exports when they contain all units that were sent, or as they are
// after exportTimeout.
func (t *trialRun) waitForExports(
	ctx context.Context, sent map[int]float64,
) (exports usageexport.View) {
	start := time.Now()
	for {
		err := t.view("exports", &exports)
		if err == nil && t.allExported(&exports, sent) {
			return exports
		}
		if time.Since(start) > exportTimeout || ctx.Err() != nil {
			if err != nil {
				t.fail(err)
			}
			return exports
		}
		time.Sleep(exportCheckInterval)
	}
}

// roleLeaderChanges counts the changes of the leaders of all roles. It also reads each role's
// history. An error of these reads is an error of the run.
func (t *trialRun) roleLeaderChanges() (changes int) {
	var leases lease.View
	t.fail(t.view("owners", &leases))
	for _, l := range leases.Leases {
		var history []lease.Lease
		t.fail(t.view("history "+l.Role, &history))
		changes += int(l.Term) - 1
	}
	return changes
}

// writeLogs writes the gateways' logs, if the options name a directory for them.
func (t *trialRun) writeLogs() {
	if t.o.Logs == "" {
		return
	}
	t.fail(os.MkdirAll(t.o.Logs, 0o755))
	for i, g := range t.f.Gateways {
		path := filepath.Join(t.o.Logs, testcluster.Name(i)+".log")
		t.fail(os.WriteFile(path, []byte(g.Log()), 0o644))
	}
}

// checkWrites checks the histories of the writers, and reports how long they got no answers.
func (t *trialRun) checkWrites(summary *harness.Summary, w *writers, duration time.Duration) {
	j, err := w.judge(0, duration)
	if err != nil {
		summary.AddFailure(err.Error())
	}
	summary.Broken["lost_acked"] = j.lost
	summary.Broken["doubled"] = j.doubled
	summary.Broken["unordered"] = j.unordered
	start := w.began.Sub(t.f.Record.Began())
	summary.Extra["unavailable_ms"] = j.total.Milliseconds()
	summary.Extra["unavailable_longest_ms"] = j.longest.Milliseconds()
	summary.Extra["unavailable_longest_at_s"] = (start + j.at).Seconds()
	summary.Extra["operations"] = len(w.ops)
	summary.Extra["operations_unanswered"] = w.unanswered
}

// reportFaults reports the injected faults, and fails a run in which some kind was not injected.
func (t *trialRun) reportFaults(summary *harness.Summary) {
	for name, count := range t.injected {
		summary.Extra[strings.ReplaceAll(name, " ", "_")] = count
	}
	summary.Extra["held_pieces"] = t.f.Held()
	for _, name := range []string{"late_wakes", "stops", "cuts", "kills"} {
		if t.injected[name] == 0 {
			summary.AddFailure("no " + name + ": nothing was shown")
			summary.Extra[name] = 0
		}
	}
	if t.f.Held() == 0 {
		summary.AddFailure("no cut link held anything up: nothing was shown")
	}
}

// conclude adds the rules that were broken and the errors of the run, and logs the schedule of
// faults of a run that failed.
func (t *trialRun) conclude(summary *harness.Summary) {
	for rule, count := range summary.Broken {
		if count > 0 {
			summary.OK = false
			summary.Why = append(summary.Why, fmt.Sprintf("%s: %d", rule, count))
		}
	}
	for _, err := range t.errs[:min(len(t.errs), maxReportedErrors)] {
		summary.AddFailure(err.Error())
	}
	if !summary.OK {
		fmt.Fprintf(t.progress, "the schedule of seed %d:\n  %s\n", t.o.Seed,
			strings.Join(t.schedule, "\n  "))
	}
}

// sentUnits returns the units that each gateway was the first to send, by what the servers
// received.
func (t *trialRun) sentUnits() map[int]float64 {
	units := map[string]float64{}
	sent := map[int]float64{}
	t.f.Record.Read(func() {
		for _, try := range t.f.Record.Tries {
			units[try.ID] = try.Units
		}
		type pair struct {
			id      string
			gateway int
		}
		seen := map[pair]bool{}
		for _, a := range t.f.Record.Attempts {
			if p := (pair{a.ID, a.Gateway}); !seen[p] {
				seen[p] = true
				sent[a.Gateway] += units[a.ID]
			}
		}
	})
	return sent
}

// allExported reports whether all units that were sent are exported, apart from those that kills or
// the removal of a folder may have lost.
func (t *trialRun) allExported(v *usageexport.View, sent map[int]float64) bool {
	got := t.exportedUnits(v)
	for i, units := range sent {
		if got[i]+t.slack(i) < units && !t.emptied[i] {
			return false
		}
	}
	return true
}

// maxRequestUnits is the units of the largest request.
const maxRequestUnits = 8

// slack returns the units of a gateway that kills may have lost: one request each.
func (t *trialRun) slack(i int) float64 { return float64(maxRequestUnits * t.killed[i]) }

// exportedUnits returns the units in the committed files, by gateway.
func (t *trialRun) exportedUnits(v *usageexport.View) map[int]float64 {
	got := map[int]float64{}
	for _, f := range v.Files {
		raw, err := os.ReadFile(filepath.Join(t.f.Exports, f.Name))
		if err != nil {
			continue // Verify reports it
		}
		rows, err := csv.NewReader(strings.NewReader(string(raw))).ReadAll()
		if err != nil {
			continue
		}
		for _, row := range rows[1:] {
			if i, ok := gatewayIndex(row[0]); ok {
				units, _ := strconv.ParseFloat(row[6], 64)
				got[i] += units
			}
		}
	}
	return got
}

// checkExports compares the committed files with the requests that the servers received.
func (t *trialRun) checkExports(
	f *harness.Summary, v *usageexport.View, sent map[int]float64,
) {
	_, loose, err := usageexporter.Verify(t.f.Exports, v)
	if err != nil {
		f.Broken["files_not_as_agreed"] = 1
		f.AddFailure(err.Error())
	}
	got := t.exportedUnits(v)
	difference, gap, total := 0.0, 0.0, 0.0
	for i, units := range sent {
		d := got[i] - units
		total += units
		if t.emptied[i] && d < 0 {
			gap -= d
		} else {
			difference += math.Abs(d)
		}
		if d > t.slack(i) || -d > t.slack(i) && !t.emptied[i] {
			f.AddFailure(fmt.Sprintf("%s sent on %g units, and %g are exported",
				testcluster.Name(i), units, got[i]))
		}
	}
	hasGap := func(m usageexport.Progress) bool { return m.Gap != "" }
	if gap > 0 && !slices.ContainsFunc(v.Progress, hasGap) {
		f.AddFailure(fmt.Sprintf("%g units were lost with a folder, and no gap is told", gap))
	}
	f.Extra["exported_units"] = v.Units
	f.Extra["sent_on_units"] = total
	f.Extra["exported_difference"] = difference
	f.Extra["gap_units"] = gap
	f.Extra["files"] = v.Count
	f.Extra["files_that_do_not_count"] = len(loose)
}

// countConflicts counts the effects of two leaders and the late effects in the committed files. A
// term must have one leader, terms must not decrease, and a period of an incarnation must be in
// only one file.
func countConflicts(v *usageexport.View) (two, late int) {
	leaders := map[string]string{}
	newest := map[string]uint64{}
	for _, f := range v.Files {
		key := fmt.Sprintf("%s %d", f.Role, f.Term)
		if other, ok := leaders[key]; ok && other != f.Owner {
			two++
		}
		leaders[key] = f.Owner
		if f.Term < newest[f.Role] {
			late++
		}
		newest[f.Role] = max(newest[f.Role], f.Term)
	}
	seen := map[string]bool{}
	for _, f := range v.Files {
		for _, s := range f.Ranges {
			for p := s.From; p <= s.To; p++ {
				key := fmt.Sprintf("%s/%s/%d", s.ID, s.Incarnation, p)
				if seen[key] {
					two++
				}
				seen[key] = true
			}
		}
	}
	return two, late
}

var (
	roleAcquiredLine = regexp.MustCompile(
		`(?m)^time=(\S+) .*msg="fleet: role acquired".* role=(\S+) term=(\d+)`,
	)
	logLeaderLine = regexp.MustCompile(
		`(?m)msg="fleet: leader".* term=(\d+) leader=\S+ leads=true`,
	)
)

// acquisition is when a role was acquired, and under which term.
type acquisition struct {
	term uint64
	at   time.Time
}

// acquisitions returns the acquisitions of each role, by the gateways' logs.
func (t *trialRun) acquisitions() map[string][]acquisition {
	byRole := map[string][]acquisition{}
	for _, g := range t.f.Gateways {
		for _, match := range roleAcquiredLine.FindAllStringSubmatch(g.Log(), -1) {
			at, err := time.Parse(time.RFC3339, match[1])
			if err != nil {
				continue
			}
			term, err := strconv.ParseUint(match[3], 10, 64)
			if err != nil {
				continue
			}
			byRole[match[2]] = append(byRole[match[2]], acquisition{term, at})
		}
	}
	return byRole
}

// reportVacancies reports how long roles were without a leader, after failures and after transfers.
func (t *trialRun) reportVacancies(f *harness.Summary) {
	byRole := t.acquisitions()
	var failovers, transfers []time.Duration
	for _, p := range t.vacancies {
		next := time.Time{}
		for _, a := range byRole[p.role] {
			if a.term > p.term && (next.IsZero() || a.at.Before(next)) {
				next = a.at
			}
		}
		if next.IsZero() {
			continue
		}
		vacancy := max(0, next.Sub(p.begin))
		if p.transferred {
			transfers = append(transfers, vacancy)
		} else {
			failovers = append(failovers, vacancy)
		}
	}
	f.Extra["failovers"] = len(failovers)
	f.Extra["failover_ms_p50"] = harness.Quantile(failovers, 0.5)
	f.Extra["failover_ms_p99"] = harness.Quantile(failovers, 0.99)
	f.Extra["hand_ons"] = len(transfers)
	f.Extra["hand_on_ms_p50"] = harness.Quantile(transfers, 0.5)
	f.Extra["hand_on_ms_p99"] = harness.Quantile(transfers, 0.99)
}

// logLeaderChanges counts the terms of the log that had a leader, except the first.
func (t *trialRun) logLeaderChanges() int {
	terms := map[string]bool{}
	for _, g := range t.f.Gateways {
		for _, m := range logLeaderLine.FindAllStringSubmatch(g.Log(), -1) {
			terms[m[1]] = true
		}
	}
	return max(0, len(terms)-1)
}
