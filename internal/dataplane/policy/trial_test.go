package policy

import "testing"

// largeFleetSettings returns settings for a fleet whose gateways do not communicate.
func largeFleetSettings(gateways int) Settings {
	set := testSettings()
	set.Gateways, set.Peers, set.Hedging = gateways, false, true
	set.Plans = []Plan{{Price: 1}}
	return set
}

// lastBackend returns the backend that a request was sent to last.
func (r *testBalancer) lastBackend(id uint64) *backend {
	attempts := r.requests[id].attempts
	return attempts[len(attempts)-1].backend
}

// A rejected attempt does not count as an answer on time: otherwise a backend that quickly rejects
// many attempts would be sent ever more of them.
func TestRejectedAttemptIsNoAnswerOnTime(t *testing.T) {
	r := newTestBalancer(t, largeFleetSettings(2))
	for range 200 {
		r.time += second / 200
		if id, ok := r.request(0, 0, 1, 1); ok {
			for r.requests[id] != nil {
				r.endAttempt(id, Rejected, false)
			}
		}
	}
	if got := r.onTime.get(r.activeTime, second); got != 0 {
		t.Errorf("%.1f answers on time a second, want 0: all attempts were rejected", got)
	}
	if r.lateFraction.value != 0 {
		t.Errorf("fraction of late answers is %.2f, want 0", r.lateFraction.value)
	}
}

// A backend that rejects all attempts has nothing in flight and looks idle. All gateways of a large
// fleet together try it only rarely, though they do not communicate, and the other backends serve
// the requests.
func TestLargeFleetRarelyTriesARejectingBackend(t *testing.T) {
	const gateways, seconds, rejecting = 32, 10, 1
	tried, served, requests := 0, 0, 0
	for self := range gateways {
		set := largeFleetSettings(gateways)
		set.Self = self
		lb, err := New(set, uint64(self+1), &actionRecorder{})
		if err != nil {
			t.Fatal(err)
		}
		r := wrapBalancer(t, lb, start)
		lb.UpdateEndpoints(start, CompleteCached, endpointList(4))
		for range 10 * seconds {
			r.time += second / 10
			requests++
			for _, b := range lb.backends {
				if b.Backend != rejecting {
					// slow, so that the rejecting one has the best score
					b.latencyRatio, b.latencyRatioAt = 20, r.time
				}
			}
			id, ok := r.request(0, 0, 1, 1)
			for ok && r.requests[id] != nil {
				if r.lastBackend(id).Backend == rejecting {
					tried++
					r.endAttempt(id, Rejected, false)
				} else {
					served++
					r.endAttempt(id, OK, true)
				}
			}
		}
	}
	// Each gateway tries it once before it knows, then as often as the waits allow. These double up
	// to maxProbeBackoff: the shortest are 0.43, 0.87, 1.73, 2 and 2 s.
	if most := 6 * gateways; tried > most {
		t.Errorf("%d attempts for %d requests at the backend that rejects all, want at most %d",
			tried, requests, most)
	}
	if tried < 2*gateways {
		t.Errorf("%d attempts by %d gateways at the rejecting backend: recovery would go unnoticed",
			tried, gateways)
	}
	if served < requests*99/100 {
		t.Errorf("%d of %d requests were served, though the other backends have capacity",
			served, requests)
	}
}

// If all backends reject attempts, a gateway of a large fleet rejects requests at once. Each
// backend is tried again after its backoff, and an answer resets the doubling.
func TestBackoffEndsAndAnAnswerResetsIt(t *testing.T) {
	r := newTestBalancer(t, largeFleetSettings(32))
	wait := func() Time {
		id, ok := r.request(0, 0, 1, 1)
		if !ok {
			t.Fatal("not sent")
		}
		b := r.lastBackend(id)
		for r.requests[id] != nil {
			b = r.lastBackend(id)
			r.endAttempt(id, Rejected, false)
		}
		for _, other := range r.backends { // no other backend is tried meanwhile
			other.backoffUntil = max(other.backoffUntil, b.backoffUntil)
		}
		if _, ok := r.request(0, 0, 1, 1); ok {
			t.Error("sent to a backend that has just rejected an attempt")
		}
		return b.backoffUntil - r.time
	}
	longest := Time(trialSpacing) * (32 - maxConcurrentTrials)
	for range 3 {
		for _, b := range r.backends {
			b.consecutiveRejections = 0
		}
		if got := wait(); got < longest/2 || got > longest {
			t.Errorf("first wait %d us, want %d to %d", got, longest/2, longest)
		}
		r.time += longest
	}
	for _, b := range r.backends {
		b.consecutiveRejections = 10
	}
	if got := wait(); got < maxProbeBackoff/2 || got > maxProbeBackoff {
		t.Errorf("longest wait %d us, want %d to %d",
			got, Time(maxProbeBackoff/2), Time(maxProbeBackoff))
	}
	r.time += maxProbeBackoff
	id, ok := r.request(0, 0, 1, 1)
	if !ok {
		t.Fatal("the request was not sent after the longest wait")
	}
	b := r.lastBackend(id)
	r.endAttempt(id, OK, true)
	if b.consecutiveRejections != 0 {
		t.Errorf("%d rejections in a row after an answer, want 0", b.consecutiveRejections)
	}
}

// If a connection failed or was reset, the process may have restarted before any list reports it.
// Even in panic mode the backend then gets one attempt at a time, until an answer is as prompt as
// that of a warm backend. This needs no communication between gateways.
func TestOneAttemptAtATimeAfterAConnectionFailed(t *testing.T) {
	for _, result := range []Result{ConnectFailed, Reset} {
		r := newTestBalancer(t, largeFleetSettings(32))
		r.UpdateEndpoints(r.time, Complete, endpointList(1))
		for range 200 { // there is capacity for many
			r.time += second / 200
			r.serve(0, 0, 1, 1)
		}
		id, ok := r.request(0, 0, 1, 1)
		if !ok {
			t.Fatal("not sent")
		}
		b := r.lastBackend(id)
		r.endAttempt(id, result, false)
		r.ClientGone(r.time, id)
		sent := 0
		if r.requests[id] != nil { // a further attempt was sent at once
			sent++
		}
		for range 10 {
			if _, ok := r.request(0, 0, 1, 1); ok {
				sent++
			}
		}
		if sent > 1 || b.inFlight > 1 {
			t.Errorf("after result %d: %d attempts were sent at once, %d are in flight",
				result, sent, b.inFlight)
		}
		for id := range r.requests {
			r.endAttempt(id, OK, true)
		}
		if b.maybeRestarted {
			t.Errorf("after result %d: still one attempt at a time after a prompt answer", result)
		}
	}
}
