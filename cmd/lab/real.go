package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"mothcleat/internal/testing/allocationtest"
	"mothcleat/internal/testing/audittest"
	"mothcleat/internal/testing/electiontest"
	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/lab"
)

// The commands that play real processes in real time.

type player = func(ctx context.Context, seed uint64, length time.Duration) (*harness.Summary, error)

func (b *bench) try() *cobra.Command {
	return b.play(
		"try",
		"three gateways with stand-ins and a minute of traffic",
		time.Minute,
		func(c *cobra.Command) (func() error, player) {
			serve := c.Flags().Bool("serve", false,
				"keep them running, and print their addresses and a sample command")
			return anything, func(ctx context.Context, seed uint64, length time.Duration) (*harness.Summary, error) {
				return lab.RunTry(ctx, seed, length, *serve, b.out, b.progress)
			}
		},
	)
}

func (b *bench) fleet() *cobra.Command {
	return b.play(
		"fleet",
		"many instances, killed, stopped, replaced and reloaded at random",
		time.Minute,
		func(c *cobra.Command) (func() error, player) {
			o, f := lab.FleetOptions{}, c.Flags()
			f.IntVar(&o.Instances, "instances", 8, "gateways, 1 to 200")
			f.StringVar(&o.State, "state", "on",
				"on or off: whether they keep their state; both: two fleets side by side")
			f.BoolVar(&o.InPlace, "in-place", false, "hand-overs and reloads only")
			f.BoolVar(
				&o.RestartAll,
				"whole",
				false,
				"one restart of all, beside a fleet that has none",
			)
			f.Float64Var(&o.Load, "load", 0.55,
				"part of what the servers can do that is asked inside the quotas")
			check := func() error {
				switch {
				case o.State != "on" && o.State != "off" && o.State != "both":
					return fmt.Errorf("--state %s: on, off or both wanted", o.State)
				case o.InPlace && o.RestartAll:
					return errors.New("--in-place and --whole exclude each other")
				}
				return errors.Join(checkRange("instances", o.Instances, 1, 200),
					checkRange("load", o.Load, 0.01, 2))
			}
			return check, func(ctx context.Context, seed uint64, length time.Duration) (*harness.Summary, error) {
				o.Seed, o.For = seed, length
				return lab.RunFleet(ctx, o, b.progress)
			}
		},
	)
}

func (b *bench) upgrade() *cobra.Command {
	return b.play(
		"upgrade",
		"gateways replaced by processes started beside them, on sockets that the rig holds, and emptied by their admin interface",
		time.Minute,
		func(c *cobra.Command) (func() error, player) {
			o, f := lab.UpgradeOptions{}, c.Flags()
			f.IntVar(&o.Instances, "instances", 4, "gateways, 1 to 200")
			f.BoolVar(&o.Kills, "kills", true, "some new processes are killed amid the taking over")
			f.Float64Var(&o.Load, "load", 0.55,
				"part of what the servers can do that is asked inside the quotas")
			check := func() error {
				return errors.Join(checkRange("instances", o.Instances, 1, 200),
					checkRange("load", o.Load, 0.01, 2))
			}
			return check, func(ctx context.Context, seed uint64, length time.Duration) (*harness.Summary, error) {
				o.Seed, o.For = seed, length
				return lab.RunUpgrade(ctx, o, b.progress)
			}
		},
	)
}

func (b *bench) quota() *cobra.Command {
	return b.play(
		"quota",
		"the same requests to fleets of several sizes: how much of its quota a customer gets",
		30*time.Second,
		func(c *cobra.Command) (func() error, player) {
			o, f := lab.QuotaOptions{}, c.Flags()
			f.Float64Var(&o.Load, "load", 0.55,
				"part of what the servers can do that is asked inside the quotas")
			f.IntVar(&o.Spread, "spread", 0,
				"gateways that every customer comes through; 0: 2 to 4, as drawn")
			f.IntSliceVar(&o.Sizes, "sizes", lab.QuotaSizes,
				"of the fleets; the others are held against the first")
			check := func() error {
				for _, n := range o.Sizes {
					if err := checkRange("sizes", n, 1, 200); err != nil {
						return err
					}
				}
				return errors.Join(checkRange("load", o.Load, 0.01, 2),
					checkRange("spread", o.Spread, 0, 200))
			}
			return check, func(ctx context.Context, seed uint64, length time.Duration) (*harness.Summary, error) {
				o.Seed, o.For = seed, length
				return lab.RunQuota(ctx, o, b.progress, b.progress)
			}
		},
	)
}

func (b *bench) auth() *cobra.Command {
	return b.play(
		"auth",
		"gateways that ask a forward authenticator that stalls, flaps, errs and crashes, beside some that ask nobody",
		time.Minute,
		func(c *cobra.Command) (func() error, player) {
			return anything, func(ctx context.Context, seed uint64, length time.Duration) (*harness.Summary, error) {
				return lab.RunAuth(ctx, seed, length, b.progress)
			}
		},
	)
}

func (b *bench) consul() *cobra.Command {
	return b.play(
		"consul",
		"gateways that follow Consul, whose agents lag, fall silent and contradict themselves, beside some at the platform's register",
		time.Minute,
		func(c *cobra.Command) (func() error, player) {
			silent := c.Flags().Bool("silent", false,
				"Consul says nothing any more, beside gateways whose Consul goes on")
			return anything, func(ctx context.Context, seed uint64, length time.Duration) (*harness.Summary, error) {
				return lab.RunConsul(ctx,
					lab.ConsulOptions{Seed: seed, For: length, Silent: *silent}, b.progress)
			}
		},
	)
}

func (b *bench) budgets() *cobra.Command {
	return b.play(
		"budgets",
		"quotas divided among gateways, while links and processes fail and traffic shifts",
		time.Minute,
		func(c *cobra.Command) (func() error, player) {
			o, f := allocationtest.Options{}, c.Flags()
			f.IntVar(&o.Instances, "instances", 12, "gateways, 3 to 40; the first three vote")
			f.IntVar(&o.Shards, "shards", 4, "duties that the quotas are shared out in, 1 to 16")
			f.Float64Var(&o.Load, "load", 0.35,
				"part of what the servers can do that is asked inside the quotas")
			f.BoolVar(&o.Compare, "compare", true,
				"the same traffic through a fleet that divides by notes as well")
			f.BoolVar(
				&o.Surge,
				"surge",
				false,
				"all but three leave, join within a second, and all are replaced: in place of faults at random",
			)
			check := func() error {
				return errors.Join(checkRange("instances", o.Instances, 3, 40),
					checkRange("shards", o.Shards, 1, 16), checkRange("load", o.Load, 0.01, 2))
			}
			return check, func(ctx context.Context, seed uint64, length time.Duration) (*harness.Summary, error) {
				o.Seed, o.For = seed, length
				return allocationtest.Run(ctx, o, b.progress)
			}
		},
	)
}

func (b *bench) audit() *cobra.Command {
	return b.play(
		"audit",
		"versions of the plans rolled out and taken back while links and processes fail, and what the records tell of it",
		time.Minute,
		func(c *cobra.Command) (func() error, player) {
			o, f := audittest.Options{}, c.Flags()
			f.IntVar(&o.Instances, "instances", 12, "gateways, 3 to 40; the first three vote")
			f.StringVar(&o.Logs, "logs", "", "a folder for the gateways' logs")
			f.Float64Var(&o.Load, "load", 0.35,
				"part of what the servers can do that is asked inside the quotas")
			check := func() error {
				return errors.Join(checkRange("instances", o.Instances, 3, 40),
					checkRange("load", o.Load, 0.01, 2))
			}
			return check, func(ctx context.Context, seed uint64, length time.Duration) (*harness.Summary, error) {
				o.Seed, o.For = seed, length
				return audittest.Run(ctx, o, b.progress)
			}
		},
	)
}

func (b *bench) owner() *cobra.Command {
	return b.play(
		"owner",
		"one owner at a time for the fleet's work, while links and processes fail",
		time.Minute,
		func(c *cobra.Command) (func() error, player) {
			o, f := electiontest.Options{}, c.Flags()
			f.IntVar(&o.Instances, "instances", 7,
				"gateways, 3 to 40; the first three, or five of seven and more, vote")
			f.IntVar(&o.Clients, "clients", 0,
				"further processes' sessions, 0 to 1000, that ask and watch")
			f.StringVar(&o.Logs, "logs", "", "a folder for the gateways' logs")
			f.IntVar(&o.Shards, "shards", 2, "duties that the export is shared out in, 1 to 16")
			f.Float64Var(&o.Load, "load", 0.35,
				"part of what the servers can do that is asked inside the quotas")
			check := func() error {
				return errors.Join(checkRange(
					"instances", o.Instances, 3, 40,
				), checkRange("shards", o.Shards, 1, 16), checkRange("clients", o.Clients, 0, 1000),
					checkRange("load", o.Load, 0.01, 2))
			}
			return check, func(ctx context.Context, seed uint64, length time.Duration) (*harness.Summary, error) {
				o.Seed, o.For = seed, length
				return electiontest.Run(ctx, o, b.progress)
			}
		},
	)
}
