package gateway

import (
	"strings"
	"testing"
)

// Guards against the loss of a command that the predecessor had read behind an open request: when
// that request was answered more than AcceptTime after SIGTERM, the connection was closed instead of
// passed to the successor.
func TestUpgradePassesCommandReadBehindOpenRequest(t *testing.T) {
	b, h, d, old := startUpgradable(t)
	c := old.dialClient(t)
	c.sendOnce(1)
	open := b.nextCommand(t)
	rest := old.sendPartOfLookup(t, c, 2)
	h.startProcess(t, d)
	old.stoppedSince(t, acceptingHasEnded)
	c.writeRaw(rest)
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
	b, h, d, old := startUpgradable(t)
	c := old.dialClient(t)
	c.sendOnce(1)
	open := b.nextCommand(t)
	rest := old.sendPartOfLookup(t, c, 2)
	onEventLoop(t, old.gateway, func(g *Gateway) bool {
		conn := connOf(g, c)
		conn.overLimit = true
		conn.closeWhenIdle = true
		return true
	})
	h.startProcess(t, d)
	c.writeRaw(rest)
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
	b, old, successor := startWithTestSuccessor(t)
	c := old.dialClient(t)
	c.sendOnce(1)
	open := b.nextCommand(t)
	onEventLoop(t, old.gateway, func(g *Gateway) bool {
		g.lifecycle.Drain(g.now() - 1_000_000)
		return true
	})
	takeState(t, successor)
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
	_, old, successor := startWithTestSuccessor(t)
	c := old.dialServedClient(t)
	takeState(t, successor)
	c.sendOnce(1)
	old.awaitHeld(t, c, 1)
	old.stoppedSince(t, openRequestsAreLate)
	c.wantBusy()
	c.wantClosed()
}

// Guards against a successor that reads on after input that can't be parsed: the predecessor passed
// the connection with a placeholder command, and the client's remaining bytes were taken for new
// commands. The predecessor answers what it had read and closes the connection.
func TestUnparsableInputIsNotPassed(t *testing.T) {
	_, old, successor := startWithTestSuccessor(t)
	c := old.dialServedClient(t)
	takeState(t, successor)
	c.sendOnce(1)
	c.writeRaw("no array\r\n")
	old.awaitHeld(t, c, 2)
	confirm(t, successor)
	c.wantBusy()
	if line := c.readLine(); !strings.HasPrefix(line, "-ERR protocol error") {
		t.Errorf("reply %q, want an error", line)
	}
	c.wantClosed()
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
			_, old, successor := startWithTestSuccessor(t)
			c := old.dialServedClient(t)
			takeState(t, successor)
			onEventLoop(t, old.gateway, func(g *Gateway) bool {
				sweep(g, connOf(g, c))
				return true
			})
			confirm(t, successor)
			conn := receivePassed(t, successor, c)
			if _, err := conn.Conn.Write([]byte("+PONG\r\n")); err != nil {
				t.Fatal(err)
			}
			c.wantLine("+PONG")
		})
	}
}
