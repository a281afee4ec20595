package gateway

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"mothcleat/internal/dataplane/policy"
)

const (
	acceptRetryDelay = 20 * time.Millisecond // after an error, such as a lack of descriptors

	// Before the listener is closed, no connection must have come for so long: those that the
	// kernel has accepted by then are served, and would be reset otherwise.
	backlogQuietTime = 20 * time.Millisecond

	// The loop waits so long for an accept that blocks although the listener is closed.
	listenerCloseTimeout = 20 * time.Millisecond
)

const (
	clientIdleTimeout        policy.Time = 8_000_000 // without a command
	singleCommandIdleTimeout policy.Time = 3_000_000 // the same after a single command
	// At the limit of connections, one that is used may be closed when idle for so long.
	minIdleBeforeEviction policy.Time = 2_000_000
	// By then a new connection has usually sent something.
	newConnectionAge policy.Time = 100_000
)

// clients accepts connections and keeps them within their share of the file descriptors. It
// belongs to the event loop but for accept, which runs on a goroutine of its own.
type clients struct {
	listener  *net.TCPListener
	slots     chan struct{} // a place for each connection that may be open
	maxServed int           // connections beyond are accepted only to be rejected
	conns     map[*client]bool

	accepting     bool          // accept runs
	resumeAccept  chan struct{} // has accept go on after a pause; closed: it ends
	drainBacklog  atomic.Bool   // accept ends when no connection has come for backlogQuietTime
	incomingBytes atomic.Int64  // of commands that were read and wait for the event loop
}

func newClients(served, accepted int) *clients {
	return &clients{
		maxServed:    served,
		slots:        make(chan struct{}, accepted),
		conns:        map[*client]bool{},
		resumeAccept: make(chan struct{}, 1),
	}
}

// accept posts new connections until the listener is closed. While all places are taken it does not
// accept, and connections wait in the listener's backlog.
func (cs *clients) accept(g *Gateway) {
	raw, err := cs.listener.SyscallConn()
	if err != nil {
		g.log.Error("accept", "error", err)
		return
	}
	for {
		cs.slots <- struct{}{}
		// A process that hands the socket to another makes it blocking for all that share it,
		// and an accept that blocks can't be ended.
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
		if cs.drainBacklog.Load() { // the wait for a place may have been long
			_ = cs.listener.SetDeadline(time.Now().Add(backlogQuietTime))
		}
		conn, err := cs.listener.AcceptTCP()
		switch {
		case err == nil:
			g.post(clientConnected{conn})
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			<-cs.slots
			if !cs.pauseOrEnd(g, raw) {
				return
			}
		default:
			<-cs.slots
			g.log.Warn("accept", "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// pauseOrEnd is called when the listener's deadline has passed: accepting is paused, or the backlog
// is drained. It reports whether accepting goes on.
func (cs *clients) pauseOrEnd(g *Gateway, raw syscall.RawConn) bool {
	if cs.drainBacklog.Load() && !cs.closeOnceDrained(g, raw) {
		return true
	}
	g.post(acceptPaused{})
	_, resumed := <-cs.resumeAccept
	return resumed
}

// closeOnceDrained accepts all waiting connections and closes the listener at once. Closing resets
// connections that wait then, so nothing slow lies between the last look and the close. Where
// places for connections run out it returns false and does not close.
func (cs *clients) closeOnceDrained(g *Gateway, raw syscall.RawConn) bool {
	for {
		select {
		case cs.slots <- struct{}{}:
		default:
			return false
		}
		fd, ok := acceptPending(raw)
		if !ok {
			_ = cs.listener.Close()
			<-cs.slots
			return true
		}
		conn, err := connFromFD(fd)
		if err != nil {
			<-cs.slots
			g.log.Warn("accept", "error", err)
			continue
		}
		g.post(clientConnected{conn})
	}
}

// acceptPending accepts a waiting connection without blocking. ok is false if there is none, or it
// can't be accepted.
func acceptPending(raw syscall.RawConn) (fd int, ok bool) {
	_ = raw.Control(func(listener uintptr) {
		err := error(syscall.EINTR)
		for err == syscall.EINTR {
			fd, _, err = syscall.Accept4(int(listener), syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK)
		}
		ok = err == nil
	})
	return fd, ok
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

// acceptPaused tells that accept waits to be resumed, or that the backlog is drained.
type acceptPaused struct{}

func (acceptPaused) handle(g *Gateway) {
	if g.shutdown.acceptingEnds {
		g.shutdown.closeListener(g)
	}
}

// closeListener closes the listener; no connection is accepted any more.
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

// clientConnected is a new connection.
type clientConnected struct{ conn *net.TCPConn }

func (e clientConnected) handle(g *Gateway) {
	cs := g.clients
	if g.startClient(newClient(e.conn, g.now())) && len(cs.conns) > cs.maxServed {
		cs.evict(g, nil)
	}
}

// startClient starts to read from a new connection and returns true. While connections are passed
// to a successor it passes this one instead and returns false.
func (g *Gateway) startClient(c *client) bool {
	g.clients.conns[c] = true
	if g.handover.passingConns() {
		c.reading.detached = true // nothing was read from it
		g.passToSuccessor(c)
		return false
	}
	go c.readCommands(g)
	return true
}

// remove forgets a connection and frees its place.
func (cs *clients) remove(c *client) {
	delete(cs.conns, c)
	<-cs.slots
}

// evict closes the connection that matters least, and reports whether one could be closed: first
// those without a command, then those with one, then idle ones. For a client that has sent a
// command (requesting; nil: a connection that has sent nothing yet) idle ones are closed at once.
func (cs *clients) evict(g *Gateway, requesting *client) bool {
	now := g.now()
	// How long a connection must have been idle, by its rank.
	minIdle := [...]policy.Time{newConnectionAge, 2 * newConnectionAge, minIdleBeforeEviction}
	if requesting != nil {
		minIdle = [...]policy.Time{newConnectionAge / 5, 0, 0}
	}
	var candidate *client
	for c := range cs.conns {
		inUse := c == requesting || c.closeWhenIdle || c.awaitingAnswer() || c.sendingCommand(now)
		if inUse || now-c.lastActivity() < minIdle[c.activityRank()] {
			continue
		}
		if candidate == nil || c.evictedBefore(candidate) {
			candidate = c
		}
	}
	if candidate == nil {
		return false
	}
	candidate.drop(g)
	return true
}

// evictedBefore orders connections for eviction.
func (c *client) evictedBefore(other *client) bool {
	if c.activityRank() != other.activityRank() {
		return c.activityRank() < other.activityRank()
	}
	return c.lastActivity() < other.lastActivity()
}

// closeIdle closes connections that only take up places.
func (cs *clients) closeIdle(g *Gateway) {
	for len(cs.conns) > cs.maxServed && cs.evict(g, nil) {
	}
	now := g.now()
	// By rank: one that only ever sent a single command is not a connection of a pool.
	timeouts := [...]policy.Time{clientIdleTimeout, singleCommandIdleTimeout, clientIdleTimeout}
	for c := range cs.conns {
		if now-c.lastActivity() > timeouts[c.activityRank()] && !c.awaitingAnswer() {
			c.closeAfterAnswers(g)
		}
	}
}
