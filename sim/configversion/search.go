package configversion

import (
	"context"
	"time"

	"mothcleat/sim/parallel"
)

// Finding is a play that breaks a guarantee; its seed reproduces it.
type Finding struct {
	Seed     uint64 `json:"seed"`
	Gateways int    `json:"gateways"`
	Breach   Breach `json:"breach"`
	After    int    `json:"after"` // plays until it was found
}

// Found is the result of a search.
type Found struct {
	Plays, Operations, RollOuts, Withdrawn, Outs int
	Faults                                       map[string]int
	Findings                                     []Finding
	Took                                         time.Duration
}

// Kinds are the faults that are played.
var Kinds = []string{
	"doubled",
	"lost",
	"late",
	"stopped",
	"killed",
	"left",
	"cut",
	"leaderless",
	"another guide",
}

const length = 60 * time.Second // of a play, before its period without faults

// Search plays schedules on all cores until maxPlays were played or one breaks a guarantee.
func Search(ctx context.Context, seed uint64, maxPlays int) Found {
	f := Found{Faults: map[string]int{}}
	began := time.Now()
	draw := func(n int) Finding {
		return Finding{Seed: seed*1_000_003 + uint64(n), Gateways: 3 + n%5, After: n + 1}
	}
	parallel.Until(ctx, maxPlays, func(n int) Result {
		one := draw(n)
		return Play(one.Seed, one.Gateways, length)
	}, func(n int, r Result) bool {
		f.Plays++
		f.Operations += r.Operations
		f.RollOuts += r.RollOuts
		f.Withdrawn += r.Withdrawn
		f.Outs += r.Outs
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
