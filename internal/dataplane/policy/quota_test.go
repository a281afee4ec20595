package policy

import (
	"math"
	"testing"
)

// Use of a nearly empty bucket is announced to the whole gateway set at once, use of a full one
// with the next regular messages.
func TestNearlyEmptyBucketIsAnnouncedAtOnce(t *testing.T) {
	a, b := newPair(t)
	a.time, b.time = a.time+second, b.time+second
	a.serve(0, 1, 9, 1)
	if n := a.actionRecorder.count("peer"); n > 1 { // the first announces its start
		t.Fatalf("use of a full bucket was announced at once: %d messages", n)
	}
	a.recorded = nil
	for range 18 {
		a.serve(0, 1, 9, 1)
	}
	if n := a.actionRecorder.count("peer 1"); n == 0 {
		t.Fatal("use of a nearly empty bucket was not announced")
	}
	deliverMessages(a, b)
	whole, _, known := b.RemainingQuota(9)
	own, _, _ := a.RemainingQuota(9)
	if !known || math.Abs(whole-own) > 0.5 {
		t.Errorf("the level is %g at the peer (known %t), and %g at the gateway that consumed",
			whole, known, own)
	}
}

// Urgent messages stay within the peer's limit. Use that exceeds it is announced with the next
// regular messages.
func TestUrgentMessagesStayWithinTheLimit(t *testing.T) {
	set := testSettings()
	set.Plans[0] = Plan{Rate: 400, Burst: 100, Price: 1}
	r := newTestBalancer(t, set)
	r.recorded = nil
	const seconds = 5
	for r.time = start + 2*second; r.time < start+(2+seconds)*second; r.time += second / 500 {
		r.serve(0, 0, 9, 1)
		if r.time%(second/10) == 0 {
			r.Timer(r.time, 0)
		}
	}
	urgent := urgentMessageFraction*set.MaxPeerMessagesPerSecond*seconds + urgentBurst
	limit := int(urgent) + 10*seconds
	if n := r.actionRecorder.count("peer"); n == 0 || n > limit {
		t.Errorf("%d messages in %d s, want 1 to %d", n, seconds, limit)
	}
}

// A gateway that has just started may grant an even share. It does not announce that share as the
// whole bucket, whose level must not change for the peers.
func TestStartHalvesNoBurst(t *testing.T) {
	a := newTestBalancer(t, testSettings())
	a.Balancer.startedAt, a.Balancer.stateSince = a.time, a.time // the gateway starts now
	if id, sent := a.request(0, 0, 9, 4); !sent {
		t.Fatalf("request %d within an even share was not sent", id)
	}
	if a.serve(0, 0, 9, 1) {
		t.Error("more than an even share was granted before peers had time to report")
	}
	whole, _, _ := a.RemainingQuota(9)
	assertNear(t, "the whole bucket", whole, 4)
	a.time += second
	if !a.serve(0, 0, 9, 4) {
		t.Error("the whole bucket is not available after peers have had time to report")
	}
}

// If messages prove late or lost, a gateway leaves more of a bucket to its peers. It leaves less
// again once messages prove on time.
func TestNotificationDelayIsLearned(t *testing.T) {
	a, b := newPair(t)
	a.serve(0, 0, 9, 1)
	gossipTo(a, b) // each now knows what the other has consumed
	b.serve(0, 0, 9, 1)
	gossipTo(b, a)
	a.time, b.time = a.time+5*second, b.time+5*second
	for range 4 {
		a.serve(0, 0, 9, 2)
		b.serve(0, 0, 9, 2) // both have granted the burst
	}
	a.recorded = nil
	gossipTo(a, b)
	gossipTo(a, b)
	if b.learnedDelay == 0 {
		t.Fatal("the learned delay is 0 though both gateways granted the same units")
	}
	before := b.learnedDelay
	for range 5 {
		a.time += 2 * second
		b.time = a.time
		a.serve(0, 0, 9, 2)
		gossipTo(a, b)
	}
	if b.learnedDelay >= before {
		t.Errorf("learned delay %d, want less than the %d before messages were on time",
			b.learnedDelay, before)
	}
}

// A home grants units of its part of the ceiling to a remote gateway whose own part is used up. It
// deducts them before it answers. A repeated answer has no effect.
func TestHomeGrantsUnitsOfItsCeiling(t *testing.T) {
	set := testSettings()
	set.Gateways = 12
	set.Plans[2] = Plan{
		Rate: 40, Burst: 80, CeilingRate: 80, CeilingBurst: 160, CeilingSlack: 4, Price: 1,
	}
	const customer, spread = 9, 12
	home := newTestBalancer(t, set)
	homeAt := home.homeOf(home.findOrAddCustomer(customer, 2, 0, spread))
	set.Self = homeAt
	home = newTestBalancer(t, set)
	set.Self = (homeAt + 1) % 12
	remote := newTestBalancer(t, set)
	home.time, remote.time = start+20*second, start+20*second
	home.Timer(home.time, gossipTimer)
	remote.Timer(remote.time, gossipTimer)
	home.findOrAddCustomer(customer, 2, 0, spread)
	request := func(id uint64) {
		remote.Request(remote.time, Request{
			ID: id, Class: 2, Plan: 2, Customer: customer, Units: 4, Timeout: 2 * second,
			Spread: spread,
		})
	}
	// The remote gateway's own part is used up.
	remote.findOrAddCustomer(customer, 2, 0, spread).ceilingBucket.level = 1
	before := home.customers[customer].ceilingBucket.level
	remote.recorded = nil
	request(1)
	if remote.actionRecorder.count("send") > 0 || remote.actionRecorder.count("reject") > 0 {
		t.Fatalf("the request was decided without the home: %v", remote.recorded)
	}
	deliverMessages(remote, home)
	assertNear(t, "the home's part", home.customers[customer].ceilingBucket.level, before-4)
	answers := append([]string(nil), home.recorded...)
	deliverMessages(home, remote)
	if remote.actionRecorder.count("send 1 ") != 1 {
		t.Fatalf("the request was not sent after the home's grant: %v", remote.recorded)
	}
	assertNear(t, "the remote gateway's own part",
		remote.customers[customer].ceilingBucket.level, 1)
	home.recorded = answers // the same answer again
	deliverMessages(home, remote)
	if n := remote.actionRecorder.count("send"); n != 1 {
		t.Errorf("%d sends after a repeated answer", n)
	}
	// Without an answer the remote gateway's own part decides, which is used up.
	request(2)
	remote.time += second
	remote.Timer(remote.time, decisionTimer)
	if remote.actionRecorder.count("reject 2") != 1 {
		t.Errorf("the request was not rejected without an answer from the home: %v",
			remote.recorded)
	}
}

// The levels of a gateway that was restored from a snapshot are too low by an allowance. It takes
// over the level of a peer that kept running, and the peer does not lower its own.
func TestPeerOverridesRestoredSnapshot(t *testing.T) {
	a, b := newPair(t)
	a.serve(0, 0, 9, 2)
	gossipTo(a, b)
	b.serve(0, 0, 9, 1)
	gossipTo(b, a)
	s := a.TakeSnapshot(a.time, false)
	set := testSettings()
	recorder := &actionRecorder{}
	lb, err := New(set, 99, recorder)
	if err != nil {
		t.Fatal(err)
	}
	r := &testBalancer{Balancer: lb, actionRecorder: recorder, t: t, time: a.time + second/10}
	if err := lb.Restore(r.time, 10*second, &s); err != nil {
		t.Fatal(err)
	}
	lb.UpdateEndpoints(r.time, CompleteCached, endpointList(4))
	whole, _, _ := b.RemainingQuota(9)
	if low, _, _ := lb.RemainingQuota(9); low > whole-1 {
		t.Fatalf("the restored gateway has %g, the peer %g: no allowance was deducted", low, whole)
	}
	gossipTo(r, b)
	b.refill(b.customers[9])
	if after, _, _ := b.RemainingQuota(9); after < whole-1e-6 {
		t.Errorf("the peer has %g, want the %g that it had before the restart", after, whole)
	}
	b.serve(0, 0, 9, 1)
	gossipTo(b, r)
	current, _, _ := b.RemainingQuota(9)
	if got, _, _ := lb.RemainingQuota(9); math.Abs(got-current) > 0.3 {
		t.Errorf("the restored gateway has %g after the peer's message, the peer %g", got, current)
	}
}

// Gateways that do not inform each other use shares of a quota. A share of a small burst can be
// less than a request. It then accumulates units for the largest request, at the share's rate, so
// that the customer is served.
func TestSmallShareSavesUpForARequest(t *testing.T) {
	for _, metered := range []bool{false, true} {
		set := testSettings()
		set.Peers, set.Gateways = false, 4
		if metered {
			set.MeterPeriod = second
		}
		set.Plans = []Plan{{Rate: 2, Burst: 4, Price: 1, OverQuotaCost: 1}}
		r := newTestBalancer(t, set)
		const seconds, units = 120, 2 // of a request
		const share = 0.5             // units a second
		passed := 0.0
		for range 2 * seconds {
			r.time += second / 2
			r.lastID++
			before := r.actionRecorder.count("send")
			r.Request(r.time, Request{
				ID: r.lastID, Customer: 9, Units: units, Timeout: 2 * second, Spread: 4,
			})
			if r.actionRecorder.count("send") > before {
				passed += units
				r.endAttempt(r.lastID, OK, true)
			}
		}
		if passed < 0.9*share*seconds || passed > share*seconds+units {
			t.Errorf("metered %t: %g units were sent, want about the share of %g",
				metered, passed, share*seconds)
		}
	}
}
