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
		cs.slots <- struct{}{}
		// Whoever shares the socket may have had it block since, as each process does that hands it to another. An accept that
		// blocks can't be ended.
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
		if cs.drainBacklog.Load() { // the wait for a place may have been long
			_ = cs.listener.SetDeadline(time.Now().Add(backlogQuietTime))
		}
		conn, err := cs.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // paused, or the last one is in
			<-cs.slots
			if cs.drainBacklog.Load() && !cs.closeOnceDrained(l, raw) {
				continue
			}
			l.post(acceptPaused{})
			if _, ok := <-cs.resumeAccept; !ok {
				return
			}
			continue
		}
		if err != nil { // such as a shortage of descriptors: the next may do better
			<-cs.slots
			l.log.Warn("accept", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		l.post(clientConnected{conn})
	}
}

// backlogQuietTime is how long no connection may have come when the listener is closed: what the machine has accepted by then
// is taken, and would be lost with it.
const backlogQuietTime = 20 * time.Millisecond

// closeOnceDrained accepts all connections that wait, and closes the listener at once. To close it resets those that wait
// then, so nothing that may take long lies between the last look and the close. Where places for connections run out it
// returns false and does not close.
func (cs *clients) closeOnceDrained(l *Loop, raw syscall.RawConn) bool {
	for {
		select {
		case cs.slots <- struct{}{}:
		default:
			return false
		}
		fd, waits := acceptPending(raw)
		if !waits {
			_ = cs.listener.Close()
			<-cs.slots
			return true
		}
		conn, err := connFromFD(fd)
		if err != nil {
			<-cs.slots
			l.log.Warn("accept", "error", err)
			continue
		}
		l.post(clientConnected{conn})
	}
}

// acceptPending accepts a connection that waits. It does not wait for one: waits is false if there is none, or none can be
// accepted.
func acceptPending(raw syscall.RawConn) (fd int, waits bool) {
	_ = raw.Control(func(listener uintptr) {
		err := error(syscall.EINTR)
		for err == syscall.EINTR {
			fd, _, err = syscall.Accept4(int(listener), syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK)
		}
		waits = err == nil
	})
	return fd, waits
}

// connFromFD makes a connection of a descriptor, which it takes over.
func connFromFD(fd int) (*net.TCPConn, error) {
	file := os.NewFile(uintptr(fd), "connection")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Join(errNotTCP, conn.Close())
	}
	return tcp, nil
}

var errNotTCP = errors.New("the connection is no TCP connection")

// acceptPaused tells that no connection waits to be accepted any more.
type acceptPaused struct{}

func (acceptPaused) handle(l *Loop) {
	if l.shutdown.acceptingEnds {
		l.closeListener()
	}
}

// listenerCloseTimeout is for how long the loop waits for an accept to end that blocks all the same.
const listenerCloseTimeout = 20 * time.Millisecond

// closeListener has no connection accepted any more.
func (cs *clients) closeListener() {
	done := make(chan struct{})
	go func() {
		_ = cs.listener.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(listenerCloseTimeout):
	}
}

type clientConnected struct{ conn *net.TCPConn }

func (e clientConnected) handle(l *Loop) {
	cs := l.clients
	if l.startClient(newClient(e.conn, l.now())) && len(cs.conns) > cs.maxServed {
		cs.evict(l, nil)
	}
}

func newClient(conn *net.TCPConn, now policy.Time) *client {
	return &client{
		conn: conn, out: newSender(conn), pipelineSlots: make(chan struct{}, maxPipelined), done: make(chan struct{}),
		resumeReading: make(chan struct{}, 1), lastCommand: now,
	}
}

// startClient has a new connection read, where requests are still taken on one; else it goes to
// the newer process, or ends.
func (l *Loop) startClient(c *client) bool {
	l.clients.conns[c] = true
	if l.handover.passingConns() {
		c.reading.parted = true // it was not read from
		l.passToSuccessor(c)
		return false
	}
	go c.readCommands(l)
	return true
}

// evict closes the connection that matters least, if one may be closed: first
// those that never asked anything, then idle ones, those that asked once before
// the front's. For the sake of one that has asked (nil: none) no idle one is
// spared; a newcomer that has said nothing yet is less reason.
func (cs *clients) evict(l *Loop, asking *client) bool {
	now := l.now()
	spared := [...]policy.Time{newConnectionAge, 2 * newConnectionAge, minIdleBeforeEviction} // by worth: how long it must have been idle
	if asking != nil {
		spared = [...]policy.Time{newConnectionAge / 5, 0, 0}
	}
	var least *client
	for c := range cs.conns {
		if c == asking || c.closeWhenIdle || c.awaitingAnswer() || c.sendingCommand(now) || now-c.lastActivity() < spared[c.activityRank()] {
			continue
		}
		if least == nil || c.activityRank() < least.activityRank() || c.activityRank() == least.activityRank() && c.lastActivity() < least.lastActivity() {
			least = c
		}
	}
	if least == nil {
		return false
	}
	least.drop(l)
	return true
}

// closeIdle closes connections that only hold places.
func (cs *clients) closeIdle(l *Loop) {
	for len(cs.conns) > cs.maxServed && cs.evict(l, nil) {
	}
	now := l.now()
	for c := range cs.conns {
		if now-c.lastActivity() > [...]policy.Time{clientIdleTimeout, singleCommandIdleTimeout, clientIdleTimeout}[c.activityRank()] && !c.awaitingAnswer() {
			c.closeAfterAnswers(l)
		}
	}
}
