package gateway

import (
	"context"
	"fmt"

	"mothcleat/internal/dataplane/admin"
	"mothcleat/internal/dataplane/metrics"
)

// listenAdmin has operators' calls answered, where the configuration gives them an address.
func (l *Loop) listenAdmin() (err error) {
	if l.cfg.Management == "" {
		return nil
	}
	if l.admin, err = admin.Listen(l.cfg.Management, l.callLoop, l.log); err != nil {
		return fmt.Errorf("management: %w", err)
	}
	return nil
}

// callLoop has the loop answer an operator's call, ahead of all queued work.
func (l *Loop) callLoop(ctx context.Context, name, argument string) string {
	if name == "fleet" && l.cfg.Fleet != nil {
		return l.cfg.Fleet.Call(ctx, argument) // the loop has no part in it
	}
	e := adminCall{name, make(chan string, 1)}
	select {
	case l.urgent <- e:
	case <-ctx.Done():
		return "fail busy\n"
	}
	select {
	case answer := <-e.answer:
		return answer
	case <-ctx.Done():
		return "fail busy\n"
	}
}

// adminCall is a line from an operator.
type adminCall struct {
	name   string
	answer chan string
}

func (c adminCall) handle(l *Loop) {
	answer := "ok\n"
	switch c.name {
	case "check":
		if yes, why := l.lifecycle.Serves(); !yes {
			answer = "fail " + why + "\n"
		} else if l.fenced() {
			answer = "fail shut out\n" // clients are to be sent elsewhere
		}
	case "vars":
		answer = string(append(l.metrics.Append(nil, l.gauges()), "eof\n"...))
	case "drain-on":
		l.log.Info("drain: on", "open", l.open, "connections", len(l.clients.conns))
		l.lifecycle.Drain(l.now())
		l.step()
	case "drain-off":
		l.log.Info("drain: off")
		l.lifecycle.Resume()
	default:
		answer = fmt.Sprintf("fail unknown call %.32q; check, vars, drain-on or drain-off\n", c.name)
	}
	c.answer <- answer
}

// gauges are read off at the moment.
func (l *Loop) gauges() metrics.Gauges {
	now := metrics.Gauges{Current: l.open}
	now.Size, now.Unhealthy = l.balancer.CountBackends()
	return now
}

// countOutcome counts how a request ended, by what its answer begins with.
func (r *request) countOutcome(t *metrics.Counters, reply []byte) {
	switch {
	case !r.classKnown:
	case len(reply) > 4 && string(reply[:5]) == "-BUSY":
		t.End(r.class, metrics.Deferred)
	case len(reply) > 0 && reply[0] == '-':
		t.End(r.class, metrics.Errored)
	default:
		t.End(r.class, metrics.Answered)
	}
}
