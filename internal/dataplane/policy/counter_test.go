package policy

import "testing"

func TestCounterReplacesGossip(t *testing.T) {
	set := testSettings()
	set.Peers, set.Counter = false, true
	r := newTestBalancer(t, set)
	r.serve(0, 0, 9, 2)
	r.Timer(r.time, 0)
	if r.actionRecorder.count("counter 9 2") != 1 {
		t.Fatal("use was not added to the counter")
	}
	r.ReceiveCounterTotal(r.time, 9, OK, 2)
	assertNear(t, "level", r.customers[9].bucket.level, 6)
	r.serve(0, 0, 9, 2)
	r.Timer(r.time, 0)
	r.ReceiveCounterTotal(r.time, 9, OK, 7)
	assertNear(t, "level after 3 units by others", r.customers[9].bucket.level, 1)
	r.ReceiveCounterTotal(r.time, 9, OK, 100) // no call is in flight
	assertNear(t, "level after a stray answer", r.customers[9].bucket.level, 1)
}

func TestMeterSetsQuotaFraction(t *testing.T) {
	set := testSettings()
	set.Peers, set.MeterPeriod = false, second
	r := newTestBalancer(t, set)
	id, _ := r.request(0, 1, 9, 5)
	assertNear(t, "fraction before a reading", r.quotaFraction(r.customers[9]), 0.5)
	b := r.requests[id].attempts[0].backend.Backend
	r.Outcome(r.time, Outcome{
		ID: id, Backend: b, Result: OK, Duration: 1, RequestDone: true, MeteredUse: 201,
	})
	assertNear(t, "fraction with a quarter of the use", r.quotaFraction(r.customers[9]), 0.25)
}
