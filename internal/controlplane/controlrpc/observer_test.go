package controlrpc

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc/stats"

	"mothcleat/internal/controlplane/consensus"
)

// countingHandler counts messages.
type countingHandler struct{ in, out atomic.Int64 }

func (h *countingHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}
func (h *countingHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}
func (h *countingHandler) HandleConn(context.Context, stats.ConnStats) {}
func (h *countingHandler) HandleRPC(_ context.Context, event stats.RPCStats) {
	switch event.(type) {
	case *stats.InPayload:
		h.in.Add(1)
	case *stats.OutPayload:
		h.out.Add(1)
	}
}

// An observer is notified of the connections and messages of a client. A client without an observer
// works as well.
func TestObserver(t *testing.T) {
	all, _ := startVoters(t, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	messages, connections := &countingHandler{}, atomic.Int64{}
	observed, plain := newTestClient(t, "a", all), newTestClient(t, "b", all)
	observed.Observe(&Observer{Stats: messages, Wrap: func(conn net.Conn) net.Conn {
		connections.Add(1)
		return conn
	}})
	for _, c := range []*Client{observed, plain} {
		if _, err := c.Read(ctx, consensus.MembershipName, nil); err != nil {
			t.Fatal(err)
		}
	}
	in, out := messages.in.Load(), messages.out.Load()
	if connections.Load() == 0 || in == 0 || out < in {
		t.Errorf("observed %d connections, %d messages in, %d out", connections.Load(), in, out)
	}
}

// An observer is notified of accepted connections as well. A nil observer leaves a listener
// unchanged.
func TestObserverOfAListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var none *Observer
	if none.Listener(l) != l || none.ServerOptions() != nil || none.dialOptions() != nil {
		t.Error("a nil observer wraps the listener or adds options")
	}
	accepted := 0
	o := &Observer{Wrap: func(conn net.Conn) net.Conn {
		accepted++
		return conn
	}}
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	other, err := o.Listener(l).Accept()
	if err != nil || accepted != 1 {
		t.Fatalf("%d connections observed, want 1; error %v", accepted, err)
	}
	_ = other.Close()
}
