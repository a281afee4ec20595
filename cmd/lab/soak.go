package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/lab"
)

// coresPerSoakRun is the number of cores that one soak run keeps busy at its peaks.
const coresPerSoakRun = 2

// soakFlags holds the flags of the command soak.
type soakFlags struct {
	seeds      int
	from       uint64
	length     time.Duration
	sideBySide int
	keep       string
	bin        string
}

// soak returns the command that runs one soak for each seed: restarts, hand-overs and series of
// signals.
func (b *builder) soak() *cobra.Command {
	var flags soakFlags
	c := &cobra.Command{
		Use:   "soak",
		Short: "restarts, hand-overs, series of signals, crowds and pauses under load, by seed",
		Args:  noArgs,
	}
	f := c.Flags()
	f.IntVar(&flags.seeds, "seeds", 50, "number of runs")
	f.Uint64Var(&flags.from, "from", 1, "seed of the first run; each further run adds 1")
	f.DurationVar(&flags.length, "for", 18*time.Second, "how long clients send requests in a run")
	f.IntVar(&flags.sideBySide, "side-by-side", max(1, runtime.NumCPU()/coresPerSoakRun),
		"number of concurrent runs")
	f.StringVar(&flags.keep, "keep", "", "folder for the traces of failed runs")
	f.StringVar(&flags.bin, "bin", "", "the gateway's binary; empty: build it")
	c.RunE = func(c *cobra.Command, _ []string) error {
		for _, err := range []error{
			checkRange("seeds", flags.seeds, 1, 100_000),
			checkRange("side-by-side", flags.sideBySide, 1, 64),
			checkRange("for", flags.length.Seconds(), 5, 600),
		} {
			if err != nil {
				return err
			}
		}
		return b.runSoak(c.Context(), flags)
	}
	return c
}

// runSoak runs all seeds, several concurrently, and prints a line for each and a summary of all.
func (b *builder) runSoak(ctx context.Context, flags soakFlags) error {
	if flags.bin == "" {
		bin, remove, err := lab.BuildInTempDir(ctx)
		if err != nil {
			return err
		}
		defer remove()
		flags.bin = bin
	}
	total := harness.NewSummary("soak", flags.from)
	total.Extra["seeds"] = flags.seeds
	total.Extra["side_by_side"] = flags.sideBySide
	actions := map[string]int{}
	var failed []uint64
	began := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, flags.sideBySide)
	for n := range flags.seeds {
		seed := flags.from + uint64(n)
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			one, err := lab.RunSoak(ctx, lab.SoakOptions{
				Seed: seed, For: flags.length, Bin: flags.bin, Keep: flags.keep,
			}, io.Discard)
			if one == nil {
				one = harness.FailedRun("soak", seed, err)
			}
			mu.Lock()
			defer mu.Unlock()
			b.printSoakRun(one, flags)
			addSoakRun(total, one, actions)
			if !one.OK {
				failed = append(failed, seed)
			}
		}()
	}
	wg.Wait()
	total.Seconds = time.Since(began).Seconds()
	total.Extra["failed_seeds"] = failed
	total.Extra["done"] = actions
	fmt.Fprintln(b.out, total.Line())
	if !total.OK {
		b.code = 1
	}
	return nil
}

// printSoakRun prints the line of one run and, for a failed run, the command that reproduces it.
func (b *builder) printSoakRun(one *harness.Summary, flags soakFlags) {
	verdict := "ok"
	if !one.OK {
		verdict = "FAILED"
	}
	fmt.Fprintf(b.progress,
		"seed %d: %s, %d requests, %d accepted, %d answered once, %d killed, actions %v\n",
		one.Seed, verdict, one.Requests, one.Taken, one.Once, one.Killed, one.Extra["done"])
	if one.OK {
		return
	}
	for _, why := range one.Why {
		fmt.Fprintf(b.progress, "  %s\n", why)
	}
	fmt.Fprintf(b.progress, "  reproduce with: lab soak --seeds 1 --from %d --for %v --keep DIR\n",
		one.Seed, flags.length)
}

// addSoakRun adds the figures of one run to the totals, and its actions to the counts in actions.
func addSoakRun(total, one *harness.Summary, actions map[string]int) {
	for rule, n := range one.Broken {
		total.Broken[rule] += n
	}
	total.Requests += one.Requests
	total.InTime += one.InTime
	total.Taken += one.Taken
	total.Once += one.Once
	total.Killed += one.Killed
	total.Crossed += one.Crossed
	if done, ok := one.Extra["done"].(map[string]int); ok {
		for what, n := range done {
			actions[what] += n
		}
	}
	if !one.OK {
		total.AddFailure(fmt.Sprintf("seed %d failed", one.Seed))
	}
}
