package policy

import (
	"math"
	"testing"
)

// In a large fleet each gateway has hardly any attempts in flight. If the endpoint list has
// weights, idle backends are picked in proportion to them, so that the smaller ones are not idle
// while all gateways send to the largest. Attempts in flight also count by weight.
func TestIdleBackendsArePickedByWeight(t *testing.T) {
	for name, weights := range map[string][]float64{
		"small weights": {1, 1, 3, 3},
		"large weights": {2.5, 2.5, 7.5, 7.5},
	} {
		set := testSettings()
		set.ComparableWeights = true
		r := newTestBalancer(t, set)
		list := endpointList(4)
		for i := range list {
			list[i].Weight = weights[i]
		}
		r.UpdateEndpoints(r.time, Complete, list)
		got := map[uint32]int{}
		const requests = 2000
		for range requests {
			r.time += second / 20
			id, sent := r.request(0, 1, r.lastID, 1)
			if !sent {
				t.Fatalf("%s: request %d was not sent: %s", name, id, r.lastAction())
			}
			got[r.requests[id].attempts[0].backend.Backend]++
			r.endAttempt(id, OK, true)
		}
		for i, endpoint := range list {
			fraction := float64(got[endpoint.Backend]) / requests
			want := weights[i] / weights[2] * 3 / 8
			if math.Abs(fraction-want) > 0.03 {
				t.Errorf("%s: backend %d of weight %g got %.3f of all, want %.3f",
					name, i+1, weights[i], fraction, want)
			}
		}
	}
}

// In a large fleet each gateway sends few requests to any one backend, and must not pay for a
// handshake with nearly every request. In a small fleet all backends are used.
func TestSlowGatewayOfALargeFleetUsesFewBackends(t *testing.T) {
	for _, c := range []struct{ gateways, minUsed, maxUsed int }{{36, 2, 8}, {3, 20, 24}} {
		used := map[uint32]bool{}
		set := testSettings()
		set.Gateways = c.gateways
		lb, err := New(set, 5, &actionRecorder{})
		if err != nil {
			t.Fatal(err)
		}
		r := wrapBalancer(t, lb, start)
		lb.UpdateEndpoints(start, Complete, endpointList(24))
		for i := range 60 {
			r.time += second
			r.Timer(r.time, 0)
			// every third time two requests at once
			one, ok := r.request(0, 1, uint64(2*i), 1)
			two, both := uint64(0), false
			if i%3 == 0 {
				two, both = r.request(0, 1, uint64(2*i+1), 1)
			}
			for _, id := range []uint64{one, two} {
				if (id == one && ok) || (id == two && both) {
					used[r.requests[id].attempts[0].backend.Backend] = true
					r.endAttempt(id, OK, true)
				}
			}
		}
		if len(used) < c.minUsed || len(used) > c.maxUsed {
			t.Errorf("%d gateways: %d of 24 backends are used, want %d to %d",
				c.gateways, len(used), c.minUsed, c.maxUsed)
		}
	}
}
