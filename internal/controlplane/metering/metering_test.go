package metering

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/storage/store"
)

var discardLog = slog.New(slog.DiscardHandler)

func open(t *testing.T, dir string, incarnation uint64) *Counter {
	t.Helper()
	c, err := Open(dir, "g", incarnation, time.Second, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// collect returns the units of the closed periods, by incarnation and period number, and the
// incarnations whose last period is among them.
func collect(
	t *testing.T, c *Counter, collected map[uint64]uint64,
) (sums map[[2]uint64]float64, last map[uint64]bool) {
	t.Helper()
	sums, last = map[[2]uint64]float64{}, map[uint64]bool{}
	if err := c.ClosedPeriods(collected, func(p *controlpb.UsagePeriod) error {
		key := [2]uint64{p.Incarnation, p.Period}
		if _, duplicate := sums[key]; duplicate {
			t.Errorf("incarnation and period %v were collected twice", key)
		}
		sums[key] = 0
		for _, u := range p.Units {
			sums[key] += u.Units
		}
		last[p.Incarnation] = last[p.Incarnation] || p.Last
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return sums, last
}

// abandon closes the files of a counter without closing its period, as a kill of the process does.
func abandon(t *testing.T, c *Counter) {
	t.Helper()
	if err := errors.Join(c.store.Close(), c.ring.close()); err != nil {
		t.Fatal(err)
	}
}

// The next process counts exactly once all that a process had counted when it was killed, whether
// the records were in the ring, in the open period or in a closed one.
func TestKilledAtAnyStep(t *testing.T) {
	for kill := range 12 {
		dir := t.TempDir()
		c := open(t, dir, 1)
		now, counted := time.Now(), 0.0
		for n := range kill {
			c.Count(uint64(n%3), 2)
			counted += 2
			switch n % 4 {
			case 1:
				c.step(now) // stores the records of the ring in the open period
			case 3:
				now = now.Add(2 * time.Second)
				c.step(now) // closes the period
			}
		}
		abandon(t, c)
		for incarnation := uint64(2); incarnation < 4; incarnation++ {
			// The next two processes are killed before they count anything.
			abandon(t, open(t, dir, incarnation))
		}
		c = open(t, dir, 9)
		sums, last := collect(t, c, nil)
		got := 0.0
		for key, units := range sums {
			if key[0] == 1 {
				got += units
			} else if units != 0 {
				t.Errorf("kill after %d steps: incarnation %d has %g units, want none",
					kill, key[0], units)
			}
		}
		if got != counted || counted > 0 && !last[1] {
			t.Errorf("kill after %d steps: collected %g of %g units; incarnations with a last "+
				"period: %v", kill, got, counted, last)
		}
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestCollectedPeriodsAreDropped(t *testing.T) {
	dir := t.TempDir()
	c := open(t, dir, 1)
	now := time.Now()
	for range 3 {
		c.Count(7, 1)
		now = now.Add(2 * time.Second)
		c.step(now)
	}
	if sums, _ := collect(t, c, nil); len(sums) != 3 {
		t.Errorf("closed periods %v, want 3", sums)
	}
	if sums, _ := collect(t, c,
		map[uint64]uint64{1: 2}); len(sums) != 1 || sums[[2]uint64{1, 3}] != 1 {
		t.Errorf("closed periods after the second %v, want only the third, with 1 unit", sums)
	}
	if sums, _ := collect(t, c, nil); len(sums) != 1 {
		t.Errorf("closed periods %v after two were collected, want 1", sums)
	}
	c.Count(7, 5)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	c = open(t, dir, 2)
	defer c.Close()
	if sums, last := collect(t, c,
		map[uint64]uint64{1: 3}); len(sums) != 1 || sums[[2]uint64{1, 4}] != 5 || !last[1] {
		t.Errorf("after Close: closed periods %v, last %v, want a last period with 5 units",
			sums, last)
	}
}

// While the store can't be written, new records stay in the ring. After the store is available
// again, each record is counted once.
func TestRecordsSurviveAStoreFailure(t *testing.T) {
	dir := t.TempDir()
	c := open(t, dir, 1)
	c.Count(1, 1)
	c.step(time.Now())
	_ = c.store.Close() // later commits fail
	c.Count(1, 2)
	hidden := filepath.Join(dir, "hidden")
	if err := os.Rename(c.dir, hidden); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(c.dir, nil, 0o600); err != nil { // prevents opening the store
		t.Fatal(err)
	}
	c.step(time.Now())
	if !c.failed {
		t.Fatal("the store did not fail")
	}
	c.Count(1, 4)
	if err := errors.Join(os.Remove(c.dir), os.Rename(hidden, c.dir)); err != nil {
		t.Fatal(err)
	}
	c.step(time.Now()) // opens the store again
	c.step(time.Now().Add(2 * time.Second))
	if c.failed {
		t.Error("the counter still fails after the store is available again")
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	c = open(t, dir, 2)
	defer c.Close()
	sums, _ := collect(t, c, nil)
	total := 0.0
	for _, units := range sums {
		total += units
	}
	if total != 7 {
		t.Errorf("collected %g of 7 units: %v", total, sums)
	}
}

func TestRecordsWithoutRoomCountAsLost(t *testing.T) {
	c := open(t, t.TempDir(), 1)
	for range ringRecords + 5 {
		c.Count(1, 1)
	}
	if n := c.lost.Load(); n != 5 {
		t.Errorf("%d records are lost, want 5", n)
	}
	c.step(time.Now())
	c.Count(1, 1)
	if n := c.lost.Load(); n != 5 {
		t.Errorf("%d records are lost after the ring was drained, want 5", n)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestOpenFailsIfAnotherProcessHasTheDirectory(t *testing.T) {
	dir := t.TempDir()
	c := open(t, dir, 1)
	defer c.Close()
	if _, err := Open(dir, "g", 2, time.Second, discardLog); !errors.Is(err, store.ErrLocked) {
		t.Errorf("the second Open returns %v, want ErrLocked", err)
	}
}

// BenchmarkCount measures the time and the allocations of Count, which should allocate nothing.
func BenchmarkCount(b *testing.B) {
	c, err := Open(b.TempDir(), "g", 1, time.Second, discardLog)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	b.ReportAllocs()
	for i := range b.N {
		c.Count(uint64(i), 1)
		if i%1000 == 0 {
			c.consumed.Store(c.ring.added.Load())
		}
	}
}
