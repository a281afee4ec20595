package policy

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
)

const maxSnapshotAge = 60 * second

// restoredBalancer returns a Balancer restored from a snapshot.
func restoredBalancer(t *testing.T, set Settings, at Time, s Snapshot) *testBalancer {
	t.Helper()
	// A snapshot is plain data: it goes through JSON, as a host would store it.
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var decoded Snapshot
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	recorder := &actionRecorder{}
	lb, err := New(set, uint64(at), recorder)
	if err != nil {
		t.Fatal(err)
	}
	if err := lb.Restore(at, maxSnapshotAge, &decoded); err != nil {
		t.Fatal(err)
	}
	return &testBalancer{Balancer: lb, actionRecorder: recorder, t: t, time: at}
}

// Whatever happened before and whenever the process ended, a restored Balancer holds no more units
// than the earlier one would. The host stores a snapshot whenever one is due, and sometimes takes
// further ones, which may be stored long after they were taken, or never.
func TestRestoredBucketsNeverHoldMore(t *testing.T) {
	for seed := range uint64(1000) {
		h := newSnapshotHistory(t, seed)
		for range 20 + h.rand.IntN(400) {
			h.step()
			if h.rand.IntN(50) == 0 {
				break
			}
		}
		h.checkRestored()
	}
}

// snapshotHistory is a gateway whose snapshots are stored, with a peer.
type snapshotHistory struct {
	t        *testing.T
	seed     uint64
	rand     *rand.Rand
	settings Settings
	gateway  *testBalancer
	peer     *testBalancer
	stored   Snapshot
	writing  []Snapshot // taken, and not yet stored
	spread   int
}

func newSnapshotHistory(t *testing.T, seed uint64) *snapshotHistory {
	t.Helper()
	h := &snapshotHistory{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1))}
	h.settings = testSettings()
	h.settings.Peers = seed%2 == 0
	h.settings.MaxPeerMessagesPerSecond = 60
	if seed%3 == 0 {
		h.settings.Gateways = 1
	}
	h.spread = min(2, h.settings.Gateways)
	h.gateway = newTestBalancer(t, h.settings)
	h.peer = newTestBalancer(t, h.settings)
	h.peer.settings.Self = h.settings.Gateways - 1
	h.storeNow()
	return h
}

// storeNow takes a snapshot and stores it at once.
func (h *snapshotHistory) storeNow() {
	h.stored = h.gateway.TakeSnapshot(h.gateway.time, false)
	h.gateway.SnapshotStored(h.stored.At)
}

// step advances the time and simulates one event.
func (h *snapshotHistory) step() {
	a := h.gateway
	a.time += Time(h.rand.Float64() * float64(second) / 10)
	event := h.rand.IntN(10)
	switch {
	case event == 0 && a.time > a.nextTimer:
		a.Timer(a.time, gossipTimer)
	case event == 1 && h.settings.Peers && h.settings.Gateways > 1:
		h.peer.time = a.time
		customer := 1 + uint64(h.rand.IntN(4))
		h.peer.serve(0, int(customer%3), customer, 1)
		gossipTo(h.peer, a)
	case event == 2 && len(h.writing) < 3:
		h.writing = append(h.writing, a.TakeSnapshot(a.time, false))
	case event == 3 && len(h.writing) > 0:
		if h.writing[0].At >= h.stored.At {
			h.stored = h.writing[0]
		}
		a.SnapshotStored(h.writing[0].At)
		h.writing = h.writing[1:]
	default:
		h.request()
	}
	if a.SnapshotDue() {
		h.storeNow()
	}
}

func (h *snapshotHistory) request() {
	a := h.gateway
	customer := 1 + uint64(h.rand.IntN(4))
	a.lastID++
	a.Request(a.time, Request{
		ID: a.lastID, Class: h.rand.IntN(3), Plan: int(customer % 3), Customer: customer,
		Units: 1 + float64(h.rand.IntN(2)), Timeout: 2 * second, Spread: h.spread,
	})
	if a.requests[a.lastID] != nil {
		a.endAttempt(a.lastID, OK, true)
	}
}

// checkRestored compares a Balancer restored after some time with one that ran on.
func (h *snapshotHistory) checkRestored() {
	h.t.Helper()
	a := h.gateway
	now := a.time + Time(h.rand.Float64()*3*float64(second))
	b := restoredBalancer(h.t, h.settings, now, h.stored)
	a.advanceClock(now)
	for customer := uint64(1); customer <= 4; customer++ {
		plan := int(customer % 3)
		original := a.findOrAddCustomer(customer, plan, 0, h.spread)
		restored := b.findOrAddCustomer(customer, plan, 0, h.spread)
		if restored.bucket.level > original.bucket.level+1e-6 ||
			restored.ceilingBucket.level > original.ceilingBucket.level+1e-6 {
			h.t.Fatalf("seed %d, customer %d: restored bucket %g and ceiling %g, "+
				"without a restart %g and %g", h.seed, customer,
				restored.bucket.level, restored.ceilingBucket.level,
				original.bucket.level, original.ceilingBucket.level)
		}
	}
}

// A graceful restart loses no units and no state: the last snapshot deducts no allowance.
func TestGracefulRestartKeepsState(t *testing.T) {
	set := testSettings()
	set.Gateways, set.Peers, set.Probes = 1, false, false
	a := newTestBalancer(t, set)
	a.lastID = 1000
	for range 3 {
		a.lastID++
		a.Request(a.time, Request{
			ID: a.lastID, Plan: 2, Customer: 9, Units: 2, Timeout: 2 * second, Spread: 1,
		})
		a.endAttempt(a.lastID, OK, true)
	}
	slow := a.backendByID[2]
	slow.addLatencyRatio(a.time, 20)
	broken := a.backendByID[3]
	broken.unhealthy = true
	a.eject(broken, "test")
	s := a.TakeSnapshot(a.time, true)
	b := restoredBalancer(t, set, a.time+second/10, s)
	b.UpdateEndpoints(b.time, Complete, endpointList(4))
	a.advanceClock(b.time)
	original, restored := a.findOrAddCustomer(9, 2, 0, 1), b.findOrAddCustomer(9, 2, 0, 1)
	assertNear(t, "bucket", restored.bucket.level, original.bucket.level)
	assertNear(t, "ceiling", restored.ceilingBucket.level, original.ceilingBucket.level)
	assertNear(t, "latency ratio",
		b.backendByID[2].currentLatencyRatio(b.time), slow.currentLatencyRatio(b.time))
	if !b.backendByID[3].unhealthy || b.backendByID[3].nextProbe != broken.nextProbe {
		t.Error("an ejected backend is no longer ejected, or is probed at another time")
	}
	assertNear(t, "mean latency", b.meanLatency.value, a.meanLatency.value)
	original, restored = a.findOrAddCustomer(10, 2, 0, 1), b.findOrAddCustomer(10, 2, 0, 1)
	assertNear(t, "another customer's ceiling",
		restored.ceilingBucket.level, original.ceilingBucket.level)
	if b.uncleanRestore {
		t.Error("a graceful restart counts as unclean")
	}
}

// A backend that has restarted since the snapshot is another process: the state of the old process
// is not restored, and the backend is in slow start.
func TestRestartedBackendIsNotRestored(t *testing.T) {
	set := testSettings()
	a := newTestBalancer(t, set)
	a.backendByID[1].addLatencyRatio(a.time, 20)
	// This gateway has found that backend 2 restarted.
	a.backendByID[2].StartedAt, a.backendByID[2].slowStart = a.time, tokenBucket{at: a.time}
	b := restoredBalancer(t, set, a.time+second/10, a.TakeSnapshot(a.time, true))
	list := endpointList(4)
	list[0].StartedAt = b.time - second/20
	b.UpdateEndpoints(b.time, Complete, list)
	if b.backendByID[1].currentLatencyRatio(b.time) != 1 || b.warmFraction(b.backendByID[1]) > 0.3 {
		t.Errorf("backend 1: latency ratio %g, want 1; warm fraction %g, want at most 0.3",
			b.backendByID[1].currentLatencyRatio(b.time), b.warmFraction(b.backendByID[1]))
	}
	if b.warmFraction(b.backendByID[2]) > 0.3 {
		t.Error("backend 2, which was found to have restarted, is warm")
	}
}

// A snapshot that cannot be restored changes no state, and the error says why.
func TestRestoreErrors(t *testing.T) {
	set := testSettings()
	a := newTestBalancer(t, set)
	a.serve(0, 2, 9, 1)
	for reason, change := range map[string]func(*Snapshot, *Settings){
		"version":        func(s *Snapshot, _ *Settings) { s.Version++ },
		"other settings": func(_ *Snapshot, set *Settings) { set.Plans[0].Rate++ },
		"ahead":          func(s *Snapshot, _ *Settings) { s.At += 10 * second },
		"old":            func(s *Snapshot, _ *Settings) { s.At -= 2 * maxSnapshotAge },
		"classes": func(s *Snapshot, _ *Settings) {
			s.ClassLatencies = s.ClassLatencies[:1]
		},
		"row": func(s *Snapshot, _ *Settings) { s.ClientTimeouts[1] = nil },
		"twice": func(s *Snapshot, _ *Settings) {
			s.Customers = append(s.Customers, s.Customers[0])
		},
		"more left than the plan holds": func(s *Snapshot, _ *Settings) {
			s.Customers[0].BucketLevel = 1e9
		},
		"figure": func(s *Snapshot, _ *Settings) { s.Customers[0].LocalDemand = -1 },
		"waits":  func(s *Snapshot, _ *Settings) { s.Backends[0].ProbeBackoff = -1 },
	} {
		s, other := a.TakeSnapshot(a.time, true), testSettings()
		change(&s, &other)
		lb, err := New(other, 1, &actionRecorder{})
		if err != nil {
			t.Fatal(err)
		}
		err = lb.Restore(a.time+second, maxSnapshotAge, &s)
		var unusable *SnapshotError
		if !errors.As(err, &unusable) || !strings.Contains(err.Error(), reason) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", reason, err)
		}
		if len(lb.customers) > 0 || lb.meanLatency.samples > 0 {
			t.Errorf("%s: a part of the snapshot was restored", reason)
		}
	}
	s := a.TakeSnapshot(a.time, true)
	if err := a.Restore(a.time, maxSnapshotAge, &s); err == nil {
		t.Error("a snapshot was restored after the first request")
	}
}

// Gateways that restart from snapshots grant no more units than gateways that do not restart.
func TestFleetRestartGrantsNoBursts(t *testing.T) {
	sent := func(restarts bool) (units float64) {
		set := testSettings()
		set.Plans[0].Burst = 20
		gateways := make([]*testBalancer, 2)
		for i := range gateways {
			set.Self = i
			gateways[i] = newTestBalancer(t, set)
		}
		for i := range 200 {
			at := start + second + Time(i)*second/20
			if restarts && i%40 == 39 {
				for self := range gateways {
					set.Self = self
					at := gateways[self].time
					gateways[self] = restoredBalancer(t, set, at,
						gateways[self].TakeSnapshot(at, false))
					gateways[self].UpdateEndpoints(at, Complete, endpointList(4))
				}
			}
			for self, r := range gateways {
				r.time = max(r.time, at)
				if r.serve(0, 0, 5, 1) {
					units++
				}
				gossipTo(r, gateways[1-self])
			}
		}
		return units
	}
	without, with := sent(false), sent(true)
	if with > without*1.05 || with < without/2 {
		t.Errorf("%g units were sent with restarts, %g without", with, without)
	}
}

// A backend that only a stale list names may be in slow start: it gets one request at a time from
// each gateway, and a large fleet spreads its first requests over time. A watch event or a prompt
// answer ends this.
func TestStaleBootstrapListIsTriedWithCare(t *testing.T) {
	set := testSettings()
	set.Probes = false
	newGateway := func(gateways int, seed uint64) *testBalancer {
		set := set
		set.Gateways = gateways
		recorder := &actionRecorder{}
		lb, err := New(set, seed, recorder)
		if err != nil {
			t.Fatal(err)
		}
		lb.UpdateEndpoints(start, StaleBootstrap, endpointList(1))
		return &testBalancer{Balancer: lb, actionRecorder: recorder, t: t, time: start}
	}
	r := newGateway(2, 1)
	first, sent := r.request(0, 1, 9, 1)
	if _, again := r.request(0, 1, 9, 1); !sent || again {
		t.Errorf("first request sent %t, second one at the same time %t; want true, false",
			sent, again)
	}
	r.endAttempt(first, OK, true)
	for range 2 {
		if _, sent := r.request(0, 1, 9, 1); !sent {
			t.Error("still one request at a time after a prompt answer")
		}
	}
	r = newGateway(2, 1)
	r.UpdateEndpoints(r.time, Delta, endpointList(1))
	for range 2 {
		if _, sent := r.request(0, 1, 9, 1); !sent {
			t.Error("still one request at a time after a watch event")
		}
	}
	// Of forty gateways only some begin to try the backend within any short time.
	at := map[Time]int{}
	for seed := range uint64(40) {
		r := newGateway(40, seed*7919+1)
		for _, sent := r.request(0, 1, 9, 0.1); !sent; _, sent = r.request(0, 1, 9, 0.1) {
			if r.time += second / 20; r.time > start+5*second {
				t.Fatal("the backend was not tried within 5 s")
			}
		}
		at[(r.time-start)/(second/5)]++
	}
	for span, n := range at {
		if n > 16 {
			t.Errorf("%d of 40 gateways begin within the 200 ms before %d ms, want at most 16",
				n, 200*(span+1))
		}
	}
}

// Only the last snapshot taken counts as stored: an older one that is stored late allows for less
// consumption.
func TestSnapshotStoredIgnoresOlderSnapshots(t *testing.T) {
	set := testSettings()
	set.Gateways, set.Peers = 1, false
	r := newTestBalancer(t, set)
	consume := func(units float64) {
		r.lastID++
		r.Request(r.time, Request{
			ID: r.lastID, Plan: 1, Customer: 5, Units: units, Timeout: 2 * second, Spread: 1,
		})
		r.endAttempt(r.lastID, OK, true)
	}
	consume(1)
	first := r.TakeSnapshot(r.time, false)
	r.SnapshotStored(first.At)
	consume(1)
	r.time += second / 1000
	older := r.TakeSnapshot(r.time, false)
	consume(2)
	r.time += second / 1000
	newer := r.TakeSnapshot(r.time, false)
	c := r.customers[5]
	before := c.storedAllowance
	if r.SnapshotStored(older.At); c.storedAllowance != before {
		t.Errorf("the allowance is up to %g after an older snapshot, %g before",
			c.storedAllowance, before)
	}
	if r.SnapshotStored(newer.At); c.storedAllowance <= before {
		t.Errorf("the allowance is up to %g after the newest snapshot, %g before",
			c.storedAllowance, before)
	}
}

// A gateway that continues after another process has consumed an unknown part of its buckets grants
// none of the units that they held, only those that arrive from then on.
func TestForgottenUnitsAreNotGranted(t *testing.T) {
	set := testSettings()
	set.Gateways, set.Peers, set.Probes = 1, false, false
	for plan := range set.Plans {
		lb := newTestBalancer(t, set)
		lb.advanceClock(lb.time)
		c := lb.findOrAddCustomer(9, plan, 0, 1)
		if lb.available(c) <= 0 {
			t.Fatalf("plan %d: a new customer's bucket holds nothing", plan)
		}
		lb.ForgetUnits(lb.time)
		if bucket, ceiling := lb.available(c), c.ceilingBucket.level; bucket > 0 || ceiling > 0 {
			t.Errorf("plan %d: %v units are available, and %v under the ceiling", plan, bucket,
				ceiling)
		}
		lb.advanceClock(lb.time + second)
		lb.refill(c)
		if got := lb.available(c); got <= 0 || got > set.Plans[plan].Rate {
			t.Errorf("plan %d: %v units are available a second later", plan, got)
		}
	}
}
