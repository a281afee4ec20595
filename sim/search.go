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
	Schedule Schedule `json:"schedule"`
	Rule     string   `json:"rule"`
	Detail   string   `json:"what"`
	// SchedulesPlayed counts the schedules played until it was found.
	SchedulesPlayed int `json:"after"`
	Faults          int `json:"faults"`
}

// SearchResult is the result of Search.
type SearchResult struct {
	Schedules int `json:"schedules"`
	// States counts the different ways in which requests ended, with the faults at that time.
	States   int       `json:"states"`
	Findings []Finding `json:"findings"`
}

// Play plays a schedule and returns the first rule that it breaks, what was seen, and the ways in
// which its requests ended. The rule is empty if none was broken.
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

// states returns the sorted different ways in which tries ended, each alone and with each fault
// at that time. They guide the search.
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

// Search plays random schedules, and mutations of those that led to a new state. It ends with the
// context, after maxSchedules, or when a schedule breaks a rule; that schedule is shrunk. The same
// seed and number of schedules give the same findings on any number of cores.
func Search(ctx context.Context, seed uint64, maxSchedules int) (*SearchResult, error) {
	search := &search{
		random: rand.New(rand.NewPCG(seed, searchStream)),
		found:  &SearchResult{},
		seen:   map[string]bool{},
	}
	for search.found.Schedules < maxSchedules && ctx.Err() == nil {
		batch := search.draw()
		for i, played := range playAll(batch) {
			done, err := search.add(batch[i], played)
			if err != nil || done {
				return search.found, err
			}
		}
	}
	search.found.States = len(search.seen)
	return search.found, nil
}

const (
	// batchSize is how many schedules are drawn before any of them is played. It does not depend on
	// the number of cores.
	batchSize = 16
	// searchStream separates the random numbers of a search from other uses of the same seed.
	searchStream = 0x5ea
)

// search is a search in progress.
type search struct {
	random *rand.Rand
	found  *SearchResult
	seen   map[string]bool // states
	corpus []Schedule      // those that led to a new state
}

// played is the result of Schedule.Play.
type played struct {
	rule, what string
	states     []string
	err        error
}

// draw draws a batch of schedules: new ones, and mutations of the corpus.
func (s *search) draw() []Schedule {
	batch := make([]Schedule, batchSize)
	for i := range batch {
		if len(s.corpus) > 0 && s.random.IntN(2) == 0 {
			batch[i] = s.corpus[s.random.IntN(len(s.corpus))].Mutate(s.random)
		} else {
			batch[i] = RandomSchedule(s.random)
		}
	}
	return batch
}

// playAll plays schedules on all cores.
func playAll(batch []Schedule) []played {
	results := make([]played, len(batch))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	for i := range batch {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			r := &results[i]
			r.rule, r.what, r.states, r.err = batch[i].Play()
		}()
	}
	wg.Wait()
	return results
}

// add adds a schedule that was played. It reports whether the search is done, because the schedule
// breaks a rule.
func (s *search) add(schedule Schedule, p played) (done bool, err error) {
	s.found.Schedules++
	if p.err != nil {
		return false, p.err
	}
	if p.rule != "" {
		short := schedule.Shrink(p.rule)
		_, what, _, err := short.Play()
		if err != nil {
			return false, err
		}
		finding := Finding{short, p.rule, what, s.found.Schedules, len(short.Faults)}
		s.found.Findings = append(s.found.Findings, finding)
		s.found.States = len(s.seen)
		return true, nil
	}
	newState := false
	for _, state := range p.states {
		newState = newState || !s.seen[state]
		s.seen[state] = true
	}
	if newState {
		s.corpus = append(s.corpus, schedule)
	}
	return false, nil
}

// Shrink returns the shortest schedule found that still breaks the rule: with fewer faults, a
// shorter run and fewer special options.
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
