// Package budgettrial has a fleet of real gateways divide quotas while links and processes fail, and judges by
// what the stand-in servers took, and by what the gateways held, whether the whole was ever passed.
package budgettrial

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"mothcleat/internal/trial"
)

// Slack is what a window may pass the whole by: units are taken when a request is decided on, and count here when they
// reach a server. Between the two a connection may have to be made, and processes wait for a core.
type Slack struct {
	Late  time.Duration // so much of the rate
	Units float64       // and so many units, such as one request for each stop
	Pace  float64       // and the rate may be more by this part: clocks differ
}

// Window is the worst of all windows of one customer.
type Window struct {
	Customer string
	Plan     int
	Over     float64 // units beyond burst + rate x window + slack; at most 0: none
	At       time.Duration
	Units    float64 // taken in all
}

// Windows holds against the whole what servers took of each customer, over every window, the worst first. A try's units
// count once, when it first reached a server.
func Windows(s *trial.Site, rec *trial.Record, slack Slack) []Window {
	return WindowsSince(s, rec, slack, 0)
}

// WindowsSince is Windows of what reached servers from a time on.
func WindowsSince(s *trial.Site, rec *trial.Record, slack Slack, since time.Duration) (all []Window) {
	first := map[string]time.Duration{}
	for _, a := range rec.Attempts {
		if at, ok := first[a.ID]; !ok || a.Whole < at {
			first[a.ID] = a.Whole
		}
	}
	type use struct {
		at    time.Duration
		units float64
	}
	uses, plans := map[string][]use{}, map[string]int{}
	for i := range rec.Tries {
		t := &rec.Tries[i]
		if at, ok := first[t.ID]; ok && at >= since {
			uses[t.Customer] = append(uses[t.Customer], use{at, t.Units})
			plans[t.Customer] = t.Plan
		}
	}
	for customer, list := range uses {
		p := &s.Plans[plans[customer]]
		slices.SortFunc(list, func(a, b use) int { return cmp.Compare(a.at, b.at) })
		// A bank that is full at first and never refuses shows all windows at once: how far it is overdrawn is how
		// far the worst one that ends there is over.
		rate := p.Rate * (1 + slack.Pace)
		w := Window{Customer: customer, Plan: plans[customer], Over: math.Inf(-1)}
		level, last := p.Burst, time.Duration(0)
		for _, u := range list {
			level = math.Min(p.Burst, level+rate*(u.at-last).Seconds()) - u.units
			last = u.at
			w.Units += u.units
			if over := -level - slack.Units - rate*slack.Late.Seconds(); over > w.Over {
				w.Over, w.At = over, u.at
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
	return fmt.Sprintf("customer %s of plan %d: %.2f units beyond at %v, %.0f taken in all", w.Customer, w.Plan, w.Over, w.At.Round(time.Millisecond), w.Units)
}
