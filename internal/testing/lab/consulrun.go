package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mothcleat/internal/testing/harness"
)

const consulText = `[register]
source = "consul"
agents = ["%AGENT%"]
service = "quotes"
wait = "2s"
hold = "2m"
`

// ConsulOptions describes a run of gateways that use Consul.
type ConsulOptions struct {
	Seed   uint64
	For    time.Duration
	Silent bool   // all agents are silent from early in the run to its end, and no server changes
	Bin    string // path of the gateway's binary; "": it is built
}

// RunConsul runs gateways that use Consul, each with a separate agent that lags, falls silent and
// contradicts itself, beside gateways that use the platform's register. Quote servers drain and restart
// in both worlds. With Silent, the only disturbance is that Consul stops answering, and the gateways
// beside have a working Consul.
func RunConsul(ctx context.Context, o ConsulOptions, progress io.Writer) (*harness.Summary, error) {
	remove, err := buildIfNone(ctx, &o.Bin)
	if err != nil {
		return nil, err
	}
	defer remove()
	var summaries [2]*harness.Summary
	var errs [2]error
	var wg sync.WaitGroup
	for i, log := range []io.Writer{progress, io.Discard} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			summaries[i], errs[i] = runConsulWorld(ctx, o, i == 0, log)
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return summaries[0], err
		}
	}
	f := summaries[0]
	otherName := map[bool]string{true: "heard", false: "platform"}[o.Silent]
	f.Extra[otherName] = summaries[1]
	if !summaries[1].OK {
		f.AddFailure("the gateways of the other world failed")
	}
	if lost := summaries[1].Service - f.Service; o.Silent && lost > 0.02 {
		f.AddFailure(fmt.Sprintf("service %.3f with Consul silent, %.3f with it",
			f.Service, summaries[1].Service))
	}
	return f, nil
}

// runConsulWorld runs one of the two worlds; first marks the one whose Consul has the faults.
func runConsulWorld(
	ctx context.Context, o ConsulOptions, first bool, progress io.Writer,
) (*harness.Summary, error) {
	seed, length, consul := o.Seed, o.For, first || o.Silent
	wo := Options{
		Seed:     seed,
		Gateways: 4,
		Servers:  12,
		Load:     0.5,
		Bin:      o.Bin,
		Consul:   consul,
		Log:      progress,
	}
	if consul {
		wo.Operators = consulText
	}
	w, err := NewWorld(ctx, wo)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	trafficContext, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	w.progress(trafficContext, progress, length)
	c := &chaos{w: w, o: FleetOptions{Seed: seed, For: length}}
	switch {
	case !o.Silent:
		c.wg.Add(1)
		go func() { defer c.wg.Done(); c.servers(trafficContext, rand.New(rand.NewPCG(seed, 0x5e4))) }()
	case first:
		time.AfterFunc(2*time.Second, func() {
			fmt.Fprintln(progress, "Consul does not answer from now on")
			for _, a := range w.Consul.agents {
				a.SetFault(ConsulFault{Silent: true})
			}
		})
	}
	if consul && !o.Silent {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			w.Consul.faults(trafficContext, rand.New(rand.NewPCG(seed, 0xfa)), length, progress)
		}()
	}
	w.Clients.Run(trafficContext)
	c.wg.Wait()
	stop, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := w.Stop(stop); err != nil {
		return nil, err
	}
	f := w.summarize("consul")
	for _, err := range c.errs {
		f.AddFailure(err.Error())
	}
	f.Extra["drain_to_last_send_ms_max"] = maxSendAfterStop(w.Record).Milliseconds()
	if consul {
		checkConsulCalls(f, w)
	}
	return f, nil
}

// checkConsulCalls adds the lag of Consul's agents and the rate of the gateways' calls to the summary,
// and adds a failure if a gateway called too often.
func checkConsulCalls(f *harness.Summary, w *World) {
	f.Extra["told_lag_ms_p99"] = harness.Quantile(w.Consul.lags, 0.99)
	maxCalls := 0
	for _, a := range w.Consul.agents {
		maxCalls = max(maxCalls, maxCallsPerSecond(a.Calls()))
	}
	f.Extra["calls_per_second_max"] = maxCalls
	if maxCalls > maxConsulCalls {
		f.AddFailure(fmt.Sprintf("%d calls of one gateway in a second, must be at most %d",
			maxCalls, maxConsulCalls))
	}
}

// maxConsulCalls is the maximum number of calls from one gateway to its agent in any second.
const maxConsulCalls = 30

// faults goes through all faults repeatedly, each at one agent or at all of them.
func (r *ConsulRegister) faults(
	ctx context.Context, rnd *rand.Rand, length time.Duration, progress io.Writer,
) {
	kinds := []struct {
		name  string
		fault ConsulFault
	}{
		{"answers nothing", ConsulFault{Silent: true}},
		{"answers as it was 2 s ago", ConsulFault{Lag: 2 * time.Second}},
		{"answers out of order", ConsulFault{Reorder: 0.4}},
		{"answers 500", ConsulFault{Errs: true}},
		{"drops answers", ConsulFault{Drop: 0.5}},
		{"ends its answers in the middle", ConsulFault{Half: true}},
		{"answers at once", ConsulFault{AtOnce: true}},
	}
	for i := 0; sleep(ctx, time.Duration(harness.Between(rnd, 0.5, 2)*float64(time.Second))); i++ {
		k := kinds[i%len(kinds)]
		agents := r.agents
		if rnd.IntN(2) == 0 {
			n := rnd.IntN(len(agents))
			agents = agents[n : n+1]
		}
		fmt.Fprintf(progress, "Consul %s, at %d of %d agents\n", k.name, len(agents), len(r.agents))
		for _, a := range agents {
			a.SetFault(k.fault)
		}
		sleep(ctx, min(length/8, time.Duration(harness.Between(rnd, 2, 6)*float64(time.Second))))
		for _, a := range agents {
			a.SetFault(ConsulFault{})
		}
	}
}

// maxSendAfterStop returns the longest time from the notification of a gateway that a server stops to
// an attempt that the gateway nevertheless sent to that server.
func maxSendAfterStop(rec *harness.Record) (latest time.Duration) {
	for _, a := range rec.Attempts {
		stop, since := false, time.Duration(0)
		for _, t := range rec.EndpointUpdates {
			if t.Gateway != a.Gateway || t.Server != a.Server || t.At > a.FirstByteAt {
				continue
			}
			if t.Stop && !stop {
				since = t.At
			}
			stop = t.Stop
		}
		if stop {
			latest = max(latest, a.FirstByteAt-since)
		}
	}
	return latest
}

// maxCallsPerSecond returns the maximum number of calls in any second.
func maxCallsPerSecond(calls []time.Time) (maxCalls int) {
	slices.SortFunc(calls, func(a, b time.Time) int { return a.Compare(b) })
	for from, to := 0, 0; to < len(calls); to++ {
		for calls[to].Sub(calls[from]) > time.Second {
			from++
		}
		maxCalls = max(maxCalls, to-from+1)
	}
	return maxCalls
}
