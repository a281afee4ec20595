package budgettrial

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"mothcleat/internal/fleetnode"
	"mothcleat/internal/rig"
	"mothcleat/internal/trial"
)

var bin string

func TestMain(m *testing.M) {
	b, remove, err := rig.Build(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	bin = b
	code := m.Run()
	remove()
	os.Exit(code)
}

const on = "[budgets]\non = true\nbegin_full = true\nfloor = 0.15\nreserve = 0.8\n[record]\nrefusals = \"refusals\"\n"

func fleet(t *testing.T, o rig.Options) *rig.Fleet {
	t.Helper()
	o.Bin = bin
	if o.Load == 0 {
		o.Load = 0.3
	}
	if o.Operators == "" {
		o.Operators = on
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	f, err := rig.New(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, g := range f.Gateways {
				log := g.Log()
				t.Logf("%s:\n%s", rig.Name(g.Number), log[max(0, len(log)-3000):])
			}
		}
		f.Close()
	})
	return f
}

var slack = Slack{Late: 100 * time.Millisecond}

// kept fails the test if any window passed the whole.
func kept(t *testing.T, f *rig.Fleet, s Slack) {
	t.Helper()
	all := Windows(f.Site, f.Record, s)
	if len(all) == 0 {
		t.Fatal("nothing was taken")
	}
	for i, w := range all {
		if w.Over > 0 || i == 0 {
			t.Log(w)
		}
	}
	if all[0].Over > 0 {
		t.Fail()
	}
}

func TestCutOffGatewayStaysInsideItsRights(t *testing.T) {
	f := fleet(t, rig.Options{Instances: 3})
	ctx, cancel := context.WithTimeout(t.Context(), 14*time.Second)
	defer cancel()
	time.AfterFunc(5*time.Second, func() { f.Isolate(1, true, true, true) })
	time.AfterFunc(9*time.Second, func() { f.Heal() })
	f.Clients.Run(ctx)
	kept(t, f, slack)
	fig := f.Figures("budgets")
	t.Logf("service %.3f losses %v broken %v over %v", fig.Service, fig.Losses, fig.Broken, fig.Over)
	for i := range f.Gateways {
		var r fleetnode.Rights
		if err := f.Call(i, "rights", &r); err != nil {
			t.Error(err)
		}
		t.Logf("n%d: %d held, did %+v, divides %+v", i, len(r.Held), r.Did, r.Divides)
	}
	if f.Held() == 0 {
		t.Error("the cut held nothing up")
	}
	_ = trial.Served
}
