package scale

import (
	"context"
	"io"
	"math"
	"os"
	"path/filepath"
	"time"

	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/lab"
)

// realGateways are a few gateways of the program that serve requests beside the simulated ones,
// with their own stand-ins for clients and servers.
type realGateways struct {
	world *lab.World
}

const (
	realLoad    = 0.5 // fraction of the capacity of the stand-in servers
	realServers = 15  // servers of the sample site that determines how many are needed
)

// startReal starts real gateways in the fleet of the control processes.
func startReal(ctx context.Context, o *Options, c *control, log io.Writer) (*realGateways, error) {
	required := o.RequestsPerGateway * float64(o.RealGateways)
	probe := harness.NewSite(o.Seed, o.RealGateways, realServers, realLoad)
	servers := max(realServers, int(math.Ceil(realServers*required/probe.PerSecond)))
	load := realLoad * required /
		harness.NewSite(o.Seed, o.RealGateways, servers, realLoad).PerSecond
	prepare := func(w *lab.World, g *lab.Gateway) error {
		own, err := w.Address(100 + g.Number)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(g.Dir(),
			"operators.toml"), []byte(c.operators(own, false)),
			0o600)
	}
	w, err := lab.NewWorld(
		ctx,
		lab.Options{Seed: o.Seed, Gateways: o.RealGateways, Servers: servers,
			Load: load, Bin: o.Bin, Log: log, Names: realNames,
			Operators: "#\n", Prepare: prepare},
	)
	if err != nil {
		return nil, err
	}
	return &realGateways{world: w}, nil
}

// Added is the latency that real gateways add to a request: the time from its last byte at the
// client's socket until its reply is read there, minus the time from its first byte at the stand-in
// server until the reply is written there. Requests with more than one attempt are excluded.
type Added struct {
	Requests          int     `json:"requests"`
	RequestsPerSecond float64 `json:"requests_per_second"` // per gateway
	P50Milliseconds   float64 `json:"p50_ms"`
	P99Milliseconds   float64 `json:"p99_ms"`
}

// added computes the added latency of the requests sent between from and to.
func (r *realGateways) added(from, to time.Duration) Added {
	attempts := map[string][]harness.Attempt{}
	for _, a := range r.world.Record.Attempts {
		attempts[a.ID] = append(attempts[a.ID], a)
	}
	var all []time.Duration
	for _, t := range r.world.Record.Tries {
		one := attempts[t.ID]
		if t.Kind != harness.Served || len(one) != 1 || one[0].RepliedAt == 0 || t.SentAt < from ||
			t.SentAt >= to {
			continue
		}
		all = append(all, (t.AnsweredAt-t.SentAt)-(one[0].RepliedAt-one[0].FirstByteAt))
	}
	return Added{
		Requests: len(all),
		RequestsPerSecond: float64(
			len(all),
		) / (to - from).Seconds() / float64(
			len(r.world.Gateways),
		),
		P50Milliseconds: harness.Quantile(all, 0.5),
		P99Milliseconds: harness.Quantile(all, 0.99),
	}
}

func (r *realGateways) close(logs string) {
	if logs != "" {
		for _, g := range r.world.Gateways {
			_ = os.WriteFile(filepath.Join(logs,
				filepath.Base(g.Dir())+".real.log"), []byte(g.Log()),
				0o600)
		}
	}
	r.world.Close()
}
