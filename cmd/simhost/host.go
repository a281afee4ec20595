package main

import (
	"fmt"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/simprotocol"
)

// host holds the gateways' Balancers of one process, by their instance numbers.
type host struct {
	balancers map[uint16]*policy.Balancer
	reply     simprotocol.Reply
}

func newHost() *host { return &host{balancers: map[uint16]*policy.Balancer{}} }

// handleBatch passes a batch's events on and returns the reply's frame, which is valid until the
// next call.
func (h *host) handleBatch(batch *simprotocol.Batch) ([]byte, error) {
	h.reply.Begin(batch.Index)
	err := batch.Decode(func(e *simprotocol.Event) { h.handle(batch.Now, e) })
	if err != nil {
		return nil, err
	}
	return h.reply.Bytes(), nil
}

// handle passes one event on to its instance. After a panic the instance is dropped, and the reply
// tells that it has failed.
func (h *host) handle(now policy.Time, e *simprotocol.Event) {
	h.reply.SetInstance(e.Instance)
	defer func() {
		if p := recover(); p != nil {
			h.fail(e.Instance, fmt.Sprint("panic: ", p))
		}
	}()
	switch e.Kind {
	case simprotocol.InstanceStarted:
		h.start(e)
	case simprotocol.InstanceStopped:
		delete(h.balancers, e.Instance)
	default:
		if balancer := h.balancers[e.Instance]; balancer != nil {
			dispatch(balancer, now, e)
		}
	}
}

// dispatch calls the method of a Balancer that an event is for.
func dispatch(balancer *policy.Balancer, now policy.Time, e *simprotocol.Event) {
	switch e.Kind {
	case simprotocol.EndpointsChanged:
		balancer.UpdateEndpoints(now, e.ListKind, e.Endpoints)
	case simprotocol.RequestReceived:
		balancer.Request(now, e.Request)
	case simprotocol.ResponseStarted:
		balancer.ResponseStarted(now, e.Outcome.ID)
	case simprotocol.AttemptEnded:
		balancer.Outcome(now, e.Outcome)
	case simprotocol.ClientGone:
		balancer.ClientGone(now, e.Outcome.ID)
	case simprotocol.TimerFired:
		balancer.Timer(now, e.TimerToken)
	case simprotocol.ProbeEnded:
		balancer.ReceiveProbeResult(now, e.Backend, e.Result, e.Load)
	case simprotocol.PeerMessageReceived:
		balancer.ReceivePeerMessage(now, e.From, e.Message)
	case simprotocol.CounterAnswered:
		balancer.ReceiveCounterTotal(now, e.CounterName, e.Result, e.CounterTotal)
	}
}

// start begins an instance, in place of one of the same number. Settings that cannot be served make
// it fail.
func (h *host) start(e *simprotocol.Event) {
	settings, err := simprotocol.ParseSettings(e.Settings)
	if err != nil {
		h.fail(e.Instance, err.Error())
		return
	}
	balancer, err := policy.New(settings, e.Seed, &h.reply)
	if err != nil {
		h.fail(e.Instance, err.Error())
		return
	}
	h.balancers[e.Instance] = balancer
}

// fail drops an instance and tells why.
func (h *host) fail(instance uint16, reason string) {
	delete(h.balancers, instance)
	h.reply.InstanceFailed(reason)
}
