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
	dirs           []string // fleet folders of gateways that are not running
	adminAddresses []string // of running gateways
	committedFile  string   // output of versions --json; empty: query the gateway at --door
	filter         auditFilter
	verifyOnly     bool
}

// auditCommand returns the command that reports from audit logs which gateway acted on which
// version.
func (cli *fleetCLI) auditCommand() *cobra.Command {
	var options auditOptions
	var from, to string
	command := &cobra.Command{
		Use: "audit [FOLDER...]",
		Short: "report which gateway acted on which version and when, " +
			"from the records of running gateways or of folders",
		Long: "audit joins the records of several gateways: of running gateways by --doors, " +
			"and of stopped gateways by their fleet folders.\n" +
			"The agreed state (versions, and the head of each record) comes from the gateway " +
			"at --door, or from a file with the output of versions --json.",
		RunE: func(_ *cobra.Command, dirs []string) error {
			options.dirs = dirs
			if err := options.filter.setTimes(from, to); err != nil {
				return err
			}
			return cli.audit(&options)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&options.adminAddresses, "doors", nil,
		"HOST:PORT of the doors of running gateways")
	flags.StringVar(&options.committedFile, "agreed", "",
		"file with the output of versions --json, instead of --door")
	flags.StringVar(&options.filter.item, "item", "", "report only this item")
	flags.StringVar(&options.filter.gateway, "gateway", "", "report only this gateway")
	flags.StringVar(&from, "from", "", "report only what ends at or after this time (RFC 3339)")
	flags.StringVar(&to, "to", "", "report only what begins at or before this time (RFC 3339)")
	flags.BoolVar(&options.verifyOnly, "verify", false, "only verify the records")
	return command
}

// audit joins the audit logs that the options name and prints the report. It returns an error if a
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
		return usageError{errors.New("at least one folder or --doors is required")}
	}
	report := newAuditReport(committed, entries, &options.filter)
	if err := cli.printReport(report, options.verifyOnly); err != nil {
		return err
	}
	if len(report.Damage) > 0 {
		return fmt.Errorf("the records failed verification in %d places", len(report.Damage))
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

// printVerification prints the violations and the number of valid entries.
func (r *auditReport) printVerification(out io.Writer) error {
	for _, violation := range r.Damage {
		fmt.Fprintf(out, "does not hold: %s\n", violation)
	}
	_, err := fmt.Fprintf(out, "%d entries hold\n", r.Entries)
	return err
}
