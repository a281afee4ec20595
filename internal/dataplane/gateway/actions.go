package gateway

import (
	"fmt"

	"mothcleat/internal/dataplane/policy"
)

// actions carries out what the balancer decides. The balancer calls it on the event loop's
// goroutine while it is deciding, so no action calls the balancer back: results are enqueued.
type actions struct{ gateway *Gateway }

// Send starts the next attempt of a request. until bounds the attempt; 0: the request's deadline
// does. Each Send brings exactly one attemptOutcome.
func (a actions) Send(id uint64, backend uint32, until policy.Time) {
	g := a.gateway
	r := g.requests.byID[id]
	if r == nil {
		panic(fmt.Sprintf("send for request %d, which is not open", id))
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

// Reject answers a request as not executed, so that its client may safely retry.
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

// Fail answers a request with an error; it may have been executed.
func (a actions) Fail(id uint64) {
	if r := a.gateway.requests.byID[id]; r != nil {
		a.gateway.answer(r, failedReply)
	}
}

// SetTimer has the balancer called with the token at a time.
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

// AddToCounter adds to a number that all gateways share; ttl is the life of a new name.
func (a actions) AddToCounter(name uint64, amount float64, ttl policy.Time) {
	a.gateway.counter.add(a.gateway, name, amount, ttl)
}

// WatchEndpoints has the endpoint list and its changes followed from now on.
func (a actions) WatchEndpoints() { a.gateway.endpoints.Follow() }

// Log writes a line to the operators' log.
func (a actions) Log(line string) { a.gateway.log.Info(line) }

// policyTimer is a timer that the balancer has set.
type policyTimer uint32

func (t policyTimer) due(g *Gateway) { g.balancer.Timer(g.now(), uint32(t)) }
