package election

import (
	"context"
	"time"

	"mothcleat/sim/parallel"
)

// Finding is a play that breaks a promise; its options play it again.
type Finding struct {
	Options Options `json:"options"`
	Breach  Breach  `json:"breach"`
	After   int     `json:"after"` // plays until it was found
}

// Found is what a search came to.
type Found struct {
	Plays    int
	Events   int
	Faults   map[string]int
	Acked    int
	Findings []Finding
	Took     time.Duration
}

// draw gives the options of one play of a search.
func draw(seed uint64, n int, length time.Duration) Options {
	return Options{Seed: seed*1_000_003 + uint64(n), Voters: 3 + 2*(n%3), Members: 3 + n%4, For: length}
}

// Search plays one schedule after another, on all cores, until so many were played or one was found.
func Search(ctx context.Context, seed uint64, most int, length time.Duration) Found {
	f := Found{Faults: map[string]int{}}
	began := time.Now()
	parallel.Until(ctx, most, func(n int) Result { return Play(draw(seed, n, length)) }, func(n int, r Result) bool {
		f.Plays++
		f.Events += r.Events
		f.Acked += r.Acked
		for k, x := range r.Faults {
			f.Faults[k] += x
		}
		if r.Breach != nil {
			f.Findings = append(f.Findings, Finding{draw(seed, n, length), *r.Breach, n + 1})
		}
		return r.Breach != nil
	})
	f.Took = time.Since(began)
	return f
}
