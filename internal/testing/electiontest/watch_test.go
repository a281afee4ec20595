package electiontest

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/controlplane/endpointlist"
	"mothcleat/internal/testing/testcluster"
	"mothcleat/internal/testing/testcluster/clustertest"
)

// calls are how often each gateway's agent was asked from a moment on.
func calls(f *testcluster.Fleet, since time.Time) (n []int) {
	for i := range f.Gateways {
		count := 0
		for _, at := range f.Consul.Agent(i).Calls() {
			if at.After(since) {
				count++
			}
		}
		n = append(n, count)
	}
	return n
}

// One gateway watches the register for all: a drain told to it alone ends all work there, with its
// owner stopped or killed amid it as well; one that hears of nobody watches by itself.
func TestOneWatchOfTheRegister(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4, Consul: true, Load: 0.2})
	i, h := hasOwner(t, f, 0, endpointlist.Role, 0)
	only := func() {
		t.Helper()
		clustertest.Eventually(t, "the owner alone asks its agent", func() (bool, string) {
			was, h := owner(f, 3, endpointlist.Role)
			since := time.Now()
			time.Sleep(2500 * time.Millisecond) // longer than a query waits
			n := calls(f, since)
			is, now := owner(f, 3, endpointlist.Role)
			if is != was || now.Term != h.Term || is < 0 {
				return false, "it changes hands"
			}
			for j, c := range n {
				if (c > 0) != (j == is) {
					return false, fmt.Sprint(is, n)
				}
			}
			return true, ""
		})
	}
	only()
	// drained tells the register of a drain amid traffic, and counts what comes to the server long
	// after.
	next := 0
	drained := func(after func()) {
		t.Helper()
		sv := f.Servers[next]
		next++
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		done := make(chan struct{})
		go func() { defer close(done); f.Clients.Run(ctx) }()
		time.Sleep(time.Second) // some traffic first: what is judged is the record
		at := f.Record.Now()
		f.DrainServer(sv)
		after()
		<-done
		before, late := 0, 0
		f.Record.Read(func() {
			for _, a := range f.Record.Attempts {
				switch {
				case a.Server != sv.ID:
				case a.FirstByteAt < at:
					before++
				case a.FirstByteAt > at+f.Site.RegisterLag+f.Site.DrainTimeout+2*time.Second:
					late++
				}
			}
		})
		if before == 0 || late > 0 {
			t.Errorf("%d attempts at %s before its drain, %d long after", before, sv.ID, late)
		}
	}
	drained(func() {})
	// Its owner is stopped as the drain is told: another watches, or each by itself.
	drained(func() {
		if err := f.Stop(i); err != nil {
			t.Error(err)
		}
	})
	_, after := hasOwner(t, f, another(f, i), endpointlist.Role, h.Term)
	if err := f.Wake(i); err != nil {
		t.Fatal(err)
	}
	only()
	// All voters are gone: the gateway that is left watches by itself, and says so.
	for k := range 3 {
		if err := f.End(k, syscall.SIGKILL); err != nil {
			t.Fatal(err)
		}
	}
	since := time.Now()
	logged(t, f, 3, "this gateway watches the register itself")
	clustertest.Eventually(t, "it asks its agent", func() (bool, string) {
		n := calls(f, since)
		return n[3] > 0, fmt.Sprint(n)
	})
	for k := range 3 {
		if err := f.Begin(k); err != nil {
			t.Fatal(err)
		}
	}
	hasOwner(t, f, 3, endpointlist.Role, after.Term-1)
	only()
	if err := errors.Join(f.World.Stop(t.Context())); err != nil {
		t.Fatal(err)
	}
	fig := f.Summary("watch")
	for rule, n := range fig.Broken {
		if n > 0 {
			t.Errorf("%s: %d: %v", rule, n, fig.Why)
		}
	}
}
