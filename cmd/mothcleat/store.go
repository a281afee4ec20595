package main

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"mothcleat/internal/storage/store"
)

// storeCommands returns the commands that work on a store that no process has open.
func storeCommands(out io.Writer) *cobra.Command {
	c := requireSubcommand(
		&cobra.Command{Use: "store", Short: "check, dump or repair a store that is not open"},
	)
	fromLogs := false
	repair := &cobra.Command{
		Use:   "repair DIR",
		Short: "rebuild a store from what can be read",
		Args:  exactArgs(1),
		Long: "repair keeps the damaged folder next to the new one " +
			"and prints a line for each loss.\n" +
			"Exit code 1: the repair failed, or something was lost.",
		RunE: func(_ *cobra.Command, args []string) error {
			return repairStore(args[0], fromLogs, out)
		},
	}
	repair.Flags().BoolVar(&fromLogs, "from-logs", false,
		"repair without the manifest; deleted keys may reappear")
	c.AddCommand(
		&cobra.Command{
			Use:   "check DIR",
			Short: "read and verify the whole store",
			Args:  exactArgs(1),
			RunE:  func(_ *cobra.Command, args []string) error { return checkStore(args[0], out) },
		},
		&cobra.Command{
			Use:   "dump DIR",
			Short: "print all keys and values, quoted, in order",
			Args:  exactArgs(1),
			RunE:  func(_ *cobra.Command, args []string) error { return dumpStore(args[0], out) },
		},
		repair,
	)
	return c
}

func checkStore(dir string, out io.Writer) error {
	st, err := store.Check(dir, store.Options{})
	if err != nil {
		return err
	}
	fmt.Fprintf(
		out,
		"good: %d keys after %d batches; log %d bytes in %d segments, %d of them live; "+
			"index %d bytes in %d runs\n",
		st.Keys,
		st.Seq,
		st.LogBytes,
		st.Segments,
		st.LiveBytes,
		st.IndexBytes,
		st.Runs,
	)
	if st.TruncatedBytes > 0 {
		fmt.Fprintf(
			out,
			"a torn tail of %d bytes, never confirmed as stored, is cut at the next opening\n",
			st.TruncatedBytes,
		)
	}
	return nil
}

func dumpStore(dir string, out io.Writer) error {
	s, err := store.Open(dir, store.Options{ReadOnly: true})
	if err != nil {
		return err
	}
	defer s.Close()
	view, err := s.Snapshot()
	if err != nil {
		return err
	}
	defer view.Close()
	for item, err := range view.Range(nil, nil) {
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(
			out,
			"%s\t%s\n",
			strconv.Quote(string(item.Key)),
			strconv.Quote(string(item.Value)),
		); err != nil {
			return err
		}
	}
	return nil
}

var errIncompleteRepair = errors.New("store: repaired with losses")

func repairStore(dir string, fromLogs bool, out io.Writer) error {
	rep, err := store.Repair(dir, fromLogs)
	if err != nil {
		return err
	}
	for _, loss := range rep.Lost {
		fmt.Fprintln(out, "given up:", loss)
	}
	fmt.Fprintf(out, "%d keys kept; the damaged folder is %s\n", rep.RecoveredKeys, rep.DamagedDir)
	if len(rep.Lost) > 0 {
		return errIncompleteRepair
	}
	return nil
}
