package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"mothcleat/internal/dataplane/forwardauth"
	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

const (
	firstCommandTimeout = 2800 * time.Millisecond // from accept to the end of the first command
	commandTimeout      = 2600 * time.Millisecond // from a later command's first byte to its end
	hangUpCheckInterval = 25 * time.Millisecond   // while the connection is not read
)

var (
	readCommand  = []byte("API.READ")
	writeCommand = []byte("API.WRITE")
	pingCommand  = []byte("PING")
)

var (
	errCommandTimeout = errors.New("command not whole in time")
	errUnknownCommand = errors.New("unknown command")
)

// readCommands posts the client's commands until the connection ends. It runs on the client's
// reader goroutine. It waits for answers only while the connection owes as much as it may (see
// waitForSlot), so it detects a close while requests are open. It disconnects a client that sends
// no first command or does not finish a command in time.
func (c *client) readCommands(g *Gateway) {
	unread := len(c.reading.unread) + c.out.unreadBytes()
	c.arrivals.begin(unread, c.out.sinceLastData(), g.clock.now())
	in := resp.NewReader(&activityReader{c.commandSource(), c, g.clock})
	validCommandRead := c.commands > 0 // the connection came from the predecessor
	if !validCommandRead {
		c.reading.awaitFirstCommand(c.conn)
	}
	for {
		next := c.readNext(g, in, &validCommandRead)
		if next == readEnded {
			return
		}
		if next == readDisconnected {
			g.post(clientDisconnected{c})
			return
		}
	}
}

// readResult is what the reader does next.
type readResult int

const (
	readContinue     readResult = iota
	readEnded                   // the event loop closes the connection or passes it to a successor
	readDisconnected            // the client has closed the connection or is to be disconnected
)

// readNext waits for a command, reads it and posts it. It sets validCommandRead when the command is
// valid.
func (c *client) readNext(g *Gateway, in *resp.Reader, validCommandRead *bool) readResult {
	e := commandRead{client: c}
	pipelined := in.Buffered() > 0
	err := in.Await()
	if !c.reading.beginCommand(c.conn, err) {
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return readDisconnected
		}
		return c.detach(g, in, nil)
	}
	if c.reading.haltedBy(err) {
		if c.arrivals.behind() {
			c.reading.readOn(c.conn)
			return readContinue
		}
		g.post(readerHalted{c})
		select {
		case <-c.resumeReading:
			return readContinue
		case <-c.done:
			return readEnded
		}
	}
	if err != nil {
		return readDisconnected
	}
	c.commandSince.Store(g.clock.now())
	c.midCommand.Store(true)
	e.readFrom(g, in)
	c.midCommand.Store(false)
	if e.interrupted {
		return c.detach(g, in, nil)
	}
	if e.disconnected {
		return readDisconnected
	}
	if !e.invalid {
		*validCommandRead = true
	}
	c.reading.endCommand(c.conn, *validCommandRead, c.arrivals.behind())
	return c.postCommand(g, e, in, pipelined)
}

// postCommand posts a command once the connection may owe its answer.
func (c *client) postCommand(
	g *Gateway, e commandRead, in *resp.Reader, pipelined bool,
) readResult {
	switch c.waitForSlot(g) {
	case slotTaken:
		e.hasSlot = true
	case slotDetached:
		return c.detach(g, in, &e)
	case slotDisconnected:
		g.clients.incomingBytes.Add(-int64(e.argBytes))
		return readDisconnected
	}
	if pipelined && c.out.hungUp() {
		// The command may have been in the buffer for long, and no client waits for its answer.
		g.clients.incomingBytes.Add(-int64(e.argBytes))
		<-c.pipelineSlots
		return readDisconnected
	}
	g.post(e)
	if e.framingLost || c.ignoreInput.Load() {
		return c.awaitHangUp() // the event loop closes the connection after its last answer
	}
	return readContinue
}

// detach posts what the reader has read and not posted yet, and waits until the connection is
// passed on or closed. last is a command that has no slot; nil: there is none.
func (c *client) detach(g *Gateway, in *resp.Reader, last *commandRead) readResult {
	rest, _ := in.Unread()
	g.post(readerDetached{client: c, last: last, rest: rest})
	return c.awaitHangUp()
}

// awaitHangUp waits for the end of a connection that is no longer read.
func (c *client) awaitHangUp() readResult {
	check := time.NewTicker(hangUpCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-c.done:
			return readEnded
		case <-check.C:
			if c.out.hungUp() {
				return readDisconnected
			}
		}
	}
}

// errorReply encodes an error as a RESP2 error. Characters other than printable ASCII are replaced.
func errorReply(err error) []byte {
	printable := func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}
	return fmt.Appendf(nil, "-ERR %s\r\n", strings.Map(printable, err.Error()))
}

// commandRead is a command read from a client.
type commandRead struct {
	client  *client
	arrived policy.Time
	hasSlot bool     // it holds a slot of the client's pipeline
	command command  // args are set only for a valid request
	rawArgs [][]byte // as received; nil if the command could not be read

	argBytes int    // size counted in clients.incomingBytes
	reply    []byte // answer that needs no decision by the balancer; nil: one is needed
	ping     bool   // the command is a health check

	invalid      bool
	framingLost  bool // later data on the connection can't be parsed
	disconnected bool // the client has closed the connection
	interrupted  bool // the reader was detached in the middle of the command
	noMemory     bool // there is no memory for the command

	credential *forwardauth.Credential // credential for the client's later requests; nil: unchanged
}

// readFrom reads one command.
func (e *commandRead) readFrom(g *Gateway, in *resp.Reader) {
	args, err := in.ReadCommand()
	if e.client.reading.interruptedBy(err) {
		e.interrupt(in)
		return
	}
	now := g.clock.now()
	e.arrived = min(
		e.client.reading.arrivalTime(g.suspend.earliestArrival(now)),
		e.client.arrivals.arrivedBy(in.Buffered(), now),
	)
	switch {
	case errors.Is(err, resp.ErrTooLarge):
		e.reject(err)
	case errors.Is(err, resp.ErrProtocol):
		e.reject(err)
		e.framingLost = true
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.reject(errCommandTimeout)
		e.framingLost = true
	case err != nil:
		e.disconnected = true
	default:
		e.rawArgs = args
		e.interpret(&g.cfg, args, g.authEnabled.Load())
		e.reserveMemory(g)
	}
}

// interrupt handles a command in which the reader was detached: the successor reads the rest of it.
// A command that was being skipped because of its size is rejected here.
func (e *commandRead) interrupt(in *resp.Reader) {
	if _, whole := in.Unread(); whole {
		e.interrupted = true
		return
	}
	e.reject(resp.ErrTooLarge)
	e.framingLost = true
}

// reject marks a command as invalid and sets the error as its answer.
func (e *commandRead) reject(err error) {
	e.reply = errorReply(err)
	e.invalid = true
}

// reserveMemory adds a command's size to that of the commands waiting for the event loop. At the
// limit it drops the command's content, so that the memory in use does not grow with what clients
// send.
func (e *commandRead) reserveMemory(g *Gateway) {
	e.argBytes = argBytes(e.command.args)
	limit := int64(g.cfg.MemoryMB) << 20 / 8
	if g.clients.incomingBytes.Add(int64(e.argBytes)) > limit {
		g.clients.incomingBytes.Add(-int64(e.argBytes))
		e.command.args = nil
		e.rawArgs = nil
		e.argBytes = 0
		e.noMemory = true
	}
}

// interpret parses a request or sets the answer to another command.
func (e *commandRead) interpret(cfg *Config, args [][]byte, auth bool) {
	name := args[0]
	switch {
	case bytes.EqualFold(name, readCommand) || bytes.EqualFold(name, writeCommand):
		cmd, err := cfg.parseCommand(args)
		if err != nil {
			e.reject(err)
			return
		}
		e.command = cmd
	case bytes.EqualFold(name, pingCommand):
		e.ping = true
	case auth && (bytes.EqualFold(name, authCommand) || bytes.EqualFold(name, helloCommand)):
		e.readCredential(args)
	default:
		e.reject(fmt.Errorf("%w %.32q", errUnknownCommand, name))
	}
}
