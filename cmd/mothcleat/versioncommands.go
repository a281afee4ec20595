//go:build !nofleet

package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/configversion"
)

// versionCommands returns the commands about configuration versions, their rollout and their audit.
func (cli *fleetCLI) versionCommands() []*cobra.Command {
	return []*cobra.Command{
		cli.query(
			"versions",
			"show the versions with their stages, and the gateways that are behind",
			0,
			showVersions,
		),
		cli.proposeCommand(),
		cli.versionCommand("go-on ITEM NUMBER STAGE",
			"advance a rollout to a stage, even if it is held", exactArgs(3)),
		cli.versionCommand("hold ITEM NUMBER WHY...",
			"hold a rollout at its stage", cobra.MinimumNArgs(2)),
		cli.versionCommand(
			"withdraw ITEM NUMBER WHY...",
			"withdraw a version: the previous content returns under a new number",
			cobra.MinimumNArgs(2),
		),
		cli.versionCommand("shut ID WHY...",
			"fence a gateway until it is let in again", cobra.MinimumNArgs(1)),
		cli.versionCommand(
			"let ID",
			"readmit a gateway that was fenced with shut",
			exactArgs(1),
		),
		cli.auditCommand(),
	}
}

// versionCommand returns a command that makes the versions call named by the first word of use,
// with the command's arguments.
func (cli *fleetCLI) versionCommand(use, short string, args cobra.PositionalArgs) *cobra.Command {
	call, _, _ := strings.Cut(use, " ")
	return &cobra.Command{
		Use: use, Short: short, Args: args,
		RunE: func(_ *cobra.Command, args []string) error {
			return cli.callVersions(append([]string{call}, args...)...)
		},
	}
}

func (cli *fleetCLI) proposeCommand() *cobra.Command {
	var stage string
	var lead time.Duration
	command := &cobra.Command{
		Use:   "propose ITEM FILE",
		Short: "roll out a file that the gateway at the door can read",
		Args:  exactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			path, err := filepath.Abs(args[1])
			if err != nil {
				return err
			}
			return cli.callVersions("propose", args[0], stage, lead.String(), path)
		},
	}
	command.Flags().StringVar(&stage, "stage", string(configversion.StageOne),
		"gateways that apply it first: one, tenth or all")
	command.Flags().DurationVar(&lead, "in", 0,
		"delay from the agreement on the version until it applies")
	return command
}

// callUntilDone repeats a call while the answer is that its proposal is in progress. The gateway
// ends each proposal after a bounded time.
func (cli *fleetCLI) callUntilDone(line string) ([]byte, error) {
	for {
		answer, err := callAdmin(cli.adminAddress, line)
		inProgress := controlplane.ErrProposalInProgress.Error()
		if err == nil || !strings.Contains(err.Error(), inProgress) {
			return answer, err
		}
	}
}

func (cli *fleetCLI) callVersions(words ...string) error {
	answer, err := cli.callUntilDone("fleet versions " + strings.Join(words, " "))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cli.out, "%s\n", answer)
	return err
}
