package sim

import (
	"testing"
	"time"

	"mothcleat/internal/testing/harness"
)

// overloadedFleet returns 32 gateways with 12 servers under more load than these can serve, with a
// surge in the middle third. Four servers restart cold from 4 s on, four others from 8 s on.
func overloadedFleet(messageLoss float64) Options {
	o := Options{Seed: 2, Gateways: 32, Servers: 12, Load: 1.1, Surge: 4, PerSecond: 500,
		Duration: 14 * time.Second, MessageLoss: messageLoss}
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

// Many gateways that each have little traffic don't overload their servers together, whether or not
// their peer messages arrive: few attempts find a full queue, at most one cold server fails, even
// though requests can arrive before a gateway is notified of its start, and more than half of the
// value that was requested inside quotas is served in time.
func TestOverloadedFleetRecovers(t *testing.T) {
	for name, c := range map[string]struct{ messageLoss, service float64 }{
		"notes, some lost": {messageLoss: 0.15, service: 0.59},
		"no notes":         {messageLoss: 1, service: 0.52},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, f := play(t, overloadedFleet(c.messageLoss))
			attempts, rejected, overloaded := len(w.Record.Attempts), 0, 0
			for _, a := range w.Record.Attempts {
				if a.Rejected {
					rejected++
				}
			}
			for _, b := range w.Record.ServerStarts {
				if b.OverloadedAt > 0 {
					overloaded++
				}
			}
			t.Logf("service %.3f; %d of %d attempts rejected; %d servers failed from overload",
				f.Service, rejected, attempts, overloaded)
			if f.Service < c.service {
				t.Errorf("service is %.3f, must be at least %.2f", f.Service, c.service)
			}
			if rejected*4 > attempts {
				t.Errorf("%d of %d attempts were rejected, must be at most a quarter",
					rejected, attempts)
			}
			if overloaded > 1 {
				t.Errorf("%d servers failed from overload, must be at most 1", overloaded)
			}
		})
	}
}
