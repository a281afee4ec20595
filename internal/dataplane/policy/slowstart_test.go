package policy

import "testing"

func TestSlowStartLimitsSends(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	var inFlight []uint64
	sendFor := func(seconds int) map[uint32]int {
		got := map[uint32]int{}
		for i := range seconds * 100 {
			r.time += second / 100
			if id, sent := r.request(0, 1, uint64(i), 1); sent {
				got[r.requests[id].attempts[0].backend.Backend]++
				inFlight = append(inFlight, id)
			}
			for len(inFlight) > 0 &&
				r.time-r.requests[inFlight[0]].attempts[0].sentAt >= second/10 {
				r.endAttempt(inFlight[0], OK, true)
				inFlight = inFlight[1:]
			}
		}
		return got
	}
	sendFor(8)
	r.UpdateEndpoints(r.time, Delta, []Endpoint{{Backend: 4, Cell: 1, StartedAt: r.time}})
	got := sendFor(1)
	warm := float64(got[1]+got[2]+got[3]) / 3
	if starting := float64(got[4]); starting > 0.6*warm || starting == 0 {
		t.Errorf("the backend in slow start got %g requests, a warm one got %g", starting, warm)
	}
	// The limit also holds if all backends are in slow start at once.
	list := endpointList(4)
	for i := range list {
		list[i].StartedAt = r.time
	}
	r.UpdateEndpoints(r.time, Complete, list)
	got = sendFor(1)
	if n := got[1] + got[2] + got[3] + got[4]; n > 60 {
		t.Errorf("%d of 100 requests sent with all backends in slow start, want at most 60",
			n)
	}
}

// A backend in slow start gets requests even if each of many gateways sends too few requests to
// accumulate a whole send for it (issue i47ec98).
func TestSlowStartWithManySlowGateways(t *testing.T) {
	sent := 0
	for seed := range uint64(60) {
		lb, err := New(testSettings(), seed, &actionRecorder{})
		if err != nil {
			t.Fatal(err)
		}
		r := wrapBalancer(t, lb, start)
		list := endpointList(4)
		list[3].StartedAt = start
		lb.UpdateEndpoints(start, Complete, list)
		for i := range 12 { // two requests a second; one backend of four is in slow start
			r.time += second / 2
			r.Timer(r.time, 0)
			id, ok := r.request(0, 1, uint64(i), 1)
			if ok && r.requests[id].attempts[0].backend.Backend == 4 {
				sent++
			}
			if ok {
				r.endAttempt(id, OK, true)
			}
		}
	}
	// A warm backend gets a quarter of the 720 requests; this one a fifth to two thirds of that.
	if sent < 20 || sent > 130 {
		t.Errorf("60 gateways made %d sends to the backend in slow start, want 20 to 130", sent)
	}
}
