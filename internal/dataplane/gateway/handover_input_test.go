package gateway

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

// Guards against a client whose commands are never answered because it had sent more of them than
// the pipeline has slots for: its reader waited for a slot, and did not end for the successor.
func TestUpgradePassesFullPipeline(t *testing.T) {
	const commands = maxPipelined + 10
	_, old, successor := startWithTestSuccessor(t)
	c := old.dialServedClient(t)
	takeState(t, successor)
	for i := range commands {
		c.sendLookup(i+1, "60000")
	}
	old.awaitHeld(t, c, maxPipelined)
	confirm(t, successor)
	conn := receivePassed(t, successor, c)
	in := resp.NewReader(io.MultiReader(bytes.NewReader(conn.Unread), conn.Conn))
	for i := range commands {
		args, err := in.ReadCommand()
		if err != nil || string(args[2]) != fmt.Sprintf("%016x", i+1) {
			t.Fatalf("command %d: %q, %v", i+1, args, err)
		}
	}
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
	b, h, d, old := startUpgradable(t)
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
	b, old, successor := startWithTestSuccessor(t)
	c := old.dialClient(t)
	c.sendOnce(1)
	open := b.nextCommand(t)
	takeState(t, successor)
	onEventLoop(t, old.gateway, func(g *Gateway) bool {
		g.handover.heldBytes += g.maxHeldBytes()
		return true
	})
	confirm(t, successor)
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
	b, h, d, old := startUpgradable(t)
	c := old.dialClient(t)
	rest := old.sendPartOfLookup(t, c, 1)
	h.startProcess(t, d)
	old.beginShutdown()
	wait(t, old.exited, "the end of the predecessor")
	c.writeRaw(rest)
	b.commandWithID(t, 1).replyValue(t, "whole")
	c.wantValue("whole")
}

// Guards against the same loss behind an open request that is failed because SIGKILL is near.
func TestUpgradePassesPartialCommandBehindFailedRequest(t *testing.T) {
	b, h, d, old := startUpgradable(t)
	c := old.dialClient(t)
	c.sendOnce(1)
	b.nextCommand(t)
	rest := old.sendPartOfLookup(t, c, 2)
	h.startProcess(t, d)
	old.stoppedSince(t, openRequestsAreLate)
	c.wantLine("-ERR failed")
	wait(t, old.exited, "the end of the predecessor")
	c.writeRaw(rest)
	b.commandWithID(t, 2).replyValue(t, "second")
	c.wantValue("second")
}

// A client that stalls in the middle of a command has the same time in all, however often its
// connection is passed: the successor is told for how long the client has been sending.
func TestUpgradePassesWaitOfPartialCommand(t *testing.T) {
	const wait policy.Time = 50_000
	_, old, successor := startWithTestSuccessor(t)
	c := old.dialServedClient(t)
	rest := old.sendPartOfLookup(t, c, 1)
	old.awaitClock(t, wait)
	takeState(t, successor)
	confirm(t, successor)
	conn := receivePassed(t, successor, c)
	if string(conn.Unread)+rest != encodedLookup(1) || conn.State.WaitedUS < wait {
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
	_, old, successor := startWithTestSuccessor(t)
	c := old.dialServedClient(t)
	c.writeRaw("*1\r\n$100000\r\n" + strings.Repeat("x", 70_000))
	old.awaitPartialCommand(t, c)
	waitUntil(t, old.gateway, "the reader to skip the command", func(g *Gateway) bool {
		return connOf(g, c).out.nothingToRead()
	})
	takeState(t, successor)
	confirm(t, successor)
	c.wantLine("-ERR command too large")
	c.wantClosed()
}
