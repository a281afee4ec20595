package policy

import "testing"

// crowd is settings for a fleet of so many gateways in which none hears of another.
func crowd(gateways int) Settings {
	set := settings()
	set.Gateways, set.Peers, set.Hedging = gateways, false, true
	set.Plans = []Plan{{Price: 1}}
	return set
}

// lastSend is the backend that a request was sent to last.
func (r *rig) lastSend(id uint64) *backend {
	attempts := r.requests[id].attempts
	return attempts[len(attempts)-1].backend
}

// An attempt that is turned away is no answer in time: a backend that turns many away
// quickly would otherwise open the gate to ever more of them.
func TestWhatIsTurnedAwayIsNoAnswerInTime(t *testing.T) {
	r := newRig(t, crowd(2))
	for range 200 {
		r.at += second / 200
		if id, ok := r.ask(0, 0, 1, 1); ok {
			for r.requests[id] != nil {
				r.end(id, Rejected, false)
			}
		}
	}
	if got := r.onTime.get(r.activeTime, second); got != 0 {
		t.Errorf("%.1f answers in time a second, all were turned away", got)
	}
	if r.lateFraction.value != 0 {
		t.Errorf("part of late answers %.2f, there were none", r.lateFraction.value)
	}
}

// A backend that turns attempts away holds nothing and looks idle. Through all gateways of a
// large fleet it is tried now and then only, though no gateway hears of another; the others
// get what it would have had.
func TestManyGatewaysTryABackendThatTurnsAwayNowAndThen(t *testing.T) {
	const gateways, seconds, turns = 32, 10, 1
	tried, served, asked := 0, 0, 0
	for self := range gateways {
		set := crowd(gateways)
		set.Self = self
		g, err := New(set, uint64(self+1), &fake{})
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{Balancer: g, fake: g.actions.(*fake), t: t, at: start}
		g.UpdateEndpoints(start, CompleteCached, members(4))
		for range 10 * seconds {
			r.at += second / 10
			asked++
			for _, b := range g.backends {
				if b.Backend != turns {
					b.latencyRatio, b.latencyRatioAt = 20, r.at // overloaded: whoever can would go elsewhere
				}
			}
			id, ok := r.ask(0, 0, 1, 1)
			for ok && r.requests[id] != nil {
				if r.lastSend(id).Backend == turns {
					tried++
					r.end(id, Rejected, false)
				} else {
					served++
					r.end(id, OK, true)
				}
			}
		}
	}
	// All at once before any knows, and then as often as the waits, which double up to
	// healTime, leave room for: at the shortest 0.43, 0.87, 1.73, 2 and 2 s.
	if most := 6 * gateways; tried > most {
		t.Errorf("%d of %d requests tried at the one that turns all away, at most %d wanted", tried, asked, most)
	}
	if tried < 2*gateways {
		t.Errorf("it was tried %d times by %d gateways: nobody would see that it is back", tried, gateways)
	}
	if served < asked*99/100 {
		t.Errorf("%d of %d served, the other backends have room", served, asked)
	}
}

// Where all backends turn attempts away a large fleet refuses at once; each is tried again
// after the wait, and one answer ends the doubling.
func TestTheWaitEndsAndAnAnswerShortensTheNext(t *testing.T) {
	r := newRig(t, crowd(32))
	wait := func() Time {
		id, ok := r.ask(0, 0, 1, 1)
		if !ok {
			t.Fatal("not sent")
		}
		b := r.lastSend(id)
		for r.requests[id] != nil {
			b = r.lastSend(id)
			r.end(id, Rejected, false)
		}
		for _, other := range r.backends { // the others stay out of this
			other.backoffUntil = max(other.backoffUntil, b.backoffUntil)
		}
		if _, ok := r.ask(0, 0, 1, 1); ok {
			t.Error("sent to a backend that has just turned an attempt away")
		}
		return b.backoffUntil - r.at
	}
	whole := Time(trialSpacing) * (32 - maxConcurrentTrials)
	for range 3 {
		for _, b := range r.backends {
			b.consecutiveRejections = 0
		}
		if got := wait(); got < whole/2 || got > whole {
			t.Errorf("first wait %d us, %d to %d wanted", got, whole/2, whole)
		}
		r.at += whole
	}
	for _, b := range r.backends {
		b.consecutiveRejections = 10
	}
	if got := wait(); got < maxProbeBackoff/2 || got > maxProbeBackoff {
		t.Errorf("longest wait %d us, %d to %d wanted", got, Time(maxProbeBackoff/2), Time(maxProbeBackoff))
	}
	r.at += maxProbeBackoff
	id, ok := r.ask(0, 0, 1, 1)
	if !ok {
		t.Fatal("not sent after the longest wait")
	}
	b := r.lastSend(id)
	r.end(id, OK, true)
	if b.consecutiveRejections != 0 {
		t.Errorf("%d times turned away in a row after an answer", b.consecutiveRejections)
	}
}

// Where a connection failed or broke the process may have ended, and be back cold before any
// list tells of it. Also as the last resort it is sent one attempt at a time then, until an
// answer comes as soon as from a warm one: of many gateways none has to hear of another.
func TestOneAtATimeAfterAConnectionFailed(t *testing.T) {
	for _, r := range []Result{ConnectFailed, Reset} {
		g := newRig(t, crowd(32))
		g.UpdateEndpoints(g.at, Complete, members(1))
		for range 200 { // the gate has room for many
			g.at += second / 200
			g.serve(0, 0, 1, 1)
		}
		id, ok := g.ask(0, 0, 1, 1)
		if !ok {
			t.Fatal("not sent")
		}
		b := g.lastSend(id)
		g.end(id, r, false)
		g.ClientGone(g.at, id)
		sent := 0
		if g.requests[id] != nil { // a further attempt was sent at once
			sent++
		}
		for range 10 {
			if _, ok := g.ask(0, 0, 1, 1); ok {
				sent++
			}
		}
		if sent > 1 || b.inFlight > 1 {
			t.Errorf("after result %d: %d attempts sent at once, %d out", r, sent, b.inFlight)
		}
		for id := range g.requests {
			g.end(id, OK, true)
		}
		if b.maybeRestarted {
			t.Errorf("after result %d: one at a time still after a prompt answer", r)
		}
	}
}
