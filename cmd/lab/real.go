package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"mothcleat/internal/testing/allocationtest"
	"mothcleat/internal/testing/audittest"
	"mothcleat/internal/testing/clientlab"
	"mothcleat/internal/testing/electiontest"
	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/lab"
)

// The commands in this file run real processes in real time.

// runFunc runs a rig with a seed and a length, and returns its summary.
type runFunc = func(ctx context.Context, seed uint64,
	length time.Duration) (*harness.Summary, error)

func (b *builder) try() *cobra.Command {
	return b.newCommand(
		"try",
		"three gateways with stand-ins and a minute of traffic",
		time.Minute,
		func(c *cobra.Command) (func() error, runFunc) {
			serve := c.Flags().Bool("serve", false,
				"keep the gateways running, and print their addresses and a sample command")
			return noCheck, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				return lab.RunTry(ctx, seed, length, *serve, b.out, b.progress)
			}
		},
	)
}

func (b *builder) clients() *cobra.Command {
	return b.newCommand(
		"clients",
		"one gateway at the smallest limits, with clients or servers that behave badly beside "+
			"sound clients",
		10*time.Second,
		func(c *cobra.Command) (func() error, runFunc) {
			name := c.Flags().String("case", clientlab.Names()[0],
				"one of "+strings.Join(clientlab.Names(), ", "))
			check := func() error {
				if !slices.Contains(clientlab.Names(), *name) {
					return fmt.Errorf("--case %s: no such case", *name)
				}
				return nil
			}
			return check, func(ctx context.Context, _ uint64,
				length time.Duration) (*harness.Summary, error) {
				return clientlab.Run(ctx, *name, length)
			}
		},
	)
}

func (b *builder) fleet() *cobra.Command {
	return b.newCommand(
		"fleet",
		"many gateways, killed, stopped, replaced and reloaded at random",
		time.Minute,
		func(c *cobra.Command) (func() error, runFunc) {
			o, f := lab.FleetOptions{}, c.Flags()
			f.IntVar(&o.Instances, "instances", 8, "gateways, 1 to 200")
			f.StringVar(&o.State, "state", "on",
				"on or off: whether gateways persist their state; both: two fleets side by side")
			f.BoolVar(&o.InPlace, "in-place", false, "only hand-overs and reloads")
			f.BoolVar(
				&o.RestartAll,
				"whole",
				false,
				"restart all gateways once, beside a fleet without the restart",
			)
			f.Float64Var(&o.Load, "load", 0.55,
				"load inside the quotas, as a fraction of the servers' capacity")
			check := func() error {
				switch {
				case o.State != "on" && o.State != "off" && o.State != "both":
					return fmt.Errorf("--state %s: must be one of on, off, both", o.State)
				case o.InPlace && o.RestartAll:
					return errors.New("--in-place and --whole exclude each other")
				}
				return errors.Join(checkRange("instances", o.Instances, 1, 200),
					checkRange("load", o.Load, 0.01, 2))
			}
			return check, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				o.Seed, o.For = seed, length
				return lab.RunFleet(ctx, o, b.progress)
			}
		},
	)
}

func (b *builder) upgrade() *cobra.Command {
	return b.newCommand(
		"upgrade",
		"gateways replaced by processes started beside them, on sockets that the rig holds, "+
			"and drained by their admin interface",
		time.Minute,
		func(c *cobra.Command) (func() error, runFunc) {
			o, f := lab.UpgradeOptions{}, c.Flags()
			f.IntVar(&o.Instances, "instances", 4, "gateways, 1 to 200")
			f.BoolVar(&o.Kills, "kills", true,
				"kill some of the new processes while they take over")
			f.Float64Var(&o.Load, "load", 0.55,
				"load inside the quotas, as a fraction of the servers' capacity")
			check := func() error {
				return errors.Join(checkRange("instances", o.Instances, 1, 200),
					checkRange("load", o.Load, 0.01, 2))
			}
			return check, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				o.Seed, o.For = seed, length
				return lab.RunUpgrade(ctx, o, b.progress)
			}
		},
	)
}

func (b *builder) quota() *cobra.Command {
	return b.newCommand(
		"quota",
		"the share of its quota that a customer gets, with the same requests to fleets of "+
			"several sizes",
		30*time.Second,
		func(c *cobra.Command) (func() error, runFunc) {
			o, f := lab.QuotaOptions{}, c.Flags()
			f.Float64Var(&o.Load, "load", 0.55,
				"load inside the quotas, as a fraction of the servers' capacity")
			f.IntVar(&o.Spread, "spread", 0,
				"number of gateways that each customer uses; 0: drawn, 2 to 4")
			f.IntSliceVar(&o.Sizes, "sizes", lab.QuotaSizes,
				"sizes of the fleets; the first is the reference for the others")
			check := func() error {
				for _, n := range o.Sizes {
					if err := checkRange("sizes", n, 1, 200); err != nil {
						return err
					}
				}
				return errors.Join(checkRange("load", o.Load, 0.01, 2),
					checkRange("spread", o.Spread, 0, 200))
			}
			return check, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				o.Seed, o.For = seed, length
				return lab.RunQuota(ctx, o, b.progress, b.progress)
			}
		},
	)
}

func (b *builder) auth() *cobra.Command {
	return b.newCommand(
		"auth",
		"gateways with a forward authenticator that stalls, flaps, fails and crashes, "+
			"beside gateways without one",
		time.Minute,
		func(c *cobra.Command) (func() error, runFunc) {
			return noCheck, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				return lab.RunAuth(ctx, seed, length, b.progress)
			}
		},
	)
}

func (b *builder) consul() *cobra.Command {
	return b.newCommand(
		"consul",
		"gateways that follow Consul, whose agents lag, stop responding and contradict "+
			"themselves, beside gateways that follow the platform's register",
		time.Minute,
		func(c *cobra.Command) (func() error, runFunc) {
			silent := c.Flags().Bool("silent", false,
				"Consul stops responding, beside gateways whose Consul continues")
			return noCheck, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				return lab.RunConsul(ctx,
					lab.ConsulOptions{Seed: seed, For: length, Silent: *silent}, b.progress)
			}
		},
	)
}

func (b *builder) budgets() *cobra.Command {
	return b.newCommand(
		"budgets",
		"quotas divided among gateways, while links and processes fail and traffic shifts",
		time.Minute,
		func(c *cobra.Command) (func() error, runFunc) {
			o, f := allocationtest.Options{}, c.Flags()
			f.IntVar(&o.Instances, "instances", 12, "gateways, 3 to 40; the first three vote")
			f.IntVar(&o.Shards, "shards", 4, "shards that the quotas are divided into, 1 to 16")
			f.Float64Var(&o.Load, "load", 0.35,
				"load inside the quotas, as a fraction of the servers' capacity")
			f.BoolVar(&o.Compare, "compare", true,
				"also send the same traffic to a fleet that divides quotas by notes")
			f.BoolVar(
				&o.Surge,
				"surge",
				false,
				"instead of random faults: all but three gateways leave, join within a second, "+
					"and then all are replaced",
			)
			check := func() error {
				return errors.Join(checkRange("instances", o.Instances, 3, 40),
					checkRange("shards", o.Shards, 1, 16), checkRange("load", o.Load, 0.01, 2))
			}
			return check, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				o.Seed, o.For = seed, length
				return allocationtest.Run(ctx, o, b.progress)
			}
		},
	)
}

func (b *builder) audit() *cobra.Command {
	return b.newCommand(
		"audit",
		"versions of the plans rolled out and withdrawn while links and processes fail, "+
			"and the audit records of it",
		time.Minute,
		func(c *cobra.Command) (func() error, runFunc) {
			o, f := audittest.Options{}, c.Flags()
			f.IntVar(&o.Instances, "instances", 12, "gateways, 3 to 40; the first three vote")
			f.StringVar(&o.Logs, "logs", "", "folder for the gateways' logs")
			f.Float64Var(&o.Load, "load", 0.35,
				"load inside the quotas, as a fraction of the servers' capacity")
			check := func() error {
				return errors.Join(checkRange("instances", o.Instances, 3, 40),
					checkRange("load", o.Load, 0.01, 2))
			}
			return check, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				o.Seed, o.For = seed, length
				return audittest.Run(ctx, o, b.progress)
			}
		},
	)
}

func (b *builder) owner() *cobra.Command {
	return b.newCommand(
		"owner",
		"one owner at a time for the fleet's work, while links and processes fail",
		time.Minute,
		func(c *cobra.Command) (func() error, runFunc) {
			o, f := electiontest.Options{}, c.Flags()
			f.IntVar(&o.Instances, "instances", 7,
				"gateways, 3 to 40; the first three vote, or the first five of seven or more")
			f.IntVar(&o.Clients, "clients", 0,
				"sessions of further processes, 0 to 1000, that query and watch")
			f.StringVar(&o.Logs, "logs", "", "folder for the gateways' logs")
			f.IntVar(&o.Shards, "shards", 2, "shards that the export is divided into, 1 to 16")
			f.Float64Var(&o.Load, "load", 0.35,
				"load inside the quotas, as a fraction of the servers' capacity")
			check := func() error {
				return errors.Join(checkRange(
					"instances", o.Instances, 3, 40,
				), checkRange("shards", o.Shards, 1, 16), checkRange("clients", o.Clients, 0, 1000),
					checkRange("load", o.Load, 0.01, 2))
			}
			return check, func(ctx context.Context, seed uint64,
				length time.Duration) (*harness.Summary, error) {
				o.Seed, o.For = seed, length
				return electiontest.Run(ctx, o, b.progress)
			}
		},
	)
}
