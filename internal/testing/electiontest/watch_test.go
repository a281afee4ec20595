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

// calls returns how often each gateway's agent was queried since a time.
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

// One gateway watches the register for all. A drain that only it is notified of ends all work at
// the server, also while the watcher is suspended. A gateway without a fleet watches by itself.
func TestOneWatchOfTheRegister(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4, Consul: true, Load: 0.2})
	i, h := waitForOwner(t, f, 0, endpointlist.Role, 0)
	waitOnlyOwner := func() {
		t.Helper()
		clustertest.Eventually(t, "only the owner to query its agent", func() (bool, string) {
			was, h := owner(f, 3, endpointlist.Role)
			since := time.Now()
			time.Sleep(2500 * time.Millisecond) // longer than a query waits
			n := calls(f, since)
			is, now := owner(f, 3, endpointlist.Role)
			if is != was || now.Term != h.Term || is < 0 {
				return false, "the owner changed"
			}
			for j, c := range n {
				if (c > 0) != (j == is) {
					return false, fmt.Sprint(is, n)
				}
			}
			return true, ""
		})
	}
	waitOnlyOwner()
	// checkDrain drains a server under traffic, and counts the attempts that it receives long
	// after.
	next := 0
	checkDrain := func(after func()) {
		t.Helper()
		sv := f.Servers[next]
		next++
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		done := make(chan struct{})
		go func() { defer close(done); f.Clients.Run(ctx) }()
		time.Sleep(time.Second) // the server needs attempts before its drain
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
	checkDrain(func() {})
	// The watcher is suspended at the drain: another one watches, or each gateway by itself.
	checkDrain(func() {
		if err := f.Stop(i); err != nil {
			t.Error(err)
		}
	})
	_, after := waitForOwner(t, f, another(f, i), endpointlist.Role, h.Term)
	if err := f.Wake(i); err != nil {
		t.Fatal(err)
	}
	waitOnlyOwner()
	// All voters are killed: the remaining gateway watches by itself, and logs it.
	for k := range 3 {
		if err := f.End(k, syscall.SIGKILL); err != nil {
			t.Fatal(err)
		}
	}
	since := time.Now()
	waitLogged(t, f, 3, "this gateway watches the register itself")
	clustertest.Eventually(t, "the gateway to query its agent", func() (bool, string) {
		n := calls(f, since)
		return n[3] > 0, fmt.Sprint(n)
	})
	for k := range 3 {
		if err := f.Begin(k); err != nil {
			t.Fatal(err)
		}
	}
	waitForOwner(t, f, 3, endpointlist.Role, after.Term-1)
	waitOnlyOwner()
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
