package gateway

import (
	"errors"
	"net"
	"slices"
	"sync/atomic"

	"mothcleat/internal/dataplane/forwardauth"
	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

const (
	maxPipelined   = 256               // commands of a connection that wait for their answers
	maxUnreadBytes = 2 * resp.MaxValue // of answers that a client has not read

	// overloadRetryAfter is the advice when the gateway itself has no capacity.
	overloadRetryAfter policy.Time = 500_000

	// A client that sends so many invalid commands in a row is cut off: each costs as much as a
	// request.
	maxConsecutiveErrors = 5

	// A client that stops in the middle of a command for so long is no longer waited for.
	stalledCommandTimeout policy.Time = 800_000

	// A client is known to be connected for so long after it was last looked at.
	hangUpCheckMaxAge policy.Time = 20_000
)

// client is a connection from a client. The event loop owns it; its reader goroutine (see
// readCommands) uses the fields that say so.
type client struct {
	conn *net.TCPConn
	out  *sender // safe for concurrent use

	// pipeline holds the requests without a written answer, in the order of their commands.
	pipeline []*request
	// pipelineSlots holds a place for each command that the reader has posted and that is
	// unanswered; the reader waits for a place.
	pipelineSlots chan struct{}

	done          chan struct{} // closed with the connection; ends the reader
	resumeReading chan struct{} // has a halted reader go on
	ignoreInput   atomic.Bool   // commands that are still read are dropped

	closed        bool // nothing more can be written
	closeWhenIdle bool // closes as soon as its pipeline is empty
	writeEnded    bool // the sending is ended: no command is accepted any more
	overLimit     bool // over the limit of connections: its request is rejected, then it closes

	commands          int // valid ones so far
	consecutiveErrors int

	credential   *forwardauth.Credential // of the last AUTH; nil: none
	lastCommand  policy.Time             // when it last sent a command, or was opened
	lastSeenOpen policy.Time             // when it was last known to be connected
	lastByte     atomic.Int64            // when the reader last received something
	midCommand   atomic.Bool             // the reader is in the middle of a command
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
	}
}

// lastActivity returns when a client last sent anything, or was opened: one that sends its command
// slowly is not idle.
func (c *client) lastActivity() policy.Time { return max(c.lastCommand, c.lastByte.Load()) }

// sendingCommand reports whether a client is sending a command, however slowly: closing the
// connection would lose that request. One that has stalled is not.
func (c *client) sendingCommand(now policy.Time) bool {
	return c.midCommand.Load() && now-c.lastByte.Load() < stalledCommandTimeout
}

// awaitingAnswer reports whether a client waits for an answer, also to a command that was read and
// is not handled yet.
func (c *client) awaitingAnswer() bool { return len(c.pipeline) > 0 || len(c.pipelineSlots) > 0 }

// delaysShutdown reports whether a process that ends waits for this client: while it may still
// send a command (but not in the middle of a stalled one), and until its answers are written.
func (c *client) delaysShutdown(now policy.Time) bool {
	if !c.out.drained() {
		return true
	}
	stalled := c.midCommand.Load() && !c.sendingCommand(now)
	return !c.writeEnded && !stalled
}

// activityRank ranks a client by its valid commands: 0 for none, 1 for one, 2 for more.
func (c *client) activityRank() int { return min(c.commands, 2) }

// handle admits a command, unless the connection is ending or a successor is about to take over.
func (e commandRead) handle(g *Gateway) {
	c := e.client
	g.clients.incomingBytes.Add(-int64(e.argBytes))
	if c.closed || c.writeEnded || c.ignoreInput.Load() {
		<-c.pipelineSlots
		return // it crossed the end of the connection: the client sends it again
	}
	if g.holdForSuccessor(e) {
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
	if e.reply == nil && g.requests.byClientID[r.clientID] != nil {
		// Backends could not tell apart two open requests with one id.
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

var errDuplicateID = errors.New("id: that request is open")

// countCommand counts a valid or invalid command, and cuts off a client that errs again and again
// or whose framing is lost.
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

// rejectionReply returns the immediate answer where the gateway itself has no capacity; nil if it
// has.
func (g *Gateway) rejectionReply(c *client, noMemory bool) []byte {
	cs := g.clients
	for c.commands == 1 && len(cs.conns) > cs.maxServed && !c.overLimit {
		c.overLimit = !cs.evict(g, c)
	}
	tooManyOpen := g.cfg.Host.MaxOpenRequests > 0 && g.requests.open > g.cfg.Host.MaxOpenRequests
	overloaded := noMemory || tooManyOpen || g.requests.heldBytes >= g.cfg.MemoryMB<<20/4
	if !overloaded && !c.overLimit && g.lifecycle.AdmitsRequests(g.now()) {
		return nil
	}
	c.closeWhenIdle = c.closeWhenIdle || c.overLimit
	return g.retryLaterReply(overloadRetryAfter)
}

// flushAnswers writes the answers whose turn has come, in one write.
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
		r.reply = nil
		n++
		<-c.pipelineSlots
	}
	if n > 0 {
		c.pipeline = slices.Delete(c.pipeline, 0, n)
		if len(out) > 0 && !c.closed && !c.out.send(out, maxUnreadBytes) {
			g.enqueue(clientDisconnected{c})
		}
	}
	if len(c.pipeline) > 0 && c.pipeline[0].streamed != nil {
		c.pipeline[0].streamed.start(c)
	}
	if n == 0 {
		return
	}
	if len(c.pipeline) == 0 && (c.closeWhenIdle || g.lifecycle.ClosesAfterAnswer(g.now())) {
		c.closeWhenIdle = true
		c.haltThenFinish(g)
	}
	g.passToSuccessor(c)
}

// pingReply answers health checks of whoever chooses among gateways.
func (g *Gateway) pingReply() []byte {
	if serves, reason := g.lifecycle.Serves(); !serves {
		return errorReply(errors.New(reason))
	}
	return pongReply
}
