//go:build !nofleet

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/controlplane/auditrecorder"
	"mothcleat/internal/controlplane/configversion"
)

// versionCommands are about what the fleet acts on; show is the one that tells of it.
func versionCommands(show *cobra.Command, address *string, plain *bool, out io.Writer) []*cobra.Command {
	call := func(words ...string) error {
		raw, err := callAdmin(*address, "fleet versions "+strings.Join(words, " "))
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s\n", raw)
		return err
	}
	var stage string
	var lead time.Duration
	propose := &cobra.Command{Use: "propose ITEM FILE", Short: "have the fleet act on a file that the gateway at the door can read", Args: exactly(2),
		RunE: func(_ *cobra.Command, args []string) error {
			path, err := filepath.Abs(args[1])
			if err != nil {
				return err
			}
			return call("propose", args[0], stage, lead.String(), path)
		}}
	propose.Flags().StringVar(&stage, "stage", string(configversion.StageOne), "who is to act on it first: one, tenth or all")
	propose.Flags().DurationVar(&lead, "in", 0, "it holds so long after it is agreed")
	return []*cobra.Command{show, propose,
		{Use: "go-on ITEM NUMBER STAGE", Short: "have a roll-out go on to a stage, also one that is held", Args: exactly(3),
			RunE: func(_ *cobra.Command, args []string) error { return call(append([]string{"go-on"}, args...)...) }},
		{Use: "hold ITEM NUMBER WHY...", Short: "have a roll-out stay at its stage", Args: cobra.MinimumNArgs(2),
			RunE: func(_ *cobra.Command, args []string) error { return call(append([]string{"hold"}, args...)...) }},
		{Use: "withdraw ITEM NUMBER WHY...", Short: "take a version back: what was there before comes back under a new number", Args: cobra.MinimumNArgs(2),
			RunE: func(_ *cobra.Command, args []string) error { return call(append([]string{"withdraw"}, args...)...) }},
		{Use: "shut ID WHY...", Short: "shut a gateway out by hand", Args: cobra.MinimumNArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return call(append([]string{"shut"}, args...)...) }},
		{Use: "let ID", Short: "let a gateway in again that was shut out by hand", Args: exactly(1),
			RunE: func(_ *cobra.Command, args []string) error { return call("let", args[0]) }},
		auditCommand(address, plain, out)}
}

// auditCommand tells who acted on what, from records.
func auditCommand(address *string, plain *bool, out io.Writer) *cobra.Command {
	var doors []string
	var agreed, item, gateway, from, to string
	var verify bool
	c := &cobra.Command{Use: "audit [FOLDER...]", Short: "who acted on which version from when to when, from records: of gateways that run, by their doors, or of folders",
		Long: `audit joins the records of several gateways: those at the doors, which run, and those whose fleet folders are given, which don't.
What is agreed (versions, and where each record stood) comes from the gateway at --door, or from a file that versions --json wrote.`,
		RunE: func(_ *cobra.Command, folders []string) error {
			a, err := newAudit(from, to)
			if err != nil {
				return err
			}
			if a.agreed, err = agreedFrom(*address, agreed); err != nil {
				return err
			}
			for _, dir := range folders {
				some, err := auditrecorder.Read(controlplane.RecordDir(dir))
				if err != nil {
					return err
				}
				a.entries = append(a.entries, some...)
			}
			for _, door := range doors {
				raw, err := callAdmin(door, "fleet versions record 0")
				if err != nil {
					return fmt.Errorf("%s: %w", door, err)
				}
				var some []auditlog.Entry
				if err := json.Unmarshal(raw, &some); err != nil {
					return fmt.Errorf("%s: %w", door, err)
				}
				a.entries = append(a.entries, some...)
			}
			if len(folders)+len(doors) == 0 {
				return misuse{errors.New("folders, or --doors, are wanted")}
			}
			a.item, a.gateway = item, gateway
			return a.show(out, *plain, verify)
		}}
	f := c.Flags()
	f.StringSliceVar(&doors, "doors", nil, "doors of gateways that run")
	f.StringVar(&agreed, "agreed", "", "a file that versions --json wrote, in place of a gateway's door")
	f.StringVar(&item, "item", "", "only this item")
	f.StringVar(&gateway, "gateway", "", "only this gateway")
	f.StringVar(&from, "from", "", "only what reaches beyond this time (RFC 3339)")
	f.StringVar(&to, "to", "", "only what began before this time")
	f.BoolVar(&verify, "verify", false, "only tell whether the records hold")
	return c
}

func agreedFrom(address, file string) (v configversion.View, err error) {
	var raw []byte
	if file != "" {
		raw, err = os.ReadFile(file)
	} else {
		raw, err = callAdmin(address, "fleet versions")
	}
	if err == nil {
		err = json.Unmarshal(raw, &v)
	}
	return v, err
}

// audit is one audit.
type audit struct {
	agreed        configversion.View
	entries       []auditlog.Entry
	item, gateway string
	from, to      int64
}

func newAudit(from, to string) (*audit, error) {
	a := &audit{to: 1 << 62}
	for _, t := range []struct {
		text string
		into *int64
	}{{from, &a.from}, {to, &a.to}} {
		if t.text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339, t.text)
		if err != nil {
			return nil, misuse{err}
		}
		*t.into = at.UnixMicro()
	}
	return a, nil
}

// audited is what an audit tells.
type audited struct {
	Stretches []auditlog.Interval  `json:"stretches"`
	Late      []late               `json:"late"`
	Gaps      []auditlog.Gap       `json:"gaps"`
	Damage    []auditlog.Violation `json:"damage"`
	Entries   int                  `json:"entries"`
}

// late is a stretch that reaches beyond the end of its version.
type late struct {
	auditlog.Interval
	Ended int64         `json:"ended"` // the version, by the clock of who said so
	Bound time.Duration `json:"bound"` // how long after that it may still be acted on
	After time.Duration `json:"after"` // how long it was, by the gateway's clock
}

const (
	silence = 10 * time.Second // a longer one in a record is a gap
	// Entries are written once a second, and nobody's clock is another's.
	unsure = 2 * time.Second
)

func (a *audit) run() (r audited) {
	good, bad := auditlog.Verify(a.entries, a.agreed.Heads)
	r.Damage, r.Entries = append(append([]auditlog.Violation{}, bad...), a.agreed.Forks...), len(good)
	rows, gaps := auditlog.Summarize(good, silence.Microseconds())
	wanted := func(id string, from, to int64) bool {
		return (a.gateway == "" || a.gateway == id) && (to == 0 || to >= a.from) && from <= a.to
	}
	for _, g := range gaps {
		if wanted(g.ID, g.From, g.To) {
			r.Gaps = append(r.Gaps, g)
		}
	}
	for _, s := range rows {
		if !wanted(s.ID, s.From, s.To) || a.item != "" && a.item != s.Item {
			continue
		}
		r.Stretches = append(r.Stretches, s)
		i := slices.IndexFunc(a.agreed.Versions, func(v configversion.Version) bool { return v.Item == s.Item && v.Number == s.Number })
		if i < 0 || a.agreed.Versions[i].EndedWallTime == 0 || s.To <= a.agreed.Versions[i].EndedWallTime || s.Forwarded+s.Retries == 0 {
			continue
		}
		v := &a.agreed.Versions[i]
		r.Late = append(r.Late, late{s, v.EndedWallTime, v.ExpiresAt - v.EndedAt, time.Duration(s.To-v.EndedWallTime) * time.Microsecond})
	}
	return r
}

func stamp(us int64) string { return time.UnixMicro(us).UTC().Format("15:04:05.000") }

func (a *audit) show(out io.Writer, plain, verify bool) error {
	r := a.run()
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	switch {
	case plain:
		raw, err := json.Marshal(r)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\n", raw)
	case verify:
		for _, d := range r.Damage {
			fmt.Fprintf(w, "does not hold: %s\n", d)
		}
		fmt.Fprintf(w, "%d entries hold\n", r.Entries)
	default:
		fmt.Fprint(w, "GATEWAY\tBOOT\tITEM\tNUMBER\tFROM\tTO\tSENT ON\tAGAIN\tUNITS\tREFUSED\tTURNED AWAY\tENTRIES\n")
		for _, s := range r.Stretches {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%g\t%d\t%d\t%d to %d\n", s.ID, s.Incarnation, s.Item, s.Number, stamp(s.From), stamp(s.To), s.Forwarded, s.Retries, s.Units,
				s.Rejected, s.RejectedFenced, s.First, s.Last)
		}
		for _, l := range r.Late {
			says := "within the bound"
			if l.After > l.Bound+unsure {
				says = "BEYOND THE BOUND, as far as clocks agree"
			}
			fmt.Fprintf(w, "\n%s acted on %s %d for up to %v after its end was said at %s; the bound was %v: %s (entries %d to %d)", l.ID, l.Item, l.Number,
				l.After.Round(time.Millisecond), stamp(l.Ended), l.Bound.Round(time.Millisecond), says, l.First, l.Last)
		}
		for _, g := range r.Gaps {
			until := "now"
			if g.To != 0 {
				until = stamp(g.To)
			}
			fmt.Fprintf(w, "\ngap: %s/%s from %s to %s: %s", g.ID, g.Incarnation, stamp(g.From), until, g.Why)
		}
		for _, d := range r.Damage {
			fmt.Fprintf(w, "\ndoes not hold: %s", d)
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(r.Damage) > 0 {
		return fmt.Errorf("%d places do not hold", len(r.Damage))
	}
	return nil
}

func showVersions(raw []byte, w io.Writer) error {
	var v controlplane.Versions
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	fmt.Fprint(w, "ITEM\tNUMBER\tSTATE\tSTAGE\tAGREED\tDIGEST\tACTED ON\tWHY\n")
	for _, one := range v.Versions {
		acted := "yes"
		switch {
		case one.ExpiresAt != 0 && v.At >= one.ExpiresAt:
			acted = "by nobody any more"
		case one.ExpiresAt != 0:
			acted = "at most " + seconds(one.ExpiresAt-v.At) + " more"
		}
		digest := one.Digest
		if digest == "" {
			digest = "each gateway's configuration"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s ago\t%.16s\t%s\t%s\n", one.Item, one.Number, one.State, one.Stage, seconds(v.At-one.CommittedAt), digest, acted, one.Why)
	}
	fmt.Fprint(w, "\nGATEWAY\tBOOT\tIN FORCE\tSAID\n")
	for _, m := range v.Members {
		fmt.Fprintf(w, "%s\t%x\t%v\t%s ago\n", m.Member.ID, m.Member.Incarnation, m.InForce, seconds(v.At-m.ReportedAt))
	}
	for _, b := range v.Behind {
		fmt.Fprintf(w, "\nbehind: %s has %s %d, %d is wanted for %s %s", b.Member, b.Item, b.InForce, b.Target, seconds(v.At-b.Since), b.Why)
	}
	for _, s := range v.Fenced {
		fmt.Fprintf(w, "\nshut out by hand: %s, %s ago: %s", s.ID, seconds(v.At-s.At), s.Why)
	}
	fmt.Fprintln(w)
	return nil
}
