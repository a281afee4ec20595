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
)

const usage = `usage: lab NAME [--seed N] [--for D] ...

  try      three gateways with stand-ins and a minute of traffic
           --serve keeps them running
  fleet    many instances, killed, stopped, replaced and reloaded at random
           --instances N, --load X; --state on|off|both: whether they keep their
           state, or two fleets side by side; --in-place: hand-overs and reloads
           only; --whole: one restart of all, beside a fleet that has none
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

// run runs one command and gives the exit code.
func run(ctx context.Context, args []string, out, progress io.Writer) (int, error) {
	if len(args) == 0 {
		return 2, errors.New("a command is wanted: try, fleet, auth or consul; --help tells more")
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
			case !(o.Load > 0 && o.Load <= 2):
				return fmt.Errorf("--load %g: above 0, 2 at most wanted", o.Load)
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
		return 2, fmt.Errorf("%q is no command: try, fleet, auth or consul; --help tells more", args[0])
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
