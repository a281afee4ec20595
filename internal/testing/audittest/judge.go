package audittest

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/controlplane/auditrecorder"
	"mothcleat/internal/testing/allocationtest"
	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/testcluster"
)

// slack is how long a request may take from the gateway's last check to a server on a busy machine.
const slack = 250 * time.Millisecond

// period is the time in which a gateway's process acted on a version, according to its log. When it
// starts to serve it acts on its configuration, which is version 1.
type period struct {
	gateway  int
	number   uint64
	from, to time.Duration
}

var (
	inForceLines = regexp.MustCompile(
		`(?m)^.*time=(\S+) .*msg=(?:ready|"fleet: version in force") .*$`)
	numberField = regexp.MustCompile(`item=plans number=(\d+)`)
)

// versionPeriods returns all periods in which a gateway acted on a version, from its log.
func versionPeriods(f *testcluster.Fleet, i int) (all []period, err error) {
	for _, line := range inForceLines.FindAllStringSubmatch(f.Gateways[i].Log(), -1) {
		at, bad := time.Parse(time.RFC3339Nano, line[1])
		s := period{gateway: i, number: 1, from: at.Sub(f.Record.Began()), to: 1 << 62}
		if m := numberField.FindStringSubmatch(line[0]); m != nil {
			_, worse := fmt.Sscan(m[1], &s.number)
			err = errors.Join(err, worse)
		}
		err = errors.Join(err, bad)
		if len(all) > 0 {
			all[len(all)-1].to = s.from
		}
		all = append(all, s)
	}
	return all, err
}

// countForwarded counts the requests of a gateway that the servers received within a period.
func countForwarded(f *testcluster.Fleet, i int, from, to time.Duration) int {
	return len(attemptsOf(f, i, from, to))
}

// attemptsOf returns the attempts of a gateway that servers received completely within a period.
func attemptsOf(f *testcluster.Fleet, i int, from, to time.Duration) (all []harness.Attempt) {
	f.Record.Read(func() {
		for _, a := range f.Record.Attempts {
			if a.Gateway == i && a.ReceivedAt >= from && a.ReceivedAt < to {
				all = append(all, a)
			}
		}
	})
	return all
}

// describeAttempts describes each attempt with the time of its receipt and the client's try.
func describeAttempts(f *testcluster.Fleet, all []harness.Attempt) string {
	var text strings.Builder
	f.Record.Read(func() {
		for _, a := range all {
			fmt.Fprintf(&text, "attempt %s at %s, class %d: received from %v to %v", a.ID, a.Server,
				a.Class, a.FirstByteAt, a.ReceivedAt)
			for _, try := range f.Record.Tries {
				if try.ID == a.ID {
					fmt.Fprintf(&text, "; its client: %+v", try)
				}
			}
			text.WriteString("\n")
		}
	})
	return text.String()
}

// lateOperations counts the requests that gateways forwarded under versions that had ended, by when
// the servers received them.
func lateOperations(f *testcluster.Fleet, all []period, ended map[uint64]time.Duration) (n int) {
	for _, s := range all {
		if over, ok := ended[s.number]; ok {
			n += countForwarded(f, s.gateway, max(s.from, over+slack), s.to)
		}
	}
	return n
}

// records returns the audit records of all gateways. The gateways must have exited.
func records(f *testcluster.Fleet) (all map[int][]auditlog.Entry, err error) {
	all = map[int][]auditlog.Entry{}
	for i := range f.Gateways {
		entries, bad := auditrecorder.Read(controlplane.RecordDir(f.FleetDir(i)))
		all[i], err = entries, errors.Join(err, bad)
	}
	return all, err
}

// compareRecord compares a gateway's audit record with the requests that the servers received from
// it. unexplained counts requests that are in no record, beyond one for each kill. untaken counts
// recorded requests that no server received.
func compareRecord(
	f *testcluster.Fleet, i int, entries []auditlog.Entry,
) (unexplained, untaken int) {
	var recorded auditlog.Counts
	for _, e := range entries {
		recorded = recorded.Plus(e.Counts)
	}
	took, killed := countForwarded(f, i, 0, 1<<62), 0
	for _, l := range f.Record.ProcessEvents {
		if l.Gateway == i && l.Event == harness.Killed {
			killed++
		}
	}
	n := int(recorded.Forwarded + recorded.Retries)
	return max(0, took-n-killed), max(0, n-took)
}

// mismatchedRows counts the rows of an audit whose version was not in force at that gateway at that
// time, according to the gateways' logs.
func mismatchedRows(rows []auditlog.Interval, f *testcluster.Fleet, logs map[int][]period) (n int) {
	for _, row := range rows {
		if row.Item != "plans" || row.Forwarded+row.Retries == 0 {
			continue
		}
		from := time.UnixMicro(row.From).Sub(f.Record.Began())
		to := time.UnixMicro(row.To).Sub(f.Record.Began())
		fits := false
		for i, all := range logs {
			for _, s := range all {
				// An entry is written once a second, so it may begin or end that much earlier or
				// later than the version was in force.
				fits = fits ||
					testcluster.Name(i) == row.ID && s.number == row.Number &&
						s.from <= to+slack && s.to >= from-2*time.Second
			}
		}
		if !fits {
			n++
		}
	}
	return n
}

// change is the period in which a version may be acted on, from its commit to its end.
type change struct {
	from, to time.Duration
	factor   float64 // by which the site's plans are multiplied
}

// customersBeyondTerms describes the customers that had more than the terms in force allow, over
// any window. At each time the highest terms of all versions count that a gateway may act on. A
// version also counts for as long after its end as an allocation lasts whose holder can't be
// notified.
func customersBeyondTerms(f *testcluster.Fleet, all []change, stops int) (bad []string) {
	uses, plans := allocationtest.Uses(f.Record, 0)
	lasts := allocation.DefaultConfig().TTL + allocation.DefaultConfig().TTL/8 + slack
	factor := func(at time.Duration) (highest float64) {
		for _, c := range all {
			if at >= c.from && at < c.to+lasts {
				highest = max(highest, c.factor)
			}
		}
		return highest
	}
	for customer, list := range uses {
		p := &f.Site.Plans[plans[customer]]
		if p.Rate == 0 {
			continue
		}
		level, last, worst := p.Burst, time.Duration(0), 0.0
		for _, u := range list {
			for last < u.At {
				next := min(u.At, last+50*time.Millisecond)
				k := factor(next)
				level = math.Min(p.Burst*k, level+p.Rate*k*(next-last).Seconds())
				last = next
			}
			level -= u.Units
			worst = max(worst,
				-level-p.Rate*allocation.DefaultConfig().UseTimeout.Seconds()-4*float64(stops))
		}
		if worst > 0 {
			bad = append(
				bad,
				fmt.Sprintf("customer %s of plan %s: %.2f units beyond the terms in force",
					customer, p.Name, worst),
			)
		}
	}
	slices.Sort(bad)
	return bad
}
