package gateway

import (
	"net"
	"strings"
	"testing"

	"mothcleat/internal/dataplane/resp"
)

// Guards against the loss of answers that the system still holds when the gateway closes a
// connection: a command that the client sent meanwhile met the closed socket, and its reset discarded
// them. The connection stays open until the client's system has received everything.
func TestShutdownDeliversAnswersToSlowReader(t *testing.T) {
	b := newFakeBackend(t)
	r := startGateway(t, testConfig(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")), nil))
	c := r.dialClient(t)
	_ = c.conn.(*net.TCPConn).SetReadBuffer(4096)
	value := strings.Repeat("v", resp.MaxValue)
	for id := 1; id <= 2; id++ {
		c.sendOnce(id)
		b.commandWithID(t, id).replyValue(t, value)
	}
	waitUntil(t, r.gateway, "the answers to be written", func(g *Gateway) bool {
		conn := connOf(g, c)
		return len(conn.pipeline) == 0 && conn.out.drained()
	})
	r.stoppedSince(t, acceptingHasEnded)
	waitUntil(t, r.gateway, "the end of the write side", func(g *Gateway) bool {
		conn := connOf(g, c)
		return conn == nil || conn.writeEnded
	})
	closed := onEventLoop(t, r.gateway, func(g *Gateway) bool {
		conn := connOf(g, c)
		lingerTimer{client: conn}.due(g)
		return conn.closed
	})
	if closed {
		t.Error("closed before the client has received its answers")
	}
	c.sendOnce(3)
	c.wantValue(value)
	c.wantValue(value)
	c.wantClosed()
	c.conn.Close()
	wait(t, r.exited, "the end of the process")
}

// Guards against a drain that never closes a connection on which a command is always open, and
// against one that leaves commands unread behind an open request until it closes: from
// DrainIdleCloseAfter on they are rejected, and the connection closes after the answers.
func TestDrainClosesBusyConnection(t *testing.T) {
	b := newFakeBackend(t)
	r := startGateway(t, testConfig(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")), nil))
	c := r.dialClient(t)
	c.sendOnce(1)
	first := b.nextCommand(t)
	onEventLoop(t, r.gateway, func(g *Gateway) bool {
		g.lifecycle.Drain(g.now() - 2_000_000)
		g.shutdown.step(g)
		return true
	})
	c.sendOnce(2)
	waitUntil(t, r.gateway, "the second command", func(g *Gateway) bool {
		return len(connOf(g, c).pipeline) == 2
	})
	first.replyValue(t, "one")
	c.wantValue("one")
	c.wantBusy()
	c.wantClosed()
	if len(b.commands) > 0 {
		t.Error("a command was sent on although the drain closes the connection")
	}
}
