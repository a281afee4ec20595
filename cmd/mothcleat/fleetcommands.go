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

// fleetCLI holds the options that the commands about the control plane share.
type fleetCLI struct {
	operatorsFile *string
	out           io.Writer
	adminAddress  string // empty for that of this machine's configuration
	json          bool   // print answers unchanged
}

// showFunc prints an answer as a table.
type showFunc func(answer []byte, w io.Writer) error

// fleetCommands returns the commands about the control plane. Most of them call the admin interface
// of a running gateway; found and join create the folder of a gateway that is not running.
func fleetCommands(operatorsFile *string, out io.Writer) *cobra.Command {
	cli := &fleetCLI{operatorsFile: operatorsFile, out: out}
	fleet := requireSubcommand(&cobra.Command{
		Use:   "fleet",
		Short: "inspect and administer the state that the gateways agree on",
	})
	flags := fleet.PersistentFlags()
	flags.StringVar(&cli.adminAddress, "door", "",
		"HOST:PORT of a gateway's admin interface (default: management in RELAY_CONFIG's file)")
	flags.BoolVar(&cli.json, "json", false, "print the answer as JSON, unchanged")

	fleet.AddCommand(cli.versionCommands()...)
	fleet.AddCommand(
		cli.budgetsCommand(),
		cli.query("rights",
			"show the allocations that the gateway at the door holds, and what it divides", 0, nil),
		cli.query(
			"distribution",
			"show how current the list of servers is at the door and at the replicas it serves",
			0,
			showDistribution,
		),
		cli.query("here", "show the control state of the gateway at the door itself", 0, nil),
		cli.query("status", "show the voters, and the processes with a session", 0, showStatus),
		cli.query("owners", "show the duties and their owners", 0, showRoles),
		cli.query("history DUTY", "show the previous and current owners of a duty", 1, showHistory),
		cli.query("transfer DUTY ID", "transfer a duty to another gateway", 2, nil),
		cli.query("snapshot", "make the voter at the door write a complete snapshot", 0, nil),
		cli.exportsCommand(),
		cli.votersCommand(),
		cli.foundCommand(),
		cli.joinCommand(),
	)
	return fleet
}

// query returns a command that makes the admin call named by the first word of use, with the
// command's arguments. It prints the answer with show, or unchanged if show is nil.
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
		"show the allocations of all quotas, or of one customer's quota", 0, showBudgets)
	command.Args = func(_ *cobra.Command, args []string) error {
		if len(args) > 1 {
			return usageError{errors.New("at most one customer may be given")}
		}
		return nil
	}
	return command
}

func (cli *fleetCLI) exportsCommand() *cobra.Command {
	command := cli.query("exports",
		"show the exported usage files, and how far each gateway's usage was collected",
		0, showExports)
	var dir string
	command.Flags().StringVar(&dir, "verify", "",
		"verify the files in this folder against the agreed state")
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
	command := requireSubcommand(&cobra.Command{Use: "voters", Short: "add or remove a voter"})
	command.AddCommand(
		cli.query("add",
			"make the gateway at the door a voter; join must have created its folder", 0, nil),
		cli.query("remove NAME", "remove a voter", 1, nil),
	)
	return command
}

func (cli *fleetCLI) foundCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "found NAME",
		Short: "create the folder of a voter of a new fleet, once for each voter",
		Args:  exactArgs(1),
		Long: "found creates this gateway's folder as that of a voter of a new fleet. " +
			"The operators' files of\nall voters must have the same list of voters. " +
			"A voter whose folder was lost must not be founded again: see join.",
		RunE: func(_ *cobra.Command, args []string) error {
			return bootstrapReplica(*cli.operatorsFile, args[0], cli.out)
		},
	}
}

func (cli *fleetCLI) joinCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "join NAME",
		Short: "create the folder of a voter that is to be added to a fleet",
		Args:  exactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return joinReplica(*cli.operatorsFile, args[0], cli.out)
		},
	}
}
