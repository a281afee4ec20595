// Command simhost hosts decision instances on the simulator's wire: it reads
// batches of events from standard input and writes their actions to standard
// output. It decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/simprotocol"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// host keeps the instances of one process.
type host struct {
	gateways map[uint16]*policy.Balancer
	reply    simprotocol.Reply
}

func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	h := &host{gateways: map[uint16]*policy.Balancer{}}
	var body []byte
	for {
		batch, err := simprotocol.ReadBatch(r, body)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		body = batch.Body
		h.reply.Begin(batch.Index)
		if err := batch.Decode(func(e *simprotocol.Event) { h.take(batch.Now, e) }); err != nil {
			return err
		}
		if _, err := w.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("writing reply %d: %w", batch.Index, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing reply %d: %w", batch.Index, err)
		}
	}
}

// take carries one event to its instance. A panic there is told as broken, and
// the instance is gone.
func (h *host) take(now policy.Time, e *simprotocol.Event) {
	h.reply.SetInstance(e.Instance)
	defer func() {
		if p := recover(); p != nil {
			delete(h.gateways, e.Instance)
			h.reply.InstanceFailed(fmt.Sprint("panic: ", p))
		}
	}()
	switch e.Kind {
	case simprotocol.InstanceStarted:
		h.provision(e)
		return
	case simprotocol.InstanceStopped:
		delete(h.gateways, e.Instance)
		return
	}
	g := h.gateways[e.Instance]
	if g == nil {
		return
	}
	switch e.Kind {
	case simprotocol.EndpointsChanged:
		g.UpdateEndpoints(now, e.ListKind, e.Endpoints)
	case simprotocol.RequestReceived:
		g.Request(now, e.Request)
	case simprotocol.ResponseStarted:
		g.ResponseStarted(now, e.Outcome.ID)
	case simprotocol.AttemptEnded:
		g.Outcome(now, e.Outcome)
	case simprotocol.ClientGone:
		g.ClientGone(now, e.Outcome.ID)
	case simprotocol.TimerFired:
		g.Timer(now, e.TimerToken)
	case simprotocol.ProbeEnded:
		g.ReceiveProbeResult(now, e.Backend, e.Result, e.Load)
	case simprotocol.PeerMessageReceived:
		g.ReceivePeerMessage(now, e.From, e.Message)
	case simprotocol.CounterAnswered:
		g.ReceiveCounterTotal(now, e.CounterName, e.Result, e.CounterTotal)
	}
}

func (h *host) provision(e *simprotocol.Event) {
	set, err := simprotocol.ParseSettings(e.Settings)
	if err == nil {
		var g *policy.Balancer
		if g, err = policy.New(set, e.Seed, &h.reply); err == nil {
			h.gateways[e.Instance] = g
			return
		}
	}
	delete(h.gateways, e.Instance)
	h.reply.InstanceFailed(err.Error())
}
