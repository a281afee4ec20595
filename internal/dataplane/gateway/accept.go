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
	acceptRetryDelay = 20 * time.Millisecond // after an error such as too many open descriptors

	// The listener is closed only after no connection has arrived for this time. Connections that
	// the kernel has already accepted are served; closing the listener would reset them.
	backlogQuietTime = 20 * time.Millisecond

	// closeListener waits at most this long, because a blocked accept can delay the close.
	listenerCloseTimeout = 20 * time.Millisecond
)

const (
	clientIdleTimeout        policy.Time = 8_000_000 // without a command
	singleCommandIdleTimeout policy.Time = 3_000_000 // the same, after a single command
	// At the connection limit, a connection that was in use may be evicted after being idle for
	// this time.
	minIdleBeforeEviction policy.Time = 2_000_000
	// A new connection has usually sent data within this time.
	newConnectionAge policy.Time = 100_000
)

// clients accepts client connections and limits them to their share of the file descriptors. It
// belongs to the event loop, except for accept, which runs on its own goroutine.
type clients struct {
	listener  *net.TCPListener
	slots     chan struct{} // one slot for each open connection
	maxServed int           // further connections are accepted only to reject their requests
	conns     map[*client]bool

	accepting     bool          // accept has been started
	slotWanted    atomic.Bool   // accept waits for a slot
	resumeAccept  chan struct{} // a value resumes accept after a pause; closing it ends accept
	drainBacklog  atomic.Bool   // accept ends once no connection has arrived for backlogQuietTime
	incomingBytes atomic.Int64  // size of the commands read but not yet handled by the event loop
	queuedBytes   atomic.Int64  // size of the answers that the clients' sockets have not accepted

	owedBytesLimit int         // see owesTooMuch
	readsAll       atomic.Bool // commands are read however much their connections owe
}

func newClients(served, accepted, memoryMB int) *clients {
	return &clients{
		maxServed:      served,
		slots:          make(chan struct{}, accepted),
		conns:          map[*client]bool{},
		resumeAccept:   make(chan struct{}, 1),
		owedBytesLimit: owedBytesLimit(memoryMB, served),
	}
}

// accept posts new connections until the listener is closed. While all slots are taken it does not
// accept, and connections wait in the listener's backlog.
func (cs *clients) accept(g *Gateway) {
	raw, err := cs.listener.SyscallConn()
	if err != nil {
		g.log.Error("no access to the listening socket; accepting no clients", "error", err)
		return
	}
	for {
		cs.takeSlot(g)
		// Passing the socket to another process makes it blocking for all processes that share it,
		// and a blocking accept can't be interrupted.
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
		if cs.drainBacklog.Load() { // the wait for a slot may have been long
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
			g.log.Warn("accept failed; retrying", "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// takeSlot waits for a free slot. If there is none, connections that delay others are evicted.
func (cs *clients) takeSlot(g *Gateway) {
	select {
	case cs.slots <- struct{}{}:
		return
	default:
	}
	cs.slotWanted.Store(true)
	g.post(slotWanted{})
	cs.slots <- struct{}{}
	cs.slotWanted.Store(false)
}

// slotWanted reports that a new connection may be waiting for a slot.
type slotWanted struct{}

func (slotWanted) handle(g *Gateway) {
	if g.clients.slotWanted.Load() {
		g.clients.evict(g, nil)
	}
}

// pauseOrEnd is called when the listener's deadline has passed, either to pause accepting or
// because the backlog is drained. It reports whether accepting continues.
func (cs *clients) pauseOrEnd(g *Gateway, raw syscall.RawConn) bool {
	if cs.drainBacklog.Load() && !cs.closeOnceDrained(g, raw) {
		return true
	}
	g.post(acceptPaused{})
	_, resumed := <-cs.resumeAccept
	return resumed
}

// closeOnceDrained accepts all waiting connections and then closes the listener. Closing resets
// connections that are still waiting, so nothing slow happens between the last check and the close.
// If it runs out of slots, it returns false and does not close the listener.
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
			g.log.Warn("an accepted connection is not usable", "error", err)
			continue
		}
		g.post(clientConnected{conn})
	}
}

// acceptPending accepts a waiting connection without blocking. ok is false if there is none or it
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

// connFromFD returns a connection for a file descriptor and takes ownership of the descriptor.
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

var errNotTCP = errors.New("descriptor is not a TCP connection")

// acceptPaused reports that accept waits to be resumed or that the backlog is drained.
type acceptPaused struct{}

func (acceptPaused) handle(g *Gateway) {
	if g.shutdown.acceptingEnds {
		g.shutdown.closeListener(g)
	}
}

// closeListener closes the listener, and waits up to listenerCloseTimeout for that.
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

// startClient starts to read from a new connection and returns true. While connections are being
// passed to a successor, it passes the connection on instead and returns false.
func (g *Gateway) startClient(c *client) bool {
	g.clients.conns[c] = true
	disconnect := func() { g.post(clientDisconnected{c}) }
	c.out.watch(&g.clients.queuedBytes, clientReadTimeout, disconnect)
	if g.lifecycle.PassesConns() {
		c.reading.detached = true // no reader was started
		g.settleConn(c)
		return false
	}
	go c.readCommands(g)
	return true
}

// remove removes a connection and frees its slot.
func (cs *clients) remove(c *client) {
	delete(cs.conns, c)
	<-cs.slots
}

// evict closes the least active connection and reports whether one could be closed. Connections
// without a command come first, then those with one, then those with more. requesting is the client
// whose command needs the slot; for it, connections without a command are closed sooner and the
// others without a minimum idle time. It is nil for a new connection that has not sent a command.
// While a successor may take them over, no connection is closed. For a whole command, or
// while accept waits for a slot, clients that have been sending a command for long give way, too.
func (cs *clients) evict(g *Gateway, requesting *client) bool {
	now := g.now()
	if g.lifecycle.HoldsCommands(now) {
		return false
	}
	// Minimum idle time by activity rank.
	minIdle := [...]policy.Time{newConnectionAge, 2 * newConnectionAge, minIdleBeforeEviction}
	if requesting != nil {
		minIdle = [...]policy.Time{newConnectionAge / 5, 0, 0}
	}
	pressed := requesting != nil || cs.slotWanted.Load()
	var candidate *client
	for c := range cs.conns {
		if c == requesting || c.closeWhenIdle || c.inUse() {
			continue
		}
		idle := now-c.lastActivity() >= minIdle[c.activityRank()] && !c.sendingCommand(now)
		if !idle && !(pressed && c.delaysOthers(now)) {
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

// evictedBefore reports whether c is to be evicted before other.
func (c *client) evictedBefore(other *client) bool {
	if c.activityRank() != other.activityRank() {
		return c.activityRank() < other.activityRank()
	}
	return c.lastActivity() < other.lastActivity()
}

// closeIdle evicts connections over the limit and closes those whose idle timeout has passed.
func (cs *clients) closeIdle(g *Gateway) {
	for len(cs.conns) > cs.maxServed && cs.evict(g, nil) {
	}
	slotWanted{}.handle(g)
	now := g.now()
	// By activity rank. A connection that has sent only a single command does not belong to a
	// connection pool.
	timeouts := [...]policy.Time{clientIdleTimeout, singleCommandIdleTimeout, clientIdleTimeout}
	for c := range cs.conns {
		if now-c.lastActivity() > timeouts[c.activityRank()] && !c.inUse() {
			c.closeAfterAnswers(g)
		}
	}
}
