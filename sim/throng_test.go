package sim

import (
	"testing"
	"time"

	"mothcleat/internal/testing/harness"
)

// throng is a fleet of 32 gateways before 12 servers that ask for more than those can do, with
// a burst in the middle third; four servers come back cold at 4 s, four others at 8 s.
func throng(noteLoss float64) Options {
	o := Options{Seed: 2, Gateways: 32, Servers: 12, Load: 1.1, Surge: 4, PerSecond: 500,
		Duration: 14 * time.Second, MessageLoss: noteLoss}
	for n := range 4 {
		o.Faults = append(o.Faults,
			harness.Fault{
				At:   time.Duration(3000+200*n) * time.Millisecond,
				For:  time.Second,
				Kind: harness.Down,
				N:    n,
			},
			harness.Fault{
				At:   time.Duration(7000+300*n) * time.Millisecond,
				For:  time.Second,
				Kind: harness.Down,
				N:    n + 4,
			})
	}
	return o
}

// Many gateways that each see little don't overrun their servers together, whether or not
// their notes arrive: few attempts find a full queue, cold servers stay up, also before any
// list has told of their start, and most of what can be done is worth what was asked.
func TestAThrongRecovers(t *testing.T) {
	for name, c := range map[string]struct{ noteLoss, service float64 }{
		"notes, some lost": {noteLoss: 0.15, service: 0.59},
		"no notes":         {noteLoss: 1, service: 0.52},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, f := play(t, throng(c.noteLoss))
			attempts, turned, fell := len(w.Record.Attempts), 0, 0
			for _, a := range w.Record.Attempts {
				if a.Rejected {
					turned++
				}
			}
			for _, b := range w.Record.ServerStarts {
				if b.OverloadedAt > 0 {
					fell++
				}
			}
			t.Logf("service %.3f; %d of %d attempts turned away; %d servers fell",
				f.Service, turned, attempts, fell)
			if f.Service < c.service {
				t.Errorf("service %.3f, at least %.2f wanted", f.Service, c.service)
			}
			if turned*4 > attempts {
				t.Errorf("%d of %d attempts were turned away, at most a quarter wanted",
					turned, attempts)
			}
			if fell > 1 {
				t.Errorf("%d servers fell, one at most wanted", fell)
			}
		})
	}
}
