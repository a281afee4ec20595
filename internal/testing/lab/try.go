package lab

import (
	"context"
	"fmt"
	"io"
	"strings"
	"syscall"
	"time"

	"mothcleat/internal/testing/harness"
)

// RunTry is a demonstration for new users: traffic through three gateways to ten quote servers, while
// one server restarts cold, another one drains and a gateway restarts. With serve, the gateways run
// on until the context ends.
func RunTry(
	ctx context.Context, seed uint64, length time.Duration, serve bool, out, progress io.Writer,
) (*harness.Summary, error) {
	w, err := NewWorld(ctx, Options{Seed: seed, Gateways: 3, Servers: 10, Load: 0.6, Log: progress})
	if err != nil {
		return nil, err
	}
	defer w.Close()
	trafficContext, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	go func() {
		steps := []struct {
			after time.Duration
			what  string
			do    func()
		}{
			{
				length / 4,
				"quote server " + w.Servers[0].ID + " is killed and restarts cold",
				func() { w.KillServer(w.Servers[0]) },
			},
			{length / 12, "", func() { _ = w.StartServer(w.Servers[0]) }},
			{
				length / 6,
				"quote server " + w.Servers[1].ID + " drains",
				func() { w.DrainServer(w.Servers[1]) },
			},
			{
				length / 12,
				"gateway 1 is stopped and restarts",
				func() { w.restart(trafficContext, w.Gateways[1]) },
			},
		}
		for _, s := range steps {
			select {
			case <-trafficContext.Done():
				return
			case <-time.After(s.after):
			}
			if s.what != "" {
				fmt.Fprintln(progress, s.what)
			}
			s.do()
		}
	}()
	w.progress(trafficContext, progress, length)
	w.Clients.Run(trafficContext)
	f := w.summarize("try")
	printSummary(f, out)
	if serve {
		w.printSampleCommand(out)
		<-ctx.Done()
	}
	stop, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	return f, w.Stop(stop)
}

// printSummary prints the summary's figures as text.
func printSummary(f *harness.Summary, out io.Writer) {
	fmt.Fprintf(
		out,
		"\n  requests         %8d\n  served in time   %8d\n  served late      %8d\n  refused          %8d\n  failed           %8d\n",
		f.Requests,
		f.InTime,
		f.Late,
		f.Refused,
		f.Failed,
	)
	fmt.Fprintf(
		out,
		"  p50 / p99        %8.0f / %.0f ms\n  service          %8.3f of the worth requested inside the quotas\n",
		f.P50,
		f.P99,
		f.Service,
	)
	fmt.Fprintf(out, "  beyond quotas    %8.1f units forwarded\n", f.Over)
	for _, r := range harness.Rules {
		fmt.Fprintf(
			out,
			"  rule %-11s %8s\n",
			r,
			map[bool]string{
				true:  "kept",
				false: fmt.Sprintf("BROKEN %d", f.Broken[r]),
			}[f.Broken[r] == 0],
		)
	}
	for _, why := range f.Why {
		fmt.Fprintln(out, "  "+why)
	}
	fmt.Fprintln(out)
}

// printSampleCommand prints the gateways' addresses and a command to send to them.
func (w *World) printSampleCommand(out io.Writer) {
	fmt.Fprintln(out, "Serving until interrupted. Any RESP2 client can connect to")
	for _, g := range w.Gateways {
		fmt.Fprintln(out, "  "+g.Address)
	}
	c := w.Site.Customers[0]
	t := harness.Try{Class: 0, Plan: c.Plan, Units: 1}
	parts := strings.Split(string(command(w.Site, &c, &t, time.Second)), "\r\n")
	fmt.Fprintf(
		out,
		"A sample command (its second word is the request's id, new with each request):\n  API.READ %s 00000000000000a1 %s\n",
		c.ID,
		parts[8],
	)
}

// restart stops a gateway by SIGTERM and starts it again under the same name.
func (w *World) restart(ctx context.Context, g *Gateway) {
	if g.Signal(syscall.SIGTERM) != nil {
		return
	}
	wait, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if g.WaitForExit(wait) == nil {
		_ = w.start(ctx, g)
	}
}

// progress prints one line per second until the context ends.
func (w *World) progress(ctx context.Context, out io.Writer, length time.Duration) {
	startedAt := time.Now()
	go func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			past := time.Since(startedAt).Round(time.Second)
			running := 0
			for _, g := range w.Gateways {
				if g.Running() {
					running++
				}
			}
			fmt.Fprintf(
				out,
				"%4.0f s, %4.0f s left: %d sent, %d served, %d open, %d gateways running\n",
				past.Seconds(),
				max(0, length-past).Seconds(),
				w.Clients.sent.Load(),
				w.Clients.served.Load(),
				w.Clients.open.Load(),
				running,
			)
		}
	}()
}
