package gateway

import (
	"context"
	"fmt"

	"mothcleat/internal/dataplane/admin"
	"mothcleat/internal/dataplane/metrics"
)

const adminBusyAnswer = "fail busy\n"

// listenAdmin opens the admin interface if the configuration has an address for it.
func (g *Gateway) listenAdmin() (err error) {
	if g.cfg.Management == "" {
		return nil
	}
	if g.admin, err = admin.Listen(g.cfg.Management, g.handleAdminCall, g.log); err != nil {
		return fmt.Errorf("management: %w", err)
	}
	return nil
}

// handleAdminCall passes an admin call to the event loop, ahead of all queued events, and returns
// the answer. It may be called from any goroutine.
func (g *Gateway) handleAdminCall(ctx context.Context, name, argument string) string {
	if name == "fleet" && g.cfg.Fleet != nil {
		return g.cfg.Fleet.Call(ctx, argument) // answered without the event loop
	}
	e := adminCall{name, make(chan string, 1)}
	select {
	case g.urgent <- e:
	case <-ctx.Done():
		return adminBusyAnswer
	}
	select {
	case answer := <-e.answer:
		return answer
	case <-ctx.Done():
		return adminBusyAnswer
	}
}

// adminCall is a call of the admin interface.
type adminCall struct {
	name   string
	answer chan string // buffered for the one answer
}

func (c adminCall) handle(g *Gateway) {
	answer := "ok\n"
	switch c.name {
	case "check":
		answer = g.checkAnswer()
	case "vars":
		answer = string(append(g.metrics.Append(nil, g.gauges()), "eof\n"...))
	case "drain-on":
		g.log.Info("drain: on", "open", g.requests.open, "connections", len(g.clients.conns))
		g.lifecycle.Drain(g.now())
		g.shutdown.step(g)
	case "drain-off":
		g.log.Info("drain: off")
		g.lifecycle.Resume()
	default:
		const format = "fail unknown call %.32q; check, vars, drain-on or drain-off\n"
		answer = fmt.Sprintf(format, c.name)
	}
	c.answer <- answer
}

// checkAnswer returns the answer to check: whether clients should be sent to this gateway.
func (g *Gateway) checkAnswer() string {
	if serves, reason := g.lifecycle.Serves(); !serves {
		return "fail " + reason + "\n"
	}
	if g.fenced() {
		return "fail shut out\n"
	}
	return "ok\n"
}

// gauges returns the current values that vars prints in addition to the counters.
func (g *Gateway) gauges() metrics.Gauges {
	values := metrics.Gauges{OpenRequests: g.requests.open}
	values.Backends, values.UnhealthyBackends = g.balancer.CountBackends()
	return values
}
