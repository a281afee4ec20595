// Command mothcleat is a gateway that enforces the plan of each customer of a shared backend. It
// reads its configuration from the file that the environment variable RELAY_CONFIG names.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
)

const longHelp = "usage: mothcleat [--operators FILE] runs a gateway; " +
	"the commands below inspect and administer one.\n" + `
The configuration is the JSON file that RELAY_CONFIG names. The operators' file holds the
settings of optional parts; without the file all of them are off.
SIGTERM stops the gateway gracefully, and SIGHUP reloads both files. SIGUSR2 starts a new
process that takes over, if the operators' file enables it.

Exit code 1: the command failed; one line states the reason. 2: wrong usage.`

func main() {
	os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr))
}

// usageError is an error in the command line. The exit code for it is 2.
type usageError struct{ error }

// execute runs the program with the arguments args and returns its exit code: 1 if it failed, 2 if
// the command line is wrong.
func execute(args []string, out, errs io.Writer) int {
	var operators string
	var showVersion bool
	ran := false // a command has started: only a usageError is wrong usage from then on
	root := &cobra.Command{
		Use: "mothcleat", Long: longHelp, SilenceUsage: true, SilenceErrors: true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%q is no command; --help lists the commands", args[0])
			}
			return nil
		},
		RunE: func(*cobra.Command, []string) error {
			if showVersion {
				_, err := fmt.Fprintln(out, version())
				return err
			}
			return run(operators)
		},
	}
	// cobra's own --version flag would link text/template, which adds 2 MB to the program.
	root.Flags().BoolVar(&showVersion, "version", false, "print the version")
	root.PersistentFlags().StringVar(&operators, "operators", "", "the operators' file")
	root.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "check both files and what they refer to, without serving",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return check(operators, out) },
	}, storeCommands(out))
	if c := fleetCommands(&operators, out); c != nil {
		root.AddCommand(c)
	}
	root.PersistentPreRun = func(*cobra.Command, []string) { ran = true }
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(errs, "mothcleat:", err)
	var usage usageError
	if !ran || errors.As(err, &usage) {
		return 2
	}
	return 1
}

// requireSubcommand makes a group of commands return a usage error if it is called without a valid
// subcommand.
func requireSubcommand(c *cobra.Command) *cobra.Command {
	c.RunE = func(c *cobra.Command, args []string) error {
		if len(args) > 0 {
			return usageError{
				fmt.Errorf("%q is no command; usage: %s --help", args[0], c.CommandPath()),
			}
		}
		return usageError{fmt.Errorf("a command is missing; usage: %s --help", c.CommandPath())}
	}
	c.Args = cobra.ArbitraryArgs
	return c
}

// exactArgs is cobra.ExactArgs with an error that states the command's usage.
func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return fmt.Errorf("usage: %s", c.UseLine())
		}
		return nil
	}
}

// version returns the module version, the revision and the Go version of the build.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "mothcleat (unknown build)"
	}
	text := "mothcleat " + info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
			text += " " + s.Key[len("vcs."):] + " " + s.Value
		}
	}
	return text + " " + info.GoVersion
}
