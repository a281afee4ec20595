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
	acceptAgain = 20 * time.Millisecond
	pipelined   = 256               // commands of one connection without an answer
	unread      = 2 * resp.MaxValue // bytes of answers that a client has not taken
	refuseAfter = 500_000           // advice where the gateway itself has no room
	lingerFor   = 500_000           // for the other side to close, after the last answer,
	lingerLost  = 200_000           // after an error that ends the connection,
	lingerMost  = 10                // and so many times longer while it takes answers slowly

	firstWithin   = 2800 * time.Millisecond // for a connection's first command, whole
	commandWithin = 2600 * time.Millisecond // for any other, from its first byte
	mostErrors    = 5                       // bad commands in a row that a connection may send
	idleMost      = 8_000_000               // without a request, after which a connection is closed,
	onceMost      = 3_000_000               // one that has asked only once,
	idleLeast     = 2_000_000               // and any, where places are short
	halted        = 800_000                 // without a byte amid a command, after which no more is waited for
	settled       = 100_000                 // age of a connection that might have spoken by now

	lookEvery             = 25 * time.Millisecond // whether a client is still there that is not read from,
	lookAgain policy.Time = 20_000                // and before a request is sent on, unless it was there so recently
)

var (
	apiRead  = []byte("API.READ")
	apiWrite = []byte("API.WRITE")
	ping     = []byte("PING")
)

// clients accepts connections and keeps them within their share of descriptors.
type clients struct {
	listener *net.TCPListener
	room     chan struct{} // a place for each connection that may be open
	most     int           // connections that are served; those beyond are refused
	conns    map[*client]bool
	goOn     chan struct{} // has accepting go on after a pause; closed: it is over
	accepts  bool          // accepting has begun
	last     atomic.Bool   // it ends when no connection has come for a while
}

// client is one connection from the front.
type client struct {
	conn    *net.TCPConn
	out     *sender
	line    []*request    // in the order of their commands; answers wait their turn
	room    chan struct{} // a place for each command that was read and has no answer
	done    chan struct{} // closed when it is gone
	resume  chan struct{} // has the reading go on, which halted
	barred  atomic.Bool   // what it still sends is not read
	gone    bool          // nothing more can be written
	ending  bool          // ends as soon as its line is empty
	ended   bool          // has ended its sending: no more is taken
	surplus bool          // over the share: refused at once, then ended
	asked   int           // commands that were well-formed
	errors  int           // bad ones, in a row

	credential *forwardauth.Credential // of the last AUTH
	used       policy.Time             // when it last sent a command, or was opened
	there      policy.Time             // when it was last known not to have closed the connection
	heard      atomic.Int64            // when its last byte came
	amid       atomic.Bool             // a command is on its way
	share      share                   // what its passing on to a newer process needs
}

// lately is when a connection last brought anything, or was opened: one that writes its
// command slowly is not one that says nothing.
func (c *client) lately() policy.Time { return max(c.used, c.heard.Load()) }

// writes tells whether a client is writing a command, however slowly: to close it would
// lose that request, where an idle one loses nothing. One that halted half way is not.
func (c *client) writes(now policy.Time) bool { return c.amid.Load() && now-c.heard.Load() < halted }

// busy tells whether an answer is owed: also to a command that was read, and has not been handled yet.
func (c *client) busy() bool { return len(c.line) > 0 || len(c.room) > 0 }

// owes tells whether a process that ends has something to wait for here: not for one that halted half way.
func (c *client) owes(now policy.Time) bool {
	return !c.ended && (!c.amid.Load() || c.writes(now)) || !c.out.idle()
}

// worth ranks a connection by what it has asked: nothing, once, or more.
func (c *client) worth() int { return min(c.asked, 2) }

// read posts what a client sends until it ends. It never waits for an answer
// but where a line is full, so a close is seen while requests are out. A client
// that says nothing, or begins a command and does not end it, is cut off.
func (c *client) read(l *Loop) {
	in := resp.NewReader(&listening{c.source(), c, l.clock})
	spoken := c.asked > 0 // it came from the process before
	if !spoken {
		c.share.until(c.conn, time.Now().Add(firstWithin))
	}
	for {
		e := taken{client: c}
		behind := in.Buffered() > 0 // another command
		err := in.Await()
		if !c.share.begin(c.conn, err) {
			if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				l.post(partedFrom{c, in.Rest()})
				if c.leaves() {
					break
				}
				return
			}
			break
		}
		if c.share.halts(err) {
			l.post(halts{c})
			select {
			case <-c.resume:
				continue
			case <-c.done:
				return
			}
		}
		if err != nil {
			break
		}
		if spoken {
			_ = c.conn.SetReadDeadline(time.Now().Add(commandWithin))
		}
		c.amid.Store(true)
		e.take(l, in)
		c.amid.Store(false)
		if e.left {
			break
		}
		if !e.bad {
			spoken = true
		}
		c.share.end(c.conn, spoken)
		if !c.hasRoom() {
			l.coming.Add(-int64(e.size))
			break
		}
		if behind && c.out.hungUp() {
			// Its client sent much at once and has gone: it may have waited here for long, and nobody waits for it.
			l.coming.Add(-int64(e.size))
			<-c.room
			break
		}
		l.post(e)
		if e.last || c.barred.Load() {
			if c.leaves() {
				break
			}
			return // it is closed after its last answer
		}
	}
	l.post(left{c})
}

// hasRoom waits for room in the line. It tells whether the client is still there then: a reader that waits reads nothing.
func (c *client) hasRoom() bool {
	select {
	case c.room <- struct{}{}:
		return true
	default:
	}
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case c.room <- struct{}{}:
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

// leaves waits for the end of a connection that is read no more, and tells whether it is its client that has closed it.
func (c *client) leaves() bool {
	look := time.NewTicker(lookEvery)
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

func refusal(err error) []byte {
	return fmt.Appendf(nil, "-ERR %s\r\n", strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, err.Error()))
}

// taken is a command that a client has sent.
type taken struct {
	client *client
	at     policy.Time
	cmd    command
	raw    [][]byte // as it came
	size   int      // bytes that it holds
	reply  []byte   // at once, without the module
	ping   bool     // it asks whether requests may be sent here
	bad    bool     // it was no good command
	last   bool     // the connection's framing is lost
	left   bool     // the client has gone
	full   bool     // there is no room to keep it

	credential *forwardauth.Credential // what the client gave of itself, for what follows
}

// take reads one command.
func (e *taken) take(l *Loop, in *resp.Reader) {
	args, err := in.ReadCommand()
	e.at = e.client.share.came(l.leaps.since(l.clock.now()))
	switch {
	case errors.Is(err, resp.ErrTooLarge):
		e.reply, e.bad = refusal(err), true
	case errors.Is(err, resp.ErrProtocol):
		e.reply, e.bad, e.last = refusal(err), true, true
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.reply, e.bad, e.last = refusal(errors.New("command not whole in time")), true, true
	case err != nil:
		e.left = true
	default:
		e.raw = args
		e.read(&l.cfg, args, l.authOn.Load())
		e.size = size(e.cmd.args)
		if l.coming.Add(int64(e.size)) > int64(l.cfg.MemoryMB)<<20/8 {
			// What waits for the loop counts too: it must not grow with what comes.
			l.coming.Add(-int64(e.size))
			e.cmd.args, e.raw, e.size, e.full = nil, nil, 0, true
		}
	}
}

// read tells the commands apart.
func (e *taken) read(cfg *Config, args [][]byte, auth bool) {
	switch {
	case bytes.EqualFold(args[0], apiRead) || bytes.EqualFold(args[0], apiWrite):
		cmd, err := cfg.parse(args)
		if err != nil {
			e.reply, e.bad = refusal(err), true
			return
		}
		e.cmd = cmd
	case bytes.EqualFold(args[0], ping):
		e.ping = true
	case auth && (bytes.EqualFold(args[0], authCommand) || bytes.EqualFold(args[0], helloCommand)):
		e.identify(args)
	default:
		e.reply, e.bad = refusal(fmt.Errorf("unknown command %.32q", args[0])), true
	}
}

func (e taken) handle(l *Loop) {
	c := e.client
	l.coming.Add(-int64(e.size))
	if c.gone || c.ended || c.barred.Load() {
		<-c.room
		return // it crossed the end of the connection: the client sends it again
	}
	if l.keeps(e) {
		return
	}
	l.takeIn(e)
}

// takeIn takes in a command.
func (l *Loop) takeIn(e taken) {
	c, now := e.client, l.now()
	r := &request{client: c, args: e.cmd.args, wait: e.cmd.wait, name: e.cmd.name}
	c.line, c.used = append(c.line, r), now
	if e.credential != nil {
		c.credential = e.credential
	}
	l.open++
	if e.ping {
		e.reply = l.pong()
	} else if e.reply == nil {
		r.known, r.class = true, e.cmd.what.Class
		r.customer, r.units = e.cmd.what.Customer, e.cmd.what.Units
	}
	if e.reply == nil && l.names[r.name] != nil {
		// Two open requests of one id can't be told apart behind this gateway.
		e.reply, e.bad = refusal(errors.New("id: that request is open")), true
	}
	c.count(e.bad, e.last)
	if e.reply == nil {
		e.reply = l.refusal(c, e.full)
	}
	if e.reply != nil {
		l.answer(r, e.reply)
		return
	}
	l.take(r, e.cmd.what, e.at)
}

// count takes note of a good or bad command. A client that errs again and again
// is cut off: each error costs as much as a request.
func (c *client) count(bad, last bool) {
	if !bad {
		c.asked++
		c.errors = 0
		return
	}
	if c.errors++; c.errors >= mostErrors || last {
		c.ending = true
		c.barred.Store(true)
	}
}

// take has the module decide on a request.
func (l *Loop) take(r *request, what policy.Request, at policy.Time) {
	now := l.now()
	l.nextID++
	r.id = l.nextID
	l.requests[r.id], l.names[r.name] = r, r
	l.held += size(r.args)
	spare := min(margin, what.Timeout/4)
	r.deadline = at + what.Timeout - spare
	r.client.there = max(r.client.there, at)
	r.backstop = l.at(r.deadline+spare/2, backstop{r})
	what.ID, what.Timeout = r.id, max(0, r.deadline-now)
	if l.tooLate(r) {
		l.answer(r, l.comeBack(refuseAfter)) // it lay in a socket while this process stood still
		return
	}
	if l.auth.On() {
		l.permit(r, what)
		return
	}
	if l.acts(r) {
		l.planned(&what)
		l.module.Request(now, what)
	}
}

// refusal is the prompt answer where the gateway itself has no room.
func (l *Loop) refusal(c *client, full bool) []byte {
	cs := l.clients
	for c.asked == 1 && len(cs.conns) > cs.most && !c.surplus {
		c.surplus = !cs.evict(l, c)
	}
	full = full || l.cfg.Host.MaxOpen > 0 && l.open > l.cfg.Host.MaxOpen || l.held >= l.cfg.MemoryMB<<20/4
	if !full && !c.surplus && l.life.Takes(l.now()) {
		return nil
	}
	c.ending = c.ending || c.surplus
	after := policy.Time(0)
	if l.cfg.Settings.RetryAfter {
		after = min(refuseAfter, l.cfg.Settings.MaxRetryAfter)
	}
	return busy(after)
}

// flush writes the answers whose turn has come, in one write.
func (c *client) flush(l *Loop) {
	var out []byte
	n := 0
	for n < len(c.line) && c.line[n].answered && c.line[n].long == nil {
		if out == nil {
			out = c.line[n].reply
		} else {
			out = append(out[:len(out):len(out)], c.line[n].reply...)
		}
		l.held -= len(c.line[n].reply)
		c.line[n].reply = nil
		n++
		<-c.room
	}
	if n > 0 {
		c.line = slices.Delete(c.line, 0, n)
		if len(out) > 0 && !c.gone && !c.out.send(out, unread) {
			l.later(left{c})
		}
	}
	if len(c.line) > 0 && c.line[0].long != nil {
		c.line[0].long.begin(c)
	}
	if n == 0 {
		return
	}
	if len(c.line) == 0 && (c.ending || l.life.EndsBusy(l.now())) {
		c.ending = true
		c.retire(l)
	}
	l.pass(c)
}

// pong answers those who choose among gateways.
func (l *Loop) pong() []byte {
	if yes, why := l.life.Serves(); !yes {
		return refusal(errors.New(why))
	}
	return pong
}
