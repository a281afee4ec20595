package scale

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The tables of the capacity page are those computed from its JSON file.
func TestThePageIsWhatItsFiguresGive(t *testing.T) {
	docs := filepath.Join("..", "..", "..", "docs")
	if err := CheckPage(filepath.Join(docs, "capacity.json"), filepath.Join(docs,
		"CAPACITY.md")); err != nil {
		t.Error(err)
	}
}

// CheckPage reports a changed figure, an empty page and a page without markers.
func TestAChangedFigureShows(t *testing.T) {
	dir := t.TempDir()
	jsonAt, pageAt := filepath.Join(dir, "capacity.json"), filepath.Join(dir, "page.md")
	if err := sample(t).Write(jsonAt); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(pageAt, []byte("before\n"+pageBegin+pageEnd+"\nafter\n"),
		0o600); err != nil {
		t.Fatal(err)
	}
	if err := CheckPage(jsonAt, pageAt); err == nil {
		t.Error("an empty page passes")
	}
	if err := WritePage(jsonAt, pageAt); err != nil {
		t.Fatal(err)
	}
	if err := CheckPage(jsonAt, pageAt); err != nil {
		t.Error(err)
	}
	raw, err := os.ReadFile(pageAt)
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	if !strings.HasPrefix(text, "before\n") || !strings.HasSuffix(text, "\nafter\n") {
		t.Error("the text around the tables was changed")
	}
	if !strings.Contains(text, "| 12,500 |") {
		t.Fatalf("no figure to change in\n%s", text)
	}
	if err := os.WriteFile(pageAt, []byte(strings.Replace(text, "| 12,500 |", "| 12,501 |", 1)),
		0o600); err != nil {
		t.Fatal(err)
	}
	if err := CheckPage(jsonAt, pageAt); err == nil {
		t.Error("a changed figure passes")
	}
	if err := os.WriteFile(pageAt, []byte("no markers"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := CheckPage(jsonAt, pageAt); err == nil {
		t.Error("a page without markers passes")
	}
}

// sample returns measurements in which membership traffic takes 100 B/s, plus 20 B/s for each
// gateway.
func sample(t *testing.T) *Capacity {
	t.Helper()
	c := &Capacity{}
	for _, n := range []int{40, 80, 160} {
		r := newResult(Options{Gateways: n})
		r.Roles[RoleMembership] = Row{BytesInPerSecond: 100 + 20*float64(n), MessagesPerSecond: 2}
		r.Gateway.Cores = 0.01
		c.Steps = append(c.Steps, Step{Series: SeriesBase, Result: r},
			Step{Series: SeriesLeaseGateways, Result: r})
	}
	return c
}

// The cost of a role at the design size is its line extrapolated to 620 gateways.
func TestTheModelDrawsLinesToTheSize(t *testing.T) {
	slopes, err := sample(t).FitAll()
	if err != nil {
		t.Fatal(err)
	}
	day := loads()[0]
	for _, u := range slopes.uses(day, PathDelta) {
		if u.Role == string(RoleMembership) && (u.Bytes < 12_499 || u.Bytes > 12_501) {
			t.Errorf("%+v, want 12,500 bytes per second", u)
		}
	}
	if sum := total(
		slopes.uses(day, PathDelta),
	); number(sum.Bytes) != notMeasured ||
		fits(sum.Cores,
			limitCores) != notMeasured {
		t.Errorf("a sum with unmeasured parts must not be a number: %+v", sum)
	}
	if day.ChangesPerSecond < 0.0386 || day.ChangesPerSecond > 0.0388 ||
		loads()[1].ChangesPerSecond < 0.916 {
		t.Errorf("%+v", loads())
	}
	if !strings.HasPrefix(fits(12_500, limitBytes), "**over, x1.2") || !strings.HasPrefix(fits(5000,
		limitBytes), "fits (0.50") {
		t.Error(fits(12_500, limitBytes), fits(5000, limitBytes))
	}
}

// A step with lost changes is excluded from the slopes, and the page lists it.
func TestFailedStepsAreInNoSlope(t *testing.T) {
	c := sample(t)
	c.Steps[0].Result.LostChanges = 3
	slopes, err := c.FitAll()
	if err != nil || slopes[SlopeBaseCores] != nil {
		t.Errorf("%+v, %v", slopes[SlopeBaseCores], err)
	}
	tables, err := c.Tables()
	if err != nil || !strings.Contains(tables, "3 changes and 0 versions did not arrive") {
		t.Errorf("%v\n%s", err, tables)
	}
}

// The output of benchmarks is parsed with all metrics; a repeated benchmark replaces the earlier one.
func TestReadBenchmarks(t *testing.T) {
	all, err := ReadBenchmarks(
		strings.NewReader(
			"goos: linux\nBenchmarkOwner/620x60000-8 \t 5\t 240000000 ns/op\t 21600 wireB/s/gateway\nPASS\n",
		),
	)
	if err != nil || len(all) != 1 || all[0].Name != "Owner/620x60000" ||
		all[0].Metrics["wireB/s/gateway"] != 21600 ||
		all[0].Metrics["ns/op"] != 24e7 {
		t.Errorf("%+v, %v", all, err)
	}
	c := &Capacity{}
	c.TakeBenchmarks(all)
	c.TakeBenchmarks(all)
	if len(c.Benchmarks) != 1 {
		t.Errorf("%+v", c.Benchmarks)
	}
}

// Numbers are formatted with three significant digits and thousands separators.
func TestNumber(t *testing.T) {
	for x, want := range map[float64]string{0: "0", 0.0123456: "0.0123", 12.3456: "12.3",
		1234.5: "1,234", 1234567: "1,234,567"} {
		if got := number(x); got != want {
			t.Errorf("%v: %s, want %s", x, got, want)
		}
	}
}
