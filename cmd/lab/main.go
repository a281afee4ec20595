// Command lab runs the project's test rigs. Some run the real gateway against stand-ins for
// clients and servers, on loopback only; others run its decision code in virtual time. An auditor
// that never queries the gateway judges both.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"mothcleat/internal/testing/harness"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	code, err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
	}
	os.Exit(code)
}

// builder creates the commands. They share its output streams and its exit code.
type builder struct {
	out, progress io.Writer
	code          int
}

// run runs one command and returns the exit code: 0 if every rule and promise was kept,
// 1 if not, 2 for a usage error.
func run(ctx context.Context, args []string, out, progress io.Writer) (int, error) {
	b := &builder{out: out, progress: progress}
	root := &cobra.Command{
		Use:   "lab",
		Short: "Runs gateways against stand-ins and checks the rules",
		Long: `lab runs gateways against stand-ins, and checks the five rules.

Progress goes to standard error; the last line on standard output is one JSON
object. Exit code 0: no rule broken and every promise kept; 1: a rule or promise
was broken; 2: usage error.`,
		SilenceUsage: true, SilenceErrors: true, SuggestionsMinimumDistance: 2,
		RunE: func(c *cobra.Command, args []string) error {
			return errors.New("a command is required; --help lists them")
		},
		Args: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				return nil
			}
			text := fmt.Sprintf("%q is not a command", args[0])
			for i, s := range c.SuggestionsFor(args[0]) {
				text += map[bool]string{true: "; did you mean ", false: ", "}[i == 0] + s
			}
			return errors.New(text + "; --help lists them")
		},
	}
	root.SetOut(out)
	root.SetErr(progress)
	root.SetArgs(args)
	root.AddCommand(
		b.try(),
		b.clients(),
		b.fleet(),
		b.upgrade(),
		b.soak(),
		b.quota(),
		b.auth(),
		b.consul(),
		b.owner(),
		b.budgets(),
		b.audit(),
		b.sim(),
		b.search(),
		b.ownersearch(),
		b.budgetsearch(),
		b.budgetplay(),
		b.auditsearch(),
		b.distributionsearch(),
		b.experiment(),
		b.plot(),
		b.calibrate(),
		b.store(),
		b.storeWriter(),
		b.scale(),
		b.scaleHollow(),
	)
	err := root.ExecuteContext(ctx)
	if err != nil {
		return 2, err
	}
	return b.code, nil
}

// newCommand returns a command that runs a rig and prints its summary. configure adds the
// command's own flags, and returns the function that checks them and the one that runs the rig.
func (b *builder) newCommand(
	name, short string,
	defaultLength time.Duration,
	configure func(c *cobra.Command) (check func() error, run runFunc),
) *cobra.Command {
	c := &cobra.Command{Use: name, Short: short, Args: noArgs}
	seed := c.Flags().Uint64("seed", 1,
		"seed of the random draws: the setup and the events of the run")
	length := c.Flags().Duration("for", defaultLength, "how long clients send requests, 1s to 24h")
	check, run := configure(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *length < time.Second || *length > 24*time.Hour {
			return fmt.Errorf("--for %v: must be between 1s and 24h", *length)
		}
		if err := check(); err != nil {
			return err
		}
		f, err := run(c.Context(), *seed, *length)
		if f == nil {
			f = harness.FailedRun(name, *seed, err)
		} else if err != nil {
			f.AddFailure(err.Error())
		}
		fmt.Fprintln(b.out, f.Line())
		if !f.OK {
			b.code = 1
		}
		return nil
	}
	return c
}

// noArgs returns an error if a command was given positional arguments.
func noArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected argument %q", args[0])
	}
	return nil
}

// noCheck is the check of commands without flags of their own.
func noCheck() error { return nil }

// checkRange returns an error if x, the value of the flag, is outside minimum to maximum.
func checkRange[T int | float64](flag string, x, minimum, maximum T) error {
	if !(x >= minimum && x <= maximum) {
		return fmt.Errorf("--%s %v: must be between %v and %v", flag, x, minimum, maximum)
	}
	return nil
}
