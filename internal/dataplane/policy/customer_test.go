package policy

import "testing"

func TestIdleCustomersAreDropped(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	for id := range uint64(3000) {
		r.serve(0, 0, id, 1)
		r.time += second / 50
		r.Timer(r.time, 0)
	}
	if n := len(r.customers); n > 2500 {
		t.Errorf("%d customers are kept of 3000 that sent one request in a minute", n)
	}
	r.time += 60 * second
	r.Timer(r.time, 0)
	r.time += 60 * second
	r.Timer(r.time, 0)
	if n := len(r.customers) + len(r.customerOrder); n != 0 {
		t.Errorf("%d records of idle customers are kept", n)
	}
	// A new customer reduces the refill for dropped ones, whether it was one of them or not.
	if r.sharedBucket.rate <= 100 || r.sharedBucket.rate > 3000 {
		t.Errorf("the shared bucket fills at %g a second from 3000 idle shares of 1",
			r.sharedBucket.rate)
	}
}

// Requests may name a gateway set that does not exist; they are served nevertheless.
func TestAnyGatewaySetIsServed(t *testing.T) {
	set := testSettings()
	set.Gateways = 12
	for _, first := range []int{-9, -1, 8, 1 << 40} {
		for _, spread := range []int{-1, 0, 3, 9, 12, 100} {
			r := newTestBalancer(t, set)
			r.Request(r.time, Request{
				ID: 1, Customer: 9, Units: 1, Timeout: second, First: first, Spread: spread,
			})
			r.Timer(r.time+second, decisionTimer)
			r.Timer(r.time+second, gossipTimer)
			if r.actionRecorder.count("send 1 ") != 1 {
				t.Errorf("first %d, spread %d: %v", first, spread, r.recorded)
			}
		}
	}
}

// A flood of requests under ever new names takes no more memory than the limit allows, and does not
// make the gateway forget a customer that has used up its quota.
func TestFloodOfNewCustomersIsBounded(t *testing.T) {
	const limit = 200
	for _, peers := range []bool{false, true} {
		set := testSettings()
		set.Peers = peers
		r := newTestBalancer(t, set)
		r.LimitCustomers(limit)
		const heavy = 1
		for r.serve(0, 0, heavy, 1) {
		}
		for name := range uint64(50 * limit) {
			r.serve(0, 0, 100+name, 1)
			r.recorded = nil
			if name%100 == 0 {
				r.time += second / 1000
				r.Timer(r.time, 0)
			}
			if n := max(len(r.customers), len(r.customerOrder), len(r.pendingGossip)); n > limit {
				t.Fatalf("peers %t: %d records after %d names, the limit is %d", peers, n, name, limit)
			}
		}
		if r.customers[heavy] == nil || r.serve(0, 0, heavy, 1) {
			t.Errorf("peers %t: the customer that has used up its quota was forgotten", peers)
		}
	}
}
