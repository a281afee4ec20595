package main

import (
	"fmt"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/simprotocol"
)

// host holds the Balancers of all gateways in this process, by instance number.
type host struct {
	balancers map[uint16]*policy.Balancer
	reply     simprotocol.Reply
}

func newHost() *host { return &host{balancers: map[uint16]*policy.Balancer{}} }

// handleBatch handles the events of a batch and returns the reply's frame, which is valid until the
// next call.
func (h *host) handleBatch(batch *simprotocol.Batch) ([]byte, error) {
	h.reply.Begin(batch.Index)
	err := batch.Decode(func(e *simprotocol.Event) { h.handle(batch.Now, e) })
	if err != nil {
		return nil, err
	}
	return h.reply.Bytes(), nil
}

// handle passes one event to its instance. If that panics, the instance is removed, and the reply
// reports its failure.
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

// dispatch calls the method of a Balancer that handles an event.
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

// start starts an instance and replaces an earlier one with the same number. If the settings are
// invalid, the instance fails.
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

// fail removes an instance and reports the reason.
func (h *host) fail(instance uint16, reason string) {
	delete(h.balancers, instance)
	h.reply.InstanceFailed(reason)
}
