package scale

import (
	"strings"
	"testing"
	"time"

	"mothcleat/internal/testing/lab"
)

// A run with faults injects each fault, restores the affected process, and reports the delays of
// changes in each interval. All changes made meanwhile reach all gateways by the end.
func TestFaultsOfARun(t *testing.T) {
	if !lab.HasGo() {
		t.Fatal("no go command to build the gateway with")
	}
	t.Parallel()
	o := tiny()
	o.Path, o.For, o.RackSize, o.Versions, o.BaseVersion = PathDelta, 3*minInterval, 0, 3, true
	o.Parts = Parts{List: true, Configuration: true}
	o.ReplacementsPerSecond = 2
	o.Faults = []Fault{FaultLeader, FaultGateways}
	var err error
	if o.Self, err = SelfCommand(); err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	r, err := Run(t.Context(), o, &log)
	if err != nil {
		t.Fatalf("%v\n%s", err, log.String())
	}
	if len(r.Intervals) != 3 || r.Intervals[0].Fault != Undisturbed {
		t.Fatalf("%+v", r.Intervals)
	}
	for i, s := range r.Intervals {
		if s.Failed != "" || i > 0 && (!s.Recovered || s.Target == "") || s.InForce.Count == 0 {
			t.Errorf("%+v", s)
		}
	}
	if r.Diverged+r.LostChanges+r.LostVersions > 0 || r.GatewaysNotActing > 0 {
		t.Errorf("after faults: %s", r.Line())
	}
}

// A change counts towards the interval in which it was made.
func TestAChangeCountsToItsStretch(t *testing.T) {
	began := time.Now()
	p := &fleetRun{
		intervals: []Interval{
			{Fault: Undisturbed, began: began},
			{Fault: FaultKill, began: began.Add(time.Second)},
		},
	}
	for after, want := range map[time.Duration]Fault{0: Undisturbed, time.Second - 1: Undisturbed, time.Second: FaultKill, time.Hour: FaultKill} {
		if s := p.intervalOf(began.Add(after)); s == nil || s.Fault != want {
			t.Errorf("after %v: %+v, want %s", after, s, want)
		}
	}
	if s := (&fleetRun{}).intervalOf(began); s != nil {
		t.Errorf("a run without faults: %+v", s)
	}
}

// An unknown fault, or a run too short for its faults, gives an error that names it.
func TestFaultsThatCantBePlayed(t *testing.T) {
	if all, err := ParseFaults("stop,kill,leader,gateways"); err != nil || len(all) != 4 {
		t.Errorf("%v, %v", all, err)
	}
	if all, err := ParseFaults(""); err != nil || all != nil {
		t.Errorf("%v, %v", all, err)
	}
	if _, err := ParseFaults("stop,flood"); err == nil || !strings.Contains(err.Error(), "flood") {
		t.Error(err)
	}
	o := tiny()
	o.Faults, o.For = []Fault{FaultStop}, minInterval
	if err := o.Check(); err == nil || !strings.Contains(err.Error(), "--faults") {
		t.Error(err)
	}
}
