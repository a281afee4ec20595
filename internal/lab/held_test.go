package lab

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"
)

// Whoever shares the clients' socket may have it block: each start of another process beside a gateway does. A gateway that is told to
// stop ends all the same, though nobody connects any more.
func TestASocketThatBlocksHoldsNobodyUp(t *testing.T) {
	if !HasGo() {
		t.Skip("no Go to build the gateway with")
	}
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	bin := ""
	remove, err := buildIfNone(ctx, &bin)
	if err != nil {
		t.Fatal(err)
	}
	defer remove()
	w, err := NewWorld(ctx, Options{Seed: 1, Gateways: 1, Servers: 2, Load: 0.1, Bin: bin, Held: true, Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	g := w.Gateways[0]
	for range 3 {
		if err := syscall.SetNonblock(int(g.held.Fd()), false); err != nil {
			t.Fatal(err)
		}
		if !g.ping() {
			t.Fatal("it does not answer")
		}
	}
	if err := g.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	stop, over := context.WithTimeout(ctx, 20*time.Second)
	defer over()
	if err := g.Gone(stop); err != nil {
		t.Errorf("%v\n%s", err, g.tail())
	}
}
