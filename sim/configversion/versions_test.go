package configversion

import (
	"strconv"
	"testing"
	"time"

	"mothcleat/internal/testing/harness"
)

// No schedule breaks a guarantee, and the schedules provoke every kind of fault.
func TestSchedules(t *testing.T) {
	found := Search(t.Context(), 1, 20)
	for _, f := range found.Findings {
		t.Errorf("seed %d, %d gateways: %+v", f.Seed, f.Gateways, f.Breach)
	}
	for _, k := range Kinds {
		if found.Faults[k] == 0 {
			t.Errorf("no fault %q was played", k)
		}
	}
	if found.Operations == 0 || found.RollOuts == 0 || found.Withdrawn == 0 || found.Outs == 0 {
		t.Errorf("%+v: no operations, rollouts, withdrawals or fenced gateways", found)
	}
	t.Logf("%d plays in %v: %d operations, %d rollouts, %d withdrawn, %d fenced", found.Plays,
		found.Took.Round(time.Millisecond), found.Operations, found.RollOuts, found.Withdrawn,
		found.Outs)
}

// In a fleet without faults, each version is in force everywhere before the next one is proposed.
func TestASizeInQuiet(t *testing.T) {
	s := Measure(1, 20, 3)
	if len(s.ToAll) != 3 || s.Unfinished != 0 {
		t.Errorf("%+v", s)
	}
}

// BenchmarkAtSize measures rollouts in fleets of several sizes.
func BenchmarkAtSize(b *testing.B) {
	for _, gateways := range []int{150, 300, 620} {
		b.Run(strconv.Itoa(gateways), func(b *testing.B) { benchmarkAt(b, gateways) })
	}
}

func benchmarkAt(b *testing.B, gateways int) {
	for b.Loop() {
		s := Measure(1, gateways, 6)
		b.ReportMetric(harness.Quantile(s.ToAll, 0.5), "ms-to-all-p50")
		b.ReportMetric(harness.Quantile(s.ToAll, 0.99), "ms-to-all-p99")
		b.ReportMetric(harness.Quantile(s.ToNineTenths, 0.99), "ms-to-nine-in-ten-p99")
		b.ReportMetric(s.Messages, "words/s/gateway")
		b.ReportMetric(s.Bytes, "bytes/s/gateway")
		b.ReportMetric(s.Entries, "entries/s")
	}
}
