package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"mothcleat/internal/testing/calibrate"
	"mothcleat/internal/testing/experiment"
	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/mutants"
	"mothcleat/sim"
	"mothcleat/sim/configversion"
	"mothcleat/sim/election"
)

// The commands in this file run the real decision code in virtual time.

func (b *builder) sim() *cobra.Command {
	return b.newCommand(
		"sim",
		"a fleet in virtual time: the real decision code, everything else modelled",
		time.Minute,
		func(c *cobra.Command) (func() error, runFunc) {
			o, f := sim.Options{}, c.Flags()
			f.IntVar(&o.Gateways, "gateways", 40, "number of gateways")
			f.IntVar(&o.Servers, "servers", 12, "number of quote servers")
			f.Float64Var(&o.Load, "load", 0.55,
				"load inside the quotas, as a fraction of the servers' capacity")
			f.Float64Var(&o.PerSecond, "per-second", 0,
				"requests per second inside the quotas; the work per request is scaled to fit")
			f.IntVar(&o.Customers, "customers", 0,
				"approximate number of customers; the plans are scaled to fit")
			f.IntVar(&o.Spread, "spread", 0,
				"number of gateways that each customer uses; 0: drawn, 2 to 4")
			f.Float64Var(&o.Surge, "surge", 0,
				"factor on the requests of one plan's customers in the middle third")
			f.Float64Var(&o.MessageLoss, "loss", -1,
				"fraction of the notes between gateways that is lost; -1: drawn")
			f.DurationVar(&o.MessageDelay, "late", 0, "additional delay of the notes")
			f.Float64Var(&o.MessageDuplication, "twice", 0,
				"fraction of the notes that is delivered twice")
			f.DurationVar(&o.Shift, "shift", 0,
				"interval at which a customer's busiest gateway changes; 0: 15s")
			f.DurationVar(&o.Kills, "kills", 0, "interval at which a gateway is killed")
			f.DurationVar(&o.Restarts, "restarts", 0,
				"interval at which a server exits and restarts cold")
			f.BoolVar(&o.Snapshots, "state", false,
				"gateways persist their state, and restore it after a kill")
			world := f.String(
				"world",
				"",
				"file with a schedule as the search prints it, - for standard input; "+
					"all other flags are ignored",
			)
			check := func() error {
				if *world != "" {
					return nil
				}
				t := o
				t.Seed, t.Duration = 1, time.Second
				return t.Check()
			}
			return check, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				o.Seed, o.Duration = seed, length
				if *world != "" {
					s, err := readSchedule(*world)
					if err != nil {
						return nil, err
					}
					o = s.Options
				}
				return sim.RunSummary(o)
			}
		},
	)
}

func readSchedule(path string) (sim.Schedule, error) {
	var raw []byte
	var err error
	if path == "-" {
		raw, err = io.ReadAll(os.Stdin)
	} else {
		raw, err = os.ReadFile(path)
	}
	if err != nil {
		return sim.Schedule{}, err
	}
	return sim.ParseSchedule(raw)
}

func (b *builder) search() *cobra.Command {
	return b.newCommand(
		"search",
		"searches for schedules of faults that break a rule, and tests the search on mutants",
		30*time.Second,
		func(c *cobra.Command) (func() error, runFunc) {
			f := c.Flags()
			most := f.Int("schedules", 1_000_000, "maximum number of schedules")
			wrong := f.Bool("mutants", true,
				"also search mutants of the decision code; needs Go and the sources")
			each := f.Int("mutant-schedules", 1500, "maximum number of schedules for each mutant")
			check := func() error {
				return errors.Join(checkRange("schedules", *most, 1, 100_000_000),
					checkRange("mutant-schedules", *each, 1, 10_000_000))
			}
			return check, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				began := time.Now()
				limited, cancel := context.WithTimeout(ctx, length)
				defer cancel()
				found, err := sim.Search(limited, seed, *most)
				if err != nil {
					return nil, err
				}
				fig := harness.NewSummary("search", seed)
				fig.Seconds = time.Since(began).Seconds()
				fig.Extra["schedules"] = found.Schedules
				fig.Extra["states"] = found.States
				fig.Extra["found"] = len(found.Findings)
				fig.Extra["findings"] = found.Findings
				for _, x := range found.Findings {
					fig.Broken[harness.Rule(x.Rule)]++
					fig.AddFailure(x.Rule + ": " + x.Detail)
					fmt.Fprintf(
						b.progress,
						"%s: %s\nreproduce with: lab sim --world - <<< '%s'\n",
						x.Rule,
						x.Detail,
						x.Schedule,
					)
				}
				if *wrong {
					if err := b.mutants(ctx, fig, mutants.List, seed, *each); err != nil {
						return fig, err
					}
				}
				return fig, nil
			}
		},
	)
}

// ownersearch returns the command that searches for faults that break what the fleet's voters and
// owners promise.
func (b *builder) ownersearch() *cobra.Command {
	return b.newCommand(
		"ownersearch",
		"searches in virtual time for faults that break what a fleet's voters and owners "+
			"promise, and tests the search on mutants",
		30*time.Second,
		func(c *cobra.Command) (func() error, runFunc) {
			f := c.Flags()
			most := f.Int("schedules", 1_000_000, "maximum number of plays")
			each := f.Duration("each", 15*time.Second, "virtual time of one play, 1s to 10m")
			wrong := f.Bool("mutants", true,
				"also search mutants; needs Go and the sources")
			plays := f.Int("mutant-schedules", 3000, "maximum number of plays for each mutant")
			check := func() error {
				return errors.Join(checkRange("schedules", *most, 1,
					100_000_000), checkRange("mutant-schedules", *plays, 1, 10_000_000),
					checkRange("each", each.Seconds(), 1, 600))
			}
			return check, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				limited, cancel := context.WithTimeout(ctx, length)
				defer cancel()
				found := election.Search(limited, seed, *most, *each)
				fig := harness.NewSummary("ownersearch", seed)
				fig.Seconds = found.Elapsed.Seconds()
				type finding struct {
					Rule    string           `json:"rule"`
					What    string           `json:"what"`
					After   int              `json:"after"`
					Options election.Options `json:"options"`
				}
				var all []finding
				for _, x := range found.Findings {
					all = append(
						all,
						finding{
							x.Breach.Rule, x.Breach.Detail + " at " + x.Breach.At, x.After,
							x.Options,
						},
					)
					fig.Broken[harness.Rule(x.Breach.Rule)]++
					fig.AddFailure(x.Breach.Rule + ": " + x.Breach.Detail)
				}
				fig.Extra["schedules"], fig.Extra["findings"] = found.Plays, all
				fig.Extra["faults"], fig.Extra["acknowledged"] = found.Faults, found.Acknowledged
				fig.Extra["schedules_per_second"] = float64(found.Plays) / found.Elapsed.Seconds()
				fig.Extra["events_per_second"] = float64(found.Events) / found.Elapsed.Seconds()
				for _, k := range election.Kinds {
					if found.Faults[k] == 0 {
						fig.AddFailure("no " + k + " occurred: the run shows nothing about it")
					}
				}
				if *wrong {
					if err := b.mutants(ctx, fig, mutants.Owners, seed, *plays); err != nil {
						return fig, err
					}
				}
				return fig, nil
			}
		},
	)
}

// auditsearch returns the command that searches for gateways that act on a withdrawn version.
func (b *builder) auditsearch() *cobra.Command {
	return b.newCommand(
		"auditsearch",
		"searches in virtual time for faults by which a gateway acts on a withdrawn version, "+
			"and tests the search on mutants",
		30*time.Second,
		func(c *cobra.Command) (func() error, runFunc) {
			f := c.Flags()
			most := f.Int("schedules", 1_000_000, "maximum number of plays")
			wrong := f.Bool("mutants", true,
				"also search mutants; needs Go and the sources")
			plays := f.Int("mutant-schedules", 2000, "maximum number of plays for each mutant")
			check := func() error {
				return errors.Join(checkRange("schedules", *most, 1, 100_000_000),
					checkRange("mutant-schedules", *plays, 1, 10_000_000))
			}
			return check, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				limited, cancel := context.WithTimeout(ctx, length)
				defer cancel()
				found := configversion.Search(limited, seed, *most)
				fig := harness.NewSummary("auditsearch", seed)
				fig.Seconds = found.Took.Seconds()
				type finding struct {
					Rule  string                `json:"rule"`
					What  string                `json:"what"`
					After int                   `json:"after"`
					Play  configversion.Finding `json:"play"`
				}
				var all []finding
				for _, x := range found.Findings {
					all = append(all,
						finding{x.Breach.What, x.Breach.How + " at " + x.Breach.At, x.After, x})
					fig.Broken[harness.Rule(x.Breach.What)]++
					fig.AddFailure(x.Breach.What + ": " + x.Breach.How)
				}
				fig.Extra["schedules"], fig.Extra["findings"] = found.Plays, all
				fig.Extra["faults"] = found.Faults
				fig.Extra["acts"], fig.Extra["rollouts"] = found.Operations, found.RollOuts
				fig.Extra["withdrawn"], fig.Extra["shut_out"] = found.Withdrawn, found.Outs
				fig.Extra["schedules_per_second"] = float64(found.Plays) / found.Took.Seconds()
				for _, k := range configversion.Kinds {
					if found.Faults[k] == 0 {
						fig.AddFailure("no fault " + k +
							" occurred: the run shows nothing about it")
					}
				}
				if *wrong {
					if err := b.mutants(ctx, fig, mutants.Versions, seed, *plays); err != nil {
						return fig, err
					}
				}
				return fig, nil
			}
		},
	)
}

// mutants runs the search on each mutant and adds the results to the summary. A mutant that is not
// found is a failure.
func (b *builder) mutants(
	ctx context.Context,
	f *harness.Summary,
	list func() ([]mutants.Mutant, error),
	seed uint64,
	schedules int,
) error {
	all, err := list()
	if err != nil {
		return err
	}
	results, err := mutants.Run(ctx, f.Command, all, seed, schedules, b.progress)
	if err != nil {
		return err
	}
	n := 0
	for _, r := range results {
		if r.Found {
			n++
		} else {
			f.AddFailure("mutant not found: " + r.Name)
		}
	}
	f.Extra["mutants"] = len(results)
	f.Extra["mutants_found"] = n
	f.Extra["mutants_schedules_median"] = mutants.Median(results)
	f.Extra["mutant_results"] = results
	return nil
}

func (b *builder) experiment() *cobra.Command {
	c := &cobra.Command{
		Use:   "experiment FILE.toml",
		Short: "runs a sweep in the emulator, paired by seed; an interrupted sweep resumes",
		Args:  oneArg("a file"),
	}
	out := c.Flags().String("out", "results", "folder for the results, NAME.jsonl")
	c.RunE = func(c *cobra.Command, args []string) error {
		f, err := experiment.Load(args[0])
		if err != nil {
			return err
		}
		if err := os.MkdirAll(*out, 0o755); err != nil {
			return err
		}
		path := filepath.Join(*out, f.Name+".jsonl")
		played := f.Run(c.Context(), path, b.progress)
		rows, err := experiment.ReadRows(path)
		if err != nil {
			return err
		}
		return b.summary(f, rows, played, nil)
	}
	return c
}

func (b *builder) plot() *cobra.Command {
	c := &cobra.Command{
		Use:   "plot FILE.toml",
		Short: "draws an experiment's results as PNG and SVG",
		Args:  oneArg("a file"),
	}
	from := c.Flags().String("results", "results", "folder with the results, NAME.jsonl")
	to := c.Flags().String("out", "plots", "folder for the plots")
	c.RunE = func(c *cobra.Command, args []string) error {
		f, err := experiment.Load(args[0])
		if err != nil {
			return err
		}
		rows, err := experiment.ReadRows(filepath.Join(*from, f.Name+".jsonl"))
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			return fmt.Errorf("no results in %s: run the experiment first", *from)
		}
		if err := os.MkdirAll(*to, 0o755); err != nil {
			return err
		}
		files, err := f.Plot(f.Summarise(rows), *to)
		return b.summary(f, rows, err, files)
	}
	return c
}

// summary prints the results of an experiment; the last line is JSON.
func (b *builder) summary(
	f *experiment.File, rows []experiment.Row, why error, files []string,
) error {
	all := f.Summarise(rows)
	f.Table(b.progress, all)
	broken := 0.0
	for _, r := range rows {
		broken += r.Figures["broken"]
	}
	line := map[string]any{
		"command": "experiment",
		"name":    f.Name,
		"worlds":  len(rows),
		"of":      len(f.Points()),
		"broken":  broken,
		"summary": all,
		"files":   files,
		"ok":      why == nil && broken == 0,
	}
	if why != nil {
		line["why"] = why.Error()
	}
	text, err := json.Marshal(line)
	if err != nil {
		return err
	}
	fmt.Fprintln(b.out, string(text))
	if why != nil || broken > 0 {
		b.code = 1
	}
	return nil
}

func (b *builder) calibrate() *cobra.Command {
	return b.newCommand(
		"calibrate",
		"the same sites, seeds and faults in real processes and in the emulator, side by side",
		20*time.Second,
		func(c *cobra.Command) (func() error, runFunc) {
			return noCheck, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				return calibrate.Run(ctx, seed, length, b.progress)
			}
		},
	)
}

// oneArg returns a check that a command has exactly one positional argument.
func oneArg(what string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != 1 {
			return fmt.Errorf("%s is required, %d arguments given", what, len(args))
		}
		return nil
	}
}
