//go:build !nofleet

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"mothcleat/internal/config"
	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/replica"
	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/controlplane/usageexporter"
)

// fleetCommands look after the fleet's agreed state: by the admin interface of a gateway that runs,
// or, for found and join, on the folder of one that does not.
func fleetCommands(operatorsFile *string, out io.Writer) *cobra.Command {
	c := wanted(&cobra.Command{
		Use:   "fleet",
		Short: "what the gateways agree on, and who does work on behalf of them all",
	})
	var address string
	var plain bool
	c.PersistentFlags().StringVar(&address, "door", "",
		"HOST:PORT of a gateway's door; where it is not given: management of RELAY_CONFIG")
	c.PersistentFlags().BoolVar(&plain, "json", false, "print the answer as it is")
	// asking is a command that asks a gateway and shows the answer.
	asking := func(use, short string, n int, show func(raw []byte, w io.Writer) error) *cobra.Command {
		word, _, _ := strings.Cut(use, " ")
		return &cobra.Command{Use: use, Short: short, Args: exactly(n), RunE: func(_ *cobra.Command, args []string) error {
			raw, err := callAdmin(address,
				strings.Join(append([]string{"fleet", word}, args...), " "))
			if err != nil {
				return err
			}
			if plain || show == nil {
				_, err = fmt.Fprintf(out, "%s\n", raw)
				return err
			}
			w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
			if err := show(raw, w); err != nil {
				return err
			}
			return w.Flush()
		}}
	}
	votersCommand := wanted(&cobra.Command{Use: "voters", Short: "one voter more or less"})
	votersCommand.AddCommand(
		asking("add",
			"make the gateway at the door a voter; its folder was made with join", 0, nil),
		asking("remove NAME", "have a voter vote no more", 1, nil))
	verify := asking("exports",
		"the files of use that count, and how far each gateway's was collected", 0, showExports)
	var dir string
	verify.Flags().StringVar(&dir, "verify", "",
		"hold the files of this folder against what was agreed")
	show := verify.RunE
	verify.RunE = func(c *cobra.Command, args []string) error {
		if dir == "" {
			return show(c, args)
		}
		raw, err := callAdmin(address, "fleet exports")
		if err != nil {
			return err
		}
		return verifyExports(raw, dir, out)
	}
	budgets := asking("budgets [CUSTOMER]",
		"quotas as they are divided: all that are, or one customer's", 0, showBudgets)
	budgets.Args = func(_ *cobra.Command, args []string) error {
		if len(args) > 1 {
			return misuse{errors.New("one customer at most is wanted")}
		}
		return nil
	}
	c.AddCommand(versionCommands(
		asking("versions", "what the fleet acts on, stage by stage, and who is behind", 0,
			showVersions),
		&address,
		&plain,
		out,
	)...)
	c.AddCommand(budgets,
		asking("rights",
			"what the gateway at the door may use of the quotas, and what it divides", 0, nil),
		asking(
			"distribution",
			"how far the gateway at the door has the list of servers, and those that it serves",
			0,
			showDistribution,
		),
		asking("here", "what the gateway at the door knows of itself", 0, nil),
		asking("status", "voters, and processes with a session", 0, showStatus),
		asking("owners", "the duties and who holds them", 0, showOwners),
		asking("history DUTY", "how a duty changed hands", 1, showHistory),
		asking("transfer DUTY ID", "have a duty handed on to another gateway", 2, nil),
		asking("snapshot", "have the voter at the door write its state down whole", 0, nil),
		verify, votersCommand,
		&cobra.Command{Use: "found NAME", Short: "make the folder of a new fleet's voter, once for each", Args: exactly(1),
			Long: `found makes this gateway's folder that of a voter of a fleet that begins. All voters that the
operators' file names have to be given the same list. A voter whose folder was lost must not be founded again: see join.`,
			RunE: func(_ *cobra.Command, args []string) error {
				return begin(*operatorsFile, args[0], true, out)
			}},
		&cobra.Command{Use: "join NAME", Short: "make the folder of a voter that is to be added to a fleet", Args: exactly(1),
			RunE: func(_ *cobra.Command, args []string) error {
				return begin(*operatorsFile, args[0], false, out)
			}})
	return c
}

// begin makes a voter's folder.
func begin(file, name string, found bool, out io.Writer) error {
	if file == "" {
		return misuse{errors.New("--operators FILE is wanted")}
	}
	s, err := config.Load(file)
	if err != nil {
		return err
	}
	f := &s.Fleet
	if !f.Enabled {
		return fmt.Errorf("%s: fleet.on is false", file)
	}
	dir := controlplane.LogDir(f.Dir)
	if err := os.MkdirAll(filepath.Dir(dir), 0o700); err != nil {
		return err
	}
	if !found {
		if err := replica.Join(dir, f.Name, name); err != nil {
			return err
		}
		fmt.Fprintf(out,
			"%s: made; start the gateway, and add it with mothcleat fleet voters add\n", f.Dir)
		return nil
	}
	named := false
	for _, v := range f.Voters {
		named = named || v.Name == name
	}
	if !named {
		return fmt.Errorf("%s: fleet.voters does not name %q", file, name)
	}
	if err := replica.Bootstrap(dir, f.Name, name, voters(f)); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: made, of voter %s of %s\n", f.Dir, name, f.Name)
	return nil
}

const adminTimeout = 3 * time.Second

// callAdmin asks a gateway's admin interface.
func callAdmin(address, line string) ([]byte, error) {
	if address == "" {
		cfg, err := configuration()
		if err != nil {
			return nil, fmt.Errorf("no --door, and %w", err)
		}
		if address = cfg.Management; address == "" {
			return nil, errors.New("no --door, and the configuration has no management")
		}
	}
	conn, err := net.DialTimeout("tcp", address, adminTimeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(adminTimeout))
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(conn)
	if err != nil {
		return nil, err
	}
	text := strings.TrimSpace(string(raw))
	if why, failed := strings.CutPrefix(text, "fail "); failed {
		return nil, errors.New(why)
	}
	return []byte(text), nil
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.1fs", d.Seconds()) }

func showStatus(raw []byte, w io.Writer) error {
	var l consensus.Membership
	if err := json.Unmarshal(raw, &l); err != nil {
		return err
	}
	fmt.Fprintf(
		w,
		"fleet %s\tterm %d\tleader %s\tentry %d\tlog from %d\n\nVOTER\tADDRESS\tFOLDER\n",
		l.Fleet,
		l.Term,
		l.Leader,
		l.AppliedIndex,
		l.FirstIndex,
	)
	for _, v := range l.Voters {
		fmt.Fprintf(w, "%s\t%s\t%s\n", v.Name, v.Address, v.Number)
	}
	fmt.Fprint(w, "\nPROCESS\tBOOT\tADDRESS\tSAID SOMETHING\n")
	for _, m := range l.Members {
		fmt.Fprintf(w, "%s\t%x\t%s\t%s ago\n", m.ID, m.Incarnation, m.Address,
			seconds(l.At-m.LastSeen))
	}
	return nil
}

func showOwners(raw []byte, w io.Writer) error {
	var v lease.View
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	fmt.Fprint(w, "DUTY\tTERM\tOWNER\tHELD FOR\tFREE IN\tCAUSE\n")
	for _, h := range v.Leases {
		owner, free := h.Holder.ID, seconds(max(0, h.ExpiresAt-v.At))
		if owner == "" {
			owner, free = "nobody", "-"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\n", h.Role, h.Term, owner, seconds(v.At-h.GrantedAt),
			free, h.Cause)
	}
	return nil
}

func showBudgets(raw []byte, w io.Writer) error {
	var all []allocation.View
	if err := json.Unmarshal(raw, &all); err != nil {
		return err
	}
	fmt.Fprint(w, "CUSTOMER\tWHOLE\tBY\tPART\tFLOOR\tSTATE\n")
	for _, v := range all {
		rest := v.Limit
		for _, h := range v.Allocations {
			state := ""
			if h.Ended {
				state = "gone: it runs out"
			}
			fmt.Fprintf(w, "%016x\t%s\t%s\t%s\t%s\t%s\n", v.Budget, share(v.Limit), h.Member.ID,
				share(h.Total), share(h.ReservedMin), state)
			rest.Rate, rest.Burst = rest.Rate-h.Total.Rate, rest.Burst-h.Total.Burst
		}
		fmt.Fprintf(w, "%016x\t%s\treserve\t%s\t\t%.1f kept for a next owner\n", v.Budget,
			share(v.Limit), share(rest), v.Carryover)
	}
	return nil
}

// share is a part as rate and burst.
func share(s allocation.Share) string { return fmt.Sprintf("%.2f/s, %.1f", s.Rate, s.Burst) }

func showHistory(raw []byte, w io.Writer) error {
	var all []lease.Lease
	if err := json.Unmarshal(raw, &all); err != nil {
		return err
	}
	fmt.Fprint(w, "TERM\tOWNER\tBOOT\tFROM (FLEET'S TIME)\tCAUSE\n")
	for _, h := range all {
		fmt.Fprintf(w, "%d\t%s\t%x\t%s\t%s\n", h.Term, h.Holder.ID, h.Holder.Incarnation,
			seconds(h.GrantedAt), h.Cause)
	}
	return nil
}

func showExports(raw []byte, w io.Writer) error {
	var v usageexport.View
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	fmt.Fprintf(w, "%d files\t%g units\tchain %.16s\n\nFILE\tDUTY\tTERM\tOWNER\tROWS\tUNITS\n",
		v.Count, v.Units, v.Chain)
	for _, f := range v.Files[max(0, len(v.Files)-20):] {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%g\n", f.Name, f.Role, f.Term, f.Owner, f.Rows, f.Units)
	}
	fmt.Fprint(w, "\nGATEWAY\tBOOT\tCOLLECTED TO PERIOD\tSTATE\n")
	for _, m := range v.Progress {
		state := "counts, or was not heard of since"
		if m.Last {
			state = "ended, all collected"
		} else if m.Gap != "" {
			state = "gap: " + m.Gap
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", m.ID, m.Incarnation, m.Period, state)
	}
	return nil
}

func verifyExports(raw []byte, dir string, out io.Writer) error {
	var v usageexport.View
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	units, loose, err := usageexporter.Verify(dir, &v)
	if err != nil {
		return err
	}
	sum := 0.0
	for _, n := range units {
		sum += n
	}
	fmt.Fprintf(out, "good: %d files as agreed, %g units of %d customers\n", len(v.Files),
		sum, len(units))
	for _, name := range loose {
		fmt.Fprintf(out, "does not count: %s\n", name)
	}
	return nil
}
