package policy

import "testing"

func TestCeilingHoldsThroughRestartsWithoutPeers(t *testing.T) {
	set := testSettings()
	plan := set.Plans[2]
	reference := tokenBucket{plan.CeilingBurst, plan.CeilingRate, plan.CeilingBurst, start}
	restart := func(self int, at Time) *testBalancer {
		set.Self = self
		lb, err := New(set, uint64(at), &actionRecorder{})
		if err != nil {
			t.Fatal(err)
		}
		lb.UpdateEndpoints(at, CompleteCached, endpointList(4))
		return wrapBalancer(t, lb, 0)
	}
	gateways := []*testBalancer{restart(0, start), restart(1, start)}
	sent, lowest := 0.0, 0.0
	for i := range 3000 {
		at := start + Time(i)*second/100
		if i%250 == 249 {
			gateways[i/250%2] = restart(i/250%2, at)
		}
		for _, r := range gateways {
			r.time, r.sharedBucket.level = at, 100 // whatever the shared bucket would grant
			if r.serve(0, 2, 9, 1) {
				sent++
				reference.refill(at)
				reference.level--
				lowest = min(lowest, reference.level)
			}
		}
	}
	if lowest < -plan.CeilingSlack {
		t.Errorf("the level of the ceiling fell to %g, want at least %g",
			lowest, -plan.CeilingSlack)
	}
	if sent < 200 {
		t.Errorf("%g units sent in 30 s, want at least 200 under the ceiling of 8 a second", sent)
	}
}
