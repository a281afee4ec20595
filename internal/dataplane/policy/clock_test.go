package policy

import "testing"

// The time that attempts and answers waited while this gateway was suspended does not count against
// the backends.
func TestSuspensionIsNotBlamedOnBackends(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	id, _ := r.request(0, 1, 9, 1)
	b := r.requests[id].attempts[0].backend
	r.Timer(r.time, 0)
	r.time += 3 * second
	if _, sent := r.request(0, 1, 8, 1); !sent || b.unhealthy {
		t.Error("attempts in flight during a suspension count as unanswered")
	}
	r.Outcome(r.time, Outcome{
		ID: id, Backend: b.Backend, Result: OK, Duration: 3 * second, RequestDone: true,
	})
	if b.latencyRatio != 0 || r.meanLatency.value != 0 {
		t.Error("the time that an answer waited for this gateway counts as the backend's latency")
	}
}
