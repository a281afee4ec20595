package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/mutants"
	"mothcleat/sim/allocation"
)

// The commands in this file run the division of budgets in virtual time.

// budgetFinding is a play that broke a rule, in the form that the summary of a run contains.
type budgetFinding struct {
	Rule string             `json:"rule"`
	What string             `json:"what"`
	Play allocation.Finding `json:"play"`
}

// addBudgetFinding adds a finding to a summary, and prints the command that reproduces it.
func (b *builder) addBudgetFinding(summary *harness.Summary, f allocation.Finding) budgetFinding {
	summary.Broken[harness.Rule(f.Breach.What)]++
	summary.AddFailure(f.Breach.What + ": " + f.Breach.How)
	fmt.Fprintf(b.progress, "%s: %s at %s\nreproduce with: lab budgetplay --seed %d "+
		"--members %d --budgets %d\n", f.Breach.What, f.Breach.How, f.Breach.At, f.Seed, f.Members,
		f.Budgets)
	return budgetFinding{f.Breach.What, f.Breach.How + " at " + f.Breach.At, f}
}

// budgetsearch returns the command that searches for faults by which the allocations of a budget
// exceed its limit.
func (b *builder) budgetsearch() *cobra.Command {
	return b.newCommand(
		"budgetsearch",
		"searches in virtual time for faults by which allocations of a budget exceed its limit, "+
			"and tests the search on mutants",
		30*time.Second,
		func(c *cobra.Command) (func() error, runFunc) {
			f := c.Flags()
			most := f.Int("schedules", 1_000_000, "maximum number of plays")
			wrong := f.Bool("mutants", true,
				"also search mutants; needs Go and the sources")
			plays := f.Int("mutant-schedules", 8000, "maximum number of plays for each mutant")
			check := func() error {
				return errors.Join(checkRange("schedules", *most, 1, 100_000_000),
					checkRange("mutant-schedules", *plays, 1, 10_000_000))
			}
			return check, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				limited, cancel := context.WithTimeout(ctx, length)
				defer cancel()
				summary := b.searchBudgets(limited, seed, *most)
				if !*wrong {
					return summary, nil
				}
				return summary, b.mutants(ctx, summary, mutants.Budgets, seed, *plays)
			}
		},
	)
}

// searchBudgets runs up to maxPlays schedules, one after another, and returns a summary of the
// findings.
func (b *builder) searchBudgets(ctx context.Context, seed uint64, maxPlays int) *harness.Summary {
	found := allocation.Search(ctx, seed, maxPlays)
	summary := harness.NewSummary("budgetsearch", seed)
	summary.Seconds = found.Took.Seconds()
	var findings []budgetFinding
	for _, f := range found.Findings {
		findings = append(findings, b.addBudgetFinding(summary, f))
	}
	summary.Extra["schedules"] = found.Plays
	summary.Extra["findings"] = findings
	summary.Extra["faults"] = found.Faults
	summary.Extra["rounds"] = found.Rounds
	summary.Extra["schedules_per_second"] = float64(found.Plays) / found.Took.Seconds()
	summary.Extra["events_per_second"] = float64(found.Events) / found.Took.Seconds()
	for _, kind := range allocation.Kinds {
		if found.Faults[kind] == 0 {
			summary.AddFailure("no fault " + kind + " occurred: the run shows nothing about it")
		}
	}
	return summary
}

// budgetplay returns the command that reruns one schedule of budgetsearch by its seed, and can
// write its events.
func (b *builder) budgetplay() *cobra.Command {
	return b.newCommand(
		"budgetplay",
		"reruns one schedule of budgetsearch, and writes its events to standard error",
		time.Minute, // not used: a play has a fixed length of virtual time
		func(c *cobra.Command) (func() error, runFunc) {
			members := c.Flags().Int("members", 2,
				"members that share the budgets, from the finding")
			budgets := c.Flags().Int("budgets", 1, "number of budgets, from the finding")
			trace := c.Flags().Bool("trace", true, "write the events to standard error")
			check := func() error {
				return errors.Join(checkRange("members", *members, 1, 100),
					checkRange("budgets", *budgets, 1, 100))
			}
			return check, func(_ context.Context, seed uint64,
				_ time.Duration) (*harness.Summary, error) {
				events := io.Discard
				if *trace {
					events = b.progress
				}
				result := allocation.Replay(seed, *members, *budgets, events)
				summary := harness.NewSummary("budgetplay", seed)
				summary.Extra["events"] = result.Events
				summary.Extra["faults"] = result.Faults
				if result.Breach != nil {
					summary.Extra["findings"] = []budgetFinding{b.addBudgetFinding(summary,
						allocation.Finding{Seed: seed, Members: *members, Budgets: *budgets,
							Breach: *result.Breach, After: 1})}
				}
				return summary, nil
			}
		},
	)
}
