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

// judge waits until all use is exported, and holds what was agreed against what happened.
func (t *trialRun) judge(
	ctx context.Context, w *writers, ended time.Duration,
) (*harness.Summary, error) {
	t.f.Heal()
	var v usageexport.View
	sent := t.sent()
	began := time.Now()
	for {
		err := t.view("exports", &v)
		if err == nil && t.whole(&v, sent) {
			break
		}
		if time.Since(began) > 15*time.Second || ctx.Err() != nil {
			if err != nil {
				t.fail(err)
			}
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	var owners lease.View
	t.fail(t.view("owners", &owners))
	changes := 0
	histories := map[string][]lease.Lease{}
	for _, h := range owners.Leases {
		var all []lease.Lease
		t.fail(t.view("history "+h.Role, &all))
		histories[h.Role] = all
		changes += int(h.Term) - 1
	}
	stop, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	t.fail(t.f.World.Stop(stop))

	if t.o.Logs != "" {
		t.fail(os.MkdirAll(t.o.Logs, 0o755))
		for i, g := range t.f.Gateways {
			t.fail(os.WriteFile(filepath.Join(t.o.Logs, testcluster.Name(i)+".log"),
				[]byte(g.Log()), 0o644))
		}
	}
	f := t.f.Summary("owner")
	two, late := t.effects(&v)
	f.Broken["two_owners"], f.Broken["late_effects"] = two, late
	j, err := w.judge(0, ended)
	if err != nil {
		f.AddFailure(err.Error())
	}
	f.Broken["lost_acked"], f.Broken["doubled"], f.Broken["unordered"] = j.lost, j.doubled, j.unordered
	t.exported(f, &v, sent)
	t.passings(f)
	for name, n := range t.did {
		f.Extra[strings.ReplaceAll(name, " ", "_")] = n
	}
	f.Extra["rss_mb_max"] = t.f.Memory()
	f.Extra["owner_changes"], f.Extra["leader_changes"] = changes, t.leaders()
	f.Extra["unavailable_ms"], f.Extra["unavailable_longest_ms"] = j.total.Milliseconds(), j.longest.Milliseconds()
	f.Extra["unavailable_longest_at_s"] = (w.began.Sub(t.f.Record.Began()) + j.at).Seconds()
	f.Extra["operations"], f.Extra["operations_unanswered"] = len(w.ops), w.unsure
	f.Extra["held_pieces"] = t.f.Held()
	for _, name := range []string{"late_wakes", "stops", "cuts", "kills"} {
		if t.did[name] == 0 {
			f.AddFailure("no " + name + ": nothing was shown")
			f.Extra[name] = 0
		}
	}
	if t.f.Held() == 0 {
		f.AddFailure("no cut link held anything up: nothing was shown")
	}
	if changes == 0 || t.leaders() == 0 {
		f.AddFailure("no change of owner, or of leader: nothing was shown")
	}
	for rule, n := range f.Broken {
		if n > 0 {
			f.OK = false
			f.Why = append(f.Why, fmt.Sprintf("%s: %d", rule, n))
		}
	}
	for _, err := range t.errs[:min(len(t.errs), 4)] {
		f.AddFailure(err.Error())
	}
	if !f.OK {
		fmt.Fprintf(t.progress, "the schedule of seed %d:\n  %s\n", t.o.Seed,
			strings.Join(t.schedule, "\n  "))
	}
	return f, nil
}

// sent is what each gateway sent on first, by what the servers took.
func (t *trialRun) sent() map[int]float64 {
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

// whole tells whether all that was sent is exported, or as much as ever will be.
func (t *trialRun) whole(v *usageexport.View, sent map[int]float64) bool {
	got := t.counted(v)
	for i, units := range sent {
		if got[i]+t.slack(i) < units && !t.emptied[i] {
			return false
		}
	}
	return true
}

// most is the units of the largest request.
const most = 8

// slack is what kills may have come between: one request each.
func (t *trialRun) slack(i int) float64 { return float64(most * t.killed[i]) }

// counted is what the files that count say, by gateway.
func (t *trialRun) counted(v *usageexport.View) map[int]float64 {
	got := map[int]float64{}
	for _, f := range v.Files {
		raw, err := os.ReadFile(filepath.Join(t.f.Exports, f.Name))
		if err != nil {
			continue // Verify tells
		}
		rows, err := csv.NewReader(strings.NewReader(string(raw))).ReadAll()
		if err != nil {
			continue
		}
		for _, row := range rows[1:] {
			if i, ok := number(row[0]); ok {
				units, _ := strconv.ParseFloat(row[6], 64)
				got[i] += units
			}
		}
	}
	return got
}

// exported holds the files that count against what the servers took.
func (t *trialRun) exported(f *harness.Summary, v *usageexport.View, sent map[int]float64) {
	_, loose, err := usageexporter.Verify(t.f.Exports, v)
	if err != nil {
		f.Broken["files_not_as_agreed"] = 1
		f.AddFailure(err.Error())
	}
	got := t.counted(v)
	difference, gap, total := 0.0, 0.0, 0.0
	for i, units := range sent {
		d := got[i] - units
		total += units
		switch {
		case t.emptied[i] && d < 0:
			gap -= d
		default:
			difference += math.Abs(d)
		}
		if d > t.slack(i) || -d > t.slack(i) && !t.emptied[i] {
			f.AddFailure(fmt.Sprintf("%s sent on %g units, and %g are exported",
				testcluster.Name(i), units, got[i]))
		}
	}
	if gap > 0 &&
		!slices.ContainsFunc(v.Progress, func(m usageexport.Progress) bool { return m.Gap != "" }) {
		f.AddFailure(fmt.Sprintf("%g units were lost with a folder, and no gap is told", gap))
	}
	f.Extra["exported_units"], f.Extra["sent_on_units"], f.Extra["exported_difference"], f.Extra["gap_units"] = v.Units, total, difference, gap
	f.Extra["files"], f.Extra["files_that_do_not_count"] = v.Count, len(loose)
}

// effects looks for two owners in the files that count: a term has one owner, and terms come in
// their order.
func (t *trialRun) effects(v *usageexport.View) (two, late int) {
	owner := map[string]string{}
	newest := map[string]uint64{}
	for _, f := range v.Files {
		key := fmt.Sprintf("%s %d", f.Role, f.Term)
		if was, ok := owner[key]; ok && was != f.Owner {
			two++
		}
		owner[key] = f.Owner
		if f.Term < newest[f.Role] {
			late++
		}
		newest[f.Role] = max(newest[f.Role], f.Term)
	}
	// A period of one boot stands in one file.
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
	takenLine = regexp.MustCompile(
		`(?m)^time=(\S+) .*msg="fleet: role acquired".* role=(\S+) term=(\d+)`,
	)
	ledLine = regexp.MustCompile(`(?m)msg="fleet: leader".* term=(\d+) leader=\S+ leads=true`)
)

// passings tells how long duties were without an owner, by the gateways' own logs.
func (t *trialRun) passings(f *harness.Summary) {
	type taken struct {
		term uint64
		at   time.Time
	}
	by := map[string][]taken{}
	for _, g := range t.f.Gateways {
		for _, m := range takenLine.FindAllStringSubmatch(g.Log(), -1) {
			at, err := time.Parse(time.RFC3339, m[1])
			term, err2 := strconv.ParseUint(m[3], 10, 64)
			if err == nil && err2 == nil {
				by[m[2]] = append(by[m[2]], taken{term, at})
			}
		}
	}
	var failed, ordered []time.Duration
	for _, p := range t.free {
		next := time.Time{}
		for _, k := range by[p.duty] {
			if k.term > p.term && (next.IsZero() || k.at.Before(next)) {
				next = k.at
			}
		}
		if next.IsZero() {
			continue
		}
		if d := max(0, next.Sub(p.at)); p.order {
			ordered = append(ordered, d)
		} else {
			failed = append(failed, d)
		}
	}
	f.Extra["failovers"], f.Extra["hand_ons"] = len(failed), len(ordered)
	f.Extra["failover_ms_p50"], f.Extra["failover_ms_p99"] = harness.Quantile(failed, 0.5), harness.Quantile(failed, 0.99)
	f.Extra["hand_on_ms_p50"], f.Extra["hand_on_ms_p99"] = harness.Quantile(ordered, 0.5), harness.Quantile(ordered, 0.99)
}

// leaders counts the terms that had a leader, but for the first.
func (t *trialRun) leaders() int {
	terms := map[string]bool{}
	for _, g := range t.f.Gateways {
		for _, m := range ledLine.FindAllStringSubmatch(g.Log(), -1) {
			terms[m[1]] = true
		}
	}
	return max(0, len(terms)-1)
}
