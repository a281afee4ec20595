package main

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"mothcleat/store"
)

const storeUsage = `usage: mothcleat store check DIR               read every byte and say what is wrong
       mothcleat store dump DIR                print all keys and values, quoted, in order
       mothcleat store repair [--from-logs] DIR  make a store anew from what can be read

repair keeps the damaged folder beside the new one and prints a line for all that it gave up.
--from-logs goes without the manifest: what was deleted may be there again.`

// storeCommand works on a store that no process has open. Exit codes: 1 where it failed or gave
// something up, 2 for misuse.
func storeCommand(args []string, out, errs io.Writer) int {
	fromLogs := len(args) == 3 && args[0] == "repair" && args[1] == "--from-logs"
	if fromLogs {
		args = []string{args[0], args[2]}
	}
	if len(args) != 2 {
		fmt.Fprintln(errs, storeUsage)
		return 2
	}
	var err error
	switch dir := args[1]; args[0] {
	case "check":
		err = checkStore(dir, out)
	case "dump":
		err = dumpStore(dir, out)
	case "repair":
		err = repairStore(dir, fromLogs, out)
	default:
		fmt.Fprintln(errs, storeUsage)
		return 2
	}
	if err != nil {
		fmt.Fprintln(errs, "mothcleat:", err)
		return 1
	}
	return 0
}

func checkStore(dir string, out io.Writer) error {
	st, err := store.Check(dir, store.Options{})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "good: %d keys after %d batches; log %d bytes in %d segments, %d of them live; index %d bytes in %d runs\n",
		st.Keys, st.Seq, st.LogBytes, st.Segments, st.Live, st.IndexBytes, st.Runs)
	if st.Cut > 0 {
		fmt.Fprintf(out, "a torn tail of %d bytes, which nobody was promised, will be cut when it is opened\n", st.Cut)
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
		if _, err := fmt.Fprintf(out, "%s\t%s\n", strconv.Quote(string(item.Key)), strconv.Quote(string(item.Value))); err != nil {
			return err
		}
	}
	return nil
}

var errGivenUp = errors.New("store: repaired, but not whole")

func repairStore(dir string, fromLogs bool, out io.Writer) error {
	rep, err := store.Repair(dir, fromLogs)
	if err != nil {
		return err
	}
	for _, what := range rep.GivenUp {
		fmt.Fprintln(out, "given up:", what)
	}
	fmt.Fprintf(out, "%d keys kept; the damaged folder is %s\n", rep.Kept, rep.Original)
	if len(rep.GivenUp) > 0 {
		return errGivenUp
	}
	return nil
}
