package gateway

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"mothcleat/internal/dataplane/hotrestart"
	"mothcleat/internal/dataplane/resp"
)

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
	b, h, d, old := startUpgradable(t)
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
			b, old, successor := startWithTestSuccessor(t)
			c, value := slowReader(t, old, b)
			takeState(t, successor)
			c.sendOnce(2)
			old.awaitHeld(t, c, 1)
			confirm(t, successor)
			end(successor)
			b.replyToAll(t, "second")
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
	b, h, _, old := startUpgradable(t)
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
	_, old, successor := startWithTestSuccessor(t)
	var waiting []*testClient
	for range clients {
		c := old.dialServedClient(t)
		waiting = append(waiting, c)
	}
	takeState(t, successor)
	body := strings.Repeat("b", resp.MaxValue-1000)
	for i, c := range waiting {
		c.send("API.WRITE", "0000000000000007", fmt.Sprintf("%016x", i+1),
			"c=once,t=team,d=60000,units=1,spread=1,first=0", body)
		old.awaitHeld(t, c, 1)
	}
	confirm(t, successor)
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
		c.wantBusy()
	}
	if rejected == 0 {
		t.Error("the successor has received all connections, although it did not read")
	}
}

// Guards against the loss of connections that were passed, but not received, when the successor
// exits: a predecessor that had nothing else to do had ended its event loop, and could not take them
// back.
func TestSuccessorExitAtEndOfPredecessor(t *testing.T) {
	b, old, successor := startWithTestSuccessor(t)
	c := old.dialServedClient(t)
	takeState(t, successor)
	c.sendOnce(1)
	old.awaitHeld(t, c, 1)
	confirm(t, successor)
	waitUntil(t, old.gateway, "all connections to be passed", func(g *Gateway) bool {
		return len(g.clients.conns) == 0
	})
	old.stoppedSince(t, acceptingHasEnded)
	successor.Close()
	b.replyToAll(t, "back")
	c.wantValueOrBusy("back")
	wait(t, old.exited, "the end of the process")
}
