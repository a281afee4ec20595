// Command mothcleat is a gateway that keeps each customer of a shared back end
// to its plan. It reads its configuration from the file that RELAY_CONFIG names.
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
	"the commands below look after one.\n" + `
The configuration is the JSON file that RELAY_CONFIG names. The operators' file
holds what the platform does not offer; without one all of that is off.
SIGTERM stops the gateway in order, SIGHUP has both files read anew, SIGUSR2 has a new
process take over where the operators' file says so.

Exit code 1: it failed, with one line that says why. 2: misuse.`

func main() {
	os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr))
}

// usageError is an error of the command line itself.
type usageError struct{ error }

// execute runs the program and gives its exit code: 1 where it failed, 2 for misuse.
func execute(args []string, out, errs io.Writer) int {
	var operators string
	var showVersion bool
	ran := false // a command began: what goes wrong from then on is no misuse
	root := &cobra.Command{
		Use: "mothcleat", Long: longHelp, SilenceUsage: true, SilenceErrors: true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%q is no command; --help tells more", args[0])
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
	// cobra's own --version would link text/template, and with it 2 MB.
	root.Flags().BoolVar(&showVersion, "version", false, "print the version")
	root.PersistentFlags().StringVar(&operators, "operators", "", "the operators' file")
	root.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "read the files and try what they name, without serving",
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
	var wrong usageError
	if !ran || errors.As(err, &wrong) {
		return 2
	}
	return 1
}

// requireSubcommand makes a group of commands ask for one of them.
func requireSubcommand(c *cobra.Command) *cobra.Command {
	c.RunE = func(c *cobra.Command, args []string) error {
		if len(args) > 0 {
			return usageError{
				fmt.Errorf("%q is no command; usage: %s --help", args[0], c.CommandPath()),
			}
		}
		return usageError{fmt.Errorf("a command is wanted; usage: %s --help", c.CommandPath())}
	}
	c.Args = cobra.ArbitraryArgs
	return c
}

// exactArgs is cobra.ExactArgs with the command's usage.
func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return fmt.Errorf("usage: %s", c.UseLine())
		}
		return nil
	}
}

// version is what the build knows of itself.
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
