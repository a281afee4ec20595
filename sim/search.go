package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"mothcleat/internal/testing/harness"
)

// Finding is a schedule that breaks a rule.
type Finding struct {
	Schedule        Schedule `json:"schedule"`
	Rule            string   `json:"rule"`
	Detail          string   `json:"what"`
	SchedulesPlayed int      `json:"after"` // schedules played until it was found
	Faults          int      `json:"faults"`
}

// SearchResult is what a search came to.
type SearchResult struct {
	Schedules int `json:"schedules"`
	// ways in which requests ended, by what went wrong meanwhile
	States   int       `json:"states"`
	Findings []Finding `json:"findings"`
}

// Play plays a schedule and tells the first rule that it breaks, what was seen, and
// the ways in which its requests ended. "": none.
func (s Schedule) Play() (rule, what string, states []string, err error) {
	w, err := New(s.Options)
	if err != nil {
		return "", "", nil, err
	}
	w.Run()
	if len(w.breaches) > 0 {
		return string(harness.Lost), w.breaches[0], nil, nil
	}
	v := harness.Audit(w.Site, w.Record)
	if len(v.Breaches) > 0 {
		return string(v.Breaches[0].Rule), v.Breaches[0].What, nil, nil
	}
	return "", "", w.states(), nil
}

// states are what leads the search: how tries ended, with what was wrong at that time.
func (w *World) states() []string {
	attempts := map[string]int{}
	for _, a := range w.Record.Attempts {
		attempts[a.ID]++
	}
	seen := map[string]bool{}
	for i := range w.Record.Tries {
		t := &w.Record.Tries[i]
		end := fmt.Sprintf("%d %s %d %d", t.Kind, t.RejectReason, t.Class, min(3, attempts[t.ID]))
		seen[end] = true
		for _, f := range w.options.Faults {
			if t.SentAt >= f.At && t.SentAt <= f.At+f.For+time.Second {
				seen[end+" "+string(f.Kind)] = true
			}
		}
	}
	var all []string
	for s := range seen {
		all = append(all, s)
	}
	slices.Sort(all)
	return all
}

// Search plays random schedules, and changed ones of those that led to something new,
// until the context ends, so many were played or one breaks a rule. That one is made as
// short as it can be. The same seed and number of schedules give the same findings on
// any number of cores.
func Search(ctx context.Context, seed uint64, most int) (*SearchResult, error) {
	r := rand.New(rand.NewPCG(seed, 0x5ea))
	found, seen := &SearchResult{}, map[string]bool{}
	var corpus []Schedule
	type result struct {
		rule, what string
		states     []string
		err        error
	}
	// schedules drawn before any of them is looked at, however many cores there are
	const round = 16
	for found.Schedules < most && ctx.Err() == nil {
		batch, results := make([]Schedule, round), make([]result, round)
		for i := range batch {
			if len(corpus) > 0 && r.IntN(2) == 0 {
				batch[i] = corpus[r.IntN(len(corpus))].Mutate(r)
			} else {
				batch[i] = RandomSchedule(r)
			}
		}
		var wg sync.WaitGroup
		room := make(chan struct{}, runtime.GOMAXPROCS(0))
		for i := range batch {
			wg.Add(1)
			go func() {
				defer wg.Done()
				room <- struct{}{}
				defer func() { <-room }()
				results[i].rule, results[i].what, results[i].states, results[i].err = batch[i].Play()
			}()
		}
		wg.Wait()
		for i, x := range results {
			found.Schedules++
			if x.err != nil {
				return found, x.err
			}
			if x.rule != "" {
				short := batch[i].Shrink(x.rule)
				_, what, _, err := short.Play()
				if err != nil {
					return found, err
				}
				found.Findings = append(found.Findings,
					Finding{short, x.rule, what, found.Schedules, len(short.Faults)})
				found.States = len(seen)
				return found, nil
			}
			fresh := false
			for _, s := range x.states {
				fresh = fresh || !seen[s]
				seen[s] = true
			}
			if fresh {
				corpus = append(corpus, batch[i])
			}
		}
	}
	found.States = len(seen)
	return found, nil
}

// Shrink returns the shortest schedule found that still breaks the rule: faults are left
// out, the run ends sooner, and what the world has beyond the plain is taken away.
func (s Schedule) Shrink(rule string) Schedule {
	return s.shrink(func(t Schedule) bool {
		got, _, _, err := t.Play()
		return err == nil && got == rule
	})
}

func (s Schedule) shrink(breaks func(Schedule) bool) Schedule {
	for changed := true; changed; {
		changed = false
		try := func(change func(t *Schedule)) {
			t := s
			t.Faults = slices.Clone(s.Faults)
			if change(&t); t.String() != s.String() && breaks(t) {
				s, changed = t, true
			}
		}
		for i := len(s.Faults) - 1; i >= 0; i-- {
			if i < len(s.Faults) {
				try(func(t *Schedule) { t.Faults = slices.Delete(t.Faults, i, i+1) })
			}
		}
		try(func(t *Schedule) {
			t.Duration -= time.Second
			t.Duration = max(t.Duration, time.Second)
		})
		try(func(t *Schedule) { t.MessageDuplication = 0 })
		try(func(t *Schedule) { t.MessageLoss = 0 })
		try(func(t *Schedule) { t.Surge = 0 })
		try(func(t *Schedule) { t.Snapshots = false })
		try(func(t *Schedule) { t.TightCeilings = false })
		try(func(t *Schedule) { t.Window = 0 })
		for i := range s.Faults {
			try(func(t *Schedule) { t.Faults[i].For = t.Faults[i].For / 2 })
		}
	}
	return s
}
