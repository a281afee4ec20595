package policy

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
)

const oldest = 60 * second

// restored is a module that took in a state.
func restored(t *testing.T, set Settings, at Time, s Snapshot) *rig {
	t.Helper()
	// A state is plain data: it goes through a text, as a host would keep it.
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var back Snapshot
	if err := json.Unmarshal(text, &back); err != nil {
		t.Fatal(err)
	}
	f := &fake{}
	g, err := New(set, uint64(at), f)
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Restore(at, oldest, &back); err != nil {
		t.Fatal(err)
	}
	return &rig{Balancer: g, fake: f, t: t, at: at}
}

// Whatever happened before and whenever the process ended: what a restored module
// holds is no more than what the one that ended would hold. The host has kept a
// state whenever it was told that one is urgent, and now and then besides; those are
// written beside the loop, and may be written long after they were given out, or never.
func TestRestoredBanksNeverHoldMore(t *testing.T) {
	for seed := range uint64(1000) {
		r := rand.New(rand.NewPCG(seed, 1))
		set := settings()
		set.Peers, set.MaxPeerMessagesPerSecond = seed%2 == 0, 60
		if seed%3 == 0 {
			set.Gateways = 1
		}
		a := newRig(t, set)
		other := newRig(t, set)
		other.settings.Self = set.Gateways - 1
		kept := a.TakeSnapshot(a.at, false)
		a.SnapshotStored(kept.At)
		var writing []Snapshot
		spread := min(2, set.Gateways)
		for range 20 + r.IntN(400) {
			a.at += Time(r.Float64() * float64(second) / 10)
			switch x := r.IntN(10); {
			case x == 0 && a.at > a.nextTimer:
				a.Timer(a.at, gossipTimer)
			case x == 1 && set.Peers && set.Gateways > 1:
				other.at = a.at
				customer := 1 + uint64(r.IntN(4))
				other.serve(0, int(customer%3), customer, 1)
				tellAll(other, a)
			case x == 2 && len(writing) < 3:
				writing = append(writing, a.TakeSnapshot(a.at, false))
			case x == 3 && len(writing) > 0:
				if writing[0].At >= kept.At {
					kept = writing[0]
				}
				a.SnapshotStored(writing[0].At)
				writing = writing[1:]
			default:
				customer := 1 + uint64(r.IntN(4))
				a.next++
				a.Request(a.at, Request{ID: a.next, Class: r.IntN(3), Plan: int(customer % 3), Customer: customer,
					Units: 1 + float64(r.IntN(2)), Timeout: 2 * second, Spread: spread})
				if q := a.requests[a.next]; q != nil {
					a.end(a.next, OK, true)
				}
			}
			if a.SnapshotDue() {
				kept = a.TakeSnapshot(a.at, false)
				a.SnapshotStored(kept.At)
			}
			if r.IntN(50) == 0 {
				break
			}
		}
		down := Time(r.Float64() * 3 * float64(second))
		b := restored(t, set, a.at+down, kept)
		a.advanceClock(a.at + down)
		for customer := uint64(1); customer <= 4; customer++ {
			plan := int(customer % 3)
			x, y := a.findOrAddCustomer(customer, plan, 0, spread), b.findOrAddCustomer(customer, plan, 0, spread)
			if y.bucket.level > x.bucket.level+1e-6 || y.ceilingBucket.level > x.ceilingBucket.level+1e-6 {
				t.Fatalf("seed %d, customer %d: restored bank %g and ceiling %g, lived %g and %g", seed, customer,
					y.bucket.level, y.ceilingBucket.level, x.bucket.level, x.ceilingBucket.level)
			}
		}
	}
}

// An orderly end costs nobody anything: the last state holds no lease back.
func TestOrderlyRestartKeepsLevelsAndKnowledge(t *testing.T) {
	set := settings()
	set.Gateways, set.Peers, set.Probes = 1, false, false
	a := newRig(t, set)
	a.next = 1000
	for range 3 {
		a.next++
		a.Request(a.at, Request{ID: a.next, Plan: 2, Customer: 9, Units: 2, Timeout: 2 * second, Spread: 1})
		a.end(a.next, OK, true)
	}
	slow := a.backendByID[2]
	slow.addLatencyRatio(a.at, 20)
	broken := a.backendByID[3]
	broken.unhealthy = true
	a.eject(broken, "test")
	s := a.TakeSnapshot(a.at, true)
	b := restored(t, set, a.at+second/10, s)
	b.UpdateEndpoints(b.at, Complete, members(4))
	a.advanceClock(b.at)
	x, y := a.findOrAddCustomer(9, 2, 0, 1), b.findOrAddCustomer(9, 2, 0, 1)
	near(t, "bank", y.bucket.level, x.bucket.level)
	near(t, "ceiling", y.ceilingBucket.level, x.ceilingBucket.level)
	near(t, "slowness", b.backendByID[2].currentLatencyRatio(b.at), slow.currentLatencyRatio(b.at))
	if !b.backendByID[3].unhealthy || b.backendByID[3].nextProbe != broken.nextProbe {
		t.Error("a backend that was left out is not")
	}
	near(t, "mean answer time", b.meanLatency.value, a.meanLatency.value)
	if near(t, "another customer's ceiling", b.findOrAddCustomer(10, 2, 0, 1).ceilingBucket.level, a.findOrAddCustomer(10, 2, 0, 1).ceilingBucket.level); b.uncleanRestore {
		t.Error("an orderly end leaves no doubt")
	}
}

// A backend that has started anew since the state is another process: nothing
// that was known of the old one holds, and it is cold.
func TestRestartedBackendIsNotRecalled(t *testing.T) {
	set := settings()
	a := newRig(t, set)
	a.backendByID[1].addLatencyRatio(a.at, 20)
	a.backendByID[2].StartedAt, a.backendByID[2].slowStart = a.at, tokenBucket{at: a.at} // found to have restarted by itself
	b := restored(t, set, a.at+second/10, a.TakeSnapshot(a.at, true))
	list := members(4)
	list[0].StartedAt = b.at - second/20
	b.UpdateEndpoints(b.at, Complete, list)
	if b.backendByID[1].currentLatencyRatio(b.at) != 1 || b.warmFraction(b.backendByID[1]) > 0.3 {
		t.Errorf("backend 1: slowness %g, share %g", b.backendByID[1].currentLatencyRatio(b.at), b.warmFraction(b.backendByID[1]))
	}
	if b.warmFraction(b.backendByID[2]) > 0.3 {
		t.Error("what was found to be cold counts as warm")
	}
}

// States that can't be used are refused whole, with the reason.
func TestRestoreRefuses(t *testing.T) {
	set := settings()
	a := newRig(t, set)
	a.serve(0, 2, 9, 1)
	for reason, change := range map[string]func(*Snapshot, *Settings){
		"version":                       func(s *Snapshot, _ *Settings) { s.Version++ },
		"other settings":                func(_ *Snapshot, set *Settings) { set.Plans[0].Rate++ },
		"ahead":                         func(s *Snapshot, _ *Settings) { s.At += 10 * second },
		"old":                           func(s *Snapshot, _ *Settings) { s.At -= 2 * oldest },
		"classes":                       func(s *Snapshot, _ *Settings) { s.ClassLatencies = s.ClassLatencies[:1] },
		"row":                           func(s *Snapshot, _ *Settings) { s.ClientTimeouts[1] = nil },
		"twice":                         func(s *Snapshot, _ *Settings) { s.Customers = append(s.Customers, s.Customers[0]) },
		"more left than the plan holds": func(s *Snapshot, _ *Settings) { s.Customers[0].BucketLevel = 1e9 },
		"figure":                        func(s *Snapshot, _ *Settings) { s.Customers[0].LocalDemand = -1 },
		"waits":                         func(s *Snapshot, _ *Settings) { s.Backends[0].ProbeBackoff = -1 },
	} {
		s, other := a.TakeSnapshot(a.at, true), settings()
		change(&s, &other)
		g, err := New(other, 1, &fake{})
		if err != nil {
			t.Fatal(err)
		}
		if err := g.Restore(a.at+second, oldest, &s); err == nil || !strings.Contains(err.Error(), reason) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", reason, err)
		}
		if len(g.customers) > 0 || g.meanLatency.samples > 0 {
			t.Errorf("%s: a part was taken in", reason)
		}
	}
	s := a.TakeSnapshot(a.at, true)
	if err := a.Restore(a.at, oldest, &s); err == nil {
		t.Error("taken in after the first event")
	}
}

// A whole fleet that restarts with its states grants no more than one that lives.
func TestWholeFleetRestartGrantsNoBursts(t *testing.T) {
	sent := func(restarts bool) (units float64) {
		set := settings()
		set.Plans[0].Burst = 20
		rigs := make([]*rig, 2)
		for i := range rigs {
			set.Self = i
			rigs[i] = newRig(t, set)
		}
		for i := range 200 {
			at := start + second + Time(i)*second/20
			if restarts && i%40 == 39 {
				for self := range rigs {
					set.Self = self
					at := rigs[self].at
					rigs[self] = restored(t, set, at, rigs[self].TakeSnapshot(at, false))
					rigs[self].UpdateEndpoints(at, Complete, members(4))
				}
			}
			for self, r := range rigs {
				r.at = max(r.at, at)
				if r.serve(0, 0, 5, 1) {
					units++
				}
				tellAll(r, rigs[1-self])
			}
		}
		return units
	}
	if lived, again := sent(false), sent(true); again > lived*1.05 || again < lived/2 {
		t.Errorf("%g units with restarts, %g without", again, lived)
	}
}

// A backend that only an old list names may be cold: it gets one request at a time
// from each gateway, a large fleet begins with it over some time, and news or an
// answer in good time ends the care.
func TestOldListIsTreatedWithCare(t *testing.T) {
	set := settings()
	set.Probes = false
	newborn := func(gateways int, seed uint64) *rig {
		set := set
		set.Gateways = gateways
		f := &fake{}
		g, err := New(set, seed, f)
		if err != nil {
			t.Fatal(err)
		}
		g.UpdateEndpoints(start, StaleBootstrap, members(1))
		return &rig{Balancer: g, fake: f, t: t, at: start}
	}
	r := newborn(2, 1)
	first, sent := r.ask(0, 1, 9, 1)
	if _, again := r.ask(0, 1, 9, 1); !sent || again {
		t.Errorf("sent %t, and a second one beside it %t", sent, again)
	}
	r.end(first, OK, true)
	for range 2 {
		if _, sent := r.ask(0, 1, 9, 1); !sent {
			t.Error("care goes on after an answer in good time")
		}
	}
	r = newborn(2, 1)
	r.UpdateEndpoints(r.at, Delta, members(1))
	for range 2 {
		if _, sent := r.ask(0, 1, 9, 1); !sent {
			t.Error("care goes on after news")
		}
	}
	// Forty gateways: a few try it within any short time.
	at := map[Time]int{}
	for seed := range uint64(40) {
		r := newborn(40, seed*7919+1)
		for _, sent := r.ask(0, 1, 9, 0.1); !sent; _, sent = r.ask(0, 1, 9, 0.1) {
			if r.at += second / 20; r.at > start+5*second {
				t.Fatal("never tried")
			}
		}
		at[(r.at-start)/(second/5)]++
	}
	for span, n := range at {
		if n > 16 {
			t.Errorf("%d of 40 gateways begin within %d ms", n, 200*(span+1))
		}
	}
}

// Only the state given out last can be taken for kept: an older one that is written
// late allows for less.
func TestKeptOfAnOlderStateIsPassedOver(t *testing.T) {
	set := settings()
	set.Gateways, set.Peers = 1, false
	r := newRig(t, set)
	take := func(units float64) {
		r.next++
		r.Request(r.at, Request{ID: r.next, Plan: 1, Customer: 5, Units: units, Timeout: 2 * second, Spread: 1})
		r.end(r.next, OK, true)
	}
	take(1)
	first := r.TakeSnapshot(r.at, false)
	r.SnapshotStored(first.At)
	take(1)
	r.at += second / 1000
	older := r.TakeSnapshot(r.at, false)
	take(2)
	r.at += second / 1000
	newer := r.TakeSnapshot(r.at, false)
	c := r.customers[5]
	before := c.storedAllowance
	if r.SnapshotStored(older.At); c.storedAllowance != before {
		t.Errorf("allows for %g after an older one, %g before", c.storedAllowance, before)
	}
	if r.SnapshotStored(newer.At); c.storedAllowance <= before {
		t.Errorf("allows for %g after the newest, %g before", c.storedAllowance, before)
	}
}
