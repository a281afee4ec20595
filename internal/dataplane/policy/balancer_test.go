package policy

import (
	"fmt"
	"reflect"
	"testing"
)

func TestUnknownEventsAreIgnored(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	id, _ := r.request(0, 1, 9, 1)
	before := len(r.recorded)
	r.Outcome(r.time, Outcome{ID: 999})
	r.Outcome(r.time, Outcome{ID: id, Attempt: 4})
	r.Outcome(r.time, Outcome{ID: id, Attempt: -1})
	r.ClientGone(r.time, 999)
	r.Timer(r.time, 77)
	r.ReceiveProbeResult(r.time, 99, OK, nil)
	r.ReceiveCounterTotal(r.time, 5, OK, 1)
	if len(r.recorded) != before {
		t.Errorf("unknown events caused actions: %v", r.recorded[before:])
	}
	r.ClientGone(r.time, id)
	r.endAttempt(id, Reset, true)
	if r.requests[id] != nil ||
		r.actionRecorder.count("fail")+r.actionRecorder.count("reject") != 0 {
		t.Error("a request whose client has gone was answered or is kept")
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []string {
		r := newTestBalancer(t, testSettings())
		for i := range 3000 {
			r.time += second / 200
			id, sent := r.request(i%3, i%3, uint64(i*7%90), 1+float64(i%2))
			if sent {
				r.endAttempt(id, Result(i*i%5), i*i%5 == 0)
			}
			if i%10 == 0 {
				r.Timer(r.time, 0)
			}
		}
		return r.recorded
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Error("the same events caused different actions")
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct{ gateways, backends, spread int }{
		{2, 16, 2}, {360, 90, 150}, {620, 15, 3}, {620, 730, 3}, {620, 7300, 3},
	} {
		b.Run(fmt.Sprintf("%dx%d", c.gateways, c.backends), func(b *testing.B) {
			set := testSettings()
			set.Gateways = c.gateways
			set.Plans[1].Rate = 20 // large enough for grants, so that requests are decided at once
			lb, err := New(set, 7, ignoredActions{&actionRecorder{}})
			if err != nil {
				b.Fatal(err)
			}
			lb.UpdateEndpoints(start, CompleteCached, endpointList(c.backends))
			b.ReportAllocs()
			now, waits := start, 0
			for i := 0; b.Loop(); i++ {
				now += 5000
				id := uint64(i)
				lb.Request(now, Request{
					ID: id, Plan: 1, Customer: id % 200, Units: 1, Timeout: second,
					Spread: c.spread,
				})
				switch r := lb.requests[id]; {
				case r == nil:
				case len(r.attempts) == 0:
					waits++
				default:
					lb.Outcome(now, Outcome{
						ID: id, Backend: r.attempts[0].backend.Backend, Duration: 1000,
						RequestDone: true,
					})
				}
			}
			b.ReportMetric(float64(waits)/float64(b.N), "waiting/op") // requests not sent at once
		})
	}
}

func BenchmarkUpdateEndpoints(b *testing.B) {
	lb, err := New(testSettings(), 7, ignoredActions{&actionRecorder{}})
	if err != nil {
		b.Fatal(err)
	}
	list := endpointList(32)
	b.ReportAllocs()
	for b.Loop() {
		lb.UpdateEndpoints(start, Complete, list)
	}
}

// ignoredActions does nothing.
type ignoredActions struct{ Actions }

func (ignoredActions) Send(uint64, uint32, Time) {}
func (ignoredActions) Reject(uint64, Time)       {}
func (ignoredActions) SetTimer(Time, uint32)     {}
func (ignoredActions) SendToPeer(int, []byte)    {}
func (ignoredActions) Log(string)                {}
