package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"mothcleat/decide"
	"mothcleat/internal/resp"
)

const (
	acceptAgain = 20 * time.Millisecond
	pipelined   = 256               // commands of one connection without an answer
	unread      = 2 * resp.MaxValue // bytes of answers that a client has not taken
	refuseAfter = 500_000           // advice where the gateway itself has no room
	lingerFor   = 500_000           // for the other side to close, after the last answer,
	lingerMost  = 10                // and so many times longer while it takes answers slowly
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
}

// client is one connection from the front.
type client struct {
	conn    *net.TCPConn
	out     *sender
	line    []*request // in the order of their commands; answers wait their turn
	room    chan struct{}
	gone    bool // nothing more can be written
	ending  bool // ends as soon as its line is empty
	ended   bool // has ended its sending: no more is taken
	surplus bool // over the share: refused at once, then ended
	used    decide.Time
}

// accept posts new connections. Over its share it waits: the rest stays in the
// listener's backlog.
func (cs *clients) accept(l *Loop) {
	for {
		cs.room <- struct{}{}
		conn, err := cs.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
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

type connected struct{ conn *net.TCPConn }

func (e connected) handle(l *Loop) {
	cs := l.clients
	c := &client{conn: e.conn, out: newSender(e.conn), room: make(chan struct{}, pipelined), used: l.now()}
	if len(cs.conns) >= cs.most && !cs.evict(l) {
		c.surplus = true
	}
	cs.conns[c] = true
	go c.read(l)
}

// evict ends the connection that has stood idle longest.
func (cs *clients) evict(l *Loop) bool {
	var oldest *client
	for c := range cs.conns {
		if len(c.line) == 0 && !c.ending && (oldest == nil || c.used < oldest.used) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	oldest.end(l)
	return true
}

// read posts what a client sends until it ends. It never waits for an answer
// but where a line is full, so a close is seen while requests are out.
func (c *client) read(l *Loop) {
	in := resp.NewReader(c.conn)
	for {
		args, err := in.ReadCommand()
		e := taken{client: c, at: l.clock.now()}
		switch {
		case errors.Is(err, resp.ErrTooLarge):
			e.reply = refusal(err)
		case errors.Is(err, resp.ErrProtocol):
			e.reply, e.last = refusal(err), true
		case err != nil:
			l.post(left{c})
			return
		default:
			e.read(&l.cfg, args)
		}
		c.room <- struct{}{}
		l.post(e)
		if e.last {
			// Take what still comes, so that the answer is not lost with a reset.
			_, _ = c.conn.WriteTo(nowhere{})
			l.post(left{c})
			return
		}
	}
}

type nowhere struct{}

func (nowhere) Write(b []byte) (int, error) { return len(b), nil }

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
	reply  []byte // at once, without the module
	last   bool   // the connection's framing is lost
}

// read tells the commands apart.
func (e *taken) read(cfg *Config, args [][]byte) {
	switch {
	case bytes.EqualFold(args[0], apiRead) || bytes.EqualFold(args[0], apiWrite):
		cmd, err := cfg.parse(args)
		if err != nil {
			e.reply = refusal(err)
		}
		e.cmd = cmd
	case bytes.EqualFold(args[0], ping):
		e.reply = pong
	default:
		e.reply = refusal(fmt.Errorf("unknown command %.32q", args[0]))
	}
}

func (e taken) handle(l *Loop) {
	c, now := e.client, l.now()
	if c.gone || c.ended {
		return // it crossed the end of the connection: the client sends it again
	}
	r := &request{client: c, args: e.cmd.args, wait: e.cmd.wait}
	c.line, c.used = append(c.line, r), now
	l.open++
	if e.last {
		c.ending = true
	}
	if e.reply == nil {
		e.reply = l.refusal(c)
	}
	if e.reply != nil {
		l.answer(r, e.reply)
		return
	}
	l.nextID++
	r.id = l.nextID
	l.requests[r.id] = r
	l.held += size(r.args)
	left := e.cmd.what.Grace - min(margin, e.cmd.what.Grace/4)
	r.deadline = e.at + left
	l.at(r.deadline+min(margin, e.cmd.what.Grace/4)/2, backstop{r})
	q := e.cmd.what
	q.ID, q.Grace = r.id, max(0, r.deadline-now)
	l.module.Request(now, q)
}

// refusal is the prompt answer where the gateway itself has no room.
func (l *Loop) refusal(c *client) []byte {
	full := l.cfg.Host.MaxOpen > 0 && l.open > l.cfg.Host.MaxOpen
	if !full && !c.surplus && !l.drain.answered && l.held < l.cfg.MemoryMB<<20/4 {
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
	for n < len(c.line) && c.line[n].answered {
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
	if n == 0 {
		return
	}
	c.line = slices.Delete(c.line, 0, n)
	if !c.gone && !c.out.send(out, unread) {
		_ = c.conn.Close() // the reader posts left
	}
	if c.ending && len(c.line) == 0 {
		c.finish(l)
	}
}

// end lets a connection end: between requests now, else after its last answer.
func (c *client) end(l *Loop) {
	if c.ending || c.gone {
		return
	}
	c.ending = true
	if len(c.line) == 0 {
		c.finish(l)
	}
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
	l.at(l.now()+lingerFor, linger{c, 0})
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
	_ = e.c.conn.Close() // the reader posts left
}

// left tells that a client has closed its connection: it has gone away from all
// it still waited for.
type left struct{ client *client }

func (e left) handle(l *Loop) {
	c := e.client
	if c.gone {
		return
	}
	c.gone = true
	_ = c.conn.Close()
	delete(l.clients.conns, c)
	<-l.clients.room
	now := l.now()
	for _, r := range c.line {
		l.held -= len(r.reply)
		if !r.answered {
			r.answered = true
			l.open--
			l.module.Gone(now, r.id)
			l.forget(r)
		}
	}
	c.line = nil
	l.drain.check(l)
}
