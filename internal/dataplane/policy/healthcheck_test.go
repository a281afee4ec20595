package policy

import (
	"fmt"
	"testing"
)

func TestUnhealthyBackendIsProbedAndEntersSlowStart(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	id, _ := r.request(0, 1, 9, 1)
	b := r.requests[id].attempts[0].backend
	r.endAttempt(id, ConnectFailed, false)
	r.time += second
	r.Timer(r.time, 0)
	if r.actionRecorder.count(fmt.Sprintf("probe %d", b.Backend)) != 1 {
		t.Fatal("the unhealthy backend was not probed")
	}
	r.ReceiveProbeResult(r.time, b.Backend, OK, nil)
	if r.ejected(b) || r.warmFraction(b) == 1 {
		t.Error("a backend that refused a connection was not readmitted, or not into slow start")
	}
}

// A backend that hangs or is cut off from the network is ejected (issue i62622c).
func TestUnresponsiveBackendIsEjected(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	stuck, _ := r.request(0, 1, 9, 1)
	b := r.requests[stuck].attempts[0].backend
	for i := range 150 {
		r.time += second / 100
		r.Timer(r.time, 0)
		if id, sent := r.request(0, 1, uint64(i), 1); sent &&
			r.requests[id].attempts[0].backend != b {
			r.endAttempt(id, OK, true)
		}
	}
	if !b.unhealthy || !r.ejected(b) {
		t.Error("a backend that did not answer for several latency objectives is still used")
	}
	r.time += second
	r.ReceiveProbeResult(r.time, b.Backend, OK, nil)
	if r.ejected(b) || r.warmFraction(b) != 1 {
		t.Error("a backend that was only unresponsive was not readmitted, or not as warm")
	}
}
