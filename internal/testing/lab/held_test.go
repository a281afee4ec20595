package lab

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"
)

// testWorld is a world for a test, of a gateway that is built for it.
func testWorld(t *testing.T, o Options) (*World, context.Context) {
	t.Helper()
	if !HasGo() {
		t.Skip("no Go to build the gateway with")
	}
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	t.Cleanup(cancel)
	remove, err := buildIfNone(ctx, &o.Bin)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(remove)
	o.Log = io.Discard
	w, err := NewWorld(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w, ctx
}

// Whoever shares the clients' socket may have it block: each start of another process beside a
// gateway does. A gateway that is told to stop ends all the same, though nobody connects any more.
func TestBlockingListenerDoesNotDelayShutdown(t *testing.T) {
	w, ctx := testWorld(t, Options{Seed: 1, Gateways: 1, Servers: 2, Load: 0.1, Held: true})
	g := w.Gateways[0]
	for range 3 {
		if err := syscall.SetNonblock(int(g.listenerFile.Fd()), false); err != nil {
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
	if err := g.WaitForExit(stop); err != nil {
		t.Errorf("%v\n%s", err, g.logTail())
	}
}
