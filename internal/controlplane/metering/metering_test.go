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

var quiet = slog.New(slog.DiscardHandler)

func open(t *testing.T, dir string, incarnation uint64) *Counter {
	t.Helper()
	c, err := Open(dir, "g", incarnation, time.Second, quiet)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// parts are what is to be collected: units by incarnation and period.
func parts(
	t *testing.T, c *Counter, had map[uint64]uint64,
) (sums map[[2]uint64]float64, last map[uint64]bool) {
	t.Helper()
	sums, last = map[[2]uint64]float64{}, map[uint64]bool{}
	if err := c.ClosedPeriods(had, func(p *controlpb.UsagePeriod) error {
		key := [2]uint64{p.Incarnation, p.Period}
		if _, twice := sums[key]; twice {
			t.Errorf("period %v twice", key)
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

// abandon leaves a counter as a kill does: whatever is in the store and in the ring is there.
func abandon(t *testing.T, c *Counter) {
	t.Helper()
	if err := errors.Join(c.store.Close(), c.ring.close()); err != nil {
		t.Fatal(err)
	}
}

// Whatever was counted when the process was killed, the next one has it, once.
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
				c.step(now) // taken from the ring, and kept
			case 3:
				now = now.Add(2 * time.Second)
				c.step(now) // a period closed
			}
		}
		abandon(t, c)
		for incarnation := uint64(2); incarnation < 4; incarnation++ {
			// The next ones are killed before they do anything.
			abandon(t, open(t, dir, incarnation))
		}
		c = open(t, dir, 9)
		sums, last := parts(t, c, nil)
		got := 0.0
		for key, units := range sums {
			if key[0] == 1 {
				got += units
			} else if units != 0 {
				t.Errorf("kill after %d: %g units of incarnation %d", kill, units, key[0])
			}
		}
		if got != counted || counted > 0 && !last[1] {
			t.Errorf("kill after %d: %g of %g units, ended %v", kill, got, counted, last)
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
	if sums, _ := parts(t, c, nil); len(sums) != 3 {
		t.Errorf("%v", sums)
	}
	if sums, _ := parts(t, c,
		map[uint64]uint64{1: 2}); len(sums) != 1 || sums[[2]uint64{1, 3}] != 1 {
		t.Errorf("%v", sums)
	}
	if sums, _ := parts(t, c, nil); len(sums) != 1 {
		t.Errorf("not dropped: %v", sums)
	}
	c.Count(7, 5)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	c = open(t, dir, 2)
	defer c.Close()
	if sums, last := parts(t, c,
		map[uint64]uint64{1: 3}); len(sums) != 1 || sums[[2]uint64{1, 4}] != 5 || !last[1] {
		t.Errorf("after an end in order: %v %v", sums, last)
	}
}

// While the store can't be written the ring keeps what comes; then it goes on, with nothing twice.
func TestAStoreThatFails(t *testing.T) {
	dir := t.TempDir()
	c := open(t, dir, 1)
	c.Count(1, 1)
	c.step(time.Now())
	_ = c.store.Close() // from now on it fails
	c.Count(1, 2)
	hidden := filepath.Join(dir, "hidden")
	if err := os.Rename(c.dir, hidden); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(c.dir, nil, 0o600); err != nil { // nothing can be opened there
		t.Fatal(err)
	}
	c.step(time.Now())
	if !c.failed {
		t.Fatal("no failure: nothing was shown")
	}
	c.Count(1, 4)
	if err := errors.Join(os.Remove(c.dir), os.Rename(hidden, c.dir)); err != nil {
		t.Fatal(err)
	}
	c.step(time.Now()) // opens it again
	c.step(time.Now().Add(2 * time.Second))
	if c.failed {
		t.Error("still failing")
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	c = open(t, dir, 2)
	defer c.Close()
	sums, _ := parts(t, c, nil)
	total := 0.0
	for _, units := range sums {
		total += units
	}
	if total != 7 {
		t.Errorf("%g of 7 units: %v", total, sums)
	}
}

func TestARingWithoutRoomSaysSo(t *testing.T) {
	c := open(t, t.TempDir(), 1)
	for range ringRecords + 5 {
		c.Count(1, 1)
	}
	if n := c.lost.Load(); n != 5 {
		t.Errorf("%d lost", n)
	}
	c.step(time.Now())
	c.Count(1, 1)
	if n := c.lost.Load(); n != 5 {
		t.Errorf("%d lost after room was made", n)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestOneProcessAFolder(t *testing.T) {
	dir := t.TempDir()
	c := open(t, dir, 1)
	defer c.Close()
	if _, err := Open(dir, "g", 2, time.Second, quiet); !errors.Is(err, store.ErrLocked) {
		t.Errorf("%v", err)
	}
}

// Counting does not wait and makes no garbage.
func BenchmarkCount(b *testing.B) {
	c, err := Open(b.TempDir(), "g", 1, time.Second, quiet)
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
