package policy

import "testing"

func TestSettledUnitsAndConcurrencyLimit(t *testing.T) {
	set := testSettings()
	set.Gateways, set.ReportsActualUnits = 1, true
	set.Plans[0].ConcurrencyLimit = 2
	r := newTestBalancer(t, set)
	id, _ := r.request(0, 0, 9, 2)
	r.Outcome(r.time, Outcome{
		ID: id, Backend: r.requests[id].attempts[0].backend.Backend, Result: OK, Duration: 1,
		RequestDone: true, ActualUnits: 5,
	})
	assertNear(t, "bucket after 5 reported units", r.customers[9].bucket.level, 8.0/1-5)
	r.request(0, 0, 8, 1)
	r.request(0, 0, 8, 1)
	if _, sent := r.request(0, 0, 8, 1); sent {
		t.Error("a third attempt was sent against a limit of 2 in flight")
	}
}
