package main

import (
	"context"
	"errors"
	"time"

	"github.com/spf13/cobra"

	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/mutants"
	"mothcleat/sim/distribution"
)

// distributionsearch looks for faults by which a gateway is given a state that was not agreed, or
// misses one.
func (b *bench) distributionsearch() *cobra.Command {
	return b.play(
		"distributionsearch",
		"looks in virtual time for faults by which a gateway has a wrong or an old list of servers, and for wrong variants",
		30*time.Second,
		func(c *cobra.Command) (func() error, player) {
			f := c.Flags()
			most := f.Int("schedules", 1_000_000, "so many plays at most")
			wrong := f.Bool("mutants", true,
				"search wrong variants as well; needs Go and the sources")
			plays := f.Int("mutant-schedules", 400, "so many plays at most for each of them")
			check := func() error {
				return errors.Join(checkRange("schedules", *most, 1, 100_000_000),
					checkRange("mutant-schedules", *plays, 1, 10_000_000))
			}
			return check, func(ctx context.Context, seed uint64, length time.Duration) (*harness.Summary, error) {
				limited, cancel := context.WithTimeout(ctx, length)
				defer cancel()
				found := distribution.Search(limited, seed, *most)
				figures := distributionFigures(seed, &found)
				if *wrong {
					if err := b.mutants(ctx, figures, mutants.Distribution, seed,
						*plays); err != nil {
						return figures, err
					}
				}
				return figures, nil
			}
		},
	)
}

// distributionFinding is a finding as the search for mutants reads it.
type distributionFinding struct {
	Rule  string               `json:"rule"`
	What  string               `json:"what"`
	After int                  `json:"after"`
	Play  distribution.Finding `json:"play"`
}

// distributionFigures tells what a search came to.
func distributionFigures(seed uint64, found *distribution.SearchResult) *harness.Summary {
	figures := harness.NewSummary("distributionsearch", seed)
	figures.Seconds = found.Took.Seconds()
	var findings []distributionFinding
	for _, x := range found.Findings {
		rule := string(x.Breach.Rule)
		findings = append(findings,
			distributionFinding{rule, x.Breach.Detail + " at " + x.Breach.At, x.PlaysUntilFound, x})
		figures.Broken[harness.Rule(rule)]++
		figures.AddFailure(rule + ": " + x.Breach.Detail)
	}
	figures.Extra["schedules"], figures.Extra["findings"], figures.Extra["faults"] = found.Plays, findings, found.Faults
	figures.Extra["revisions"], figures.Extra["deliveries"] = found.Revisions, found.Delivered
	figures.Extra["resumes"], figures.Extra["repairs"], figures.Extra["refused"] = found.Resumes, found.Repairs, found.Refused
	figures.Extra["schedules_per_second"] = float64(found.Plays) / found.Took.Seconds()
	for _, kind := range distribution.FaultKinds {
		if found.Faults[kind] == 0 {
			figures.AddFailure("no fault " + kind + ": nothing was shown")
		}
	}
	return figures
}
