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

// A short run of the fleet scenario: real processes are killed, stopped, replaced and reloaded while
// they serve. The test checks only the rules, not the quality of service.
func TestFleetKeepsTheRules(t *testing.T) {
	if !HasGo() {
		t.Skip("the go command is not installed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(cancel) // runs after the parallel subtests
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

// If the new process of a hand-over can't start, exits at its start or never becomes ready, the old
// process keeps serving. The next hand-over, with the cause removed, succeeds.
func TestFailedHandOverLeavesTheOldProcess(t *testing.T) {
	if !HasGo() {
		t.Skip("the go command is not installed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	bin, err := Build(ctx, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	// Longer than any process needs on a slow machine, but short compared with the test's timeout.
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
		sabotage  func(*testing.T)
	}{
		{"bad configuration", "could not start", func(t *testing.T) {
			g.config = func(*Gateway) map[string]any { return map[string]any{"name": "broken"} }
			if err := g.Configure(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				if g.config = good; g.Configure() != nil {
					t.Error("the good configuration could not be restored")
				}
			})
		}},
		{"dies at its start", "exited", replace("exit 3")},
		{"never ready", "timed out", replace("exec sleep 60")},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.sabotage(t)
			before := strings.Count(g.logTail(), c.log)
			if err := g.Signal(syscall.SIGUSR2); err != nil {
				t.Fatal(err)
			}
			for strings.Count(g.logTail(), c.log) == before {
				if ctx.Err() != nil {
					t.Fatalf("the failure is not in the log:\n%s", g.logTail())
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
	// Until the old process has exited it may answer, or reply that it has handed over.
	for processRuns(old) {
		if ctx.Err() != nil {
			t.Fatalf("the old process does not exit\n%s", g.logTail())
		}
		time.Sleep(time.Millisecond)
	}
	if err := g.Ready(ctx); err != nil {
		t.Errorf("the new process does not serve: %v", err)
	}
}

// A short run of gateways that use Consul, with servers that drain and restart and agents that fail.
func TestConsulKeepsTheRules(t *testing.T) {
	if !HasGo() {
		t.Skip("the go command is not installed")
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

// A short run of gateways with an authenticator.
func TestAuthKeepsTheRules(t *testing.T) {
	if !HasGo() {
		t.Skip("the go command is not installed")
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

// Fleets of several sizes get the same requests, keep the rules and record a reason for each loss.
func TestQuotaExplainsLosses(t *testing.T) {
	if !HasGo() {
		t.Skip("the go command is not installed")
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

// A short run in which gateways are replaced by processes beside them, some of which are killed during
// the takeover, and drained by their admin interface.
func TestUpgradeKeepsTheRules(t *testing.T) {
	if !HasGo() {
		t.Skip("the go command is not installed")
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
