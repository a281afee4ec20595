package lab

import (
	"context"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/testing/harness"
)

// The whole rig in small: real processes are killed, stopped, replaced and reloaded
// while they serve. Nothing is asserted of how well they serve, only of the rules.
func TestFleetKeepsTheRules(t *testing.T) {
	if !HasGo() {
		t.Skip("no Go to build the gateway with")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(cancel) // after the parallel parts
	bin, err := Build(ctx, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for name, o := range map[string]FleetOptions{
		"every way": {Seed: 11, Instances: 4, For: 9 * time.Second, Load: 0.3},
		"in place":  {Seed: 12, Instances: 3, For: 6 * time.Second, Load: 0.3, InPlace: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o.Bin = bin
			f, err := RunFleet(ctx, o, io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			if !f.OK || f.Taken == 0 || f.Taken != f.Once+f.Killed {
				t.Errorf("%s", f.Line())
			}
			if o.InPlace && f.Killed > 0 {
				t.Errorf("%d requests lost in place", f.Killed)
			}
		})
	}
}

// A hand-over whose new process can't start, dies at its start or never gets ready
// leaves the old one serving; the next one, with all mended, succeeds.
func TestFailedHandOverLeavesTheOldProcess(t *testing.T) {
	if !HasGo() {
		t.Skip("no Go to build the gateway with")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	bin, err := Build(ctx, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	// A time that no process needs on a slow machine, but short beside the test.
	text := strings.Replace(operatorsText(true), `"10s"`, `"5s"`, 1)
	w, err := NewWorld(ctx,
		Options{Seed: 5, Gateways: 1, Servers: 2, Load: 0.1, Bin: bin, Operators: text})
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	g, good := w.Gateways[0], w.Gateways[0].config
	replace := func(text string) func(t *testing.T) {
		return func(t *testing.T) {
			if err := os.Rename(bin, bin+".good"); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				if err := os.Rename(bin+".good", bin); err != nil {
					t.Error(err)
				}
			})
			if err := os.WriteFile(bin, []byte("#!/bin/sh\n"+text+"\n"), 0o700); err != nil {
				t.Fatal(err)
			}
		}
	}
	for i, c := range []struct {
		name, log string
		spoil     func(*testing.T)
	}{
		{"bad configuration", "could not start", func(t *testing.T) {
			g.config = func(*Gateway) map[string]any { return map[string]any{"name": "broken"} }
			if err := g.Configure(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				if g.config = good; g.Configure() != nil {
					t.Error("not mended")
				}
			})
		}},
		{"dies at its start", "exited", replace("exit 3")},
		{"never ready", "timed out", replace("exec sleep 60")},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.spoil(t)
			before := strings.Count(g.logTail(), c.log)
			if err := g.Signal(syscall.SIGUSR2); err != nil {
				t.Fatal(err)
			}
			for strings.Count(g.logTail(), c.log) == before {
				if ctx.Err() != nil {
					t.Fatalf("nothing in the log:\n%s", g.logTail())
				}
				time.Sleep(10 * time.Millisecond)
			}
			if !g.ping() || g.successor(g.pid) != 0 {
				t.Errorf("step %d: the old process does not serve alone", i)
			}
		})
	}
	old := g.pid
	if ok, err := g.HandOver(ctx); !ok || err != nil {
		t.Fatalf("handed over %t, %v\n%s", ok, err, g.logTail())
	}
	// Until it is gone the old process may answer, or say that it has handed over.
	for processRuns(old) {
		if ctx.Err() != nil {
			t.Fatalf("the old process does not end\n%s", g.logTail())
		}
		time.Sleep(time.Millisecond)
	}
	if err := g.Ready(ctx); err != nil {
		t.Errorf("the new process does not serve: %v", err)
	}
}

// Gateways at Consul in small, with servers that drain and restart and agents that fail.
func TestConsulKeepsTheRules(t *testing.T) {
	if !HasGo() {
		t.Skip("no Go to build the gateway with")
	}
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	f, err := RunConsul(ctx, ConsulOptions{Seed: 3, For: 10 * time.Second}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if !f.OK || f.Taken == 0 || f.InTime == 0 {
		t.Error(f.Line())
	}
}

// Gateways that ask an authenticator, in small.
func TestAuthKeepsTheRules(t *testing.T) {
	if !HasGo() {
		t.Skip("no Go to build the gateway with")
	}
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	f, err := RunAuth(ctx, 3, 8*time.Second, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if !f.OK || f.Taken != f.Once {
		t.Error(f.Line())
	}
}

// Fleets of several sizes get the same requests, keep the rules and tell why each loss came.
func TestQuotaExplainsLosses(t *testing.T) {
	if !HasGo() {
		t.Skip("no Go to build the gateway with")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	f, err := RunQuota(
		ctx,
		QuotaOptions{Seed: 21, For: 6 * time.Second, Load: 0.5, Sizes: []int{1, 4}},
		io.Discard,
		io.Discard,
	)
	if err != nil {
		t.Fatal(err)
	}
	rows, _ := f.Extra["fleets"].([]quotaRow)
	if !f.OK || len(rows) != 2 || f.Taken == 0 {
		t.Fatalf("%s", f.Line())
	}
	for _, r := range rows {
		if r.Losses[harness.LossUnexplained] > 0 {
			t.Errorf("%d gateways: refusals without a reason: %v", r.Gateways, r.Losses)
		}
	}
}

// Gateways replaced by processes beside them, some of which are killed amid it, and drained by
// their admin interface, in small.
func TestUpgradeKeepsTheRules(t *testing.T) {
	if !HasGo() {
		t.Skip("no Go to build the gateway with")
	}
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	f, err := RunUpgrade(
		ctx,
		UpgradeOptions{Seed: 3, Instances: 3, For: 12 * time.Second, Load: 0.4, Kills: true},
		io.Discard,
	)
	if err != nil {
		t.Fatal(err)
	}
	if !f.OK || f.Taken == 0 || f.InTime == 0 {
		t.Error(f.Line())
	}
}
