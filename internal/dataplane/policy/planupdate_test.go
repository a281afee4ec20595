package policy

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func keepPlan(uint64) int { return -1 }

// newSingleGateway returns a gateway without peers, whose buckets hold the whole quotas.
func newSingleGateway(t *testing.T) *testBalancer {
	set := testSettings()
	set.Gateways, set.Peers = 1, false
	return newTestBalancer(t, set)
}

// What was consumed stays consumed, even if the burst is reduced and raised again.
func TestUpdatePlansGrantsNoSecondBurst(t *testing.T) {
	r := newSingleGateway(t)
	served := 0
	for r.serve(0, 0, 7, 1) {
		served++
	}
	if served != 8 {
		t.Fatalf("%d units were granted of a burst of 8", served)
	}
	plans := slices.Clone(r.settings.Plans)
	for _, burst := range []float64{2, 8, 20, 1, 8} {
		plans = slices.Clone(plans)
		plans[0].Burst = burst
		if err := r.UpdatePlans(r.time, plans, keepPlan); err != nil {
			t.Fatal(err)
		}
	}
	if r.serve(0, 0, 7, 1) {
		t.Error("a unit beyond the quota was granted")
	}
	plans = slices.Clone(plans)
	plans[0].Burst = 12 // four more than before
	if err := r.UpdatePlans(r.time, plans, keepPlan); err != nil {
		t.Fatal(err)
	}
	for served = 0; r.serve(0, 0, 7, 1); served++ {
	}
	if served != 4 {
		t.Errorf("%d units were granted after the burst grew by 4", served)
	}
}

// A customer that is moved to another plan is served under it, whichever plan its earlier requests
// named.
func TestUpdatePlansChangesACustomersPlan(t *testing.T) {
	r := newSingleGateway(t)
	r.serve(0, 0, 7, 1)
	if err := r.UpdatePlans(r.time, r.settings.Plans, func(uint64) int { return 1 }); err != nil {
		t.Fatal(err)
	}
	served := 1
	for r.serve(0, 1, 7, 1) {
		served++
	}
	if served != 20 {
		t.Errorf("%d units were granted of a burst of 20", served)
	}
}

func TestUpdatePlansRejectsInvalidPlans(t *testing.T) {
	r := newSingleGateway(t)
	if err := r.UpdatePlans(r.time, r.settings.Plans[:1], keepPlan); err == nil {
		t.Error("fewer plans were accepted")
	}
	bad := slices.Clone(r.settings.Plans)
	bad[0].Burst = 0
	if err := r.UpdatePlans(r.time, bad, keepPlan); err == nil || r.settings.Plans[0].Burst == 0 {
		t.Errorf("a rate without a burst was accepted: %v", err)
	}
}

// twoPlanSettings returns settings of a single gateway with two plans: one with a quota only, and
// one with a ceiling as well.
func twoPlanSettings() Settings {
	set := testSettings()
	set.Gateways, set.Peers = 1, false
	set.Plans = []Plan{
		{Rate: 4, Burst: 8, Price: 1, OverQuotaCost: 1},
		{Rate: 4, Burst: 8, Price: 1, OverQuotaRevenue: 1, CeilingRate: 8, CeilingBurst: 16},
	}
	return set
}

// resized returns the level of a bucket whose burst has changed.
func resized(level, before, after float64) float64 {
	return math.Min(after, level+after-before)
}

// In any sequence of requests, pauses and plan updates a customer gets no more than the plans
// grant. The reference is a bucket that follows the updates by the rule that what was consumed
// stays consumed.
func TestUpdatePlansKeepsToTheTerms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := twoPlanSettings()
		recorder := &actionRecorder{}
		lb, err := New(set, 1, recorder)
		if err != nil {
			t.Fatal(err)
		}
		at := start
		lb.UpdateEndpoints(at, CompleteCached, endpointList(4))
		at += second
		level, ceiling := set.Plans[0].Burst, 0.0
		firstRequest := true
		for id := range uint64(60) {
			if rapid.IntRange(0, 3).Draw(t, "update") == 0 {
				next := slices.Clone(lb.settings.Plans)
				factor := rapid.Float64Range(0.1, 3).Draw(t, "factor")
				previous := slices.Clone(next)
				next[0].Rate, next[0].Burst = 4*factor, 8*factor
				next[1].CeilingRate, next[1].CeilingBurst = 8*factor, 16*factor
				if err := lb.UpdatePlans(at, next, keepPlan); err != nil {
					t.Fatal(err)
				}
				level = resized(level, previous[0].Burst, next[0].Burst)
				ceiling = resized(ceiling, previous[1].CeilingBurst, next[1].CeilingBurst)
			}
			elapsed := rapid.Int64Range(0, second).Draw(t, "pass")
			at += elapsed
			quotaPlan, ceilingPlan := lb.settings.Plans[0], lb.settings.Plans[1]
			seconds := float64(elapsed) / float64(second)
			level = math.Min(quotaPlan.Burst, level+quotaPlan.Rate*seconds)
			ceiling = math.Min(ceilingPlan.CeilingBurst, ceiling+ceilingPlan.CeilingRate*seconds)
			plan := rapid.IntRange(0, 1).Draw(t, "plan")
			units := float64(rapid.IntRange(1, 4).Draw(t, "units"))
			before := recorder.count("send")
			lb.Request(at, Request{
				ID: id + 1, Class: 0, Plan: plan, Customer: uint64(7 + plan), Units: units,
				Timeout: second, Spread: 1,
			})
			if plan == 1 && firstRequest {
				ceiling = ceilingPlan.CeilingBurst // it has filled since the gateway's start
				firstRequest = false
			}
			if recorder.count("send") == before {
				continue
			}
			const rounding = 1e-6
			if plan == 0 {
				if level -= units; level < -rounding {
					t.Fatalf("%g units were sent beyond the quota", -level)
				}
			} else if ceiling -= units; ceiling < -rounding {
				t.Fatalf("%g units were sent beyond the ceiling", -ceiling)
			}
		}
	})
}

// A new process can restore a snapshot that was taken after a plan update, and grants no more than
// its own settings do.
func TestSnapshotTakenUnderOtherPlans(t *testing.T) {
	r := newSingleGateway(t)
	r.serve(0, 0, 7, 1)
	plans := slices.Clone(r.settings.Plans)
	plans[0].Burst, plans[2].CeilingBurst = 100, 200
	if err := r.UpdatePlans(r.time, plans, keepPlan); err != nil {
		t.Fatal(err)
	}
	s := r.TakeSnapshot(r.time, true)
	next := newSingleGateway(t)
	if err := next.Restore(next.time, second, &s); err != nil {
		t.Fatal(err)
	}
	served := 0
	for next.serve(0, 0, 7, 1) {
		served++
	}
	if served != 8 {
		t.Errorf("%d units were granted of a burst of 8", served)
	}
}
