package policy

import "testing"

func TestNoSendsToDrainingOrRemovedBackends(t *testing.T) {
	for _, event := range []struct {
		kind ListKind
		list []Endpoint
	}{
		{Delta, []Endpoint{{Backend: 1, State: Draining}, {Backend: 2, State: Removed}}},
		{Complete, []Endpoint{{Backend: 3}, {Backend: 4, Cell: 1}}},
	} {
		r := newTestBalancer(t, testSettings())
		r.UpdateEndpoints(r.time, event.kind, event.list)
		for i := range uint64(30) {
			if id, sent := r.request(0, 1, i, 1); sent &&
				r.requests[id].attempts[0].backend.Backend < 3 {
				t.Fatal("a request was sent to a backend that is draining or removed")
			}
		}
		if r.actionRecorder.count("send") == 0 {
			t.Error("no request was sent")
		}
	}
}

func TestPolledDiscoveryIsPolledAgain(t *testing.T) {
	set := testSettings()
	set.PollEndpoints, set.PollInterval = true, 10*second
	r := newTestBalancer(t, set)
	r.UpdateEndpoints(r.time, Unavailable, nil)
	if r.actionRecorder.count("watch") != 1 {
		t.Fatal("discovery was not polled at the start")
	}
	r.time += 4 * second
	r.Timer(r.time, 0)
	if r.actionRecorder.count("watch") != 2 {
		t.Error("discovery was not polled again after a failure")
	}
}
