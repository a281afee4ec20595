package policy

import "testing"

func TestQuotaThenRejectionWithAdvice(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	for i := range 4 {
		if !r.serve(0, 0, 9, 2) {
			t.Fatalf("request %d within the burst of 8 was not sent", i)
		}
	}
	if r.serve(0, 0, 9, 2) {
		t.Fatal("a request beyond the quota was sent, though the plan may not exceed it")
	}
	if got := r.lastAction(); got != "reject 5 after 1000000" {
		t.Errorf("last action is %q, want a rejection until the bucket holds 2 units", got)
	}
	r.time += second
	if !r.serve(0, 0, 9, 2) {
		t.Error("a request was not sent after the bucket had refilled")
	}
}

// Requests that a gateway receives after a suspension have waited. Those whose answers would be too
// late are rejected, so that the backends do no work for them.
func TestRequestThatWaitedTooLongIsRejected(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	for range 60 {
		r.time += second / 50
		r.Timer(r.time, 0)
		r.serve(0, 1, 9, 1)
	}
	r.time += second // the gateway is suspended
	for _, c := range []struct {
		timeout Time
		sent    bool
	}{{2*second - second*9/10, false}, {2*second - second/10, true}} {
		r.lastID++
		before := r.actionRecorder.count("send")
		r.Request(r.time, Request{
			ID: r.lastID, Plan: 1, Customer: 9, Units: 1, Timeout: c.timeout, Spread: 2,
		})
		if sent := r.actionRecorder.count("send") > before; sent != c.sent {
			t.Errorf("with %d left of 2000000: sent %t, want %t", c.timeout, sent, c.sent)
		}
	}
}
