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

// distributionsearch returns the command that searches for faults by which a gateway receives a
// state that was not agreed on, or misses one.
func (b *builder) distributionsearch() *cobra.Command {
	return b.newCommand(
		"distributionsearch",
		"searches in virtual time for faults by which a gateway has a wrong or outdated list of "+
			"servers, and tests the search on mutants",
		30*time.Second,
		func(c *cobra.Command) (func() error, runFunc) {
			f := c.Flags()
			most := f.Int("schedules", 1_000_000, "maximum number of plays")
			wrong := f.Bool("mutants", true,
				"also search mutants; needs Go and the sources")
			plays := f.Int("mutant-schedules", 400, "maximum number of plays for each mutant")
			check := func() error {
				return errors.Join(checkRange("schedules", *most, 1, 100_000_000),
					checkRange("mutant-schedules", *plays, 1, 10_000_000))
			}
			return check, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
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

// distributionFinding is a finding in the JSON form that the search on mutants reads.
type distributionFinding struct {
	Rule  string               `json:"rule"`
	What  string               `json:"what"`
	After int                  `json:"after"`
	Play  distribution.Finding `json:"play"`
}

// distributionFigures returns the summary of a search.
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
	figures.Extra["schedules"], figures.Extra["findings"] = found.Plays, findings
	figures.Extra["faults"] = found.Faults
	figures.Extra["revisions"], figures.Extra["deliveries"] = found.Revisions, found.Delivered
	figures.Extra["resumes"], figures.Extra["repairs"] = found.Resumes, found.Repairs
	figures.Extra["refused"] = found.Refused
	figures.Extra["schedules_per_second"] = float64(found.Plays) / found.Took.Seconds()
	for _, kind := range distribution.FaultKinds {
		if found.Faults[kind] == 0 {
			figures.AddFailure("no fault " + kind + " occurred: the run shows nothing about it")
		}
	}
	return figures
}
