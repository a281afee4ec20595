package configversion

import (
	"strconv"
	"testing"
	"time"

	"mothcleat/internal/testing/harness"
)

// Many schedules break no promise, and provoke what they are to.
func TestSchedules(t *testing.T) {
	found := Search(t.Context(), 1, 20)
	for _, f := range found.Findings {
		t.Errorf("seed %d, %d gateways: %+v", f.Seed, f.Gateways, f.Breach)
	}
	for _, k := range Kinds {
		if found.Faults[k] == 0 {
			t.Errorf("no fault %s", k)
		}
	}
	if found.Operations == 0 || found.RollOuts == 0 || found.Withdrawn == 0 || found.Outs == 0 {
		t.Errorf("%+v: nothing was shown", found)
	}
	t.Logf("%d plays in %v: %d acts, %d roll-outs, %d withdrawn, %d shut out", found.Plays, found.Took.Round(time.Millisecond), found.Operations, found.RollOuts, found.Withdrawn, found.Outs)
}

// A fleet of a size in which nothing fails has each version everywhere before the next.
func TestASizeInQuiet(t *testing.T) {
	s := Measure(1, 20, 3)
	if len(s.ToAll) != 3 || s.Roundoff != 0 {
		t.Errorf("%+v", s)
	}
}

// BenchmarkAtSize tells what a roll-out costs fleets of several sizes.
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
		b.ReportMetric(s.Words, "words/s/gateway")
		b.ReportMetric(s.Bytes, "bytes/s/gateway")
		b.ReportMetric(s.Agreed, "entries/s")
	}
}
