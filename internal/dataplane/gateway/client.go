package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"mothcleat/internal/dataplane/forwardauth"
	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

const (
	acceptRetryDelay   = 20 * time.Millisecond
	maxPipelined       = 256               // commands of one connection without an answer
	maxUnreadBytes     = 2 * resp.MaxValue // bytes of answers that a client has not taken
	overloadRetryAfter = 500_000           // advice where the gateway itself has no room
	lingerTimeout      = 500_000           // for the other side to close, after the last answer,
	lingerAfterError   = 200_000           // after an error that ends the connection,
	maxLingers         = 10                // and so many times longer while it takes answers slowly

	firstCommandTimeout      = 2800 * time.Millisecond // for a connection's first command, whole
	commandTimeout           = 2600 * time.Millisecond // for any other, from its first byte
	maxConsecutiveErrors     = 5                       // bad commands in a row that a connection may send
	clientIdleTimeout        = 8_000_000               // without a request, after which a connection is closed,
	singleCommandIdleTimeout = 3_000_000               // one that has asked only once,
	minIdleBeforeEviction    = 2_000_000               // and any, where places are short
	stalledCommandTimeout    = 800_000                 // without a byte amid a command, after which no more is waited for
	newConnectionAge         = 100_000                 // age of a connection that might have spoken by now

	hangUpCheckInterval             = 25 * time.Millisecond // whether a client is still there that is not read from,
	hangUpCheckMaxAge   policy.Time = 20_000                // and before a request is sent on, unless it was there so recently
)

var (
	readCommand  = []byte("API.READ")
	writeCommand = []byte("API.WRITE")
	pingCommand  = []byte("PING")
)

// clients accepts connections and keeps them within their share of descriptors.
type clients struct {
	listener     *net.TCPListener
	slots        chan struct{} // a place for each connection that may be open
	maxServed    int           // connections that are served; those beyond are refused
	conns        map[*client]bool
	resumeAccept chan struct{} // has accepting go on after a pause; closed: it is over
	accepting    bool          // accepting has begun
	drainBacklog atomic.Bool   // it ends when no connection has come for a while
}

// client is one connection from the front.
type client struct {
	conn              *net.TCPConn
	out               *sender
	pipeline          []*request    // in the order of their commands; answers wait their turn
	pipelineSlots     chan struct{} // a place for each command that was read and has no answer
	done              chan struct{} // closed when it is gone
	resumeReading     chan struct{} // has the reading go on, which halted
	ignoreInput       atomic.Bool   // what it still sends is not read
	closed            bool          // nothing more can be written
	closeWhenIdle     bool          // ends as soon as its line is empty
	writeEnded        bool          // has ended its sending: no more is taken
	overLimit         bool          // over the share: refused at once, then ended
	commands          int           // commands that were well-formed
	consecutiveErrors int           // bad ones, in a row

	credential   *forwardauth.Credential // of the last AUTH
	lastCommand  policy.Time             // when it last sent a command, or was opened
	lastSeenOpen policy.Time             // when it was last known not to have closed the connection
	lastByte     atomic.Int64            // when its last byte came
	midCommand   atomic.Bool             // a command is on its way
	reading      readControl             // what its passing on to a newer process needs
}

// lastActivity is when a connection last brought anything, or was opened: one that writes its
// command slowly is not one that says nothing.
func (c *client) lastActivity() policy.Time { return max(c.lastCommand, c.lastByte.Load()) }

// sendingCommand tells whether a client is writing a command, however slowly: to close it would
// lose that request, where an idle one loses nothing. One that halted half way is not.
func (c *client) sendingCommand(now policy.Time) bool {
	return c.midCommand.Load() && now-c.lastByte.Load() < stalledCommandTimeout
}

// awaitingAnswer tells whether an answer is owed: also to a command that was read, and has not been handled yet.
func (c *client) awaitingAnswer() bool { return len(c.pipeline) > 0 || len(c.pipelineSlots) > 0 }

// delaysShutdown tells whether a process that ends has something to wait for here: not for one that halted half way.
func (c *client) delaysShutdown(now policy.Time) bool {
	return !c.writeEnded && (!c.midCommand.Load() || c.sendingCommand(now)) || !c.out.drained()
}

// activityRank ranks a connection by what it has asked: nothing, once, or more.
func (c *client) activityRank() int { return min(c.commands, 2) }

// readCommands posts what a client sends until it ends. It never waits for an answer
// but where a line is full, so a close is seen while requests are out. A client
// that says nothing, or begins a command and does not end it, is cut off.
func (c *client) readCommands(l *Loop) {
	in := resp.NewReader(&activityReader{c.commandSource(), c, l.clock})
	spoken := c.commands > 0 // it came from the process before
	if !spoken {
		c.reading.setFirstDeadline(c.conn, time.Now().Add(firstCommandTimeout))
	}
	for {
		e := commandRead{client: c}
		behind := in.Buffered() > 0 // another command
		err := in.Await()
		if !c.reading.beginCommand(c.conn, err) {
			if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				l.post(readingParted{c, in.Rest()})
				if c.waitForHangUp() {
					break
				}
				return
			}
			break
		}
		if c.reading.haltedBy(err) {
			l.post(readingHalted{c})
			select {
			case <-c.resumeReading:
				continue
			case <-c.done:
				return
			}
		}
		if err != nil {
			break
		}
		if spoken {
			_ = c.conn.SetReadDeadline(time.Now().Add(commandTimeout))
		}
		c.midCommand.Store(true)
		e.readFrom(l, in)
		c.midCommand.Store(false)
		if e.disconnected {
			break
		}
		if !e.invalid {
			spoken = true
		}
		c.reading.endCommand(c.conn, spoken)
		if !c.waitForSlot() {
			l.incomingBytes.Add(-int64(e.argBytes))
			break
		}
		if behind && c.out.hungUp() {
			// Its client sent much at once and has gone: it may have waited here for long, and nobody waits for it.
			l.incomingBytes.Add(-int64(e.argBytes))
			<-c.pipelineSlots
			break
		}
		l.post(e)
		if e.framingLost || c.ignoreInput.Load() {
			if c.waitForHangUp() {
				break
			}
			return // it is closed after its last answer
		}
	}
	l.post(clientLeft{c})
}

// waitForSlot waits for room in the line. It tells whether the client is still there then: a reader that waits reads nothing.
func (c *client) waitForSlot() bool {
	select {
	case c.pipelineSlots <- struct{}{}:
		return true
	default:
	}
	look := time.NewTicker(hangUpCheckInterval)
	defer look.Stop()
	for {
		select {
		case c.pipelineSlots <- struct{}{}:
			return true
		case <-c.done:
			return false
		case <-look.C:
			if c.out.hungUp() {
				return false
			}
		}
	}
}

// waitForHangUp waits for the end of a connection that is read no more, and tells whether it is its client that has closed it.
func (c *client) waitForHangUp() bool {
	look := time.NewTicker(hangUpCheckInterval)
	defer look.Stop()
	for {
		select {
		case <-c.done:
			return false
		case <-look.C:
			if c.out.hungUp() {
				return true
			}
		}
	}
}

func errorReply(err error) []byte {
	return fmt.Appendf(nil, "-ERR %s\r\n", strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, err.Error()))
}

// commandRead is a command that a client has sent.
type commandRead struct {
	client       *client
	arrived      policy.Time
	command      command
	rawArgs      [][]byte // as it came
	argBytes     int      // bytes that it holds
	reply        []byte   // at once, without the module
	ping         bool     // it asks whether requests may be sent here
	invalid      bool     // it was no good command
	framingLost  bool     // the connection's framing is lost
	disconnected bool     // the client has gone
	noMemory     bool     // there is no room to keep it

	credential *forwardauth.Credential // what the client gave of itself, for what follows
}

// readFrom reads one command.
func (e *commandRead) readFrom(l *Loop, in *resp.Reader) {
	args, err := in.ReadCommand()
	e.arrived = e.client.reading.arrivalTime(l.suspend.earliestArrival(l.clock.now()))
	switch {
	case errors.Is(err, resp.ErrTooLarge):
		e.reply, e.invalid = errorReply(err), true
	case errors.Is(err, resp.ErrProtocol):
		e.reply, e.invalid, e.framingLost = errorReply(err), true, true
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.reply, e.invalid, e.framingLost = errorReply(errors.New("command not whole in time")), true, true
	case err != nil:
		e.disconnected = true
	default:
		e.rawArgs = args
		e.interpret(&l.cfg, args, l.authEnabled.Load())
		e.argBytes = argBytes(e.command.args)
		if l.incomingBytes.Add(int64(e.argBytes)) > int64(l.cfg.MemoryMB)<<20/8 {
			// What waits for the loop counts too: it must not grow with what comes.
			l.incomingBytes.Add(-int64(e.argBytes))
			e.command.args, e.rawArgs, e.argBytes, e.noMemory = nil, nil, 0, true
		}
	}
}

// interpret tells the commands apart.
func (e *commandRead) interpret(cfg *Config, args [][]byte, auth bool) {
	switch {
	case bytes.EqualFold(args[0], readCommand) || bytes.EqualFold(args[0], writeCommand):
		cmd, err := cfg.parseCommand(args)
		if err != nil {
			e.reply, e.invalid = errorReply(err), true
			return
		}
		e.command = cmd
	case bytes.EqualFold(args[0], pingCommand):
		e.ping = true
	case auth && (bytes.EqualFold(args[0], authCommand) || bytes.EqualFold(args[0], helloCommand)):
		e.readCredential(args)
	default:
		e.reply, e.invalid = errorReply(fmt.Errorf("unknown command %.32q", args[0])), true
	}
}

func (e commandRead) handle(l *Loop) {
	c := e.client
	l.incomingBytes.Add(-int64(e.argBytes))
	if c.closed || c.writeEnded || c.ignoreInput.Load() {
		<-c.pipelineSlots
		return // it crossed the end of the connection: the client sends it again
	}
	if l.holdForSuccessor(e) {
		return
	}
	l.admit(e)
}

// admit takes in a command.
func (l *Loop) admit(e commandRead) {
	c, now := e.client, l.now()
	r := &request{client: c, args: e.command.args, timeoutField: e.command.timeoutField, clientID: e.command.clientID}
	c.pipeline, c.lastCommand = append(c.pipeline, r), now
	if e.credential != nil {
		c.credential = e.credential
	}
	l.open++
	if e.ping {
		e.reply = l.pingReply()
	} else if e.reply == nil {
		r.classKnown, r.class = true, e.command.request.Class
		r.customer, r.units = e.command.request.Customer, e.command.request.Units
	}
	if e.reply == nil && l.byClientID[r.clientID] != nil {
		// Two open requests of one id can't be told apart behind this gateway.
		e.reply, e.invalid = errorReply(errors.New("id: that request is open")), true
	}
	c.countCommand(e.invalid, e.framingLost)
	if e.reply == nil {
		e.reply = l.rejectionReply(c, e.noMemory)
	}
	if e.reply != nil {
		l.answer(r, e.reply)
		return
	}
	l.submit(r, e.command.request, e.arrived)
}

// countCommand takes note of a good or bad command. A client that errs again and again
// is cut off: each error costs as much as a request.
func (c *client) countCommand(bad, last bool) {
	if !bad {
		c.commands++
		c.consecutiveErrors = 0
		return
	}
	if c.consecutiveErrors++; c.consecutiveErrors >= maxConsecutiveErrors || last {
		c.closeWhenIdle = true
		c.ignoreInput.Store(true)
	}
}

// submit has the module decide on a request.
func (l *Loop) submit(r *request, what policy.Request, at policy.Time) {
	now := l.now()
	l.nextID++
	r.id = l.nextID
	l.requests[r.id], l.byClientID[r.clientID] = r, r
	l.heldBytes += argBytes(r.args)
	spare := min(answerMargin, what.Timeout/4)
	r.deadline = at + what.Timeout - spare
	r.client.lastSeenOpen = max(r.client.lastSeenOpen, at)
	r.deadlineTimer = l.schedule(r.deadline+spare/2, deadlineBackstop{r})
	what.ID, what.Timeout = r.id, max(0, r.deadline-now)
	if l.pastDeadline(r) {
		l.answer(r, l.retryLaterReply(overloadRetryAfter)) // it lay in a socket while this process stood still
		return
	}
	if l.auth.On() {
		l.authorize(r, what)
		return
	}
	if l.acquireVersionLease(r) {
		l.applyAssignedPlan(&what)
		l.balancer.Request(now, what)
	}
}

// rejectionReply is the prompt answer where the gateway itself has no room.
func (l *Loop) rejectionReply(c *client, full bool) []byte {
	cs := l.clients
	for c.commands == 1 && len(cs.conns) > cs.maxServed && !c.overLimit {
		c.overLimit = !cs.evict(l, c)
	}
	full = full || l.cfg.Host.MaxOpen > 0 && l.open > l.cfg.Host.MaxOpen || l.heldBytes >= l.cfg.MemoryMB<<20/4
	if !full && !c.overLimit && l.lifecycle.Takes(l.now()) {
		return nil
	}
	c.closeWhenIdle = c.closeWhenIdle || c.overLimit
	after := policy.Time(0)
	if l.cfg.Settings.RetryAfter {
		after = min(overloadRetryAfter, l.cfg.Settings.MaxRetryAfter)
	}
	return busyReply(after)
}

// flushAnswers writes the answers whose turn has come, in one write.
func (c *client) flushAnswers(l *Loop) {
	var out []byte
	n := 0
	for n < len(c.pipeline) && c.pipeline[n].answered && c.pipeline[n].streamed == nil {
		if out == nil {
			out = c.pipeline[n].reply
		} else {
			out = append(out[:len(out):len(out)], c.pipeline[n].reply...)
		}
		l.heldBytes -= len(c.pipeline[n].reply)
		c.pipeline[n].reply = nil
		n++
		<-c.pipelineSlots
	}
	if n > 0 {
		c.pipeline = slices.Delete(c.pipeline, 0, n)
		if len(out) > 0 && !c.closed && !c.out.send(out, maxUnreadBytes) {
			l.enqueue(clientLeft{c})
		}
	}
	if len(c.pipeline) > 0 && c.pipeline[0].streamed != nil {
		c.pipeline[0].streamed.start(c)
	}
	if n == 0 {
		return
	}
	if len(c.pipeline) == 0 && (c.closeWhenIdle || l.lifecycle.EndsBusy(l.now())) {
		c.closeWhenIdle = true
		c.haltThenFinish(l)
	}
	l.passToSuccessor(c)
}

// pingReply answers those who choose among gateways.
func (l *Loop) pingReply() []byte {
	if yes, why := l.lifecycle.Serves(); !yes {
		return errorReply(errors.New(why))
	}
	return pongReply
}
