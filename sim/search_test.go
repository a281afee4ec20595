package sim

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"mothcleat/internal/testing/harness"
)

// The recorded schedules, which once broke a rule or nearly did, break none.
func TestRecordedSchedules(t *testing.T) {
	files, err := filepath.Glob("testdata/schedules/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no schedules: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s, err := ParseSchedule(raw)
			if err != nil {
				t.Fatal(err)
			}
			if rule, what, _, err := s.Play(); err != nil || rule != "" {
				t.Errorf("%s: %s, %v", rule, what, err)
			}
		})
	}
}

// A search finds no broken rule, and has the same result on one core as on all.
func TestSearchFindsNothingOnAnyNumberOfCores(t *testing.T) {
	const schedules = 64
	first, err := Search(context.Background(), 7, schedules)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range first.Findings {
		t.Errorf("%s: %s\n%s", f.Rule, f.Detail, f.Schedule)
	}
	if first.Schedules != schedules || first.States < 20 {
		t.Errorf("%d schedules, %d states", first.Schedules, first.States)
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	again, err := Search(context.Background(), 7, schedules)
	if err != nil {
		t.Fatal(err)
	}
	if again.States != first.States || len(again.Findings) != len(first.Findings) {
		t.Errorf("%d states on one core, %d on all", again.States, first.States)
	}
}

// smallSchedule returns a small world with a high load.
func smallSchedule() Schedule {
	s := RandomSchedule(rand.New(rand.NewPCG(1, 1)))
	s.Gateways, s.Servers, s.Load, s.Duration, s.Spread = 3, 3, 0.9, 8*time.Second, 0
	return s
}

// A shrunk schedule still shows the breach, is not longer than the original, and is the same each
// time. Shrinking removes the faults that the breach does not need, also kills of gateways.
func TestShrinkKeepsOnlyNeededFaults(t *testing.T) {
	s := smallSchedule()
	s.Faults = []harness.Fault{{
		At:   time.Second,
		For:  300 * time.Millisecond,
		Kind: harness.Kill,
		N:    1,
	},
		{At: 2 * time.Second, For: time.Second, Kind: harness.Slow, N: 1, X: 3},
		{At: 3 * time.Second, For: 400 * time.Millisecond, Kind: harness.Kill, N: 2}}
	// lost is the breach: some request is lost with a killed gateway.
	lost := func(s Schedule) bool {
		w, err := New(s.Options)
		if err != nil {
			t.Fatal(err)
		}
		w.Run()
		return harness.Audit(w.Site, w.Record).KilledUnanswered > 0
	}
	if !lost(s) {
		t.Fatal("no request was lost with the killed gateways: the schedule does not show the breach")
	}
	short := s.shrink(lost)
	if !lost(short) {
		t.Error("the shrunk schedule does not show the breach")
	}
	kills := 0
	for _, f := range short.Faults {
		if f.Kind == harness.Kill {
			kills++
		}
	}
	if len(short.Faults) != 1 || kills != 1 || short.Duration > s.Duration {
		t.Errorf("shrunk to %s", short)
	}
	if again := s.shrink(lost); again.String() != short.String() {
		t.Errorf("the second shrinking gave another schedule: %s", again)
	}
}

// A schedule is the same after String and ParseSchedule. Invalid schedules are rejected.
func TestScheduleAsText(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	for range 50 {
		s := RandomSchedule(r)
		again, err := ParseSchedule([]byte(s.String()))
		if err != nil || again.String() != s.String() {
			t.Fatalf("%v: %s, then %s", err, s, again)
		}
	}
	for _, text := range []string{
		"",
		"{",
		`{"gateways":0}`,
		`{"gateways":2,"load":1,"for":1,"faults":[{"kind":"earthquake"}]}`,
	} {
		if _, err := ParseSchedule([]byte(text)); err == nil {
			t.Errorf("%q is accepted as a schedule", text)
		}
	}
}

// The rules hold in four hard cases: restarted processes have clocks an hour behind and two seconds
// ahead; a partition between gateways lasts for five minutes; a thousand gateways start at once;
// and four servers are down at the same time.
func TestHardCases(t *testing.T) {
	hour := harness.Fault{
		At:   2 * time.Second,
		For:  100 * time.Millisecond,
		Kind: harness.ClockOff,
		N:    1,
		X:    -3600,
	}
	ahead := harness.Fault{
		At:   3 * time.Second,
		For:  100 * time.Millisecond,
		Kind: harness.ClockOff,
		N:    0,
		X:    2,
	}
	down := func(n int) harness.Fault {
		return harness.Fault{
			At:   4 * time.Second,
			For:  1500 * time.Millisecond,
			Kind: harness.Down,
			N:    n,
		}
	}
	for name, o := range map[string]Options{
		"clocks": {
			Gateways:    3,
			Load:        0.6,
			Duration:    10 * time.Second,
			MessageLoss: -1,
			Snapshots:   true,
			Faults:      []harness.Fault{hour, ahead, down(1)},
		},
		"cut for five minutes": {
			Gateways:    6,
			Servers:     4,
			Load:        0.5,
			Duration:    320 * time.Second,
			MessageLoss: -1,
			Faults: []harness.Fault{
				{At: 5 * time.Second, For: 300 * time.Second, Kind: harness.Cut, N: 2},
			},
		},
		"a thousand, all new": {
			Gateways:    1000,
			Servers:     200,
			Load:        0.4,
			Duration:    3 * time.Second,
			MessageLoss: -1,
		},
		"servers down together": {
			Gateways:    12,
			Load:        0.4,
			Duration:    12 * time.Second,
			MessageLoss: -1,
			Faults:      []harness.Fault{down(0), down(2), down(4), down(6)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o.Seed = 9
			play(t, o)
		})
	}
}
