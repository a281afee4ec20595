package allocation

import (
	"context"
	"time"

	"mothcleat/sim/parallel"
)

// Finding is a play that breaks a guarantee; its seed reproduces it.
type Finding struct {
	Seed    uint64 `json:"seed"`
	Members int    `json:"members"`
	Budgets int    `json:"budgets"`
	Breach  Breach `json:"breach"`
	After   int    `json:"after"` // plays until it was found
}

// Found is the result of a search.
type Found struct {
	Plays    int
	Events   int
	Rounds   int
	Taken    float64
	Faults   map[string]int
	Findings []Finding
	Took     time.Duration
}

// Kinds are the faults that are played.
var Kinds = []string{"doubled", "lost", "late", "stopped", "cut", "killed", "left", "started",
	"owner stopped", "owner cut", "owner changed"}

const stepsPerPlay = 600

// Search plays schedules on all cores until maxPlays were played or one breaks a guarantee.
func Search(ctx context.Context, seed uint64, maxPlays int) Found {
	f := Found{Faults: map[string]int{}}
	began := time.Now()
	draw := func(n int) Finding {
		return Finding{Seed: seed*1_000_003 + uint64(n), Members: 2 + n%4, Budgets: 1 + n%2,
			After: n + 1}
	}
	parallel.Until(ctx, maxPlays, func(n int) Result {
		one := draw(n)
		return Play(Random(one.Seed), one.Members, one.Budgets, stepsPerPlay)
	}, func(n int, r Result) bool {
		f.Plays++
		f.Events += r.Events
		f.Rounds += r.Rounds
		f.Taken += r.Taken
		for k, x := range r.Faults {
			f.Faults[k] += x
		}
		if r.Breach != nil {
			one := draw(n)
			one.Breach = *r.Breach
			f.Findings = append(f.Findings, one)
		}
		return r.Breach != nil
	})
	f.Took = time.Since(began)
	return f
}
