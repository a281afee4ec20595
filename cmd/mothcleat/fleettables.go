//go:build !nofleet

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/controlplane/usageexporter"
)

// The functions of this file and of distributiontable.go print the JSON answers of a gateway's
// admin interface as tables for a tabwriter. Headings use the terms of the operators' manual.

// maxListedFiles is how many of the newest exported files are listed.
const maxListedFiles = 20

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.1fs", d.Seconds()) }

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
			formatSeconds(l.At-m.LastSeen))
	}
	return nil
}

func showRoles(raw []byte, w io.Writer) error {
	var v lease.View
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	fmt.Fprint(w, "DUTY\tTERM\tOWNER\tHELD FOR\tFREE IN\tCAUSE\n")
	for _, h := range v.Leases {
		owner, free := h.Holder.ID, formatSeconds(max(0, h.ExpiresAt-v.At))
		if owner == "" {
			owner, free = "nobody", "-"
		}
		fmt.Fprintf(
			w,
			"%s\t%d\t%s\t%s\t%s\t%s\n",
			h.Role,
			h.Term,
			owner,
			formatSeconds(v.At-h.GrantedAt),
			free,
			h.Cause,
		)
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
			fmt.Fprintf(
				w,
				"%016x\t%s\t%s\t%s\t%s\t%s\n",
				v.Budget,
				formatShare(v.Limit),
				h.Member.ID,
				formatShare(h.Total),
				formatShare(h.ReservedMin),
				state,
			)
			rest.Rate, rest.Burst = rest.Rate-h.Total.Rate, rest.Burst-h.Total.Burst
		}
		fmt.Fprintf(w, "%016x\t%s\treserve\t%s\t\t%.1f kept for a next owner\n", v.Budget,
			formatShare(v.Limit), formatShare(rest), v.Carryover)
	}
	return nil
}

// formatShare formats a share as its rate and burst.
func formatShare(s allocation.Share) string { return fmt.Sprintf("%.2f/s, %.1f", s.Rate, s.Burst) }

func showHistory(raw []byte, w io.Writer) error {
	var all []lease.Lease
	if err := json.Unmarshal(raw, &all); err != nil {
		return err
	}
	fmt.Fprint(w, "TERM\tOWNER\tBOOT\tFROM (FLEET'S TIME)\tCAUSE\n")
	for _, h := range all {
		fmt.Fprintf(w, "%d\t%s\t%x\t%s\t%s\n", h.Term, h.Holder.ID, h.Holder.Incarnation,
			formatSeconds(h.GrantedAt), h.Cause)
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
	for _, f := range v.Files[max(0, len(v.Files)-maxListedFiles):] {
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

func showVersions(raw []byte, w io.Writer) error {
	var v controlplane.VersionsStatus
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
			acted = "at most " + formatSeconds(one.ExpiresAt-v.At) + " more"
		}
		digest := one.Digest
		if digest == "" {
			digest = "each gateway's configuration"
		}
		fmt.Fprintf(
			w,
			"%s\t%d\t%s\t%s\t%s ago\t%.16s\t%s\t%s\n",
			one.Item,
			one.Number,
			one.State,
			one.Stage,
			formatSeconds(v.At-one.CommittedAt),
			digest,
			acted,
			one.Why,
		)
	}
	fmt.Fprint(w, "\nGATEWAY\tBOOT\tIN FORCE\tSAID\n")
	for _, m := range v.Members {
		fmt.Fprintf(
			w,
			"%s\t%x\t%v\t%s ago\n",
			m.Member.ID,
			m.Member.Incarnation,
			m.InForce,
			formatSeconds(v.At-m.ReportedAt),
		)
	}
	for _, b := range v.LaggingReplicas {
		fmt.Fprintf(
			w,
			"\nbehind: %s has %s %d, its target has been %d for %s %s",
			b.Member,
			b.Item,
			b.InForce,
			b.Target,
			formatSeconds(v.At-b.Since),
			b.Why,
		)
	}
	for _, s := range v.Fenced {
		fmt.Fprintf(w, "\nshut out by hand: %s, %s ago: %s", s.ID, formatSeconds(v.At-s.At), s.Why)
	}
	fmt.Fprintln(w)
	return nil
}
