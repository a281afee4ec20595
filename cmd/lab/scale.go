package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"mothcleat/internal/testing/scale"
)

const simulatedGatewaysCommand = "scale-hollow"

// scale returns the command that measures the load of a large fleet on its control plane.
func (b *builder) scale() *cobra.Command {
	var o scale.Options
	var roles, path, into, faults string
	var seriesNames []string
	var slopes, keep, page bool
	var benchmarks, pageAt string
	c := &cobra.Command{
		Use:   "scale",
		Short: "load of a large fleet on real control processes, by role, with simulated gateways",
		Args:  noArgs,
	}
	f := c.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the random draws: the setup and the events of the run")
	f.DurationVar(
		&o.For,
		"for",
		20*time.Second,
		"how long changes are made and measured, 1s to 10m",
	)
	f.IntVar(&o.Gateways, "gateways", 120, "number of simulated gateways")
	f.IntVar(&o.Servers, "servers", 1000, "number of servers in the register")
	f.IntVar(&o.Tenants, "tenants", 6000, "number of tenants, each with its own plan")
	f.IntVar(&o.Control, "control", scale.DesignControl,
		"number of control processes: 1, 3, 5 or 7")
	f.IntVar(&o.RealGateways, "real-gateways", 2,
		"real gateways that serve requests beside the simulated ones, 0 to 8")
	f.Float64Var(&o.ReplacementsPerSecond, "replacements", 0.3,
		"servers per second that are drained, replaced and removed")
	f.IntVar(&o.RackSize, "rack", 0, "servers that are removed at once in the middle of the run")
	f.IntVar(&o.Versions, "versions", 1, "versions of the plans that are proposed in the run")
	f.BoolVar(
		&o.BaseVersion,
		"base-version",
		false,
		"bring a version of the plans into force everywhere before the run",
	)
	f.IntVar(&o.PerProcess, "per-process", 0, "simulated gateways in one process; 0: 62")
	f.DurationVar(
		&o.Tick,
		"tick",
		0,
		"tick of the control processes' log; 0: the program's, too short for an overloaded machine",
	)
	f.DurationVar(&o.Span, "span", 0, "duration of an owner's lease; 0: the program's")
	f.StringVar(
		&faults,
		"faults",
		"",
		"faults injected one after another over the run: some of stop,kill,leader,gateways",
	)
	f.StringVar(&roles, "roles", "all",
		"roles that are enabled: all, none, or some of list,configuration,allocation,metering")
	f.StringVar(&path, "path", string(scale.PathDelta),
		"distribution of the list of servers: delta (the program's), wholelist (baseline) or both")
	f.BoolVar(&slopes, "slopes", false,
		"run the series of sizes instead of one run, and fit the slopes")
	f.StringSliceVar(&seriesNames, "ladder", nil, "with --slopes: run only these series")
	f.StringVar(&into, "into", "docs/capacity.json",
		"JSON file that stores the series, or with --keep the run")
	f.BoolVar(&keep, "keep", false, "store the run's result in the file of --into")
	f.BoolVar(&page, "page", false,
		"run nothing: compute the tables from the file of --into, and write them to the page")
	f.StringVar(&pageAt, "page-at", "docs/CAPACITY.md", "path of the page that --page updates")
	f.StringVar(&benchmarks, "benchmarks", "",
		"run nothing: read this output of go test -bench, and store it in the file of --into")
	f.StringVar(&o.Bin, "bin", "", "the gateway's binary; empty: build it")
	f.StringVar(&o.Logs, "logs", "", "folder for the processes' logs")
	c.RunE = func(c *cobra.Command, _ []string) (err error) {
		switch {
		case page:
			return scale.WritePage(into, pageAt)
		case benchmarks != "":
			return takeBenchmarks(benchmarks, into)
		}
		if o.Parts, err = scale.ParseParts(roles); err != nil {
			return err
		}
		if o.Faults, err = scale.ParseFaults(faults); err != nil {
			return err
		}
		if o.Self, err = scale.SelfCommand(simulatedGatewaysCommand); err != nil {
			return err
		}
		if slopes {
			return b.runSeries(c.Context(), &o, seriesNames, into)
		}
		paths := []scale.Path{scale.Path(path)}
		if path == "both" {
			paths = []scale.Path{scale.PathCompleteList, scale.PathDelta}
		}
		if !keep {
			into = ""
		}
		return b.runScale(c.Context(), o, paths, into)
	}
	return c
}

// runScale makes one run for each path. It prints the result of a single path as one line, and
// the results of several paths as one JSON object keyed by path.
func (b *builder) runScale(
	ctx context.Context,
	o scale.Options,
	paths []scale.Path,
	into string,
) error {
	byPath := map[scale.Path]*scale.Result{}
	for _, path := range paths {
		o.Path = path
		if err := o.Check(); err != nil {
			return err
		}
		result, err := scale.Run(ctx, o, b.progress)
		if err != nil {
			return err
		}
		if into != "" {
			if err := scale.Keep(into, result); err != nil {
				return err
			}
		}
		byPath[path] = result
		if len(paths) == 1 {
			fmt.Fprintln(b.out, result.Line())
		}
		if result.Diverged+result.LostChanges > 0 {
			b.code = 1
		}
	}
	if len(paths) == 1 {
		return nil
	}
	line, err := json.Marshal(byPath)
	fmt.Fprintln(b.out, string(line))
	return err
}

// runSeries runs series of increasing sizes, and prints the slopes.
func (b *builder) runSeries(
	ctx context.Context,
	o *scale.Options,
	names []string,
	into string,
) error {
	if len(names) == 0 {
		for _, l := range scale.AllSeries() {
			names = append(names, l.Name)
		}
	}
	capacity, err := scale.ReadCapacity(into)
	if err != nil {
		return err
	}
	for _, name := range names {
		steps, err := scale.RunSeries(ctx, name, o.Seed, o.Bin, o.Self, b.progress)
		if err != nil {
			return err
		}
		capacity.Take(name, steps)
		if into == "" {
			continue
		}
		if err := capacity.Write(into); err != nil {
			return err
		}
	}
	line, err := capacity.SlopesLine()
	if err != nil {
		return err
	}
	fmt.Fprintln(b.out, line)
	return nil
}

// takeBenchmarks reads the benchmark output in the file printed, and stores it in the file into.
func takeBenchmarks(printed, into string) error {
	f, err := os.Open(printed)
	if err != nil {
		return err
	}
	defer f.Close()
	all, err := scale.ReadBenchmarks(f)
	if err != nil {
		return err
	}
	c, err := scale.ReadCapacity(into)
	if err != nil {
		return err
	}
	c.TakeBenchmarks(all)
	return c.Write(into)
}

// scaleHollow returns the hidden command that runs simulated gateways for the command scale.
func (b *builder) scaleHollow() *cobra.Command {
	return &cobra.Command{Use: simulatedGatewaysCommand, Hidden: true, Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			err := scale.RunSimulatedGateways(c.Context(), os.Stdin, b.out)
			if errors.Is(err, context.Canceled) {
				return nil
			}
			return err
		}}
}
