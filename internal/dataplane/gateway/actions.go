package gateway

import (
	"fmt"

	"mothcleat/internal/dataplane/policy"
)

// actions carries out the balancer's decisions. The balancer calls it on the event loop's goroutine
// while it is deciding, so actions must not call the balancer: they enqueue results instead.
type actions struct{ gateway *Gateway }

// Send starts the next attempt of a request. until is the attempt's deadline; 0: the request's
// deadline applies. Each Send produces exactly one attemptOutcome.
func (a actions) Send(id uint64, backend uint32, until policy.Time) {
	g := a.gateway
	r := g.requests.byID[id]
	if r == nil {
		panic(fmt.Sprintf("Send for request %d, which is not in the request table", id))
	}
	if until == 0 || until > r.deadline {
		until = r.deadline
	}
	g.recordAllocation(r)
	attempt := &attempt{request: r, number: r.attemptsMade, startedAt: g.now(), deadline: until}
	r.attemptsMade++
	r.outstanding = append(r.outstanding, attempt)
	g.backends.startAttempt(g, attempt, backend)
}

// Reject answers that a request was not executed, so its client may safely retry.
func (a actions) Reject(id uint64, retryAfter policy.Time) {
	g := a.gateway
	r := g.requests.byID[id]
	if r == nil {
		return
	}
	g.answer(r, busyReply(retryAfter))
	if g.cfg.Operations != nil {
		g.cfg.Operations.Rejected(false)
	}
}

// Fail answers a request with an error. The request may have been executed.
func (a actions) Fail(id uint64) {
	if r := a.gateway.requests.byID[id]; r != nil {
		a.gateway.answer(r, failedReply)
	}
}

// SetTimer schedules a call of the balancer's Timer with the token.
func (a actions) SetTimer(at policy.Time, token uint32) {
	a.gateway.schedule(at, policyTimer(token))
}

// Probe sends a health check to a backend.
func (a actions) Probe(backend uint32) {
	g := a.gateway
	now := g.now()
	probe := &attempt{startedAt: now, deadline: now + g.cfg.Host.DialTimeout}
	g.backends.startAttempt(g, probe, backend)
}

// SendToPeer sends a gossip message to a peer.
func (a actions) SendToPeer(peer int, message []byte) { a.gateway.peers.send(peer, message) }

// AddToCounter adds to a central counter that all gateways share; ttl applies to a new name.
func (a actions) AddToCounter(name uint64, amount float64, ttl policy.Time) {
	a.gateway.counter.add(a.gateway, name, amount, ttl)
}

// WatchEndpoints makes the source of the endpoint list follow its changes from now on.
func (a actions) WatchEndpoints() { a.gateway.endpoints.Follow() }

// Log writes a line to the gateway's log.
func (a actions) Log(line string) { a.gateway.log.Info(line) }

// policyTimer is the token of a timer that the balancer has set.
type policyTimer uint32

func (t policyTimer) due(g *Gateway) { g.balancer.Timer(g.now(), uint32(t)) }
