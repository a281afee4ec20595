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
	"syscall"
	"time"

	"mothcleat/decide"
	"mothcleat/internal/forwardauth"
	"mothcleat/internal/resp"
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
	lookAgain decide.Time = 20_000                // and before a request is sent on, unless it was there so recently
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
	used       decide.Time             // when it last sent a command, or was opened
	there      decide.Time             // when it was last known not to have closed the connection
	heard      atomic.Int64            // when its last byte came
	amid       atomic.Bool             // a command is on its way
	share      share                   // what its passing on to a newer process needs
}

// accept posts new connections. Over its share it waits: the rest stays in the
// listener's backlog.
func (cs *clients) accept(l *Loop) {
	raw, err := cs.listener.SyscallConn()
	if err != nil {
		l.log.Error("accept", "error", err)
		return
	}
	for {
		cs.room <- struct{}{}
		// Whoever shares the socket may have had it block since, as each process does that hands it to another. An accept that
		// blocks can't be ended.
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
		if cs.last.Load() { // the wait for a place may have been long
			_ = cs.listener.SetDeadline(time.Now().Add(lastWithin))
		}
		conn, err := cs.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // paused, or the last one is in
			<-cs.room
			l.post(accepted{})
			if _, ok := <-cs.goOn; !ok {
				return
			}
			continue
		}
		if err != nil { // such as a shortage of descriptors: the next may do better
			<-cs.room
			l.log.Warn("accept", "error", err)
			time.Sleep(acceptAgain)
			continue
		}
		l.post(connected{conn})
	}
}

// lastWithin is how long no connection may have come when the listener is closed: what the machine has accepted by then
// is taken, and would be lost with it.
const lastWithin = 20 * time.Millisecond

// accepted tells that no connection waits to be accepted any more.
type accepted struct{}

func (accepted) handle(l *Loop) {
	if l.steps.closing {
		l.shut()
	}
}

// shutWithin is for how long the loop waits for an accept to end that blocks all the same.
const shutWithin = 20 * time.Millisecond

// shut has no connection accepted any more.
func (cs *clients) shut() {
	done := make(chan struct{})
	go func() {
		_ = cs.listener.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(shutWithin):
	}
}

type connected struct{ conn *net.TCPConn }

func (e connected) handle(l *Loop) {
	cs := l.clients
	if l.begin(newClient(e.conn, l.now())) && len(cs.conns) > cs.most {
		cs.evict(l, nil)
	}
}

func newClient(conn *net.TCPConn, now decide.Time) *client {
	return &client{
		conn: conn, out: newSender(conn), room: make(chan struct{}, pipelined), done: make(chan struct{}),
		resume: make(chan struct{}, 1), used: now,
	}
}

// begin has a new connection read, where requests are still taken on one; else it goes to
// the newer process, or ends.
func (l *Loop) begin(c *client) bool {
	l.clients.conns[c] = true
	if l.heirs.passes() {
		c.share.parted = true // it was not read from
		l.pass(c)
		return false
	}
	go c.read(l)
	return true
}

// evict closes the connection that matters least, if one may be closed: first
// those that never asked anything, then idle ones, those that asked once before
// the front's. For the sake of one that has asked (nil: none) no idle one is
// spared; a newcomer that has said nothing yet is less reason.
func (cs *clients) evict(l *Loop, asking *client) bool {
	now := l.now()
	spared := [...]decide.Time{settled, 2 * settled, idleLeast} // by worth: how long it must have been idle
	if asking != nil {
		spared = [...]decide.Time{settled / 5, 0, 0}
	}
	var least *client
	for c := range cs.conns {
		if c == asking || c.ending || c.busy() || c.writes(now) || now-c.lately() < spared[c.worth()] {
			continue
		}
		if least == nil || c.worth() < least.worth() || c.worth() == least.worth() && c.lately() < least.lately() {
			least = c
		}
	}
	if least == nil {
		return false
	}
	least.drop(l)
	return true
}

// lately is when a connection last brought anything, or was opened: one that writes its
// command slowly is not one that says nothing.
func (c *client) lately() decide.Time { return max(c.used, c.heard.Load()) }

// writes tells whether a client is writing a command, however slowly: to close it would
// lose that request, where an idle one loses nothing. One that halted half way is not.
func (c *client) writes(now decide.Time) bool { return c.amid.Load() && now-c.heard.Load() < halted }

// busy tells whether an answer is owed: also to a command that was read, and has not been handled yet.
func (c *client) busy() bool { return len(c.line) > 0 || len(c.room) > 0 }

// owes tells whether a process that ends has something to wait for here: not for one that halted half way.
func (c *client) owes(now decide.Time) bool {
	return !c.ended && (!c.amid.Load() || c.writes(now)) || !c.out.idle()
}

// worth ranks a connection by what it has asked: nothing, once, or more.
func (c *client) worth() int { return min(c.asked, 2) }

// sweep closes connections that only hold places.
func (cs *clients) sweep(l *Loop) {
	for len(cs.conns) > cs.most && cs.evict(l, nil) {
	}
	now := l.now()
	for c := range cs.conns {
		if now-c.lately() > [...]decide.Time{idleMost, onceMost, idleMost}[c.worth()] && !c.busy() {
			c.end(l)
		}
	}
}

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
	at     decide.Time
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
func (l *Loop) take(r *request, what decide.Request, at decide.Time) {
	now := l.now()
	l.nextID++
	r.id = l.nextID
	l.requests[r.id], l.names[r.name] = r, r
	l.held += size(r.args)
	spare := min(margin, what.Grace/4)
	r.deadline = at + what.Grace - spare
	r.client.there = max(r.client.there, at)
	r.backstop = l.at(r.deadline+spare/2, backstop{r})
	what.ID, what.Grace = r.id, max(0, r.deadline-now)
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
	after := decide.Time(0)
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

// end lets a connection end: between requests now, else after its last answer.
func (c *client) end(l *Loop) {
	if c.ending || c.gone {
		return
	}
	c.ending = true
	if len(c.line) == 0 {
		c.retire(l)
	}
}

// retire has a connection that waits for no answer end as soon as its reader stands between two commands: what was read of
// it, if only by the reader, is answered first.
func (c *client) retire(l *Loop) {
	if c.barred.Load() || c.share.parted { // it is read no more
		c.finish(l)
		return
	}
	c.share.halt(c.conn)
}

// halts tells that the reader of a connection that is to end has read nothing that it has not posted, and reads no more
// until it may.
type halts struct{ client *client }

func (e halts) handle(l *Loop) {
	c := e.client
	if c.gone {
		return
	}
	if c.ending && len(c.line) == 0 {
		c.finish(l)
	}
	c.share.resume(c.conn)
	c.resume <- struct{}{}
}

// finish ends the sending and gives the other side some time to close first: to
// close with something unread would reset the connection, and with it an answer
// that is still on its way.
func (c *client) finish(l *Loop) {
	if c.ended {
		return
	}
	c.ended = true
	c.out.end()
	wait := decide.Time(lingerFor)
	if c.barred.Load() {
		wait = lingerLost
	}
	l.at(l.now()+wait, linger{c, 0})
}

// linger closes a connection that the other side leaves open.
type linger struct {
	c     *client
	again int
}

func (e linger) due(l *Loop) {
	if !e.c.out.idle() && e.again < lingerMost {
		l.at(l.now()+lingerFor, linger{e.c, e.again + 1})
		return
	}
	e.c.drop(l)
}

// drop closes a connection at once.
func (c *client) drop(l *Loop) { left{c}.handle(l) }

// left tells that a client has closed its connection: it has gone away from all
// it still waited for.
type left struct{ client *client }

func (e left) handle(l *Loop) {
	c := e.client
	if c.gone {
		return
	}
	c.gone = true
	close(c.done)
	_ = c.conn.Close()
	delete(l.clients.conns, c)
	<-l.clients.room
	now := l.now()
	for _, r := range c.line {
		l.held -= len(r.reply)
		if r.long != nil {
			r.long.abandon(l)
			r.long = nil
			l.forget(r)
		}
		if !r.answered {
			l.close(r)
			l.module.Gone(now, r.id)
			l.forget(r)
		}
	}
	c.line = nil
	if l.life.Stopping() {
		l.over()
	}
}
