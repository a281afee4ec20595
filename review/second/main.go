// Command second plays one case of the second review: it starts gateways by the deploy file's run
// command, stands in for their clients, backends, discovery and counter on loopback addresses, and
// exits with 1 if the case's rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is how long a case may run.
const longest = 118 * time.Second

// play runs one case. It returns what broke the rule, one line each, or why it could not run.
type play func(w *world) (broken []string, err error)

var errUsage = errors.New("usage: second CASE RECORD, from the repository's root")

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		return 2
	}
	w, err := newWorld(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-stop:
		case <-time.After(longest):
		}
		w.note("could not run: ended before its end")
		w.end()
		os.Exit(2)
	}()
	broken, err := cases[args[0]](w)
	code := 0
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		code = 2
	case len(broken) > 0:
		for _, line := range broken {
			w.note("BROKEN %s", line)
		}
		w.note("the rule was broken %d times", len(broken))
		code = 1
	default:
		w.note("the rule held")
	}
	w.end()
	return code
}
