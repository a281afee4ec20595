// Command mothcleat is a gateway that keeps each customer of a shared back end
// to its plan. It reads its configuration from the file that RELAY_CONFIG names.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
)

const usage = `usage: mothcleat [--operators FILE]        run a gateway
       mothcleat check [--operators FILE]  read the files and say what is wrong with them
       mothcleat store check|dump|repair   look after a store that no gateway has open
       mothcleat --version | --help

The configuration is the JSON file that RELAY_CONFIG names. The operators' file
holds what the platform does not offer; without one all of that is off.
SIGTERM stops the gateway in order, SIGHUP has both files read anew, SIGUSR2 has a new
process take over where the operators' file says so.`

func main() {
	os.Exit(command(os.Args[1:], os.Stdout, os.Stderr))
}

// command runs the program and gives its exit code: 1 where it failed, 2 for misuse.
func command(args []string, out, errs io.Writer) int {
	if len(args) > 0 && args[0] == "store" {
		return storeCommand(args[1:], out, errs)
	}
	what, err := parse(args)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(out, usage)
		return 0
	}
	if err != nil {
		fmt.Fprintln(errs, "mothcleat:", err)
		return 2
	}
	switch {
	case what.version:
		fmt.Fprintln(out, version())
	case what.check:
		err = check(what.operators, out)
	default:
		err = run(what.operators)
	}
	if err != nil {
		fmt.Fprintln(errs, "mothcleat:", err)
		return 1
	}
	return 0
}

// options are what the command line says.
type options struct {
	operators      string
	check, version bool
}

func parse(args []string) (o options, err error) {
	if len(args) > 0 && args[0] == "check" {
		o.check, args = true, args[1:]
	}
	flags := flag.NewFlagSet("mothcleat", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&o.operators, "operators", "", "")
	flags.BoolVar(&o.version, "version", false, "")
	if err := flags.Parse(args); err != nil {
		return o, err
	}
	if flags.NArg() > 0 {
		return o, fmt.Errorf("%q is no command; --help tells more", flags.Arg(0))
	}
	return o, nil
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
