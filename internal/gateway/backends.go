package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"mothcleat/decide"
	"mothcleat/internal/resp"
)

// attempt is one send of a request or, with no request, a probe.
type attempt struct {
	r        *request
	number   int
	backend  uint32
	sent     decide.Time
	wrote    decide.Time // when it was written to its connection,
	stood    decide.Time // and for how long that had stood idle
	until    decide.Time
	conn     *backendConn // nil: it waits for one
	giveUp   *timer
	redialed bool
	ended    bool
}

// backend is a member that discovery has named, by its id.
type backend struct {
	number  uint32
	address string
	upSince int64 // as discovery tells it
	state   decide.State
	idle    []*backendConn // the one used last at the end
	waiting []*attempt     // for a connection, oldest first
	dialing int
}

// backendConn is a connection to a backend. It carries one attempt at a time:
// answers come in order, so a slow one would hold up all behind it, and giving
// one up closes the connection under the others.
type backendConn struct {
	b      *backend
	conn   *net.TCPConn
	out    *sender
	a      *attempt
	closed bool
	since  decide.Time  // idle since
	rests  decide.Time  // until when it is not used: more may come behind its last answer
	stirs  bool         // it is looked at again when it has rested
	read   atomic.Int64 // bytes that have come
	used   int64        // those of them that belong to the answers taken in
	in     *resp.Reader // the receiver's, or of who copies a long value
	long   *longValue   // that is under way on it; nil: none
	copied chan error   // how the copying of a long value ended
}

// Read counts what comes, for the connection's reader.
func (c *backendConn) Read(b []byte) (int, error) {
	n, err := c.conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// clean tells whether nothing has come that no request asked for. What lies
// there when a request is written would be taken for its answer: a second copy
// of the last one, or noise.
func (c *backendConn) clean() bool { return c.read.Load() == c.used && c.out.quiet() }

// backends is the table of members and their connections.
type backends struct {
	byNumber map[uint32]*backend
	byID     map[string]*backend
	keep     keep
	most     int // connections and dials
	open     int
	rest     decide.Time // how long a connection rests after an answer
	dial     net.Dialer
}

// restAfter is how long a connection rests after an answer. A second copy of it that comes only behind the next request
// would be taken for that one's answer: nothing in a value tells what it answers. They come some milliseconds late.
const restAfter decide.Time = 6_000

func newBackends(cfg *Config, most int) *backends {
	return &backends{
		byNumber: map[uint32]*backend{}, byID: map[string]*backend{}, most: most,
		keep: keep{longest: cfg.Host.IdleClose / 2}, rest: restAfter,
		dial: net.Dialer{Timeout: time.Duration(cfg.Host.DialTimeout) * time.Microsecond, KeepAlive: -1},
	}
}

// find finds or makes the record of a member. Its number is the hexadecimal
// end of its id, else a hash of it: the same at every gateway, as notes name
// backends by it.
func (bs *backends) find(id string) *backend {
	if b := bs.byID[id]; b != nil {
		return b
	}
	tail := id[strings.LastIndexByte(id, '-')+1:]
	n, err := strconv.ParseUint(tail, 16, 32)
	if err != nil {
		h := fnv.New32a()
		_, _ = h.Write([]byte(id))
		n = uint64(h.Sum32())
	}
	number := uint32(n)
	for bs.byNumber[number] != nil {
		number++ // two ids share a number: they are still two backends
	}
	b := &backend{number: number, state: decide.Left}
	bs.byID[id], bs.byNumber[number] = b, b
	return b
}

// start carries out a Send or a Probe.
func (bs *backends) start(l *Loop, a *attempt, number uint32) {
	a.backend = number
	b := bs.byNumber[number]
	a.giveUp = l.at(a.until, giveUp{a})
	if b == nil || b.state != decide.Ready {
		l.finish(a, decide.Moot, nil)
		return
	}
	bs.place(l, b, a)
}

// place gives an attempt the idle connection used last of those that have rested, or has one dialed.
func (bs *backends) place(l *Loop, b *backend, a *attempt) {
	now := l.now()
	trusted := now - bs.keep.most(now)
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if c.since < trusted {
			bs.close(c)
			continue
		}
		if now < c.rests {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		if bs.write(l, c, a) {
			return
		}
	}
	b.waiting = append(b.waiting, a)
	bs.connect(l, b)
}

// resting counts the connections that somebody who waits may have soon, and sees to that.
func (b *backend) resting(l *Loop) int {
	n := 0
	for _, c := range b.idle {
		if l.now() < c.rests {
			c.stir(l)
			n++
		}
	}
	return n
}

// stir has a connection that rests looked at again once it has rested, whatever has become of it.
func (c *backendConn) stir(l *Loop) {
	if !c.stirs {
		c.stirs = true
		l.at(c.rests, rested{c})
	}
}

// rested tells that a connection has rested.
type rested struct{ c *backendConn }

func (e rested) due(l *Loop) {
	c, b := e.c, e.c.b
	c.stirs = false
	if i := slices.Index(b.idle, c); i >= 0 && len(b.waiting) > 0 {
		b.idle = slices.Delete(b.idle, i, i+1)
		l.backends.free(l, c)
	}
	l.backends.connect(l, b) // where it has ended, or was taken
}

// connect dials as long as more attempts wait than dials are under way, and connections rest.
func (bs *backends) connect(l *Loop, b *backend) {
	if len(b.waiting) == 0 {
		return
	}
	for resting := b.resting(l); b.dialing+resting < len(b.waiting); {
		if bs.open >= bs.most && !bs.evict() {
			// No descriptor to spare is no fault of the backend's: nothing was
			// sent, and nothing is to be learnt of it.
			a := b.waiting[len(b.waiting)-1]
			b.waiting = b.waiting[:len(b.waiting)-1]
			l.finish(a, decide.Moot, nil)
			continue
		}
		b.dialing++
		bs.open++
		go func(address string, upSince int64) {
			conn, err := bs.dial.DialContext(context.Background(), "tcp", address)
			e := dialed{b: b, address: address, upSince: upSince, err: err}
			if err == nil {
				e.conn = conn.(*net.TCPConn)
			}
			l.post(e)
		}(b.address, b.upSince)
	}
}

// evict closes the connection that has been idle longest.
func (bs *backends) evict() bool {
	var oldest *backendConn
	for _, b := range bs.byNumber {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].since < oldest.since) {
			oldest = b.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	bs.close(oldest)
	return true
}

// drop closes a backend's idle connections.
func (bs *backends) drop(b *backend) {
	for len(b.idle) > 0 {
		bs.close(b.idle[0])
	}
}

// dialed tells how a dial ended.
type dialed struct {
	b       *backend
	address string
	upSince int64 // both as they were when it began
	conn    *net.TCPConn
	err     error
}

func (e dialed) handle(l *Loop) {
	bs, b := l.backends, e.b
	b.dialing--
	if e.err != nil {
		bs.open--
		if e.address != b.address || e.upSince != b.upSince {
			bs.connect(l, b) // it was the process before that did not answer
			return
		}
		if len(b.waiting) > 0 && len(b.waiting) > b.dialing+b.resting(l) {
			a := b.waiting[0]
			if errors.Is(e.err, syscall.ECONNRESET) && !a.redialed {
				// Something listens there: nothing was sent, and another may do
				// better. Nobody listening would refuse.
				a.redialed = true
				bs.connect(l, b)
				return
			}
			b.waiting = b.waiting[1:]
			l.finish(a, decide.ConnectFailed, nil)
		}
		return
	}
	c := &backendConn{b: b, conn: e.conn, out: newSender(e.conn), copied: make(chan error, 1)}
	if e.address != b.address {
		bs.close(c)
		bs.connect(l, b)
		return
	}
	go c.receive(l)
	bs.free(l, c)
}

// free gives a connection that has rested to the attempt that has waited longest, or keeps it.
func (bs *backends) free(l *Loop, c *backendConn) {
	b := c.b
	if b.state != decide.Ready && len(b.waiting) == 0 || !c.out.idle() {
		// It is not to be used again; or the answer came before all of the
		// request was written, and the next would be written into its rest.
		bs.close(c)
		bs.connect(l, b)
		return
	}
	if l.now() < c.rests && len(b.waiting) > 0 {
		c.stir(l)
	}
	for len(b.waiting) > 0 && l.now() >= c.rests {
		a := b.waiting[0]
		b.waiting = b.waiting[1:]
		if bs.write(l, c, a) {
			return
		}
		if c.closed {
			b.waiting = slices.Insert(b.waiting, 0, a)
			bs.connect(l, b)
			return
		}
	}
	c.since = l.now()
	b.idle = append(b.idle, c)
}

// write writes an attempt to an idle connection. It tells whether the attempt
// is done with: on its way, or ended. If the connection turned out broken the
// attempt was not sent, and may go by another.
func (bs *backends) write(l *Loop, c *backendConn, a *attempt) bool {
	if c.b.state != decide.Ready {
		// The drain was told while the attempt waited for its connection:
		// nothing new goes there, however slow the dial was.
		l.finish(a, decide.Moot, nil)
		bs.close(c)
		return true
	}
	if !c.clean() {
		bs.close(c)
		return false
	}
	var b []byte
	switch {
	case a.r != nil:
		b = a.r.forward(a.until - l.now())
	case l.cfg.Host.ReportVia == "pull":
		b = []byte("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n")
	default:
		b = []byte("*1\r\n$4\r\nPING\r\n")
	}
	if l.lapsed(a) || l.outlived(a) || l.deserted(a) {
		bs.free(l, c)
		return true
	}
	if n, err := c.out.try(b); err != nil {
		bs.close(c)
		return false
	} else if n < len(b) {
		c.out.whole = nil
		if a.r != nil {
			c.out.whole = &l.tally.Sends
		}
		c.out.send(b[n:], len(b))
	} else if a.r != nil {
		l.tally.Sends.Add(1)
	}
	if a.r != nil && l.cfg.Acts != nil {
		l.cfg.Acts.Sent(!a.r.counted, a.r.units)
	}
	if a.r != nil && !a.r.counted {
		a.r.counted = true
		if l.cfg.Fleet != nil {
			l.cfg.Fleet.Count(a.r.customer, a.r.units)
		}
	}
	c.a, a.conn = a, c
	a.wrote, a.stood = l.now(), l.now()-c.since
	return true
}

// outlived ends an attempt that was to repeat one that may have run, where the repeat may not be sent any more: it waited for
// its connection for too long. It tells whether it has.
func (l *Loop) outlived(a *attempt) bool {
	if a.r == nil || a.number == 0 || l.module.StillMay(l.now(), a.r.id, a.number) {
		return false
	}
	l.finish(a, decide.Moot, nil)
	return true
}

// deserted ends an attempt whose client has closed its connection, though that was not handled yet: the loop may be behind.
// It tells whether it has.
func (l *Loop) deserted(a *attempt) bool {
	if a.r == nil {
		return false
	}
	c, now := a.r.client, l.now()
	if now-c.there < lookAgain {
		return false
	}
	if !c.out.hungUp() {
		c.there = now
		return false
	}
	l.later(left{c})
	l.finish(a, decide.Moot, nil)
	return true
}

// sweep closes idle connections well before their backends do: a request that
// crosses the close would end as a reset.
func (bs *backends) sweep(l *Loop) {
	since := l.now() - l.cfg.Host.IdleClose/2
	for _, b := range bs.byNumber {
		for len(b.idle) > 0 && b.idle[0].since <= since {
			bs.close(b.idle[0])
		}
	}
}

// close closes a connection that carries nothing any more.
func (bs *backends) close(c *backendConn) {
	if c.closed {
		return
	}
	c.closed = true
	bs.open--
	_ = c.conn.Close()
	if i := slices.Index(c.b.idle, c); i >= 0 {
		c.b.idle = slices.Delete(c.b.idle, i, i+1)
	}
}

// wholeWithin is how soon an answer must have come whole after its first byte:
// its length may be spoilt and promise more than ever comes.
const wholeWithin = time.Second

// receive posts what a backend answers until the connection ends or its answers
// can't be told apart any more.
func (c *backendConn) receive(l *Loop) {
	in := resp.NewReader(c)
	c.in = in
	for {
		e := replied{c: c}
		var long resp.Long
		if e.err = in.Await(); e.err == nil {
			_ = c.conn.SetReadDeadline(time.Now().Add(wholeWithin))
			e.reply, long, e.err = in.ReadReplyHead()
			_ = c.conn.SetReadDeadline(time.Time{})
			if e.err == nil && long.Size > 0 {
				if !c.receiveLong(l, long) {
					return
				}
				continue
			}
			e.spoilt = errors.Is(e.err, resp.ErrProtocol) || errors.Is(e.err, os.ErrDeadlineExceeded)
		}
		e.used, e.more = c.read.Load()-int64(in.Buffered()), in.Buffered() > 0
		l.post(e)
		if e.err != nil || e.more {
			return
		}
	}
}

// replied is an answer on a backend's connection, or its end.
type replied struct {
	c      *backendConn
	reply  resp.Reply
	err    error
	spoilt bool  // an answer has come that can't be read
	used   int64 // bytes that have come with it and before
	more   bool  // and others behind it
}

func (e replied) handle(l *Loop) {
	c, a := e.c, e.c.a
	if c.closed {
		return
	}
	kept := c.used > 0 // it has carried an answer before this one
	c.used, c.rests = e.used, l.now()+l.backends.rest
	if a == nil || e.err != nil && !e.spoilt {
		l.backends.close(c)
		if c.a = nil; a != nil {
			// Its last byte was written, or may have been: it may have run. Where a
			// connection was kept and proved dead when used, those that have been
			// kept for longer are most likely dead too, though nothing shows it.
			if kept && l.now()-a.wrote < atOnce {
				l.backends.keep.broke(l.now(), a.stood)
			}
			for kept && len(c.b.idle) > 0 && c.b.idle[0].since <= c.since {
				l.backends.close(c.b.idle[0])
			}
			l.finish(a, decide.Reset, nil)
		}
		l.backends.connect(l, c.b) // somebody may have waited for it to have rested
		return
	}
	result, value, load, fine := classify(e.reply, a.r == nil)
	if e.spoilt && value == nil {
		result = decide.Failed
	}
	c.a = nil
	if !fine || e.spoilt || e.more {
		// What comes next on this connection may belong to nothing. That tells
		// only of it: the others to the backend go on.
		l.backends.close(c)
		l.backends.connect(l, c.b)
	}
	l.finishWith(a, result, value, l.report(load))
	if !c.closed {
		l.backends.free(l, c)
	}
}

// classify tells what an answer means, and whether it is in the form agreed on:
// an array with the value first, or an error. What follows the value, such as a
// load report that can't be read, does not spoil it.
func classify(re resp.Reply, probe bool) (result decide.Result, value []byte, load string, fine bool) {
	switch {
	case re.Kind == '-':
		word, rest, _ := strings.Cut(string(re.Text), " ")
		if word == "BUSY" {
			return decide.Full, nil, rest, true
		}
		return decide.Failed, nil, rest[strings.LastIndexByte(rest, ' ')+1:], true
	case probe:
		return decide.OK, nil, string(re.Text), re.Kind == '+' || re.Kind == '$'
	case re.Kind == '*' && len(re.Items) > 0 && re.Items[0].Kind == '$' && !re.Items[0].Null:
		if len(re.Items) > 2 {
			load = string(re.Items[2].Text)
		}
		return decide.OK, re.Items[0].Text, load, true
	}
	return decide.Failed, nil, "", false // no value: it may have run
}

// report reads a load report, in the order of the settings; nil if it is none.
// One that is not whole, or holds what no load can be, must not reach the
// decisions: it would draw all requests to its backend, or none.
func (l *Loop) report(text string) []float32 {
	names := l.cfg.Host.Report
	if len(l.cfg.Settings.Report) == 0 || !strings.Contains(text, "=") {
		return nil
	}
	load, told := make([]float32, len(names)), 0
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(value, 32)
		i := slices.Index(names, name)
		if i < 0 {
			continue
		}
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			return nil
		}
		load[i], told = float32(v), told|1<<i
	}
	if told != 1<<len(names)-1 {
		return nil
	}
	return load
}

// giveUp ends an attempt whose time has passed, and its connection with it.
type giveUp struct{ a *attempt }

func (g giveUp) due(l *Loop) {
	a := g.a
	if a.ended {
		return
	}
	if a.conn == nil {
		l.backends.unwait(l, a)
		return
	}
	l.backends.cut(l, a, decide.TimedOut)
}

// withdraw ends an attempt whose request needs no answer any more, if a backend has not got it whole:
// one that waits for a connection is not sent, and the last byte of one that is partly written does
// not come. What has got there goes on till it is answered, or its time is up.
func (bs *backends) withdraw(l *Loop, a *attempt) {
	switch {
	case a.ended:
	case a.conn == nil:
		bs.unwait(l, a)
	case !a.conn.out.idle():
		bs.cut(l, a, decide.Cancelled) // its last byte may have gone this very moment
	}
}

// unwait ends an attempt that waits for a connection.
func (bs *backends) unwait(l *Loop, a *attempt) {
	b := bs.byNumber[a.backend]
	b.waiting = slices.DeleteFunc(b.waiting, func(w *attempt) bool { return w == a })
	l.finish(a, decide.Moot, nil)
}

// cut ends an attempt with its connection.
func (bs *backends) cut(l *Loop, a *attempt, result decide.Result) {
	a.conn.a = nil
	bs.close(a.conn)
	l.finish(a, result, nil)
}

// finish ends an attempt: the first call counts, and brings its one outcome.
func (l *Loop) finish(a *attempt, result decide.Result, value []byte) {
	l.finishWith(a, result, value, nil)
}

func (l *Loop) finishWith(a *attempt, result decide.Result, value []byte, load []float32) {
	if a.ended {
		return
	}
	a.ended = true
	l.cancel(a.giveUp)
	a.giveUp, a.conn = nil, nil
	l.later(outcome{a, result, value, load, l.now() - a.sent})
}

// members takes in discovery's list or its changes.
func (bs *backends) members(l *Loop, news decide.News, list []member) {
	told := make([]decide.Member, 0, len(list))
	if news != decide.Changed {
		for _, b := range bs.byNumber {
			b.state = decide.Left // but for those that the list names
		}
	}
	for _, m := range list {
		b := bs.find(m.ID)
		b.state = stateOf(&m)
		if b.address != m.HostPort || b.upSince != m.UpSince {
			// It has moved or started anew: what stands idle leads nowhere.
			b.address, b.upSince = m.HostPort, m.UpSince
			bs.drop(b)
		}
		told = append(told, decide.Member{
			Backend: b.number, Zone: l.register.zone(m.Locality), Cell: m.Cell, State: b.state,
			Hint: m.Size, Started: m.UpSince * 1000,
		})
	}
	l.module.Members(l.now(), news, told)
	for id, b := range bs.byID {
		if b.state != decide.Ready {
			bs.drop(b)
			for len(b.waiting) > 0 {
				bs.unwait(l, b.waiting[0]) // nothing goes there, however its dial ends
			}
		}
		if b.state == decide.Left && len(b.waiting) == 0 && b.dialing == 0 {
			delete(bs.byID, id)
			delete(bs.byNumber, b.number)
		}
	}
}
