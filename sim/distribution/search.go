package distribution

import (
	"context"
	"time"

	"mothcleat/sim/parallel"
)

// Finding is a play that breaks a guarantee. Its seed and size reproduce it.
type Finding struct {
	Seed   uint64 `json:"seed"`
	Size   Size   `json:"size"`
	Breach Breach `json:"breach"`
	// PlaysUntilFound is the number of plays until the breach was found.
	PlaysUntilFound int `json:"after"`
}

// SearchResult is the result of a search.
type SearchResult struct {
	Plays, Revisions, Delivered int
	Repairs, Resumes            uint64
	Faults                      map[string]int
	// Refused counts rejected messages and files by type of error.
	Refused  map[string]int
	Findings []Finding
	Took     time.Duration
}

// FaultKinds are the faults that are played.
var FaultKinds = []string{
	"all replicas at once",
	"another term",
	"damaged",
	"doubled",
	"founded anew",
	"late command",
	"lost",
	"no connection",
	"old difference refused",
	"old server",
	"replica killed",
	"replica stopped",
	"request lost",
	"server cut off",
	"server from an older state",
	"server killed",
	"server stopped",
	"slow log",
	"slow reader",
	"state file damaged",
	"state file lost", "stream broken", "stream cut", "term from a difference",
}

// playLength is the length of a play before its quiet period.
const playLength = 40 * time.Second

// Search plays schedules on all cores until maxPlays were played or one breaks a guarantee.
func Search(ctx context.Context, seed uint64, maxPlays int) SearchResult {
	f := SearchResult{Faults: map[string]int{}, Refused: map[string]int{}}
	began := time.Now()
	draw := func(n int) Finding {
		return Finding{
			Seed:            seed*1_000_003 + uint64(n),
			Size:            Size{Servers: 2 + n%4, Replicas: 4 + n%7},
			PlaysUntilFound: n + 1,
		}
	}
	parallel.Until(ctx, maxPlays, func(n int) Result {
		one := draw(n)
		return Play(one.Seed, one.Size, playLength)
	}, func(n int, r Result) bool {
		f.add(r)
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

func (f *SearchResult) add(r Result) {
	f.Plays++
	f.Revisions += r.Revisions
	f.Delivered += r.Delivered
	f.Repairs += r.Repairs
	f.Resumes += r.Resumes
	for kind, n := range r.Faults {
		f.Faults[kind] += n
	}
	for kind, n := range r.Refused {
		f.Refused[kind] += n
	}
}
