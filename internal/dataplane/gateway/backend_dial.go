package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"

	"mothcleat/internal/dataplane/policy"
)

// dialForWaiting starts dials until every waiting attempt has a dial in progress or a connection in
// its cooldown. At the connection limit it ends the newest waiting attempts instead.
func (p *backendPool) dialForWaiting(g *Gateway, b *backend) {
	if len(b.waiting) == 0 {
		return
	}
	coolingDown := b.coolingDown(g)
	for b.dialing+coolingDown < len(b.waiting) {
		if p.open >= p.maxConns && !p.evict() {
			// The gateway is at its connection limit, which says nothing about the backend. Nothing
			// was sent.
			last := len(b.waiting) - 1
			a := b.waiting[last]
			b.waiting = b.waiting[:last]
			g.finishAttempt(a, policy.Superseded, nil)
			continue
		}
		b.dialing++
		p.open++
		go p.dialOnce(g, b, b.address, b.upSince)
	}
}

// dialOnce dials a backend and posts the result. It runs on its own goroutine.
func (p *backendPool) dialOnce(g *Gateway, b *backend, address string, upSince int64) {
	conn, err := p.dial.DialContext(context.Background(), "tcp", address)
	e := dialed{backend: b, address: address, upSince: upSince, err: err}
	if err == nil {
		e.conn = conn.(*net.TCPConn)
	}
	g.post(e)
}

// evict closes the connection that has been idle longest. It returns false if there is none.
func (p *backendPool) evict() bool {
	var oldest *backendConn
	for _, b := range p.byNumber {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleSince < oldest.idleSince) {
			oldest = b.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.close(oldest)
	return true
}

// closeIdleOf closes a backend's idle connections.
func (p *backendPool) closeIdleOf(b *backend) {
	for len(b.idle) > 0 {
		p.close(b.idle[0])
	}
}

// dialed is the result of a dial. address and upSince are the backend's values at the start of the
// dial.
type dialed struct {
	backend *backend
	address string
	upSince int64
	conn    *net.TCPConn
	err     error
}

func (e dialed) handle(g *Gateway) {
	p := g.backends
	b := e.backend
	b.dialing--
	if e.err != nil {
		p.open--
		p.dialFailed(g, e)
		return
	}
	c := &backendConn{
		backend:    b,
		conn:       e.conn,
		out:        newSender(e.conn),
		copyResult: make(chan error, 1),
	}
	if e.address != b.address {
		p.close(c)
		p.dialForWaiting(g, b)
		return
	}
	go c.readReplies(g)
	p.release(g, c)
}

// dialFailed ends the attempt that has waited longest, unless another dial or a connection in its
// cooldown can serve it.
func (p *backendPool) dialFailed(g *Gateway, e dialed) {
	b := e.backend
	if e.address != b.address || e.upSince != b.upSince {
		p.dialForWaiting(g, b) // the backend has changed its address or restarted since
		return
	}
	if len(b.waiting) == 0 || len(b.waiting) <= b.dialing+b.coolingDown(g) {
		return
	}
	a := b.waiting[0]
	if errors.Is(e.err, syscall.ECONNRESET) && !a.redialed {
		// Something listens at the address (otherwise the connection would be refused), and nothing
		// was sent, so another dial may succeed.
		a.redialed = true
		p.dialForWaiting(g, b)
		return
	}
	b.waiting = b.waiting[1:]
	g.finishAttempt(a, policy.ConnectFailed, nil)
}
