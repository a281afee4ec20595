package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

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

// Guards against the loss of a command that the predecessor had read behind an open request: when
// that request was answered more than AcceptTime after SIGTERM, the connection was closed instead of
// passed to the successor.
func TestUpgradePassesCommandReadBehindOpenRequest(t *testing.T) {
	b := newFakeBackend(t)
	h := newSharedListener(t)
	d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
	old := h.startProcess(t, d)
	c := old.dialClient(t)
	c.sendOnce(1)
	open := b.nextCommand(t)
	second := encodedLookup(2)
	c.writeRaw(second[:commandPrefixLength])
	old.awaitPartialCommand(t, c)
	h.startProcess(t, d)
	old.stoppedSince(t, acceptingHasEnded)
	c.writeRaw(second[commandPrefixLength:])
	old.awaitHeld(t, c, 1)
	open.replyValue(t, "open")
	c.wantValue("open")
	b.commandWithID(t, 2).replyValue(t, "second")
	c.wantValue("second")
	wait(t, old.exited, "the end of the predecessor")
	c.sendLookup(3, "60000")
	b.commandWithID(t, 3).replyValue(t, "third")
	c.wantValue("third")
}

// Guards against the loss of held commands on a connection that is over the limit: it was closed
// after its answer although commands had been read behind it.
func TestUpgradePassesConnectionOverLimit(t *testing.T) {
	b := newFakeBackend(t)
	h := newSharedListener(t)
	d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
	old := h.startProcess(t, d)
	c := old.dialClient(t)
	c.sendOnce(1)
	open := b.nextCommand(t)
	second := encodedLookup(2)
	c.writeRaw(second[:commandPrefixLength])
	old.awaitPartialCommand(t, c)
	onEventLoop(t, old.gateway, func(g *Gateway) bool {
		conn := connOf(g, c)
		conn.overLimit = true
		conn.closeWhenIdle = true
		return true
	})
	h.startProcess(t, d)
	c.writeRaw(second[commandPrefixLength:])
	old.awaitHeld(t, c, 1)
	open.replyValue(t, "open")
	c.wantValue("open")
	b.commandWithID(t, 2).replyValue(t, "second")
	c.wantValue("second")
}

// Guards against the loss of a command that is held until it is known whether a successor takes
// over: a drain closed the connection after its last open answer. The successor exits before it has
// taken over, and the command is answered here.
func TestDrainKeepsCommandHeldForSuccessor(t *testing.T) {
	b := newFakeBackend(t)
	old, successor := startAndFindPredecessor(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	c := old.dialClient(t)
	c.sendOnce(1)
	open := b.nextCommand(t)
	onEventLoop(t, old.gateway, func(g *Gateway) bool {
		g.lifecycle.Drain(g.now() - 1_000_000)
		return true
	})
	if _, err := successor.TakeState(); err != nil {
		t.Fatal(err)
	}
	c.sendOnce(2)
	old.awaitHeld(t, c, 1)
	open.replyValue(t, "open")
	c.wantValue("open")
	waitUntil(t, old.gateway, "the decision on the connection", func(g *Gateway) bool {
		conn := connOf(g, c)
		// Before the fix, the reader halted here and the write side was shut down.
		return conn.closeWhenIdle && (conn.writeEnded || !conn.reading.haltRequested)
	})
	successor.Close()
	b.commandWithID(t, 2).replyValue(t, "second")
	c.wantValue("second")
	c.wantClosed()
}

// Guards against the loss of a command that is held until it is known whether a successor takes
// over, when the time to fail open requests comes first: it is rejected.
func TestHeldCommandIsRejectedBeforeKill(t *testing.T) {
	b := newFakeBackend(t)
	old, successor := startAndFindPredecessor(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	c := old.dialClient(t)
	c.send("PING")
	c.wantLine("+PONG")
	if _, err := successor.TakeState(); err != nil {
		t.Fatal(err)
	}
	c.sendOnce(1)
	old.awaitHeld(t, c, 1)
	old.stoppedSince(t, openRequestsAreLate)
	if line := c.readLine(); !strings.HasPrefix(line, "-BUSY") {
		t.Errorf("reply %q, want -BUSY", line)
	}
	c.wantClosed()
}

// Guards against a successor that reads on after input that can't be parsed: the predecessor passed
// the connection with a placeholder command, and the client's remaining bytes were taken for new
// commands. The predecessor answers what it had read and closes the connection.
func TestUnparsableInputIsNotPassed(t *testing.T) {
	b := newFakeBackend(t)
	old, successor := startAndFindPredecessor(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	c := old.dialClient(t)
	c.send("PING")
	c.wantLine("+PONG")
	if _, err := successor.TakeState(); err != nil {
		t.Fatal(err)
	}
	c.sendOnce(1)
	c.writeRaw("no array\r\n")
	old.awaitHeld(t, c, 2)
	if err := successor.Confirm(); err != nil {
		t.Fatal(err)
	}
	if line := c.readLine(); !strings.HasPrefix(line, "-BUSY") {
		t.Errorf("reply %q, want -BUSY", line)
	}
	if line := c.readLine(); !strings.HasPrefix(line, "-ERR protocol error") {
		t.Errorf("reply %q, want an error", line)
	}
	c.wantClosed()
}

// Guards against a client whose commands are never answered because it had sent more of them than
// the pipeline has slots for: its reader waited for a slot, and did not end for the successor.
func TestUpgradePassesFullPipeline(t *testing.T) {
	const commands = maxPipelined + 10
	b := newFakeBackend(t)
	old, successor := startAndFindPredecessor(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	c := old.dialClient(t)
	c.send("PING")
	c.wantLine("+PONG")
	if _, err := successor.TakeState(); err != nil {
		t.Fatal(err)
	}
	for i := range commands {
		c.sendLookup(i+1, "60000")
	}
	old.awaitHeld(t, c, maxPipelined)
	if err := successor.Confirm(); err != nil {
		t.Fatal(err)
	}
	conn := receivePassed(t, successor, c)
	in := resp.NewReader(io.MultiReader(bytes.NewReader(conn.Unread), conn.Conn))
	for i := range commands {
		args, err := in.ReadCommand()
		if err != nil || string(args[2]) != fmt.Sprintf("%016x", i+1) {
			t.Fatalf("command %d: %q, %v", i+1, args, err)
		}
	}
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

// Guards against a timeout that starts too late: commands that arrived behind an open request during
// an upgrade waited in the socket, and their time counted from when the successor read them. Each
// command's time counts from its own arrival.
func TestUpgradeCountsTimeBehindOpenRequest(t *testing.T) {
	const (
		timeout   = 60_000 // milliseconds, as encodedLookup has it
		firstWait = 40     // milliseconds between the commands
		lastWait  = 60     // milliseconds from the last command to the answer
	)
	b := newFakeBackend(t)
	h := newSharedListener(t)
	d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
	old := h.startProcess(t, d)
	c := old.dialClient(t)
	c.sendOnce(1)
	open := b.nextCommand(t)
	h.startProcess(t, d)
	c.sendLookup(2, "60000")
	old.awaitHeld(t, c, 1)
	old.awaitClock(t, firstWait*1000)
	c.sendLookup(3, "60000")
	old.awaitHeld(t, c, 2)
	old.awaitClock(t, lastWait*1000)
	open.replyValue(t, "open")
	c.wantValue("open")
	calls := map[string]*backendCall{} // by request id: they may arrive in any order
	for range 2 {
		call := b.nextCommand(t)
		calls[string(call.args[2])] = call
	}
	second, third := calls[fmt.Sprintf("%016x", 2)], calls[fmt.Sprintf("%016x", 3)]
	if second == nil || third == nil {
		t.Fatalf("the backend got %v, want the two commands", calls)
	}
	if told := second.toldTimeout(t); told > timeout-firstWait-lastWait {
		t.Errorf("told %d ms for the first command, more than is left", told)
	}
	if told := third.toldTimeout(t); told > timeout-lastWait {
		t.Errorf("told %d ms for the second command, more than is left", told)
	}
	second.replyValue(t, "second")
	third.replyValue(t, "third")
	c.wantValue("second")
	c.wantValue("third")
}

// Guards against held commands that fill the memory: once their limit is reached, a connection with
// an open request is no longer read, and what its client sends on stays in the socket until the
// successor reads it.
func TestUpgradeLimitsHeldCommands(t *testing.T) {
	b := newFakeBackend(t)
	old, successor := startAndFindPredecessor(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	c := old.dialClient(t)
	c.sendOnce(1)
	open := b.nextCommand(t)
	if _, err := successor.TakeState(); err != nil {
		t.Fatal(err)
	}
	onEventLoop(t, old.gateway, func(g *Gateway) bool {
		g.handover.heldBytes += g.maxHeldBytes()
		return true
	})
	if err := successor.Confirm(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, old.gateway, "the end of the reader", func(g *Gateway) bool {
		conn := connOf(g, c)
		return conn != nil && conn.reading.detached
	})
	c.sendLookup(2, "60000")
	open.replyValue(t, "open")
	c.wantValue("open")
	conn := receivePassed(t, successor, c)
	if conn.State.HeldCommands != 0 || len(conn.Unread) != 0 {
		t.Errorf("%d commands were read, want none", conn.State.HeldCommands)
	}
	args, err := resp.NewReader(conn.Conn).ReadCommand()
	if err != nil || string(args[2]) != fmt.Sprintf("%016x", 2) {
		t.Errorf("the command in the socket: %q, %v", args, err)
	}
	if n := onEventLoop(t, old.gateway, func(g *Gateway) int {
		return g.handover.heldBytes - g.maxHeldBytes()
	}); n != 0 {
		t.Errorf("%d bytes of held commands are counted after all were passed", n)
	}
}

// Guards against the loss of a command of which only a part had arrived when the predecessor ended:
// its client had paused, so the predecessor did not wait for it, and its end reset the connection.
func TestUpgradePassesPartialCommand(t *testing.T) {
	b := newFakeBackend(t)
	h := newSharedListener(t)
	d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
	old := h.startProcess(t, d)
	c := old.dialClient(t)
	command := encodedLookup(1)
	c.writeRaw(command[:commandPrefixLength])
	old.awaitPartialCommand(t, c)
	h.startProcess(t, d)
	old.beginShutdown()
	wait(t, old.exited, "the end of the predecessor")
	c.writeRaw(command[commandPrefixLength:])
	b.commandWithID(t, 1).replyValue(t, "whole")
	c.wantValue("whole")
}

// Guards against the same loss behind an open request that is failed because SIGKILL is near.
func TestUpgradePassesPartialCommandBehindFailedRequest(t *testing.T) {
	b := newFakeBackend(t)
	h := newSharedListener(t)
	d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
	old := h.startProcess(t, d)
	c := old.dialClient(t)
	c.sendOnce(1)
	b.nextCommand(t)
	command := encodedLookup(2)
	c.writeRaw(command[:commandPrefixLength])
	old.awaitPartialCommand(t, c)
	h.startProcess(t, d)
	old.stoppedSince(t, openRequestsAreLate)
	c.wantLine("-ERR failed")
	wait(t, old.exited, "the end of the predecessor")
	c.writeRaw(command[commandPrefixLength:])
	b.commandWithID(t, 2).replyValue(t, "second")
	c.wantValue("second")
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

// A client that stalls in the middle of a command has the same time in all, however often its
// connection is passed: the successor is told for how long the client has been sending.
func TestUpgradePassesWaitOfPartialCommand(t *testing.T) {
	const wait policy.Time = 50_000
	b := newFakeBackend(t)
	old, successor := startAndFindPredecessor(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	c := old.dialClient(t)
	c.send("PING")
	c.wantLine("+PONG")
	command := encodedLookup(1)
	c.writeRaw(command[:commandPrefixLength])
	old.awaitPartialCommand(t, c)
	old.awaitClock(t, wait)
	if _, err := successor.TakeState(); err != nil {
		t.Fatal(err)
	}
	if err := successor.Confirm(); err != nil {
		t.Fatal(err)
	}
	conn := receivePassed(t, successor, c)
	if string(conn.Unread) != command[:commandPrefixLength] || conn.State.WaitedUS < wait {
		t.Fatalf("passed %q after %d us of waiting", conn.Unread, conn.State.WaitedUS)
	}
	next := clientFrom(&conn, 0)
	next.reading.beginCommand(conn.Conn, nil)
	if left := time.Until(next.reading.waitingSince.Add(commandTimeout)); left > commandTimeout-
		time.Duration(wait)*time.Microsecond {
		t.Errorf("the client has %v for the rest of its command", left)
	}
}

// A command that is skipped because of its size can't be passed in part: it is rejected, and its
// connection closed.
func TestUpgradeRejectsPartOfLargeCommand(t *testing.T) {
	b := newFakeBackend(t)
	old, successor := startAndFindPredecessor(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	c := old.dialClient(t)
	c.send("PING")
	c.wantLine("+PONG")
	c.writeRaw("*1\r\n$100000\r\n" + strings.Repeat("x", 70_000))
	old.awaitPartialCommand(t, c)
	waitUntil(t, old.gateway, "the reader to skip the command", func(g *Gateway) bool {
		return connOf(g, c).out.nothingToRead()
	})
	if _, err := successor.TakeState(); err != nil {
		t.Fatal(err)
	}
	if err := successor.Confirm(); err != nil {
		t.Fatal(err)
	}
	c.wantLine("-ERR command too large")
	c.wantClosed()
}

// slowReader is a client that has an answer of which the gateway holds a part, because the socket
// takes no more.
func slowReader(t testing.TB, old *testGateway, b *fakeBackend) (c *testClient, value string) {
	t.Helper()
	c = old.dialClient(t)
	_ = c.conn.(*net.TCPConn).SetReadBuffer(4096)
	c.sendOnce(1)
	call := b.nextCommand(t)
	onEventLoop(t, old.gateway, func(g *Gateway) error {
		return connOf(g, c).conn.SetWriteBuffer(4096)
	})
	value = strings.Repeat("v", resp.MaxValue)
	call.replyValue(t, value)
	waitUntil(t, old.gateway, "an answer that is not written", func(g *Gateway) bool {
		conn := connOf(g, c)
		return len(conn.pipeline) == 0 && !conn.out.drained()
	})
	return c, value
}

// Guards against the loss of a command behind an answer that the client reads slowly: the
// predecessor kept the connection until the answer was written, and closed it when it ended.
func TestUpgradePassesUnsentAnswer(t *testing.T) {
	b := newFakeBackend(t)
	h := newSharedListener(t)
	d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
	old := h.startProcess(t, d)
	c, value := slowReader(t, old, b)
	next := h.startProcess(t, d)
	c.sendLookup(2, "60000")
	old.beginShutdown()
	wait(t, old.exited, "the end of the predecessor")
	b.commandWithID(t, 2).replyValue(t, "second")
	waitUntil(t, next.gateway, "the second answer", func(g *Gateway) bool {
		return g.requests.open == 0
	})
	c.wantValue(value)
	c.wantValue("second")
}

// If the successor exits without having received such a connection, or accepts no more, the
// predecessor goes on writing the answer, and answers the command behind it.
func TestUnsentAnswerWithoutSuccessor(t *testing.T) {
	for name, end := range map[string]func(*hotrestart.Predecessor){
		"the successor exits":         (*hotrestart.Predecessor).Close,
		"the successor takes no more": (*hotrestart.Predecessor).Leave,
	} {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend(t)
			d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
			old, successor := startAndFindPredecessor(t, d)
			c, value := slowReader(t, old, b)
			if _, err := successor.TakeState(); err != nil {
				t.Fatal(err)
			}
			c.sendOnce(2)
			old.awaitHeld(t, c, 1)
			if err := successor.Confirm(); err != nil {
				t.Fatal(err)
			}
			end(successor)
			go func() {
				for call := range b.commands {
					call.replyValue(t, "second")
				}
			}()
			c.wantValue(value)
			c.wantValueOrBusy("second")
			c.send("PING")
			if line := c.readLine(); line != "+PONG" && line != "-ERR handed over" {
				t.Errorf("reply %q to PING", line)
			}
		})
	}
}

// A successor of an earlier build does not take over answers: the predecessor writes them, and then
// passes the connection.
func TestEarlierSuccessorGetsNoUnsentAnswer(t *testing.T) {
	b := newFakeBackend(t)
	h := newSharedListener(t)
	d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
	old := h.startProcess(t, d)
	c, value := slowReader(t, old, b)
	link, err := net.Dial("unixpacket", h.rendezvousPath)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	for _, message := range []string{"T", "Kreceipts"} {
		if _, err := link.Write([]byte(message)); err != nil {
			t.Fatal(err)
		}
	}
	waitUntil(t, old.gateway, "the takeover", func(g *Gateway) bool {
		conn := connOf(g, c)
		return g.lifecycle.PassesConns() && conn != nil && conn.reading.detached
	})
	if passes := onEventLoop(t, old.gateway, func(g *Gateway) bool {
		g.settleConns()
		return connOf(g, c) == nil
	}); passes {
		t.Error("passed with an answer that is not written")
	}
	c.wantValue(value)
	waitUntil(t, old.gateway, "the connection to be passed", func(g *Gateway) bool {
		return connOf(g, c) == nil
	})
}

// Guards against the loss of a connection of which the successor has received only a part, or
// nothing, because it no longer reads: the predecessor closed it like those that the successor may
// have received. The predecessor answers its commands.
func TestHungSuccessorLosesNoConnection(t *testing.T) {
	const clients = 10
	b := newFakeBackend(t)
	old, successor := startAndFindPredecessor(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	var waiting []*testClient
	for range clients {
		c := old.dialClient(t)
		c.send("PING")
		c.wantLine("+PONG")
		waiting = append(waiting, c)
	}
	if _, err := successor.TakeState(); err != nil {
		t.Fatal(err)
	}
	body := strings.Repeat("b", resp.MaxValue-1000)
	for i, c := range waiting {
		c.send("API.WRITE", "0000000000000007", fmt.Sprintf("%016x", i+1),
			"c=once,t=team,d=60000,units=1,spread=1,first=0", body)
		old.awaitHeld(t, c, 1)
	}
	if err := successor.Confirm(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, old.gateway, "the end of the passing", func(g *Gateway) bool {
		return g.lifecycle.HandedOver() && !g.lifecycle.PassesConns()
	})
	received := map[string]bool{}
	_ = successor.ReceiveClients(func(c hotrestart.ClientConn) {
		received[c.Conn.RemoteAddr().String()] = true
	})
	rejected := 0
	for _, c := range waiting {
		if received[c.conn.LocalAddr().String()] {
			continue
		}
		rejected++
		if line := c.readLine(); !strings.HasPrefix(line, "-BUSY") {
			t.Errorf("reply %q, want -BUSY", line)
		}
	}
	if rejected == 0 {
		t.Error("the successor has received all connections, although it did not read")
	}
}

// Guards against a connection that this process closes, for its idle time or the connection limit,
// while a successor is about to take it over: the next command of its client met a closed
// connection.
func TestUpgradePassesIdleConnections(t *testing.T) {
	for name, sweep := range map[string]func(*Gateway, *client){
		"idle": func(g *Gateway, c *client) {
			c.lastCommand = 0
			c.lastByte.Store(0)
			g.clients.closeIdle(g)
		},
		"over the limit": func(g *Gateway, c *client) {
			c.lastCommand = 0
			c.lastByte.Store(0)
			g.clients.maxServed = 0
			g.clients.evict(g, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend(t)
			d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
			old, successor := startAndFindPredecessor(t, d)
			c := old.dialClient(t)
			c.send("PING")
			c.wantLine("+PONG")
			if _, err := successor.TakeState(); err != nil {
				t.Fatal(err)
			}
			onEventLoop(t, old.gateway, func(g *Gateway) bool {
				sweep(g, connOf(g, c))
				return true
			})
			if err := successor.Confirm(); err != nil {
				t.Fatal(err)
			}
			conn := receivePassed(t, successor, c)
			if _, err := conn.Conn.Write([]byte("+PONG\r\n")); err != nil {
				t.Fatal(err)
			}
			c.wantLine("+PONG")
		})
	}
}

// Guards against the loss of connections that were passed, but not received, when the successor
// exits: a predecessor that had nothing else to do had ended its event loop, and could not take them
// back.
func TestSuccessorExitAtEndOfPredecessor(t *testing.T) {
	b := newFakeBackend(t)
	old, successor := startAndFindPredecessor(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	c := old.dialClient(t)
	c.send("PING")
	c.wantLine("+PONG")
	if _, err := successor.TakeState(); err != nil {
		t.Fatal(err)
	}
	c.sendOnce(1)
	old.awaitHeld(t, c, 1)
	if err := successor.Confirm(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, old.gateway, "all connections to be passed", func(g *Gateway) bool {
		return len(g.clients.conns) == 0
	})
	old.stoppedSince(t, acceptingHasEnded)
	successor.Close()
	go func() {
		for call := range b.commands {
			call.replyValue(t, "back")
		}
	}()
	c.wantValueOrBusy("back")
	wait(t, old.exited, "the end of the process")
}
