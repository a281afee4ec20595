package policy

import "testing"

// largeFleetSettings returns settings for a fleet in which no gateway hears of another.
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

// A rejected attempt is no answer on time: a backend that quickly rejects many would otherwise be
// sent ever more of them.
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
		t.Errorf("%.1f answers on time a second, all were rejected", got)
	}
	if r.lateFraction.value != 0 {
		t.Errorf("fraction of late answers %.2f, there were none", r.lateFraction.value)
	}
}

// A backend that rejects attempts holds nothing and looks idle. Through all gateways of a large
// fleet it is tried now and then only, though no gateway hears of another; the others get what it
// would have had.
func TestLargeFleetRarelyTriesARejectingBackend(t *testing.T) {
	const gateways, seconds, rejecting = 32, 10, 1
	tried, served, asked := 0, 0, 0
	for self := range gateways {
		set := largeFleetSettings(gateways)
		set.Self = self
		g, err := New(set, uint64(self+1), &actionRecorder{})
		if err != nil {
			t.Fatal(err)
		}
		r := wrapBalancer(t, g, start)
		g.UpdateEndpoints(start, CompleteCached, endpointList(4))
		for range 10 * seconds {
			r.time += second / 10
			asked++
			for _, b := range g.backends {
				if b.Backend != rejecting {
					// overloaded, so that the rejecting one looks best
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
	// Once each before any knows, then as often as the waits allow, which double up to
	// maxProbeBackoff: at the shortest 0.43, 0.87, 1.73, 2 and 2 s.
	if most := 6 * gateways; tried > most {
		t.Errorf("%d of %d requests tried at the one that rejects all, at most %d wanted",
			tried, asked, most)
	}
	if tried < 2*gateways {
		t.Errorf("it was tried %d times by %d gateways: nobody would notice its recovery",
			tried, gateways)
	}
	if served < asked*99/100 {
		t.Errorf("%d of %d served, the other backends have capacity", served, asked)
	}
}

// Where all backends reject attempts a large fleet rejects at once; each is tried again after its
// backoff, and an answer ends the doubling.
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
		for _, other := range r.backends { // the others are not tried meanwhile
			other.backoffUntil = max(other.backoffUntil, b.backoffUntil)
		}
		if _, ok := r.request(0, 0, 1, 1); ok {
			t.Error("sent to a backend that has just rejected an attempt")
		}
		return b.backoffUntil - r.time
	}
	whole := Time(trialSpacing) * (32 - maxConcurrentTrials)
	for range 3 {
		for _, b := range r.backends {
			b.consecutiveRejections = 0
		}
		if got := wait(); got < whole/2 || got > whole {
			t.Errorf("first wait %d us, %d to %d wanted", got, whole/2, whole)
		}
		r.time += whole
	}
	for _, b := range r.backends {
		b.consecutiveRejections = 10
	}
	if got := wait(); got < maxProbeBackoff/2 || got > maxProbeBackoff {
		t.Errorf("longest wait %d us, %d to %d wanted",
			got, Time(maxProbeBackoff/2), Time(maxProbeBackoff))
	}
	r.time += maxProbeBackoff
	id, ok := r.request(0, 0, 1, 1)
	if !ok {
		t.Fatal("not sent after the longest wait")
	}
	b := r.lastBackend(id)
	r.endAttempt(id, OK, true)
	if b.consecutiveRejections != 0 {
		t.Errorf("%d rejections in a row after an answer", b.consecutiveRejections)
	}
}

// Where a connection failed or broke, the process may have restarted before any list tells so. Even
// in panic mode it is then sent one attempt at a time, until an answer is as prompt as from a warm
// backend. No gateway has to hear of another for that.
func TestOneAttemptAtATimeAfterAConnectionFailed(t *testing.T) {
	for _, r := range []Result{ConnectFailed, Reset} {
		g := newTestBalancer(t, largeFleetSettings(32))
		g.UpdateEndpoints(g.time, Complete, endpointList(1))
		for range 200 { // there is capacity for many
			g.time += second / 200
			g.serve(0, 0, 1, 1)
		}
		id, ok := g.request(0, 0, 1, 1)
		if !ok {
			t.Fatal("not sent")
		}
		b := g.lastBackend(id)
		g.endAttempt(id, r, false)
		g.ClientGone(g.time, id)
		sent := 0
		if g.requests[id] != nil { // a further attempt was sent at once
			sent++
		}
		for range 10 {
			if _, ok := g.request(0, 0, 1, 1); ok {
				sent++
			}
		}
		if sent > 1 || b.inFlight > 1 {
			t.Errorf("after result %d: %d attempts sent at once, %d in flight", r, sent, b.inFlight)
		}
		for id := range g.requests {
			g.endAttempt(id, OK, true)
		}
		if b.maybeRestarted {
			t.Errorf("after result %d: one at a time still after a prompt answer", r)
		}
	}
}
