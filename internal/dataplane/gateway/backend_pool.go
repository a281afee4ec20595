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
	request   *request
	number    int
	backend   uint32
	startedAt policy.Time
	writtenAt policy.Time // when it was written to its connection,
	connIdle  policy.Time // and for how long that had stood idle
	deadline  policy.Time
	conn      *backendConn // nil: it waits for one
	timeout   *timer
	redialed  bool
	ended     bool
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
	backend       *backend
	conn          *net.TCPConn
	out           *sender
	attempt       *attempt
	closed        bool
	idleSince     policy.Time    // idle since
	restsUntil    policy.Time    // until when it is not used: more may come behind its last answer
	wakeScheduled bool           // it is looked at again when it has rested
	bytesRead     atomic.Int64   // bytes that have come
	bytesConsumed int64          // those of them that belong to the answers taken in
	reader        *resp.Reader   // the receiver's, or of who copies a long value
	streamed      *streamedValue // that is under way on it; nil: none
	copyResult    chan error     // how the copying of a long value ended
}

// Read counts what comes, for the connection's reader.
func (c *backendConn) Read(b []byte) (int, error) {
	n, err := c.conn.Read(b)
	c.bytesRead.Add(int64(n))
	return n, err
}

// clean tells whether nothing has come that no request asked for. What lies
// there when a request is written would be taken for its answer: a second copy
// of the last one, or noise.
func (c *backendConn) clean() bool {
	return c.bytesRead.Load() == c.bytesConsumed && c.out.nothingToRead()
}

// backendPool is the table of members and their connections.
type backendPool struct {
	byNumber     map[uint32]*backend
	byID         map[string]*backend
	idleTrust    idleTrust
	maxConns     int // connections and dials
	open         int
	restDuration policy.Time // how long a connection rests after an answer
	dial         net.Dialer
}

// restAfterAnswer is how long a connection rests after an answer. A second copy of it that comes only behind the next request
// would be taken for that one's answer: nothing in a value tells what it answers. They come some milliseconds late.
const restAfterAnswer policy.Time = 6_000

func newBackends(cfg *Config, most int) *backendPool {
	return &backendPool{
		byNumber: map[uint32]*backend{}, byID: map[string]*backend{}, maxConns: most,
		idleTrust: idleTrust{maxIdle: cfg.Host.IdleClose / 2}, restDuration: restAfterAnswer,
		dial: net.Dialer{Timeout: time.Duration(cfg.Host.DialTimeout) * time.Microsecond, KeepAlive: -1},
	}
}

// find finds or makes the record of a member. Its number is the hexadecimal
// end of its id, else a hash of it: the same at every gateway, as notes name
// backends by it.
func (bs *backendPool) find(id string) *backend {
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

// startAttempt carries out a Send or a Probe.
func (bs *backendPool) startAttempt(l *Loop, a *attempt, number uint32) {
	a.backend = number
	b := bs.byNumber[number]
	a.timeout = l.schedule(a.deadline, attemptTimeout{a})
	if b == nil || b.state != policy.Ready {
		l.finishAttempt(a, policy.Superseded, nil)
		return
	}
	bs.place(l, b, a)
}

// place gives an attempt the idle connection used last of those that have rested, or has one dialed.
func (bs *backendPool) place(l *Loop, b *backend, a *attempt) {
	now := l.now()
	trusted := now - bs.idleTrust.limit(now)
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if c.idleSince < trusted {
			bs.close(c)
			continue
		}
		if now < c.restsUntil {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		if bs.write(l, c, a) {
			return
		}
	}
	b.waiting = append(b.waiting, a)
	bs.dialForWaiting(l, b)
}

// resting counts the connections that somebody who waits may have soon, and sees to that.
func (b *backend) resting(l *Loop) int {
	n := 0
	for _, c := range b.idle {
		if l.now() < c.restsUntil {
			c.scheduleWake(l)
			n++
		}
	}
	return n
}

// scheduleWake has a connection that rests looked at again once it has rested, whatever has become of it.
func (c *backendConn) scheduleWake(l *Loop) {
	if !c.wakeScheduled {
		c.wakeScheduled = true
		l.schedule(c.restsUntil, connRested{c})
	}
}

// connRested tells that a connection has rested.
type connRested struct{ conn *backendConn }

func (e connRested) due(l *Loop) {
	c, b := e.conn, e.conn.backend
	c.wakeScheduled = false
	if i := slices.Index(b.idle, c); i >= 0 && len(b.waiting) > 0 {
		b.idle = slices.Delete(b.idle, i, i+1)
		l.backends.release(l, c)
	}
	l.backends.dialForWaiting(l, b) // where it has ended, or was taken
}

// release gives a connection that has rested to the attempt that has waited longest, or keeps it.
func (bs *backendPool) release(l *Loop, c *backendConn) {
	b := c.backend
	if b.state != policy.Ready && len(b.waiting) == 0 || !c.out.drained() {
		// It is not to be used again; or the answer came before all of the
		// request was written, and the next would be written into its rest.
		bs.close(c)
		bs.dialForWaiting(l, b)
		return
	}
	if l.now() < c.restsUntil && len(b.waiting) > 0 {
		c.scheduleWake(l)
	}
	for len(b.waiting) > 0 && l.now() >= c.restsUntil {
		a := b.waiting[0]
		b.waiting = b.waiting[1:]
		if bs.write(l, c, a) {
			return
		}
		if c.closed {
			b.waiting = slices.Insert(b.waiting, 0, a)
			bs.dialForWaiting(l, b)
			return
		}
	}
	c.idleSince = l.now()
	b.idle = append(b.idle, c)
}

// write writes an attempt to an idle connection. It tells whether the attempt
// is done with: on its way, or ended. If the connection turned out broken the
// attempt was not sent, and may go by another.
func (bs *backendPool) write(l *Loop, c *backendConn, a *attempt) bool {
	if c.backend.state != policy.Ready {
		// The drain was told while the attempt waited for its connection:
		// nothing new goes there, however slow the dial was.
		l.finishAttempt(a, policy.Superseded, nil)
		bs.close(c)
		return true
	}
	if !c.clean() {
		bs.close(c)
		return false
	}
	var b []byte
	switch {
	case a.request != nil:
		b = a.request.encodeForBackend(a.deadline - l.now())
	case l.cfg.Host.ReportVia == "pull":
		b = []byte("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n")
	default:
		b = []byte("*1\r\n$4\r\nPING\r\n")
	}
	if l.decisionExpired(a) || l.retryExpired(a) || l.clientHungUp(a) {
		bs.release(l, c)
		return true
	}
	if n, err := c.out.writeNow(b); err != nil {
		bs.close(c)
		return false
	} else if n < len(b) {
		c.out.fullyWritten = nil
		if a.request != nil {
			c.out.fullyWritten = &l.metrics.Sends
		}
		c.out.send(b[n:], len(b))
	} else if a.request != nil {
		l.metrics.Sends.Add(1)
	}
	if a.request != nil && l.cfg.Operations != nil {
		l.cfg.Operations.Sent(!a.request.sentOn, a.request.units)
	}
	if a.request != nil && !a.request.sentOn {
		a.request.sentOn = true
		if l.cfg.Fleet != nil {
			l.cfg.Fleet.Count(a.request.customer, a.request.units)
		}
	}
	c.attempt, a.conn = a, c
	a.writtenAt, a.connIdle = l.now(), l.now()-c.idleSince
	return true
}

// retryExpired ends an attempt that was to repeat one that may have run, where the repeat may not be sent any more: it waited for
// its connection for too long. It tells whether it has.
func (l *Loop) retryExpired(a *attempt) bool {
	if a.request == nil || a.number == 0 || l.balancer.MayStillSend(l.now(), a.request.id, a.number) {
		return false
	}
	l.finishAttempt(a, policy.Superseded, nil)
	return true
}

// clientHungUp ends an attempt whose client has closed its connection, though that was not handled yet: the loop may be behind.
// It tells whether it has.
func (l *Loop) clientHungUp(a *attempt) bool {
	if a.request == nil {
		return false
	}
	c, now := a.request.client, l.now()
	if now-c.lastSeenOpen < hangUpCheckMaxAge {
		return false
	}
	if !c.out.hungUp() {
		c.lastSeenOpen = now
		return false
	}
	l.enqueue(clientLeft{c})
	l.finishAttempt(a, policy.Superseded, nil)
	return true
}

// closeIdle closes idle connections well before their backends do: a request that
// crosses the close would end as a reset.
func (bs *backendPool) closeIdle(l *Loop) {
	since := l.now() - l.cfg.Host.IdleClose/2
	for _, b := range bs.byNumber {
		for len(b.idle) > 0 && b.idle[0].idleSince <= since {
			bs.close(b.idle[0])
		}
	}
}

// close closes a connection that carries nothing any more.
func (bs *backendPool) close(c *backendConn) {
	if c.closed {
		return
	}
	c.closed = true
	bs.open--
	_ = c.conn.Close()
	if i := slices.Index(c.backend.idle, c); i >= 0 {
		c.backend.idle = slices.Delete(c.backend.idle, i, i+1)
	}
}

// attemptTimeout ends an attempt whose time has passed, and its connection with it.
type attemptTimeout struct{ attempt *attempt }

func (g attemptTimeout) due(l *Loop) {
	a := g.attempt
	if a.ended {
		return
	}
	if a.conn == nil {
		l.backends.cancelWaiting(l, a)
		return
	}
	l.backends.abort(l, a, policy.TimedOut)
}

// withdraw ends an attempt whose request needs no answer any more, if a backend has not got it whole:
// one that waits for a connection is not sent, and the last byte of one that is partly written does
// not come. What has got there goes on till it is answered, or its time is up.
func (bs *backendPool) withdraw(l *Loop, a *attempt) {
	switch {
	case a.ended:
	case a.conn == nil:
		bs.cancelWaiting(l, a)
	case !a.conn.out.drained():
		bs.abort(l, a, policy.Cancelled) // its last byte may have gone this very moment
	}
}

// cancelWaiting ends an attempt that waits for a connection.
func (bs *backendPool) cancelWaiting(l *Loop, a *attempt) {
	b := bs.byNumber[a.backend]
	b.waiting = slices.DeleteFunc(b.waiting, func(w *attempt) bool { return w == a })
	l.finishAttempt(a, policy.Superseded, nil)
}

// abort ends an attempt with its connection.
func (bs *backendPool) abort(l *Loop, a *attempt, result policy.Result) {
	a.conn.attempt = nil
	bs.close(a.conn)
	l.finishAttempt(a, result, nil)
}

// finishAttempt ends an attempt: the first call counts, and brings its one outcome.
func (l *Loop) finishAttempt(a *attempt, result policy.Result, value []byte) {
	l.finishAttemptWithReply(a, result, value, nil)
}

func (l *Loop) finishAttemptWithReply(a *attempt, result policy.Result, value []byte, load []float32) {
	if a.ended {
		return
	}
	a.ended = true
	l.cancel(a.timeout)
	a.timeout, a.conn = nil, nil
	l.enqueue(attemptOutcome{a, result, value, load, l.now() - a.startedAt})
}

// updateEndpoints takes in discovery's list or its changes.
func (bs *backendPool) updateEndpoints(l *Loop, news policy.ListKind, list []member) {
	told := make([]policy.Endpoint, 0, len(list))
	if news != policy.Delta {
		for _, b := range bs.byNumber {
			b.state = policy.Removed // but for those that the list names
		}
	}
	for _, m := range list {
		b := bs.find(m.ID)
		b.state = endpointState(&m)
		if b.address != m.HostPort || b.upSince != m.UpSince {
			// It has moved or started anew: what stands idle leads nowhere.
			b.address, b.upSince = m.HostPort, m.UpSince
			bs.closeIdleOf(b)
		}
		told = append(told, policy.Endpoint{
			Backend: b.number, Zone: l.endpoints.zoneNumber(m.Locality), Cell: m.Cell, State: b.state,
			Weight: m.Size, StartedAt: m.UpSince * 1000,
		})
	}
	l.balancer.UpdateEndpoints(l.now(), news, told)
	for id, b := range bs.byID {
		if b.state != policy.Ready {
			bs.closeIdleOf(b)
			for len(b.waiting) > 0 {
				bs.cancelWaiting(l, b.waiting[0]) // nothing goes there, however its dial ends
			}
		}
		if b.state == policy.Removed && len(b.waiting) == 0 && b.dialing == 0 {
			delete(bs.byID, id)
			delete(bs.byNumber, b.number)
		}
	}
}
