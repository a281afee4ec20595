package lab

import (
	"context"
	"io"
	"testing"
	"time"
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

// A hand-over whose new process can't start leaves the old one serving, and the
// next one, with the file mended, succeeds.
func TestFailedHandOverLeavesTheOldProcess(t *testing.T) {
	if !HasGo() {
		t.Skip("no Go to build the gateway with")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	w, err := NewWorld(ctx, Options{Seed: 5, Gateways: 1, Servers: 2, Load: 0.1, Operators: operatorsText(true)})
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	g := w.Gateways[0]
	good := g.config
	g.config = func(g *Gateway) map[string]any { return map[string]any{"name": "broken"} }
	if err := g.Configure(); err != nil {
		t.Fatal(err)
	}
	short, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	if ok, err := g.HandOver(short); ok || err != nil {
		t.Fatalf("handed over %t, %v", ok, err)
	}
	if !g.ping() {
		t.Fatal("the old process does not serve")
	}
	g.config = good
	if err := g.Configure(); err != nil {
		t.Fatal(err)
	}
	if ok, err := g.HandOver(ctx); !ok || err != nil {
		t.Fatalf("handed over %t, %v\n%s", ok, err, g.tail())
	}
	if !g.ping() {
		t.Error("the new process does not serve")
	}
}
