package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"

	"mothcleat/internal/dataplane/policy"
)

// dialForWaiting dials as long as more attempts wait than dials are under way, and connections rest.
func (bs *backendPool) dialForWaiting(l *Loop, b *backend) {
	if len(b.waiting) == 0 {
		return
	}
	for resting := b.resting(l); b.dialing+resting < len(b.waiting); {
		if bs.open >= bs.maxConns && !bs.evict() {
			// No descriptor to spare is no fault of the backend's: nothing was
			// sent, and nothing is to be learnt of it.
			a := b.waiting[len(b.waiting)-1]
			b.waiting = b.waiting[:len(b.waiting)-1]
			l.finishAttempt(a, policy.Superseded, nil)
			continue
		}
		b.dialing++
		bs.open++
		go func(address string, upSince int64) {
			conn, err := bs.dial.DialContext(context.Background(), "tcp", address)
			e := dialed{backend: b, address: address, upSince: upSince, err: err}
			if err == nil {
				e.conn = conn.(*net.TCPConn)
			}
			l.post(e)
		}(b.address, b.upSince)
	}
}

// evict closes the connection that has been idle longest.
func (bs *backendPool) evict() bool {
	var oldest *backendConn
	for _, b := range bs.byNumber {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleSince < oldest.idleSince) {
			oldest = b.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	bs.close(oldest)
	return true
}

// closeIdleOf closes a backend's idle connections.
func (bs *backendPool) closeIdleOf(b *backend) {
	for len(b.idle) > 0 {
		bs.close(b.idle[0])
	}
}

// dialed tells how a dial ended.
type dialed struct {
	backend *backend
	address string
	upSince int64 // both as they were when it began
	conn    *net.TCPConn
	err     error
}

func (e dialed) handle(l *Loop) {
	bs, b := l.backends, e.backend
	b.dialing--
	if e.err != nil {
		bs.open--
		if e.address != b.address || e.upSince != b.upSince {
			bs.dialForWaiting(l, b) // it was the process before that did not answer
			return
		}
		if len(b.waiting) > 0 && len(b.waiting) > b.dialing+b.resting(l) {
			a := b.waiting[0]
			if errors.Is(e.err, syscall.ECONNRESET) && !a.redialed {
				// Something listens there: nothing was sent, and another may do
				// better. Nobody listening would refuse.
				a.redialed = true
				bs.dialForWaiting(l, b)
				return
			}
			b.waiting = b.waiting[1:]
			l.finishAttempt(a, policy.ConnectFailed, nil)
		}
		return
	}
	c := &backendConn{backend: b, conn: e.conn, out: newSender(e.conn), copyResult: make(chan error, 1)}
	if e.address != b.address {
		bs.close(c)
		bs.dialForWaiting(l, b)
		return
	}
	go c.readReplies(l)
	bs.release(l, c)
}
