package policy

import "testing"

// A single reset concerns a single connection: it must not eject the backend.
func TestSingleResetDoesNotEject(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	id, _ := r.request(0, 1, 9, 1)
	b := r.requests[id].attempts[0].backend
	r.endAttempt(id, Reset, true)
	if b.unhealthy || r.ejected(b) {
		t.Error("the backend was ejected after a single reset")
	}
	r.time += 10 * second
	r.Timer(r.time, 0)
	if r.recordConnectionFault(b, Reset) || b.unhealthy {
		t.Error("the backend was ejected after two resets 10 s apart")
	}
	for range 3 {
		r.recordConnectionFault(b, Reset)
	}
	if !b.unhealthy {
		t.Fatal("the backend was not ejected after many resets at once")
	}
	r.ReceiveProbeResult(r.time, b.Backend, OK, nil)
	if b.unhealthy || r.warmFraction(b) < 1 {
		t.Error("a backend whose connections were only reset was not readmitted as warm")
	}
}

func TestErrorsEjectABackend(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	for i := range 200 {
		r.time += second / 100
		id, sent := r.request(0, 1, uint64(i), 1)
		for sent && r.requests[id] != nil {
			if q := r.requests[id]; q.attempts[len(q.attempts)-1].backend.Backend == 2 {
				r.endAttempt(id, Failed, false)
			} else {
				r.endAttempt(id, OK, true)
			}
		}
	}
	if n := r.actionRecorder.count("send") - 200; n > 20 {
		t.Errorf("%d of 200 requests met the backend that fails all of them, want at most 20",
			n)
	}
	b := r.backendByID[2]
	for range 5 {
		r.recordOutcome(&attempt{backend: b}, 0, Failed, 1)
	}
	if b.errorRate < ejectionErrorRate ||
		r.actionRecorder.count("log backend 2 ejected: errors") == 0 {
		t.Errorf("error rate %g: the backend was not ejected for errors", b.errorRate)
	}
}
