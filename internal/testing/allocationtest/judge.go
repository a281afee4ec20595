// Package allocationtest runs a fleet of real gateways that divide quotas while links and processes
// fail. It judges whether a quota was ever exceeded, by the requests that the simulated servers
// received and by the allocations that the gateways held.
package allocationtest

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"mothcleat/internal/testing/harness"
)

// Slack is by how much a window may exceed the quota. Units are taken when the gateway decides on a
// request, and are counted here when they reach a server. Meanwhile a connection may have to be
// made and processes may wait for a core.
type Slack struct {
	Late  time.Duration // slack in time, multiplied by the rate
	Units float64       // additional units, such as one request for each suspension
	Pace  float64       // fraction by which the rate may be higher, because clocks differ
}

// Window is the window in which a customer exceeded its quota by most.
type Window struct {
	Customer string
	Plan     int
	Over     float64 // units beyond burst + rate x window + slack; at most 0 if within the quota
	At       time.Duration
	Units    float64 // total received by servers
}

// Use is a use of a customer's quota, when it first reached a server.
type Use struct {
	At    time.Duration
	Units float64
}

// Uses returns the uses of each customer's quota since a time, and each customer's plan. A try's
// units count once, when it first reached a server.
func Uses(rec *harness.Record, since time.Duration) (all map[string][]Use, plans map[string]int) {
	first := map[string]time.Duration{}
	for _, a := range rec.Attempts {
		if at, ok := first[a.ID]; !ok || a.ReceivedAt < at {
			first[a.ID] = a.ReceivedAt
		}
	}
	all, plans = map[string][]Use{}, map[string]int{}
	for i := range rec.Tries {
		t := &rec.Tries[i]
		if at, ok := first[t.ID]; ok && at >= since {
			all[t.Customer] = append(all[t.Customer], Use{at, t.Units})
			plans[t.Customer] = t.Plan
		}
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b Use) int { return cmp.Compare(a.At, b.At) })
	}
	return all, plans
}

// Windows compares the units that servers received with each customer's quota, over every window.
// It returns the worst window of each customer, the worst first.
func Windows(s *harness.Site, rec *harness.Record, slack Slack) []Window {
	return WindowsSince(s, rec, slack, 0)
}

// WindowsSince is Windows for the units that reached servers since a time.
func WindowsSince(
	s *harness.Site, rec *harness.Record, slack Slack, since time.Duration,
) (all []Window) {
	used, plans := Uses(rec, since)
	for customer, list := range used {
		p := &s.Plans[plans[customer]]
		// A bucket that is full at first and never refuses shows all windows at once: its overdraft
		// is the excess of the worst window that ends there.
		rate := p.Rate * (1 + slack.Pace)
		w := Window{Customer: customer, Plan: plans[customer], Over: math.Inf(-1)}
		level, last := p.Burst, time.Duration(0)
		for _, u := range list {
			level = math.Min(p.Burst, level+rate*(u.At-last).Seconds()) - u.Units
			last = u.At
			w.Units += u.Units
			if over := -level - slack.Units - rate*slack.Late.Seconds(); over > w.Over {
				w.Over, w.At = over, u.At
			}
		}
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b Window) int {
		return cmp.Or(cmp.Compare(b.Over, a.Over), cmp.Compare(a.Customer, b.Customer))
	})
	return all
}

func (w Window) String() string {
	return fmt.Sprintf("customer %s of plan %d: %.2f units beyond at %v, %.0f taken in all",
		w.Customer, w.Plan, w.Over, w.At.Round(time.Millisecond), w.Units)
}

// RefusedWithRoom returns the fraction of the first tries inside their quotas that was refused
// although the customer's quota, as counted over all servers, had the units.
func RefusedWithRoom(s *harness.Site, rec *harness.Record) float64 {
	used, _ := Uses(rec, 0)
	levels := map[string]float64{}
	at, next := map[string]time.Duration{}, map[string]int{}
	refused, inside := 0, 0
	for _, o := range harness.Outcomes(s, rec) { // in the order of the requests
		if !o.Inside {
			continue
		}
		inside++
		if o.Kind != harness.Refused {
			continue
		}
		c, p := o.Try.Customer, &s.Plans[o.Try.Plan]
		level, known := levels[c]
		if !known {
			level = p.Burst
		}
		now := max(at[c], o.Try.SentAt)
		for ; next[c] < len(used[c]) && used[c][next[c]].At <= now; next[c]++ {
			u := used[c][next[c]]
			level = math.Min(p.Burst, level+p.Rate*max(0, u.At-at[c]).Seconds()) - u.Units
			at[c] = max(at[c], u.At)
		}
		level = math.Min(p.Burst, level+p.Rate*(now-at[c]).Seconds())
		levels[c], at[c] = level, now
		if level >= o.Try.Units {
			refused++
		}
	}
	return float64(refused) / math.Max(1, float64(inside))
}

// refusedInside returns the fraction of the first tries inside their quotas that was refused.
func refusedInside(s *harness.Site, rec *harness.Record) float64 {
	refused, inside := 0, 0
	for _, o := range harness.Outcomes(s, rec) {
		if o.Inside {
			inside++
			if o.Kind == harness.Refused {
				refused++
			}
		}
	}
	return float64(refused) / math.Max(1, float64(inside))
}
