package policy_test

import (
	"fmt"

	"mothcleat/internal/dataplane/policy"
)

// host is a minimal host: it prints the actions and keeps the timers.
type host struct {
	now    policy.Time
	timers []policy.Time // due times, all of the same token
}

func (h *host) Send(id uint64, backend uint32, until policy.Time) {
	fmt.Printf("request %d goes to backend %d\n", id, backend)
}
func (h *host) Reject(id uint64, after policy.Time) {
	fmt.Printf("request %d rejected, retry after %d ms\n", id, after/1000)
}
func (h *host) Fail(id uint64) { fmt.Printf("request %d failed\n", id) }

func (h *host) SetTimer(at policy.Time, token uint32) { h.timers = append(h.timers, at) }

func (h *host) Probe(backend uint32)                                   {}
func (h *host) SendToPeer(peer int, message []byte)                    {}
func (h *host) AddToCounter(name uint64, add float64, ttl policy.Time) {}
func (h *host) WatchEndpoints()                                        {}
func (h *host) Log(line string)                                        { fmt.Println(line) }

// run advances the clock to a time and fires the timers that are due until then.
func (h *host) run(g *policy.Balancer, to policy.Time) {
	for len(h.timers) > 0 && h.timers[0] <= to {
		h.now, h.timers = h.timers[0], h.timers[1:]
		g.Timer(h.now, 0)
	}
	h.now = to
}

// A host passes each event with its time to one Balancer and carries out the actions. All calls
// come from one goroutine.
func Example() {
	h := &host{now: 1000}
	g, err := policy.New(policy.Settings{
		Gateways: 1, MaxAttempts: 2, Tick: 1000, RetryAfter: true, MaxRetryAfter: 2_000_000,
		Classes: []policy.Class{
			{LatencyObjective: 500_000, Idempotency: policy.Idempotent, PriorityWeight: 1},
		},
		Plans: []policy.Plan{{Rate: 1, Burst: 2, Price: 1, OverQuotaCost: 1}},
	}, 42, h)
	if err != nil {
		fmt.Println(err)
		return
	}
	g.UpdateEndpoints(h.now, policy.Complete, []policy.Endpoint{{Backend: 7}})
	for id := uint64(1); id <= 3; id++ {
		g.Request(h.now, policy.Request{
			ID: id, Customer: 99, Units: 1, Timeout: 2_000_000, Spread: 1,
		})
	}
	h.run(g, 101_000)
	g.Outcome(h.now, policy.Outcome{
		ID: 1, Backend: 7, Result: policy.OK, Duration: 100_000, RequestDone: true,
	})
	g.Outcome(h.now, policy.Outcome{ID: 2, Backend: 7, Result: policy.Rejected, Duration: 100_000})
	// Output:
	// request 1 goes to backend 7
	// request 2 goes to backend 7
	// request 3 rejected, retry after 1000 ms
	// request 2 goes to backend 7
}
