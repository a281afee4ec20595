package sim

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"mothcleat/internal/testing/harness"
)

// play plays a world and fails where a rule is broken.
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
		t.Errorf("%+v: asked %d, taken %d, answered once %d, lost with a gateway %d",
			o, f.Requests, f.Taken, f.Once, f.Killed)
	}
	return w, f
}

// One seed gives one history, whatever else runs beside it; another gives another.
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

// Events at one microsecond happen in the order in which they were planned.
func TestEventsAtOneMicrosecond(t *testing.T) {
	var c clock
	var did []int
	for i := range 100 {
		c.after(5, func() {
			did = append(did, i)
			// the past is now, after all planned for now
			c.after(-3, func() { did = append(did, 1000+i) })
		})
	}
	for c.next(5) {
	}
	for i, x := range did {
		if want := i; i < 100 && x != want || i >= 100 && x != 900+i {
			t.Fatalf("event %d was %d", i, x)
		}
	}
	if len(did) != 200 || c.now != 5 {
		t.Errorf("%d events by %d", len(did), c.now)
	}
}

// Whatever becomes of notes and gateways, all five rules hold, the ceiling of each
// customer over all its gateways among them: what is given on the way is lost at worst.
func TestRulesHoldWhateverBecomesOfNotes(t *testing.T) {
	seeds := 6
	if testing.Short() {
		seeds = 2
	}
	for _, spread := range []int{0, 8, 40} {
		for _, notes := range []Options{
			{MessageLoss: -1},
			{MessageLoss: 0.3, MessageDuplication: 0.3, MessageDelay: 50 * time.Millisecond},
			{MessageLoss: 0.1, MessageDuplication: 0.5, MessageDelay: 800 * time.Millisecond},
			{MessageLoss: 1},
		} {
			t.Run(fmt.Sprintf("spread %d, lost %g, twice %g, late %v",
				spread,
				notes.MessageLoss,
				notes.MessageDuplication,
				notes.MessageDelay), func(t *testing.T) {
				t.Parallel()
				for seed := range seeds {
					o := notes
					o.Seed, o.Gateways, o.Spread = uint64(seed+1), 40, spread
					o.Load, o.Duration, o.Shift = 0.7, 15*time.Second, 2*time.Second
					o.Kills, o.Restarts = 700*time.Millisecond, 3*time.Second
					play(t, o)
				}
			})
		}
	}
}

// What one gateway gives, a fleet gives: customers near and beyond their quota get
// nearly as much of it through 24 gateways as through one, and little more.
func TestAFleetGivesWhatOneGatewayGives(t *testing.T) {
	var given [2][2]float64 // by fleet, near and over
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
		t.Errorf("%.4f of the units went beyond the quotas", share)
	}
}

// A server that nobody overruns stays up; one that all send to at its start falls, and
// the auditor says so: the model can break the rule that it is to test.
func TestTheModelCanBreakARule(t *testing.T) {
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
			w.after(2_000_000, func() { sv.kill() }) // and the register says nothing
		}
	}
	w.after(3_000_000, func() {
		w.servers[0].kill()
		// cold; the register holds all to be told, and no gateway hears of it
		w.servers[0].start(true)
		for g := range w.gateways {
			w.registry.known[g][0].StartedAt = epoch + w.now
		}
	})
	w.Run()
	if f := w.Summary("test"); f.Broken[harness.SlowStartOverload] == 0 {
		t.Errorf("nothing broke: %s", f.Line())
	}
}
