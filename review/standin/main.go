package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// verdict is what a case found.
type verdict int

const (
	held       verdict = 0
	broken     verdict = 1
	didNotRun  verdict = 2
	longestRun         = 115 * time.Second
)

var errTooLittle = errors.New("too little was served to judge")

// cases are the cases by name, and after them probes that are no cases: see REPORT.md. trouble says
// whether the disruption takes place.
var cases = map[string]func(rec *record, trouble bool) (verdict, error){
	"second-answer": secondAnswer,
	"upgrade":       upgrade,
	"crowd":         crowd,

	"slow-reader": slowReader,
	"drain":       drain,
	"unsent":      unsent,
	"two-holders": twoHolders,
}

func init() {
	runtime.LockOSThread() // a process ends with the thread that started it
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, from the root of the repository")
		os.Exit(int(didNotRun))
	}
	os.Exit(int(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")))
}

func play(name, folder string, trouble bool) verdict {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return didNotRun
	}
	defer rec.close()
	time.AfterFunc(longestRun, func() { // the gateways end with this process
		rec.say("the case did not end in time")
		rec.close()
		os.Exit(int(didNotRun))
	})
	found, err := cases[name](rec, trouble)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return didNotRun
	}
	words := map[verdict]string{held: "the rule held", broken: "the rule was broken"}
	rec.say("verdict: %s", words[found])
	return found
}
