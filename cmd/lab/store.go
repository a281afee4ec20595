package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/storetest"
)

// The commands in this file test the embedded store.

func (b *builder) store() *cobra.Command {
	return b.newCommand(
		"store",
		"the embedded store: crashed after every operation, truncated and corrupted at every "+
			"byte, killed while it writes",
		time.Minute,
		func(c *cobra.Command) (func() error, runFunc) {
			batches := c.Flags().Int("batches", 40,
				"batches to crash and damage, 24 to 400; the run time grows with the square")
			check := func() error { return checkRange("batches", *batches, 24, 400) }
			return check, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				return b.runStore(ctx, seed, length, *batches)
			}
		},
	)
}

// runStore runs whole rounds of crashes and damage for half of the time, and kills for the rest.
func (b *builder) runStore(
	ctx context.Context, seed uint64, length time.Duration, batches int,
) (*harness.Summary, error) {
	f, began := harness.NewSummary("store", seed), time.Now()
	sum := storetest.Tally{}
	rounds := 0
	for ; rounds == 0 || time.Since(began) < length/2; rounds++ {
		for _, play := range []func() (*storetest.Tally, error){
			func() (*storetest.Tally, error) {
				return storetest.Crashes(ctx, seed+uint64(rounds), batches, 4)
			},
			func() (*storetest.Tally, error) {
				return storetest.Damage(ctx, seed+uint64(rounds), batches)
			},
		} {
			t, err := play()
			if err != nil {
				return nil, err
			}
			sum.Add(t)
			fmt.Fprintf(b.progress, "seed %d: %d opened, %d refused, %d broke a promise\n",
				seed+uint64(rounds), t.Opened, t.Refused, t.Bad())
		}
	}
	dir, err := os.MkdirTemp("", "mothcleat-store-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	kills, err := storetest.Kills(ctx, seed, dir, max(time.Second, length-time.Since(began)), self,
		"store-writer")
	if err != nil {
		return nil, err
	}
	sum.Add(&kills.Tally)
	f.Seconds = time.Since(began).Seconds()
	f.Extra = map[string]any{"rounds": rounds,
		"opened":        sum.Opened,
		"refused":       sum.Refused,
		"invented":      sum.Invented,
		"lost_promised": sum.LostPromised,
		"unclear":       sum.Unclear,
		"kills":         kills.Kills,
		"acknowledged":  kills.Acknowledged}
	for _, why := range sum.Why {
		f.AddFailure(why)
	}
	return f, nil
}

// storeWriter returns the command of the process that the store rig kills.
func (b *builder) storeWriter() *cobra.Command {
	return &cobra.Command{Use: "store-writer DIR", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return storetest.Write(args[0], b.out)
		}}
}
