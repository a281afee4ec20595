package gateway

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"mothcleat/internal/dataplane/policy"
)

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
			if cs.last.Load() && !cs.closeDrained(l, raw) {
				continue
			}
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

// closeDrained accepts all connections that wait, and closes the listener at once. To close it resets those that wait
// then, so nothing that may take long lies between the last look and the close. Where places for connections run out it
// returns false and does not close.
func (cs *clients) closeDrained(l *Loop, raw syscall.RawConn) bool {
	for {
		select {
		case cs.room <- struct{}{}:
		default:
			return false
		}
		fd, waits := acceptNow(raw)
		if !waits {
			_ = cs.listener.Close()
			<-cs.room
			return true
		}
		conn, err := connectionOf(fd)
		if err != nil {
			<-cs.room
			l.log.Warn("accept", "error", err)
			continue
		}
		l.post(connected{conn})
	}
}

// acceptNow accepts a connection that waits. It does not wait for one: waits is false if there is none, or none can be
// accepted.
func acceptNow(raw syscall.RawConn) (fd int, waits bool) {
	_ = raw.Control(func(listener uintptr) {
		err := error(syscall.EINTR)
		for err == syscall.EINTR {
			fd, _, err = syscall.Accept4(int(listener), syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK)
		}
		waits = err == nil
	})
	return fd, waits
}

// connectionOf makes a connection of a descriptor, which it takes over.
func connectionOf(fd int) (*net.TCPConn, error) {
	file := os.NewFile(uintptr(fd), "connection")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Join(errNoTCP, conn.Close())
	}
	return tcp, nil
}

var errNoTCP = errors.New("the connection is no TCP connection")

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

func newClient(conn *net.TCPConn, now policy.Time) *client {
	return &client{
		conn: conn, out: newSender(conn), room: make(chan struct{}, pipelined), done: make(chan struct{}),
		resume: make(chan struct{}, 1), used: now,
	}
}

// begin has a new connection read, where requests are still taken on one; else it goes to
// the newer process, or ends.
func (l *Loop) begin(c *client) bool {
	l.clients.conns[c] = true
	if l.handovers.passes() {
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
	spared := [...]policy.Time{settled, 2 * settled, idleLeast} // by worth: how long it must have been idle
	if asking != nil {
		spared = [...]policy.Time{settled / 5, 0, 0}
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

// sweep closes connections that only hold places.
func (cs *clients) sweep(l *Loop) {
	for len(cs.conns) > cs.most && cs.evict(l, nil) {
	}
	now := l.now()
	for c := range cs.conns {
		if now-c.lately() > [...]policy.Time{idleMost, onceMost, idleMost}[c.worth()] && !c.busy() {
			c.end(l)
		}
	}
}
