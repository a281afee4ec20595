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
	firstCommandTimeout = 2800 * time.Millisecond // from accepting to the end of the first command
	commandTimeout      = 2600 * time.Millisecond // from a later command's first byte to its end
	hangUpCheckInterval = 25 * time.Millisecond   // for a client that is not read from
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

// readCommands posts what a client sends until the connection ends. It runs on the client's reader
// goroutine. It waits for answers only where the pipeline is full, so that a close is noticed while
// requests are open. A client that sends nothing, or does not finish a command, is cut off.
func (c *client) readCommands(g *Gateway) {
	in := resp.NewReader(&activityReader{c.commandSource(), c, g.clock})
	validCommandRead := c.commands > 0 // it came from the predecessor
	if !validCommandRead {
		c.reading.setFirstDeadline(c.conn, time.Now().Add(firstCommandTimeout))
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

// readResult is what a reader does after a command.
type readResult int

const (
	readContinue     readResult = iota
	readEnded                   // the event loop closes the connection or passes it on
	readDisconnected            // the client has closed the connection, or is cut off
)

// readNext waits for a command, reads it and posts it. spoken tells whether a valid command has
// been read.
func (c *client) readNext(g *Gateway, in *resp.Reader, validCommandRead *bool) readResult {
	e := commandRead{client: c}
	pipelined := in.Buffered() > 0
	err := in.Await()
	if !c.reading.beginCommand(c.conn, err) {
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return readDisconnected
		}
		g.post(readerDetached{c, in.Unread()})
		return c.awaitHangUp()
	}
	if c.reading.haltedBy(err) {
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
	if *validCommandRead {
		_ = c.conn.SetReadDeadline(time.Now().Add(commandTimeout))
	}
	c.midCommand.Store(true)
	e.readFrom(g, in)
	c.midCommand.Store(false)
	if e.disconnected {
		return readDisconnected
	}
	if !e.invalid {
		*validCommandRead = true
	}
	c.reading.endCommand(c.conn, *validCommandRead)
	return c.postCommand(g, e, pipelined)
}

// postCommand posts a command once there is a place for it in the pipeline.
func (c *client) postCommand(g *Gateway, e commandRead, pipelined bool) readResult {
	if !c.waitForSlot() {
		g.clients.incomingBytes.Add(-int64(e.argBytes))
		return readDisconnected
	}
	if pipelined && c.out.hungUp() {
		// The command may have waited for long in the buffer, and nobody waits for its answer.
		g.clients.incomingBytes.Add(-int64(e.argBytes))
		<-c.pipelineSlots
		return readDisconnected
	}
	g.post(e)
	if e.framingLost || c.ignoreInput.Load() {
		return c.awaitHangUp() // the event loop closes it after its last answer
	}
	return readContinue
}

// waitForSlot waits for a place in the pipeline. It reports whether the client is still connected
// then: a reader that waits does not notice a close.
func (c *client) waitForSlot() bool {
	select {
	case c.pipelineSlots <- struct{}{}:
		return true
	default:
	}
	check := time.NewTicker(hangUpCheckInterval)
	defer check.Stop()
	for {
		select {
		case c.pipelineSlots <- struct{}{}:
			return true
		case <-c.done:
			return false
		case <-check.C:
			if c.out.hungUp() {
				return false
			}
		}
	}
}

// awaitHangUp waits for the end of a connection that is read no more.
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

// errorReply is an error as RESP2 has it; what is not printable ASCII is replaced.
func errorReply(err error) []byte {
	printable := func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}
	return fmt.Appendf(nil, "-ERR %s\r\n", strings.Map(printable, err.Error()))
}

// commandRead is a command that a client has sent.
type commandRead struct {
	client  *client
	arrived policy.Time
	command command  // with args for a valid request only
	rawArgs [][]byte // as received; nil for what could not be read

	argBytes int    // counted in clients.incomingBytes
	reply    []byte // the answer, where none of the balancer's is needed; nil: one is
	ping     bool   // asks whether requests may be sent here

	invalid      bool
	framingLost  bool // nothing behind it on the connection can be understood
	disconnected bool // the client has closed the connection
	noMemory     bool // there is no capacity to hold it

	credential *forwardauth.Credential // what the client says of itself from now on; nil: nothing
}

// readFrom reads one command.
func (e *commandRead) readFrom(g *Gateway, in *resp.Reader) {
	args, err := in.ReadCommand()
	e.arrived = e.client.reading.arrivalTime(g.suspend.earliestArrival(g.clock.now()))
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

// reject has an invalid command answered with an error.
func (e *commandRead) reject(err error) {
	e.reply = errorReply(err)
	e.invalid = true
}

// reserveMemory counts a command among those that wait for the event loop. One for which there is
// no memory is dropped: what waits must not grow with what clients send.
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

// interpret parses a request, or answers another command.
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
