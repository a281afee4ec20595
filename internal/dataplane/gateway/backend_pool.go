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
	"mothcleat/internal/failpoint"
)

// attempt is one attempt to send a request to a backend or, without a request, a health check.
type attempt struct {
	request   *request // nil: a health check
	number    int      // index among the request's attempts, from 0
	backend   uint32
	startedAt policy.Time
	deadline  policy.Time
	timeout   *timer

	conn      *backendConn // nil: the attempt waits for a connection or has ended
	writtenAt policy.Time  // when the attempt was written to conn
	connIdle  policy.Time  // how long conn had been idle at writtenAt
	redialed  bool         // a dial for this attempt was reset and retried
	ended     bool         // the outcome is enqueued
}

// backend is a backend from the endpoint list.
type backend struct {
	number  uint32 // identifies it to the balancer and in messages between peers
	address string
	upSince int64 // start time reported by discovery, in Unix milliseconds
	state   policy.EndpointState
	idle    []*backendConn // sorted by last use, the latest at the end
	waiting []*attempt     // attempts waiting for a connection, oldest first
	dialing int
}

// backendConn is a connection to a backend. It carries one attempt at a time: because answers come
// in order, a slow one would delay those behind it, and cancelling it would close the connection
// for all of them. The event loop owns it; its reader goroutine uses bytesRead, reader and
// copyResult.
type backendConn struct {
	backend *backend
	conn    *net.TCPConn
	out     *sender
	attempt *attempt // in flight on the connection; nil: none
	closed  bool

	idleSince            policy.Time
	cooldownUntil        policy.Time // not reused before: more data may follow the last answer
	cooldownEndScheduled bool        // a cooldownEnded is scheduled

	duplicates duplicateFilter

	bytesRead     atomic.Int64
	bytesConsumed int64 // bytes of bytesRead that belong to answers already handled

	reader     *resp.Reader
	inReply    bool           // the reader reads an answer whose first byte has come
	streamed   *streamedValue // being copied from the connection; nil: none
	copyResult chan error     // result of copying a streamed value
}

// Read reads from the connection and counts the bytes in bytesRead. In the middle of an answer it
// waits no longer than replyTimeout. Only the connection's reader calls it.
func (c *backendConn) Read(b []byte) (int, error) {
	if c.inReply {
		_ = c.conn.SetReadDeadline(time.Now().Add(replyTimeout))
	}
	n, err := c.conn.Read(b)
	c.bytesRead.Add(int64(n))
	return n, err
}

// noUnexpectedInput reports whether the connection is open and has received no bytes beyond the
// answers already handled. Other bytes, such as a duplicate of the last answer, would be taken for
// the answer to the next request.
func (c *backendConn) noUnexpectedInput() bool {
	return c.bytesRead.Load() == c.bytesConsumed && c.out.nothingToRead()
}

// backendPool holds the backends and the connections to them. It belongs to the event loop.
type backendPool struct {
	byNumber    map[uint32]*backend
	byID        map[string]*backend
	idleLimiter idleLimiter
	maxConns    int // limit on connections plus dials in progress
	open        int // connections plus dials in progress
	cooldown    policy.Time
	dial        net.Dialer
}

// connCooldown is how long a connection is not reused after an answer. Some backends send a
// duplicate of an answer a few milliseconds later. If a request were written before the duplicate
// arrived, the duplicate would be taken for its answer, because an answer does not identify its
// request.
const connCooldown policy.Time = 6_000

func newBackendPool(cfg *Config, maxConns int) *backendPool {
	return &backendPool{
		byNumber:    map[uint32]*backend{},
		byID:        map[string]*backend{},
		maxConns:    maxConns,
		idleLimiter: idleLimiter{maxIdle: cfg.Host.BackendIdleTimeout / 2},
		cooldown:    connCooldown,
		dial: net.Dialer{
			Timeout:   time.Duration(cfg.Host.DialTimeout) * time.Microsecond,
			KeepAlive: -1,
		},
	}
}

// findOrAdd returns the backend with the given id and adds it if it is missing. The backend's
// number is the hexadecimal suffix of the id, or else a hash of the id. Every gateway derives the
// same number, because messages between peers identify backends by it.
func (p *backendPool) findOrAdd(id string) *backend {
	if b := p.byID[id]; b != nil {
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
	for p.byNumber[number] != nil {
		number++ // two ids with the same number are still two backends
	}
	b := &backend{number: number, state: policy.Removed}
	p.byID[id] = b
	p.byNumber[number] = b
	return b
}

// startAttempt starts the attempt of a Send or a Probe.
func (p *backendPool) startAttempt(g *Gateway, a *attempt, number uint32) {
	a.backend = number
	a.timeout = g.schedule(a.deadline, attemptTimeout{a})
	b := p.byNumber[number]
	if b == nil || b.state != policy.Ready {
		g.finishAttempt(a, policy.Superseded, nil)
		return
	}
	p.assignConn(g, b, a)
}

// assignConn writes an attempt to the most recently used idle connection whose cooldown has ended.
// If there is none, the attempt waits and a connection is dialed for it.
func (p *backendPool) assignConn(g *Gateway, b *backend, a *attempt) {
	now := g.now()
	oldestUsable := now - p.idleLimiter.limit(now)
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if c.idleSince < oldestUsable {
			p.close(c)
			continue
		}
		if now < c.cooldownUntil {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		if p.write(g, c, a) {
			return
		}
	}
	b.waiting = append(b.waiting, a)
	p.dialForWaiting(g, b)
}

// coolingDown returns the number of idle connections in their cooldown, and schedules the
// assignment of each to a waiting attempt at the end of its cooldown.
func (b *backend) coolingDown(g *Gateway) int {
	n := 0
	for _, c := range b.idle {
		if g.now() < c.cooldownUntil {
			c.scheduleCooldownEnd(g)
			n++
		}
	}
	return n
}

// scheduleCooldownEnd schedules cooldownEnded, which fires even if the connection has been used or
// closed by then.
func (c *backendConn) scheduleCooldownEnd(g *Gateway) {
	if !c.cooldownEndScheduled {
		c.cooldownEndScheduled = true
		g.schedule(c.cooldownUntil, cooldownEnded{c})
	}
}

// cooldownEnded fires at the end of a connection's cooldown.
type cooldownEnded struct{ conn *backendConn }

func (e cooldownEnded) due(g *Gateway) {
	c := e.conn
	b := c.backend
	c.cooldownEndScheduled = false
	if i := slices.Index(b.idle, c); i >= 0 && len(b.waiting) > 0 {
		b.idle = slices.Delete(b.idle, i, i+1)
		g.backends.release(g, c)
	}
	g.backends.dialForWaiting(g, b) // the connection may have been closed or used in the meantime
}

// release assigns a connection to the attempt that has waited longest, or adds the connection to
// the idle ones.
func (p *backendPool) release(g *Gateway, c *backendConn) {
	b := c.backend
	unwanted := b.state != policy.Ready && len(b.waiting) == 0
	// An answer may come before the request is written completely. The next request would then be
	// written into the rest of this one.
	if unwanted || !c.out.drained() {
		p.close(c)
		p.dialForWaiting(g, b)
		return
	}
	if g.now() < c.cooldownUntil && len(b.waiting) > 0 {
		c.scheduleCooldownEnd(g)
	}
	for len(b.waiting) > 0 && g.now() >= c.cooldownUntil {
		a := b.waiting[0]
		b.waiting = b.waiting[1:]
		if p.write(g, c, a) {
			return
		}
		if c.closed {
			b.waiting = slices.Insert(b.waiting, 0, a)
			p.dialForWaiting(g, b)
			return
		}
	}
	c.idleSince = g.now()
	b.idle = append(b.idle, c)
}

// write writes an attempt to an idle connection. It returns true if the attempt is then in flight
// or has ended, and false if the connection is broken and nothing was sent.
func (p *backendPool) write(g *Gateway, c *backendConn, a *attempt) bool {
	if c.backend.state != policy.Ready {
		// The backend began to drain while the attempt waited for its connection.
		g.finishAttempt(a, policy.Superseded, nil)
		p.close(c)
		return true
	}
	if !c.noUnexpectedInput() {
		p.close(c)
		return false
	}
	command := g.encodeAttempt(a)
	// These checks come last, right before the write, because the process may have been suspended
	// since the decision.
	if g.clientHungUp(a) || g.retryExpired(a) || g.decisionExpired(a) {
		p.release(g, c)
		return true
	}
	failpoint.At("attempt-checked")
	if !c.send(command, a, g) {
		p.close(c)
		return false
	}
	if a.request != nil {
		g.countSend(a.request)
	}
	c.attempt = a
	a.conn = c
	a.writtenAt = g.now()
	a.connIdle = g.now() - c.idleSince
	return true
}

// Health checks, as RESP2 commands.
var (
	infoLoadCommand   = []byte("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n")
	healthPingCommand = []byte("*1\r\n$4\r\nPING\r\n")
)

// encodeAttempt returns the command to send to the backend for an attempt.
func (g *Gateway) encodeAttempt(a *attempt) []byte {
	switch {
	case a.request != nil:
		return a.request.encodeForBackend(a.deadline - g.now())
	case g.cfg.Host.ReportVia == "pull":
		return infoLoadCommand
	default:
		return healthPingCommand
	}
}

// send writes an attempt's command: as much as the socket accepts now, and the rest in the
// background. It returns false if the connection is broken.
func (c *backendConn) send(command []byte, a *attempt, g *Gateway) bool {
	n, err := c.out.writeNow(command)
	if err != nil {
		return false
	}
	if n == len(command) {
		if a.request != nil {
			g.metrics.Sends.Add(1)
		}
		return true
	}
	c.out.fullyWritten = nil
	if a.request != nil {
		c.out.fullyWritten = &g.metrics.Sends
	}
	c.out.send(command[n:])
	return true
}

// countSend counts a written attempt, and with the first attempt also the request's units.
func (g *Gateway) countSend(r *request) {
	if g.cfg.Operations != nil {
		g.cfg.Operations.Sent(!r.sent, r.units)
	}
	if r.sent {
		return
	}
	r.sent = true
	if g.cfg.Fleet != nil {
		g.cfg.Fleet.Count(r.customer, r.units)
	}
}

// retryExpired ends a retry that waited too long for its connection and may no longer be sent,
// because an earlier attempt may have been executed. It reports whether it ended the retry.
func (g *Gateway) retryExpired(a *attempt) bool {
	if a.request == nil || a.number == 0 {
		return false
	}
	if g.balancer.MayStillSend(g.now(), a.request.id, a.number) {
		return false
	}
	g.finishAttempt(a, policy.Superseded, nil)
	return true
}

// clientHungUp ends an attempt whose client has closed its connection, even if the event loop has
// not handled that event yet. It reports whether it ended the attempt.
func (g *Gateway) clientHungUp(a *attempt) bool {
	if a.request == nil {
		return false
	}
	c := a.request.client
	now := g.now()
	if now-c.lastSeenOpen < hangUpCheckMaxAge {
		return false
	}
	if !c.out.hungUp() {
		c.lastSeenOpen = now
		return false
	}
	g.enqueue(clientDisconnected{c})
	g.finishAttempt(a, policy.Superseded, nil)
	return true
}

// closeIdle closes idle connections well before their backends do, because a request sent while the
// backend closes the connection would end with a reset.
func (p *backendPool) closeIdle(g *Gateway) {
	oldest := g.now() - g.cfg.Host.BackendIdleTimeout/2
	for _, b := range p.byNumber {
		for len(b.idle) > 0 && b.idle[0].idleSince <= oldest {
			p.close(b.idle[0])
		}
	}
}

// close closes a connection that no longer carries an attempt.
func (p *backendPool) close(c *backendConn) {
	if c.closed {
		return
	}
	c.closed = true
	p.open--
	_ = c.conn.Close()
	b := c.backend
	if i := slices.Index(b.idle, c); i >= 0 {
		b.idle = slices.Delete(b.idle, i, i+1)
	}
}

// attemptTimeout ends an attempt at its deadline and closes its connection.
type attemptTimeout struct{ attempt *attempt }

func (t attemptTimeout) due(g *Gateway) {
	a := t.attempt
	if a.ended {
		return
	}
	if a.conn == nil {
		g.backends.cancelWaiting(g, a)
		return
	}
	if a.answerBegun() && a.deadline < a.request.deadline {
		a.deadline = a.request.deadline
		a.timeout = g.schedule(a.deadline, attemptTimeout{a})
		return
	}
	g.backends.abort(g, a, policy.TimedOut)
}

// answerBegun reports whether a part of the answer to a request has come. Another attempt would
// hardly be answered sooner.
func (a *attempt) answerBegun() bool {
	return a.request != nil && a.conn.bytesRead.Load() > a.conn.bytesConsumed
}

// withdraw ends an attempt whose request no longer needs an answer, unless the attempt is
// completely written. An attempt that waits for a connection is not sent, and a partly written one
// is aborted before its last byte. A completely written one continues until it is answered or times
// out.
func (p *backendPool) withdraw(g *Gateway, a *attempt) {
	if a.ended {
		return
	}
	if a.conn == nil {
		p.cancelWaiting(g, a)
		return
	}
	if !a.conn.out.drained() {
		p.abort(g, a, policy.Cancelled) // its last byte may just have been written
	}
}

// cancelWaiting ends an attempt that is waiting for a connection.
func (p *backendPool) cancelWaiting(g *Gateway, a *attempt) {
	b := p.byNumber[a.backend]
	b.waiting = slices.DeleteFunc(b.waiting, func(w *attempt) bool { return w == a })
	g.finishAttempt(a, policy.Superseded, nil)
}

// abort ends an attempt in flight and closes its connection.
func (p *backendPool) abort(g *Gateway, a *attempt, result policy.Result) {
	a.conn.attempt = nil
	p.close(a.conn)
	g.finishAttempt(a, result, nil)
}

// finishAttempt ends an attempt. The first call enqueues the outcome; later calls do nothing.
func (g *Gateway) finishAttempt(a *attempt, result policy.Result, value []byte) {
	g.finishAttemptWithReport(a, result, value, nil)
}

// finishAttemptWithReport is finishAttempt with the backend's load report (nil if there is none).
func (g *Gateway) finishAttemptWithReport(
	a *attempt, result policy.Result, value []byte, load []float32,
) {
	if a.ended {
		return
	}
	a.ended = true
	g.cancel(a.timeout)
	a.timeout = nil
	a.conn = nil
	g.enqueue(attemptOutcome{a, result, value, load, g.now() - a.startedAt})
}
