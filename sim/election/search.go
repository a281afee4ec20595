package election

import (
	"context"
	"time"

	"mothcleat/sim/parallel"
)

// Finding is a play that breaks a rule. Play with its options repeats it.
type Finding struct {
	Options Options `json:"options"`
	Breach  Breach  `json:"breach"`
	After   int     `json:"after"` // number of plays until it was found
}

// Summary is the result of a search.
type Summary struct {
	Plays        int
	Events       int
	Faults       map[string]int // by kind
	Acknowledged int            // commands
	Findings     []Finding
	Elapsed      time.Duration
}

// add adds the result of the nth play of a search.
func (s *Summary) add(n int, options Options, result *Result) {
	s.Plays++
	s.Events += result.Events
	s.Acknowledged += result.Acknowledged
	for kind, count := range result.Faults {
		s.Faults[kind] += count
	}
	if result.Breach != nil {
		s.Findings = append(s.Findings, Finding{options, *result.Breach, n + 1})
	}
}

// Search plays schedules of faults concurrently on all cores until maxPlays were played, a rule was
// broken, or the context ends. Each play lasts for duration in virtual time.
func Search(ctx context.Context, seed uint64, maxPlays int, duration time.Duration) Summary {
	summary := Summary{Faults: map[string]int{}}
	start := time.Now()
	play := func(n int) Result { return Play(optionsOf(seed, n, duration)) }
	done := func(n int, result Result) bool {
		summary.add(n, optionsOf(seed, n, duration), &result)
		return result.Breach != nil
	}
	parallel.Until(ctx, maxPlays, play, done)
	summary.Elapsed = time.Since(start)
	return summary
}

// optionsOf returns the options of the nth play of a search.
func optionsOf(seed uint64, n int, duration time.Duration) Options {
	const seedStride = 1_000_003 // prime; searches with close seeds play different schedules
	return Options{
		Seed:     seed*seedStride + uint64(n),
		Voters:   3 + 2*(n%3),
		Members:  3 + n%4,
		Duration: duration,
	}
}
