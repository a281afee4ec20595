package gateway

import (
	"hash/fnv"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

// attempt is one send of a request or, with no request, a probe.
type attempt struct {
	r        *request
	number   int
	backend  uint32
	sent     policy.Time
	wrote    policy.Time // when it was written to its connection,
	stood    policy.Time // and for how long that had stood idle
	until    policy.Time
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
	state   policy.EndpointState
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
	since  policy.Time  // idle since
	rests  policy.Time  // until when it is not used: more may come behind its last answer
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
	rest     policy.Time // how long a connection rests after an answer
	dial     net.Dialer
}

// restAfter is how long a connection rests after an answer. A second copy of it that comes only behind the next request
// would be taken for that one's answer: nothing in a value tells what it answers. They come some milliseconds late.
const restAfter policy.Time = 6_000

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
	b := &backend{number: number, state: policy.Removed}
	bs.byID[id], bs.byNumber[number] = b, b
	return b
}

// start carries out a Send or a Probe.
func (bs *backends) start(l *Loop, a *attempt, number uint32) {
	a.backend = number
	b := bs.byNumber[number]
	a.giveUp = l.at(a.until, giveUp{a})
	if b == nil || b.state != policy.Ready {
		l.finish(a, policy.Superseded, nil)
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

// free gives a connection that has rested to the attempt that has waited longest, or keeps it.
func (bs *backends) free(l *Loop, c *backendConn) {
	b := c.b
	if b.state != policy.Ready && len(b.waiting) == 0 || !c.out.idle() {
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
	if c.b.state != policy.Ready {
		// The drain was told while the attempt waited for its connection:
		// nothing new goes there, however slow the dial was.
		l.finish(a, policy.Superseded, nil)
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
			c.out.whole = &l.metrics.Sends
		}
		c.out.send(b[n:], len(b))
	} else if a.r != nil {
		l.metrics.Sends.Add(1)
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
	if a.r == nil || a.number == 0 || l.module.MayStillSend(l.now(), a.r.id, a.number) {
		return false
	}
	l.finish(a, policy.Superseded, nil)
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
	l.finish(a, policy.Superseded, nil)
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
	l.backends.cut(l, a, policy.TimedOut)
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
		bs.cut(l, a, policy.Cancelled) // its last byte may have gone this very moment
	}
}

// unwait ends an attempt that waits for a connection.
func (bs *backends) unwait(l *Loop, a *attempt) {
	b := bs.byNumber[a.backend]
	b.waiting = slices.DeleteFunc(b.waiting, func(w *attempt) bool { return w == a })
	l.finish(a, policy.Superseded, nil)
}

// cut ends an attempt with its connection.
func (bs *backends) cut(l *Loop, a *attempt, result policy.Result) {
	a.conn.a = nil
	bs.close(a.conn)
	l.finish(a, result, nil)
}

// finish ends an attempt: the first call counts, and brings its one outcome.
func (l *Loop) finish(a *attempt, result policy.Result, value []byte) {
	l.finishWith(a, result, value, nil)
}

func (l *Loop) finishWith(a *attempt, result policy.Result, value []byte, load []float32) {
	if a.ended {
		return
	}
	a.ended = true
	l.cancel(a.giveUp)
	a.giveUp, a.conn = nil, nil
	l.later(outcome{a, result, value, load, l.now() - a.sent})
}

// members takes in discovery's list or its changes.
func (bs *backends) members(l *Loop, news policy.ListKind, list []member) {
	told := make([]policy.Endpoint, 0, len(list))
	if news != policy.Delta {
		for _, b := range bs.byNumber {
			b.state = policy.Removed // but for those that the list names
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
		told = append(told, policy.Endpoint{
			Backend: b.number, Zone: l.register.zone(m.Locality), Cell: m.Cell, State: b.state,
			Weight: m.Size, StartedAt: m.UpSince * 1000,
		})
	}
	l.module.UpdateEndpoints(l.now(), news, told)
	for id, b := range bs.byID {
		if b.state != policy.Ready {
			bs.drop(b)
			for len(b.waiting) > 0 {
				bs.unwait(l, b.waiting[0]) // nothing goes there, however its dial ends
			}
		}
		if b.state == policy.Removed && len(b.waiting) == 0 && b.dialing == 0 {
			delete(bs.byID, id)
			delete(bs.byNumber, b.number)
		}
	}
}
