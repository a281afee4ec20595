package gateway

import (
	"errors"
	"net"
	"slices"
	"sync/atomic"

	"mothcleat/internal/dataplane/forwardauth"
	"mothcleat/internal/dataplane/policy"
)

const (
	maxPipelined = 256 // unanswered commands of a connection

	// overloadRetryAfter is the retry advice when the gateway itself has no capacity.
	overloadRetryAfter policy.Time = 500_000

	// A client that sends this many invalid commands in a row is disconnected, because each costs
	// as much as a request.
	maxConsecutiveErrors = 5

	// A client that has sent nothing for this time in the middle of a command counts as stalled.
	stalledCommandTimeout policy.Time = 800_000

	// While new connections wait for a slot, a connection may be evicted whose client has been
	// sending a command for this time.
	slowCommandTimeout policy.Time = 1_000_000

	// A client counts as connected for this time after its connection was last checked.
	hangUpCheckMaxAge policy.Time = 20_000
)

// client is a connection from a client. The event loop owns it; its reader goroutine (see
// readCommands) uses conn, out, reading, the channels and the atomic fields.
type client struct {
	conn *net.TCPConn
	out  *sender // safe for concurrent use

	// pipeline holds the requests without a written answer, in the order of their commands.
	pipeline []*request
	// pipelineSlots holds a slot for each unanswered command that the reader has posted. The reader
	// waits for a free slot.
	pipelineSlots  chan struct{}
	heldReplyBytes atomic.Int64 // size of the answers in pipeline
	arrivals       arrivalLog   // belongs to the reader
	catchingUp     bool         // belongs to the reader; see catchUpWindow

	done          chan struct{} // closed when the connection ends; ends the reader
	resumeReading chan struct{} // a value resumes a halted reader
	ignoreInput   atomic.Bool   // commands read from now on are dropped

	closed        bool // nothing more can be written
	closeWhenIdle bool // close as soon as the pipeline is empty
	writeEnded    bool // the write side is shut down: no more commands are accepted
	overLimit     bool // over the connection limit: reject the request, then close

	commands          int // valid commands so far
	consecutiveErrors int

	credential   *forwardauth.Credential // of the last AUTH; nil: none
	lastCommand  policy.Time             // time of the last command or of the connection's start
	lastSeenOpen policy.Time             // when the client was last known to be connected
	lastByte     atomic.Int64            // when the reader last received data
	midCommand   atomic.Bool             // the reader is in the middle of a command
	commandSince atomic.Int64            // when the reader began to read its current command
	reading      readControl
}

func newClient(conn *net.TCPConn, now policy.Time) *client {
	return &client{
		conn:          conn,
		out:           newSender(conn),
		pipelineSlots: make(chan struct{}, maxPipelined),
		done:          make(chan struct{}),
		resumeReading: make(chan struct{}, 1),
		lastCommand:   now,
		reading:       readControl{detachSignal: make(chan struct{})},
	}
}

// lastActivity returns when the client last sent data or was connected. A client that sends its
// command slowly is therefore not idle.
func (c *client) lastActivity() policy.Time { return max(c.lastCommand, c.lastByte.Load()) }

// sendingCommand reports whether the client is in the middle of sending a command, even slowly, but
// has not stalled. Closing the connection would lose that request.
func (c *client) sendingCommand(now policy.Time) bool {
	return c.midCommand.Load() && now-c.lastByte.Load() < stalledCommandTimeout
}

// delaysOthers reports whether a client that is in the middle of a command has stalled, or has been
// sending it for so long that a connection which waits for a slot goes first.
func (c *client) delaysOthers(now policy.Time) bool {
	if !c.midCommand.Load() {
		return false
	}
	return !c.sendingCommand(now) || now-c.commandSince.Load() >= slowCommandTimeout
}

// awaitingAnswer reports whether the client waits for an answer, including one to a command that
// was read but not handled yet.
func (c *client) awaitingAnswer() bool { return len(c.pipeline) > 0 || len(c.pipelineSlots) > 0 }

// inUse reports whether the client waits for an answer, or has not read those that it was sent. To
// close its connection would lose them.
func (c *client) inUse() bool { return c.awaitingAnswer() || !c.out.drained() }

// delaysShutdown reports whether a process that is shutting down waits for this client: until its
// answers are written, and while it may still send a command and has not stalled in the middle of
// one.
func (c *client) delaysShutdown(now policy.Time) bool {
	if !c.out.delivered() {
		return true
	}
	stalled := c.midCommand.Load() && !c.sendingCommand(now)
	return !c.writeEnded && !stalled
}

// activityRank returns 0 for a client without a valid command, 1 for one with a single command, and
// 2 for more.
func (c *client) activityRank() int { return min(c.commands, 2) }

// handle admits a command, unless the connection is closing or a successor is about to take over.
func (e commandRead) handle(g *Gateway) {
	c := e.client
	g.clients.incomingBytes.Add(-int64(e.argBytes))
	if c.closed || c.writeEnded || c.ignoreInput.Load() {
		<-c.pipelineSlots
		return // it arrived while the connection was closing; the client retries it
	}
	if g.holdCommand(e) {
		return
	}
	g.admit(e)
}

// admit answers a command, or submits its request.
func (g *Gateway) admit(e commandRead) {
	c := e.client
	r := &request{
		client:       c,
		args:         e.command.args,
		timeoutField: e.command.timeoutField,
		clientID:     e.command.clientID,
		hasSlot:      e.hasSlot,
	}
	c.pipeline = append(c.pipeline, r)
	c.lastCommand = g.now()
	if e.credential != nil {
		c.credential = e.credential
	}
	g.requests.open++
	if e.ping {
		e.reply = g.pingReply()
	} else if e.reply == nil {
		r.classKnown = true
		r.class = e.command.request.Class
		r.customer = e.command.request.Customer
		r.units = e.command.request.Units
	}
	if e.reply == nil && g.idTaken(r.clientID) {
		// Backends could not distinguish two open requests with the same id, and one that is not
		// idempotent must not run twice.
		e.reply = errorReply(errDuplicateID)
		e.invalid = true
	}
	c.countCommand(e.invalid, e.framingLost)
	if e.reply == nil {
		e.reply = g.rejectionReply(c, e.noMemory)
	}
	if e.reply != nil {
		g.answer(r, e.reply)
		return
	}
	g.submit(r, e.command.request, e.arrived)
}

var errDuplicateID = errors.New("id: that request is open or may have been executed")

// countCommand counts a valid or invalid command. After too many invalid commands in a row, or if
// the framing is lost, further input is ignored and the connection closes after its answers.
func (c *client) countCommand(invalid, framingLost bool) {
	if !invalid {
		c.commands++
		c.consecutiveErrors = 0
		return
	}
	c.consecutiveErrors++
	if c.consecutiveErrors >= maxConsecutiveErrors || framingLost {
		c.closeWhenIdle = true
		c.ignoreInput.Store(true)
	}
}

// rejectionReply returns the answer that rejects a command if the gateway itself has no capacity
// for it, or nil if it has.
func (g *Gateway) rejectionReply(c *client, noMemory bool) []byte {
	cs := g.clients
	for c.commands == 1 && len(cs.conns) > cs.maxServed && !c.overLimit {
		c.overLimit = !cs.evict(g, c)
	}
	tooManyOpen := g.cfg.Host.MaxOpenRequests > 0 && g.requests.open > g.cfg.Host.MaxOpenRequests
	overloaded := noMemory || tooManyOpen || g.outgoingBytes() >= g.memoryForAnswers()
	drained := c.closeWhenIdle && g.lifecycle.ClosesBusy(g.now())
	if !overloaded && !drained && !c.overLimit && g.lifecycle.AdmitsRequests(g.now()) {
		return nil
	}
	c.closeWhenIdle = c.closeWhenIdle || c.overLimit
	return g.retryLaterReply(overloadRetryAfter)
}

// flushAnswers writes the ready answers at the head of the pipeline in a single write.
func (c *client) flushAnswers(g *Gateway) {
	var out []byte
	n := 0
	for n < len(c.pipeline) && c.pipeline[n].answered && c.pipeline[n].streamed == nil {
		r := c.pipeline[n]
		if out == nil {
			out = r.reply
		} else {
			out = append(out[:len(out):len(out)], r.reply...)
		}
		g.requests.heldBytes -= len(r.reply)
		c.heldReplyBytes.Add(-int64(len(r.reply)))
		r.reply = nil
		n++
		if r.hasSlot {
			<-c.pipelineSlots
		}
	}
	if n > 0 {
		c.pipeline = slices.Delete(c.pipeline, 0, n)
		if len(out) > 0 && !c.closed {
			c.out.send(out)
		}
		c.out.signalProgress() // slots are free
	}
	if len(c.pipeline) > 0 && c.pipeline[0].streamed != nil {
		c.pipeline[0].streamed.start(c)
	}
	if n == 0 {
		return
	}
	if len(c.pipeline) == 0 && g.lifecycle.ClosesAfterAnswer(g.now()) {
		c.closeWhenIdle = true
	}
	g.settleConn(c)
}

// pingReply returns the answer to a health check by clients or load balancers that choose among
// gateways.
func (g *Gateway) pingReply() []byte {
	if serves, reason := g.lifecycle.Serves(); !serves {
		return errorReply(errors.New(reason))
	}
	return pongReply
}
