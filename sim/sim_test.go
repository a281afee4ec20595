package sim

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"mothcleat/internal/testing/harness"
)

// play plays a world and fails the test if a rule is broken.
func play(t *testing.T, o Options) (*World, *harness.Summary) {
	t.Helper()
	w, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	w.Run()
	f := w.Summary("test")
	if !f.OK {
		t.Errorf("%+v: %v", o, f.Why)
	}
	if f.Requests == 0 || f.Taken != f.Once+f.Killed {
		t.Errorf("%+v: %d requests; accepted %d tries, answered %d once, lost %d with a gateway",
			o, f.Requests, f.Taken, f.Once, f.Killed)
	}
	return w, f
}

// The same seed gives the same history, also in concurrent runs. Another seed gives another history.
func TestOneSeedOneHistory(t *testing.T) {
	o := Options{
		Seed:               3,
		Gateways:           8,
		Load:               0.6,
		Duration:           10 * time.Second,
		MessageLoss:        -1,
		MessageDuplication: 0.2,
		Kills:              time.Second,
		Restarts:           2 * time.Second,
	}
	digests := make([]string, 6)
	var wg sync.WaitGroup
	for i := range digests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w, err := New(o)
			if err != nil {
				t.Error(err)
				return
			}
			w.Run()
			digests[i] = w.Digest()
		}()
	}
	wg.Wait()
	for _, d := range digests {
		if d != digests[0] {
			t.Errorf("histories differ: %v", digests)
		}
	}
	o.Seed++
	w, _ := play(t, o)
	if w.Digest() == digests[0] {
		t.Error("another seed gave the same history")
	}
}

// Events at one microsecond happen in the order in which they were scheduled.
func TestEventsAtOneMicrosecond(t *testing.T) {
	var c clock
	var order []int
	for i := range 100 {
		c.after(5, func() {
			order = append(order, i)
			// a time in the past counts as now, after all events scheduled for now
			c.after(-3, func() { order = append(order, 1000+i) })
		})
	}
	for c.next(5) {
	}
	for i, x := range order {
		if want := i; i < 100 && x != want || i >= 100 && x != 900+i {
			t.Fatalf("event %d of the run is number %d", i, x)
		}
	}
	if len(order) != 200 || c.now != 5 {
		t.Errorf("%d events until %d µs, must be 200 until 5", len(order), c.now)
	}
}

// All five rules hold although peer messages are lost, duplicated and delayed and gateways are
// killed. One of them is the ceiling of each customer over all its gateways: at worst, the
// units that a message transfers are lost.
func TestRulesHoldWithFaultyPeerMessages(t *testing.T) {
	seeds := 6
	if testing.Short() {
		seeds = 2
	}
	for _, spread := range []int{0, 8, 40} {
		for _, messages := range []Options{
			{MessageLoss: -1},
			{MessageLoss: 0.3, MessageDuplication: 0.3, MessageDelay: 50 * time.Millisecond},
			{MessageLoss: 0.1, MessageDuplication: 0.5, MessageDelay: 800 * time.Millisecond},
			{MessageLoss: 1},
		} {
			t.Run(fmt.Sprintf("spread %d, lost %g, twice %g, late %v",
				spread,
				messages.MessageLoss,
				messages.MessageDuplication,
				messages.MessageDelay), func(t *testing.T) {
				t.Parallel()
				for seed := range seeds {
					o := messages
					o.Seed, o.Gateways, o.Spread = uint64(seed+1), 40, spread
					o.Load, o.Duration, o.Shift = 0.7, 15*time.Second, 2*time.Second
					o.Kills, o.Restarts = 700*time.Millisecond, 3*time.Second
					play(t, o)
				}
			})
		}
	}
}

// Customers near and over their quota get nearly as much of it through 24 gateways as through one,
// and little beyond it.
func TestFleetAdmitsAsMuchAsOneGateway(t *testing.T) {
	var given [2][2]float64 // by size of the fleet, then near and over the quota
	var beyond, sent [2]float64
	for seed := range uint64(6) {
		for i, gateways := range []int{1, 24} {
			w, f := play(
				t,
				Options{
					Seed:        100 + seed,
					Gateways:    gateways,
					Load:        0.55,
					Duration:    30 * time.Second,
					MessageLoss: -1,
				},
			)
			q := harness.GivenOfBought(w.Site, w.Record)
			given[i][0] += q[harness.NearQuota].Of / 6
			given[i][1] += q[harness.OverQuota].Of / 6
			beyond[i] += f.Over
			sent[i] += harness.SentUnits(w.Record)
		}
	}
	t.Logf("near and over: one gateway %.3f, 24 %.3f; beyond the quotas %.4f",
		given[0], given[1], beyond[1]/sent[1])
	for k, name := range []string{"near", "over"} {
		if given[1][k] < given[0][k]-0.03 {
			t.Errorf("customers %s their quota get %.3f through 24 gateways, %.3f through one",
				name, given[1][k], given[0][k])
		}
	}
	if share := beyond[1] / sent[1]; share > 0.006 {
		t.Errorf("%.4f of the units were used beyond the quotas, must be at most 0.006", share)
	}
}

// A server that starts cold and at once receives all requests fails from overload, and the audit
// reports this: the model is able to break the rule that it tests.
func TestModelCanBreakARule(t *testing.T) {
	w, err := New(Options{
		Seed:        1,
		Gateways:    3,
		Load:        0.9,
		Duration:    10 * time.Second,
		MessageLoss: -1,
	})
	if err != nil {
		t.Fatal(err)
	}
	for i, sv := range w.servers {
		if i > 0 {
			w.after(2_000_000, func() { sv.kill() }) // and the registry does not announce it
		}
	}
	w.after(3_000_000, func() {
		w.servers[0].kill()
		// The server starts cold. For the registry all gateways were notified, but none was.
		w.servers[0].start(true)
		for g := range w.gateways {
			w.registry.known[g][0].StartedAt = epoch + w.now
		}
	})
	w.Run()
	if f := w.Summary("test"); f.Broken[harness.SlowStartOverload] == 0 {
		t.Errorf("no rule was broken: %s", f.Line())
	}
}
