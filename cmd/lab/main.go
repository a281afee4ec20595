// Command lab runs the project's rig: the real gateway between stand-ins, on
// loopback only, judged by an auditor that never asks the gateway.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"mothcleat/internal/lab"
	"mothcleat/internal/trial"
	"mothcleat/sim"
)

const usage = `usage: lab NAME [--seed N] [--for D] ...

  try      three gateways with stand-ins and a minute of traffic
           --serve keeps them running
  fleet    many instances, killed, stopped, replaced and reloaded at random
           --instances N, --load X; --state on|off|both: whether they keep their
           state, or two fleets side by side; --in-place: hand-overs and reloads
           only; --whole: one restart of all, beside a fleet that has none
  quota    the same requests to fleets of 1, 3, 8 and 24 gateways, nothing disturbed: how
           much of its quota a customer gets from each, and what the rest was lost to
           --load X; --spread N: every customer comes through so many gateways
  sim      a fleet in virtual time: the real decisions, all else modelled
           --gateways N, --servers N, --load X, --spread N; --loss X, --late D, --twice X:
           of the notes between gateways; --shift D: how often a customer's busiest gateway
           changes; --kills D, --restarts D: a gateway killed, a server restarted each D
  auth     three gateways that ask a forward authenticator which stalls, flaps, errs
           and crashes, beside three that ask nobody
  consul   gateways that follow Consul, whose agents lag, fall silent and contradict
           themselves, beside gateways at the platform's register; --silent: Consul
           says nothing any more, beside gateways whose Consul goes on

Progress goes to standard error; the last line on standard output is one JSON
object. Exit code 0: no rule broken and every promise kept; 1: not so; 2: misuse.`

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	code, err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
	}
	os.Exit(code)
}

func loadCheck(load float64) error {
	if !(load > 0 && load <= 2) {
		return fmt.Errorf("--load %g: above 0, 2 at most wanted", load)
	}
	return nil
}

func spreadCheck(spread int) error {
	if spread < 0 {
		return fmt.Errorf("--spread %d: 0 or more wanted", spread)
	}
	return nil
}

// run runs one command and gives the exit code.
func run(ctx context.Context, args []string, out, progress io.Writer) (int, error) {
	if len(args) == 0 {
		return 2, errors.New("a command is wanted: try, fleet, quota, sim, auth or consul; --help tells more")
	}
	if args[0] == "--help" || args[0] == "-h" || args[0] == "help" {
		fmt.Fprintln(out, usage)
		return 0, nil
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	seed := flags.Uint64("seed", 1, "")
	length := flags.Duration("for", time.Minute, "")
	var play func() (*trial.Figures, error)
	check := func() error { return nil }
	switch args[0] {
	case "try":
		serve := flags.Bool("serve", false, "")
		play = func() (*trial.Figures, error) { return lab.RunTry(ctx, *seed, *length, *serve, out, progress) }
	case "quota":
		o := lab.QuotaOptions{}
		flags.Float64Var(&o.Load, "load", 0.55, "")
		flags.IntVar(&o.Spread, "spread", 0, "")
		check = func() error { return errors.Join(loadCheck(o.Load), spreadCheck(o.Spread)) }
		play = func() (*trial.Figures, error) {
			o.Seed, o.For = *seed, *length
			return lab.RunQuota(ctx, o, progress, progress)
		}
	case "sim":
		o := sim.Options{}
		flags.IntVar(&o.Gateways, "gateways", 40, "")
		flags.IntVar(&o.Servers, "servers", 12, "")
		flags.Float64Var(&o.Load, "load", 0.55, "")
		flags.IntVar(&o.Spread, "spread", 0, "")
		flags.Float64Var(&o.NoteLoss, "loss", -1, "")
		flags.DurationVar(&o.NoteLate, "late", 0, "")
		flags.Float64Var(&o.NoteTwice, "twice", 0, "")
		flags.DurationVar(&o.Shift, "shift", 0, "")
		flags.DurationVar(&o.Kills, "kills", 0, "")
		flags.DurationVar(&o.Restarts, "restarts", 0, "")
		check = func() error {
			switch {
			case o.Gateways < 1 || o.Gateways > 5000:
				return fmt.Errorf("--gateways %d: 1 to 5000 wanted", o.Gateways)
			case o.Servers < 1 || o.Servers > 20000:
				return fmt.Errorf("--servers %d: 1 to 20000 wanted", o.Servers)
			case o.NoteLoss > 1 || o.NoteTwice < 0 || o.NoteTwice > 1:
				return fmt.Errorf("--loss %g, --twice %g: parts of one wanted", o.NoteLoss, o.NoteTwice)
			case min(o.NoteLate, o.Shift, o.Kills, o.Restarts) < 0:
				return errors.New("a length of time below 0")
			}
			return errors.Join(loadCheck(o.Load), spreadCheck(o.Spread))
		}
		play = func() (*trial.Figures, error) {
			o.Seed, o.For = *seed, *length
			return sim.RunFigures(o)
		}
	case "auth":
		play = func() (*trial.Figures, error) { return lab.RunAuth(ctx, *seed, *length, progress) }
	case "consul":
		o := lab.ConsulOptions{}
		flags.BoolVar(&o.Silent, "silent", false, "")
		play = func() (*trial.Figures, error) {
			o.Seed, o.For = *seed, *length
			return lab.RunConsul(ctx, o, progress)
		}
	case "fleet":
		o := lab.FleetOptions{}
		flags.IntVar(&o.Instances, "instances", 8, "")
		flags.StringVar(&o.State, "state", "on", "")
		flags.BoolVar(&o.InPlace, "in-place", false, "")
		flags.BoolVar(&o.Whole, "whole", false, "")
		flags.Float64Var(&o.Load, "load", 0.55, "")
		check = func() error {
			switch {
			case o.Instances < 1 || o.Instances > 200:
				return fmt.Errorf("--instances %d: 1 to 200 wanted", o.Instances)
			case o.State != "on" && o.State != "off" && o.State != "both":
				return fmt.Errorf("--state %s: on, off or both wanted", o.State)
			case loadCheck(o.Load) != nil:
				return loadCheck(o.Load)
			case o.InPlace && o.Whole:
				return errors.New("--in-place and --whole exclude each other")
			}
			return nil
		}
		play = func() (*trial.Figures, error) {
			o.Seed, o.For = *seed, *length
			return lab.RunFleet(ctx, o, progress)
		}
	default:
		return 2, fmt.Errorf("%q is no command: try, fleet, quota, sim, auth or consul; --help tells more", args[0])
	}
	if err := flags.Parse(args[1:]); err != nil {
		return 2, err
	}
	switch {
	case flags.NArg() > 0:
		return 2, fmt.Errorf("%q is too much", flags.Arg(0))
	case *length < time.Second || *length > 24*time.Hour:
		return 2, fmt.Errorf("--for %v: from 1s to 24h wanted", *length)
	}
	if err := check(); err != nil {
		return 2, err
	}
	f, err := play()
	if f == nil {
		f = trial.Broke(args[0], *seed, err)
	} else if err != nil {
		f.OK, f.Why = false, append(f.Why, err.Error())
	}
	fmt.Fprintln(out, f.Line())
	if !f.OK {
		return 1, nil
	}
	return 0, nil
}
