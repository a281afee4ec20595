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

// attempt is one send of a request to a backend or, without a request, a health check.
type attempt struct {
	request   *request // nil: a health check
	number    int      // among the request's attempts, from 0
	backend   uint32
	startedAt policy.Time
	deadline  policy.Time
	timeout   *timer

	conn      *backendConn // nil: it waits for one, or has ended
	writtenAt policy.Time  // when it was written to conn
	connIdle  policy.Time  // for how long conn had been idle then
	redialed  bool         // a dial for it was reset and repeated
	ended     bool         // its outcome is enqueued
}

// backend is a backend that discovery has named.
type backend struct {
	number  uint32 // names it in the balancer and in peers' messages
	address string
	upSince int64 // Unix time in milliseconds, as discovery has it
	state   policy.EndpointState
	idle    []*backendConn // the one used last at the end
	waiting []*attempt     // for a connection, oldest first
	dialing int
}

// backendConn is a connection to a backend. It carries one attempt at a time: answers come in
// order, so a slow one would hold up those behind it, and giving it up would close the connection
// under them. The event loop owns it; its reader goroutine uses bytesRead, reader and copyResult.
type backendConn struct {
	backend *backend
	conn    *net.TCPConn
	out     *sender
	attempt *attempt // nil: none is in flight
	closed  bool

	idleSince            policy.Time
	cooldownUntil        policy.Time // not used before: more may follow its last answer
	cooldownEndScheduled bool        // cooldownEnded is scheduled

	bytesRead     atomic.Int64
	bytesConsumed int64 // of bytesRead, those that belong to answers already handled

	reader     *resp.Reader
	streamed   *streamedValue // in flight on it; nil: none
	copyResult chan error     // how the copying of a streamed value ended
}

// Read reads from the connection and counts the bytes, for the connection's reader.
func (c *backendConn) Read(b []byte) (int, error) {
	n, err := c.conn.Read(b)
	c.bytesRead.Add(int64(n))
	return n, err
}

// noUnexpectedInput reports whether the connection holds no bytes beyond the answers already
// handled. Unread bytes, such as a duplicate of the last answer, would be taken for the answer to
// the next request.
func (c *backendConn) noUnexpectedInput() bool {
	return c.bytesRead.Load() == c.bytesConsumed && c.out.nothingToRead()
}

// backendPool holds the backends and the connections to them. It belongs to the event loop.
type backendPool struct {
	byNumber    map[uint32]*backend
	byID        map[string]*backend
	idleLimiter idleLimiter
	maxConns    int // connections and dials together
	open        int // of those
	cooldown    policy.Time
	dial        net.Dialer
}

// connCooldown is how long a connection is left alone after an answer. Some backends repeat an
// answer some milliseconds late; if a request were written meanwhile, the repetition would be taken
// for its answer, as nothing in a value says what it answers.
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
		number++ // two ids with one number are still two backends
	}
	b := &backend{number: number, state: policy.Removed}
	p.byID[id] = b
	p.byNumber[number] = b
	return b
}

// startAttempt carries out a Send or a Probe.
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

// cooldownEnded tells that a connection has rested.
type cooldownEnded struct{ conn *backendConn }

func (e cooldownEnded) due(g *Gateway) {
	c := e.conn
	b := c.backend
	c.cooldownEndScheduled = false
	if i := slices.Index(b.idle, c); i >= 0 && len(b.waiting) > 0 {
		b.idle = slices.Delete(b.idle, i, i+1)
		g.backends.release(g, c)
	}
	g.backends.dialForWaiting(g, b) // the connection may have been closed or used meanwhile
}

// release gives a connection to the attempt that has waited longest, or adds it to the idle ones.
func (p *backendPool) release(g *Gateway, c *backendConn) {
	b := c.backend
	unwanted := b.state != policy.Ready && len(b.waiting) == 0
	// An answer may come before the request is written completely; the next request would be
	// written into the rest of it.
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

// write writes an attempt to an idle connection. It reports whether the attempt is dealt with: in
// flight, or ended. It returns false, with nothing sent, if the connection is broken.
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
	// What a suspended process may no longer do is checked last, right before the write.
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

// The health checks, as RESP2 commands.
var (
	infoLoadCommand   = []byte("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n")
	healthPingCommand = []byte("*1\r\n$4\r\nPING\r\n")
)

// encodeAttempt returns what a backend is sent.
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

// send writes an attempt's command: what the socket takes now, and the rest as it takes more. It
// returns false if the connection is broken.
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
	c.out.send(command[n:], len(command))
	return true
}

// countSend counts an attempt that was written, and the request's units with its first one.
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

// retryExpired ends a retry of an attempt that may have been executed, where it waited too long for
// its connection to be sent any more. It reports whether it has.
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

// clientHungUp ends an attempt whose client has closed its connection, though the event of that is
// still queued. It reports whether it has.
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

// closeIdle closes idle connections well before their backends do: a request that crosses the
// close would end as a reset.
func (p *backendPool) closeIdle(g *Gateway) {
	oldest := g.now() - g.cfg.Host.BackendIdleTimeout/2
	for _, b := range p.byNumber {
		for len(b.idle) > 0 && b.idle[0].idleSince <= oldest {
			p.close(b.idle[0])
		}
	}
}

// close closes a connection that carries no attempt any more.
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

// attemptTimeout ends an attempt at its deadline, and its connection with it.
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
	g.backends.abort(g, a, policy.TimedOut)
}

// withdraw ends an attempt whose request needs no answer any more, unless a backend has received it
// completely: one that waits for a connection is not sent, and the last byte of one that is partly
// written is not sent. A complete one goes on until it is answered or times out.
func (p *backendPool) withdraw(g *Gateway, a *attempt) {
	if a.ended {
		return
	}
	if a.conn == nil {
		p.cancelWaiting(g, a)
		return
	}
	if !a.conn.out.drained() {
		p.abort(g, a, policy.Cancelled) // its last byte may have gone this very moment
	}
}

// cancelWaiting ends an attempt that waits for a connection.
func (p *backendPool) cancelWaiting(g *Gateway, a *attempt) {
	b := p.byNumber[a.backend]
	b.waiting = slices.DeleteFunc(b.waiting, func(w *attempt) bool { return w == a })
	g.finishAttempt(a, policy.Superseded, nil)
}

// abort ends an attempt in flight, and its connection.
func (p *backendPool) abort(g *Gateway, a *attempt, result policy.Result) {
	a.conn.attempt = nil
	p.close(a.conn)
	g.finishAttempt(a, result, nil)
}

// finishAttempt ends an attempt. The first call enqueues its one outcome; later ones do nothing.
func (g *Gateway) finishAttempt(a *attempt, result policy.Result, value []byte) {
	g.finishAttemptWithReport(a, result, value, nil)
}

// finishAttemptWithReport is finishAttempt with the backend's load report; nil: none.
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
