//go:build !nofleet

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/controlplane/auditrecorder"
	"mothcleat/internal/controlplane/configversion"
)

// auditOptions are the flags and arguments of the audit command.
type auditOptions struct {
	dirs           []string // fleet folders of gateways that do not run
	adminAddresses []string // of gateways that run
	committedFile  string   // what versions --json wrote; "": the gateway at --door is asked
	filter         auditFilter
	verifyOnly     bool
}

// auditCommand returns the command that tells from audit logs who acted on what.
func (cli *fleetCLI) auditCommand() *cobra.Command {
	var options auditOptions
	var from, to string
	command := &cobra.Command{
		Use: "audit [FOLDER...]",
		Short: "who acted on which version from when to when, from records: " +
			"of gateways that run, by their doors, or of folders",
		Long: "audit joins the records of several gateways: those at the doors, which run, " +
			"and those whose fleet folders are given, which don't.\n" +
			"What is agreed (versions, and where each record stood) comes from the gateway " +
			"at --door, or from a file that versions --json wrote.",
		RunE: func(_ *cobra.Command, dirs []string) error {
			options.dirs = dirs
			if err := options.filter.setTimes(from, to); err != nil {
				return err
			}
			return cli.audit(&options)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&options.adminAddresses, "doors", nil, "doors of gateways that run")
	flags.StringVar(&options.committedFile, "agreed", "",
		"a file that versions --json wrote, in place of a gateway's door")
	flags.StringVar(&options.filter.item, "item", "", "only this item")
	flags.StringVar(&options.filter.gateway, "gateway", "", "only this gateway")
	flags.StringVar(&from, "from", "", "only what reaches beyond this time (RFC 3339)")
	flags.StringVar(&to, "to", "", "only what began before this time")
	flags.BoolVar(&options.verifyOnly, "verify", false, "only tell whether the records hold")
	return command
}

// audit joins the audit logs that the options name, and prints the report. It returns an error if a
// log fails verification.
func (cli *fleetCLI) audit(options *auditOptions) error {
	committed, err := cli.loadCommittedVersions(options.committedFile)
	if err != nil {
		return err
	}
	entries, err := options.loadEntries()
	if err != nil {
		return err
	}
	if len(options.dirs)+len(options.adminAddresses) == 0 {
		return usageError{errors.New("folders, or --doors, are wanted")}
	}
	report := newAuditReport(committed, entries, &options.filter)
	if err := cli.printReport(report, options.verifyOnly); err != nil {
		return err
	}
	if len(report.Damage) > 0 {
		return fmt.Errorf("%d places do not hold", len(report.Damage))
	}
	return nil
}

// loadCommittedVersions reads the committed versions and chain heads from a file, or from a gateway
// if file is empty.
func (cli *fleetCLI) loadCommittedVersions(file string) (view configversion.View, err error) {
	var raw []byte
	if file != "" {
		raw, err = os.ReadFile(file)
	} else {
		raw, err = callAdmin(cli.adminAddress, "fleet versions")
	}
	if err != nil {
		return view, err
	}
	return view, json.Unmarshal(raw, &view)
}

// loadEntries reads the entries of all audit logs.
func (o *auditOptions) loadEntries() (entries []auditlog.Entry, err error) {
	for _, dir := range o.dirs {
		read, err := auditrecorder.Read(controlplane.RecordDir(dir))
		if err != nil {
			return nil, err
		}
		entries = append(entries, read...)
	}
	for _, address := range o.adminAddresses {
		raw, err := callAdmin(address, "fleet versions record 0")
		if err != nil {
			return nil, fmt.Errorf("%s: %w", address, err)
		}
		var received []auditlog.Entry
		if err := json.Unmarshal(raw, &received); err != nil {
			return nil, fmt.Errorf("%s: %w", address, err)
		}
		entries = append(entries, received...)
	}
	return entries, nil
}

func (cli *fleetCLI) printReport(report *auditReport, verifyOnly bool) error {
	if cli.json {
		raw, err := json.Marshal(report)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(cli.out, "%s\n", raw)
		return err
	}
	if verifyOnly {
		return report.printVerification(cli.out)
	}
	return report.printTable(cli.out)
}

// printVerification prints what does not hold, and how many entries do.
func (r *auditReport) printVerification(out io.Writer) error {
	for _, violation := range r.Damage {
		fmt.Fprintf(out, "does not hold: %s\n", violation)
	}
	_, err := fmt.Fprintf(out, "%d entries hold\n", r.Entries)
	return err
}
