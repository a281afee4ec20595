//go:build !nofleet

package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// fleetCLI is what the commands about the control plane share.
type fleetCLI struct {
	operatorsFile *string
	out           io.Writer
	adminAddress  string // "": that of this machine's configuration
	json          bool   // print answers as they came
}

// showFunc prints an answer as a table.
type showFunc func(answer []byte, w io.Writer) error

// fleetCommands returns the commands about the control plane. Most call the admin interface of a
// gateway that runs; found and join work on the folder of one that does not.
func fleetCommands(operatorsFile *string, out io.Writer) *cobra.Command {
	cli := &fleetCLI{operatorsFile: operatorsFile, out: out}
	fleet := requireSubcommand(&cobra.Command{
		Use:   "fleet",
		Short: "what the gateways agree on, and who does work on behalf of them all",
	})
	flags := fleet.PersistentFlags()
	flags.StringVar(&cli.adminAddress, "door", "",
		"HOST:PORT of a gateway's door; where it is not given: management of RELAY_CONFIG")
	flags.BoolVar(&cli.json, "json", false, "print the answer as it is")

	fleet.AddCommand(cli.versionCommands()...)
	fleet.AddCommand(
		cli.budgetsCommand(),
		cli.query("rights",
			"what the gateway at the door may use of the quotas, and what it divides", 0, nil),
		cli.query(
			"distribution",
			"how far the gateway at the door has the list of servers, and those that it serves",
			0,
			showDistribution,
		),
		cli.query("here", "what the gateway at the door knows of itself", 0, nil),
		cli.query("status", "voters, and processes with a session", 0, showStatus),
		cli.query("owners", "the duties and who holds them", 0, showRoles),
		cli.query("history DUTY", "how a duty changed hands", 1, showHistory),
		cli.query("transfer DUTY ID", "have a duty handed on to another gateway", 2, nil),
		cli.query("snapshot", "have the voter at the door write its state down whole", 0, nil),
		cli.exportsCommand(),
		cli.votersCommand(),
		cli.foundCommand(),
		cli.joinCommand(),
	)
	return fleet
}

// query returns a command that makes the call of the first word of use, with the command's
// arguments, and prints the answer by show, or as it came if show is nil.
func (cli *fleetCLI) query(use, short string, arguments int, show showFunc) *cobra.Command {
	call, _, _ := strings.Cut(use, " ")
	return &cobra.Command{
		Use: use, Short: short, Args: exactArgs(arguments),
		RunE: func(_ *cobra.Command, args []string) error {
			words := append([]string{"fleet", call}, args...)
			answer, err := callAdmin(cli.adminAddress, strings.Join(words, " "))
			if err != nil {
				return err
			}
			return cli.print(answer, show)
		},
	}
}

func (cli *fleetCLI) print(answer []byte, show showFunc) error {
	if cli.json || show == nil {
		_, err := fmt.Fprintf(cli.out, "%s\n", answer)
		return err
	}
	w := tabwriter.NewWriter(cli.out, 0, 4, 2, ' ', 0)
	if err := show(answer, w); err != nil {
		return err
	}
	return w.Flush()
}

func (cli *fleetCLI) budgetsCommand() *cobra.Command {
	command := cli.query("budgets [CUSTOMER]",
		"quotas as they are divided: all that are, or one customer's", 0, showBudgets)
	command.Args = func(_ *cobra.Command, args []string) error {
		if len(args) > 1 {
			return usageError{errors.New("one customer at most is wanted")}
		}
		return nil
	}
	return command
}

func (cli *fleetCLI) exportsCommand() *cobra.Command {
	command := cli.query("exports",
		"the files of use that count, and how far each gateway's was collected", 0, showExports)
	var dir string
	command.Flags().StringVar(&dir, "verify", "",
		"hold the files of this folder against what was agreed")
	list := command.RunE
	command.RunE = func(c *cobra.Command, args []string) error {
		if dir == "" {
			return list(c, args)
		}
		answer, err := callAdmin(cli.adminAddress, "fleet exports")
		if err != nil {
			return err
		}
		return verifyExports(answer, dir, cli.out)
	}
	return command
}

func (cli *fleetCLI) votersCommand() *cobra.Command {
	command := requireSubcommand(&cobra.Command{Use: "voters", Short: "one voter more or less"})
	command.AddCommand(
		cli.query("add",
			"make the gateway at the door a voter; its folder was made with join", 0, nil),
		cli.query("remove NAME", "have a voter vote no more", 1, nil),
	)
	return command
}

func (cli *fleetCLI) foundCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "found NAME",
		Short: "make the folder of a new fleet's voter, once for each",
		Args:  exactArgs(1),
		Long: "found makes this gateway's folder that of a voter of a fleet that begins. " +
			"All voters that the\noperators' file names have to be given the same list. " +
			"A voter whose folder was lost must not be founded again: see join.",
		RunE: func(_ *cobra.Command, args []string) error {
			return bootstrapReplica(*cli.operatorsFile, args[0], cli.out)
		},
	}
}

func (cli *fleetCLI) joinCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "join NAME",
		Short: "make the folder of a voter that is to be added to a fleet",
		Args:  exactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return joinReplica(*cli.operatorsFile, args[0], cli.out)
		},
	}
}
