package gateway

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"mothcleat/internal/dataplane/hotrestart"
	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

// The times of the shutdown in these tests, from its start.
const (
	acceptingHasEnded   policy.Time = 600_000   // connections close after their answers
	openRequestsAreLate policy.Time = 3_250_000 // open requests are failed
)

// commandPrefixLength is how many bytes of a command arrive before the rest.
const commandPrefixLength = 40

// encodedLookup returns a command of class lookup in its RESP2 encoding.
func encodedLookup(id int) string {
	b := resp.AppendArray(nil, 4)
	for _, arg := range []string{
		"API.READ", "0000000000000007", fmt.Sprintf("%016x", id),
		"c=lookup,t=team,d=60000,units=1,spread=1,first=0",
	} {
		b = resp.AppendBulk(b, []byte(arg))
	}
	return string(b)
}

// startUpgradable starts a process that a successor on the same listener can replace.
func startUpgradable(
	t testing.TB,
) (b *fakeBackend, h *sharedListener, d *fakeDiscovery, old *testGateway) {
	t.Helper()
	b = newFakeBackend(t)
	h = newSharedListener(t)
	d = newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
	return b, h, d, h.startProcess(t, d)
}

// startWithTestSuccessor starts a process whose successor the test plays.
func startWithTestSuccessor(
	t testing.TB,
) (b *fakeBackend, old *testGateway, successor *hotrestart.Predecessor) {
	t.Helper()
	b = newFakeBackend(t)
	old, successor = startAndFindPredecessor(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	return b, old, successor
}

// takeState requests the state of a process as its successor. The process then holds commands.
func takeState(t testing.TB, successor *hotrestart.Predecessor) {
	t.Helper()
	if _, err := successor.TakeState(); err != nil {
		t.Fatal(err)
	}
}

// confirm takes over from a process as its successor.
func confirm(t testing.TB, successor *hotrestart.Predecessor) {
	t.Helper()
	if err := successor.Confirm(); err != nil {
		t.Fatal(err)
	}
}

// dialServedClient connects a new client and waits until the process serves its connection.
func (r *testGateway) dialServedClient(t testing.TB) *testClient {
	t.Helper()
	c := r.dialClient(t)
	c.send("PING")
	c.wantLine("+PONG")
	return c
}

// sendPartOfLookup sends the first bytes of a command, waits until the process has read them, and
// returns the rest.
func (r *testGateway) sendPartOfLookup(t testing.TB, c *testClient, id int) (rest string) {
	t.Helper()
	command := encodedLookup(id)
	c.writeRaw(command[:commandPrefixLength])
	r.awaitPartialCommand(t, c)
	return command[commandPrefixLength:]
}

// wantBusy reads a rejection.
func (c *testClient) wantBusy() {
	c.t.Helper()
	if line := c.readLine(); !strings.HasPrefix(line, "-BUSY") {
		c.t.Errorf("reply %q, want -BUSY", line)
	}
}

// replyToAll replies to all further commands with the same value, in the background.
func (b *fakeBackend) replyToAll(t testing.TB, value string) {
	go func() {
		for call := range b.commands {
			call.replyValue(t, value)
		}
	}()
}

// stoppedSince starts the shutdown of a process as if it had been requested some time ago.
func (r *testGateway) stoppedSince(t testing.TB, elapsed policy.Time) {
	t.Helper()
	onEventLoop(t, r.gateway, func(g *Gateway) bool {
		g.lifecycle.Stop(g.now() - elapsed)
		g.shutdown.step(g)
		return true
	})
}

// connOf returns the gateway's side of a client's connection, or nil if it has none.
func connOf(g *Gateway, c *testClient) *client {
	for conn := range g.clients.conns {
		if conn.conn.RemoteAddr().String() == c.conn.LocalAddr().String() {
			return conn
		}
	}
	return nil
}

// awaitHeld waits until a process holds a number of commands of a client.
func (r *testGateway) awaitHeld(t testing.TB, c *testClient, commands int) {
	t.Helper()
	waitUntil(t, r.gateway, "a held command", func(g *Gateway) bool {
		conn := connOf(g, c)
		return conn != nil && len(conn.reading.held) == commands
	})
}

// awaitPartialCommand waits until a process has read a part of a client's command.
func (r *testGateway) awaitPartialCommand(t testing.TB, c *testClient) {
	t.Helper()
	waitUntil(t, r.gateway, "a partial command", func(g *Gateway) bool {
		conn := connOf(g, c)
		return conn != nil && conn.midCommand.Load()
	})
}

// awaitClock waits until some time has passed on a process's clock.
func (r *testGateway) awaitClock(t testing.TB, elapsed policy.Time) {
	t.Helper()
	start := onEventLoop(t, r.gateway, func(g *Gateway) policy.Time { return g.now() })
	waitUntil(t, r.gateway, "time to pass", func(g *Gateway) bool {
		return g.now()-start >= elapsed
	})
}

// toldTimeout returns the timeout in milliseconds that a command tells its backend.
func (c *backendCall) toldTimeout(t testing.TB) int {
	t.Helper()
	for _, field := range strings.Split(string(c.args[3]), ",") {
		if value, ok := strings.CutPrefix(field, "d="); ok {
			timeout, err := strconv.Atoi(value)
			if err != nil {
				t.Fatal(err)
			}
			return timeout
		}
	}
	t.Fatalf("no timeout in %q", c.args[3])
	return 0
}

// receivePassed lets the test receive the connections that a process passes, as its successor, and
// returns that of a client.
func receivePassed(
	t testing.TB, successor *hotrestart.Predecessor, c *testClient,
) hotrestart.ClientConn {
	t.Helper()
	passed := make(chan hotrestart.ClientConn, 4)
	go func() { _ = successor.ReceiveClients(func(c hotrestart.ClientConn) { passed <- c }) }()
	for {
		conn := wait(t, passed, "the connection")
		if conn.Conn.RemoteAddr().String() == c.conn.LocalAddr().String() {
			return conn
		}
		// It is that of the test gateway's first PING.
	}
}
