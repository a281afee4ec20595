package policy

import "testing"

// Lost attempts must not use up the capacity (issue i62622c).
func TestOverdueAttemptsUseNoCapacity(t *testing.T) {
	set := testSettings()
	r := newTestBalancer(t, set)
	inFlight := 0
	for i := range 100 {
		if _, sent := r.request(1, 1, uint64(i), 1); sent {
			inFlight++
		}
	}
	if inFlight == 0 || inFlight == 100 {
		t.Fatalf("%d of 100 attempts in flight: the capacity is not bounded", inFlight)
	}
	r.time += 2 * second
	for _, b := range r.backends {
		b.unansweredSince = r.time // each has answered other attempts
	}
	if _, sent := r.request(1, 1, 200, 1); !sent {
		t.Error("attempts past their latency objective still use capacity")
	}
}

// Attempts at hung backends must not use up the capacity, and a back end whose answers are late
// everywhere must get fewer requests (issues i62622c, i191102).
func TestOverdueAttemptsCountAsAnswersAreLate(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	r.Timer(r.time, 0)
	for i := range 4 {
		r.request(0, 1, uint64(i), 1)
	}
	for _, b := range r.backends {
		b.overdue = b.inFlight
	}
	assertNear(t, "in flight with other answers on time", r.effectiveInFlight(), 0)
	for range 200 {
		r.lateFraction.add(1, fastSampleWeight)
	}
	assertNear(t, "in flight with all other answers late", r.effectiveInFlight(), 4)
}

// The minimum capacity must fall while answers are late, so that the queues of an overloaded back
// end drain (issue i678c40).
func TestMinimumCapacityFallsAsAnswersAreLate(t *testing.T) {
	capacity := func(late float64) int {
		r := newTestBalancer(t, testSettings())
		r.Timer(r.time, 0)
		for range 200 {
			r.lateFraction.add(late, fastSampleWeight)
		}
		n := 0
		for n < 100 {
			if _, sent := r.request(1, 1, uint64(n), 1); !sent {
				break
			}
			n++
		}
		return n
	}
	if onTime, late := capacity(0), capacity(1); late >= onTime || late == 0 {
		t.Errorf("capacity for %d attempts with answers on time, %d with all late", onTime, late)
	}
}

// A gateway with few attempts must not mistake random variation for overload, so it uses the peers'
// figures. One that sees enough answers itself must not rely on those older figures.
func TestPeerLoadCountsWhereOwnAnswersAreFew(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	for range 100 {
		r.Timer(r.time, 0)
		r.time += second / 50
	}
	r.ReceivePeerMessage(r.time, 1, messageHeader(1, 6, 40))
	inFlight, onTime, gateways := r.loadView()
	assertNear(t, "in flight", inFlight, 6)
	assertNear(t, "on time", onTime, 40)
	assertNear(t, "gateways", gateways, 2)
	for range 800 {
		r.onTime.add(r.activeTime, second, 1)
	}
	inFlight, _, gateways = r.loadView()
	if inFlight > 0.1 || gateways > 1.02 {
		t.Errorf("with many answers of its own: %g in flight at others, %g gateways",
			inFlight, gateways)
	}
}
