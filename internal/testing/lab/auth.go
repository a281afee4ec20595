package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"mothcleat/internal/testing/harness"
)

// Gateways cache an allowance for 2 s, as the stand-in's answer states, and use it for another 1 s
// while they query the authenticator again.
const (
	authKept  = 2 * time.Second
	authStale = time.Second
)

func authText(address string) string {
	return fmt.Sprintf(`[auth]
url = "http://%s/verify"
classes = ["cotacao", "alerta"]
budget = "200ms"
timeout = "1s"
allow_for = "2s"
allow_most = "10s"
deny_for = "1s"
stale_for = "1s"
most_calls = 64
tokens_file = "tokens"
`, address)
}

// RunAuth runs three gateways with an authenticator that stalls, flaps, returns errors and crashes,
// beside three gateways without an authenticator.
func RunAuth(
	ctx context.Context, seed uint64, length time.Duration, progress io.Writer,
) (*harness.Summary, error) {
	bin, remove, err := BuildInTempDir(ctx)
	if err != nil {
		return nil, err
	}
	defer remove()
	type result struct {
		f   *harness.Summary
		err error
	}
	without := make(chan result, 1)
	go func() {
		f, err := runAuthWorld(ctx, seed, length, bin, false, io.Discard)
		without <- result{f, err}
	}()
	f, err := runAuthWorld(ctx, seed, length, bin, true, progress)
	other := <-without
	if err == nil {
		err = other.err
	}
	if err != nil {
		return f, err
	}
	f.Extra["without"] = other.f
	if !other.f.OK {
		f.AddFailure("the fleet without an authenticator failed")
	}
	return f, nil
}

func runAuthWorld(
	ctx context.Context,
	seed uint64,
	length time.Duration,
	bin string,
	withAuth bool,
	progress io.Writer,
) (*harness.Summary, error) {
	const gateways, servers, load = 3, 36, 0.5
	o := Options{
		Seed:     seed,
		Gateways: gateways,
		Servers:  servers,
		Load:     load,
		Bin:      bin,
		Log:      progress,
	}
	var a *Authenticator
	if withAuth {
		var err error
		if a, err = addAuthenticator(&o); err != nil {
			return nil, err
		}
		defer a.Close()
	}
	w, err := NewWorld(ctx, o)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	trafficContext, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	w.progress(trafficContext, progress, length)
	cycled := make(chan error, 1)
	if withAuth {
		go func() { cycled <- a.cycleBehaviors(trafficContext, rand.New(rand.NewPCG(seed, 0x300d)), progress) }()
	}
	w.Clients.Run(trafficContext)
	var cpu float64
	for _, g := range w.Gateways {
		cpu += g.cpuSeconds()
	}
	if withAuth {
		if err := <-cycled; err != nil {
			return nil, err
		}
	}
	stop, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := w.Stop(stop); err != nil {
		return nil, err
	}
	f := w.summarize("auth")
	f.Extra["cpu_us_per_try"] = cpu * 1e6 / float64(max(1, f.Taken))
	f.Extra["p999_ms"] = harness.Percentile(w.Site, w.Record, 0.999)
	if withAuth {
		f.Extra["calls_per_try"] = float64(a.calls) / float64(max(1, f.Taken))
		checkAuthenticator(f, w, a)
	}
	return f, nil
}

// addAuthenticator starts an authenticator that denies every tenth customer, and configures the
// world's gateways to query it.
func addAuthenticator(o *Options) (*Authenticator, error) {
	denied := map[string]bool{}
	// The world draws the same site.
	for i, c := range harness.NewSite(o.Seed, o.Gateways, o.Servers, o.Load).Customers {
		denied[c.ID] = i%10 == 0
	}
	a, err := NewAuthenticator(harness.NewRecord(), denied, o.Seed)
	if err != nil {
		return nil, err
	}
	o.Operators = authText(a.Address)
	o.Prepare = func(w *World, g *Gateway) error {
		a.rec = w.Record // the world's record, before the first call
		var tokens strings.Builder
		for _, c := range w.Site.Customers {
			fmt.Fprintf(&tokens, "%s %s\n", c.ID, tokenOf(c.ID))
		}
		return os.WriteFile(filepath.Join(g.dir, "tokens"), []byte(tokens.String()), 0o600)
	}
	return a, nil
}

// cycleBehaviors goes through the authenticator's faulty behaviors until the run ends. Before each of
// them, the authenticator answers correctly for a while.
func (a *Authenticator) cycleBehaviors(ctx context.Context, r *rand.Rand, progress io.Writer) error {
	names := map[Behavior]string{Stalls: "stalls", Flaps: "flaps", Errs: "errs", Down: "has crashed"}
	for i := 0; ; i++ {
		behavior := []Behavior{Stalls, Flaps, Down, Errs}[i%4]
		for _, m := range []Behavior{Answers, behavior} {
			if err := a.SetBehavior(m); err != nil {
				return err
			}
			if m != Answers {
				fmt.Fprintln(progress, "the authenticator", names[m])
			}
			if !sleep(ctx, time.Duration(harness.Between(r, 1.5, 3)*float64(time.Second))) {
				return a.SetBehavior(Answers)
			}
		}
	}
}

// checkAuthenticator compares the authenticator's answers with the forwarded tries. The difference is
// the sum of units of forwarded tries whose customer had no allowance that could still be valid.
func checkAuthenticator(f *harness.Summary, w *World, a *Authenticator) {
	seen := map[string]time.Duration{}
	for _, at := range w.Record.Attempts {
		if first, ok := seen[at.ID]; !ok || at.FirstByteAt < first {
			seen[at.ID] = at.FirstByteAt
		}
	}
	difference, denied, on := 0.0, 0, 0
	for _, t := range w.Record.Tries {
		at, went := seen[t.ID]
		if went {
			on++
			if !a.allowed(t.Customer, t.SentAt-authKept-authStale-harness.OnSockets, at) {
				difference += t.Units
			}
		} else if t.Kind == harness.Failed {
			denied++
		}
	}
	f.Extra["went_on"], f.Extra["denied"], f.Extra["quota_difference"] = on, denied, difference
	f.Extra["calls"], f.Extra["calls_without_token"] = a.calls, a.badTokens
	if difference > 0 {
		f.AddFailure(fmt.Sprintf("%g units were forwarded without an allowance", difference))
	}
	if a.badTokens > 0 {
		f.AddFailure(fmt.Sprintf("%d calls without the customer's token", a.badTokens))
	}
	if on == 0 || denied == 0 {
		f.AddFailure("nothing was forwarded, or nothing was denied: the run proves nothing")
	}
}
