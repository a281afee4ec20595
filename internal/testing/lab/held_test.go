package lab

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"
)

// testWorld builds a gateway and starts a world for a test, which becomes parallel. The test is
// skipped without the go command.
func testWorld(t *testing.T, o Options) (*World, context.Context) {
	t.Helper()
	if !HasGo() {
		t.Skip("the go command is not installed")
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

// A process that shares the socket for clients may switch it to blocking mode; each start of another
// process beside a gateway does so. A gateway must still exit on SIGTERM, even if no client connects
// any more.
func TestBlockingListenerDoesNotDelayShutdown(t *testing.T) {
	w, ctx := testWorld(t, Options{Seed: 1, Gateways: 1, Servers: 2, Load: 0.1, Held: true})
	g := w.Gateways[0]
	for range 3 {
		if err := syscall.SetNonblock(int(g.listenerFile.Fd()), false); err != nil {
			t.Fatal(err)
		}
		if !g.ping() {
			t.Fatal("the gateway does not answer PING")
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
