package gateway

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"mothcleat/internal/dataplane/forwardauth"
	"mothcleat/internal/dataplane/hotrestart"
	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
	"mothcleat/internal/dataplane/snapshot"
)

// handovers are the processes before and after this one.
type handovers struct {
	predecessor *hotrestart.Predecessor // nil: there was none when this one started
	listener    *hotrestart.Listener    // where the next one asks; nil: nowhere
	successor   *hotrestart.Successor   // the one that takes over, from its asking on; nil: none
	connsToPass chan hotrestart.Client
	allPassed   chan struct{} // closed when all that was put there is passed on
}

const (
	maxHandoverStateAge = 60_000_000             // a state from the process before is newer than that
	maxClockSkew        = 1_000_000              // two processes' clocks may differ by so much
	bindRetryDelay      = 200 * time.Millisecond // for the notes' socket, where the process before holds it
)

// passingConns tells whether connections are being passed on to a newer process.
func (h *handovers) passingConns() bool { return h.connsToPass != nil }

// findPredecessor looks for a process that serves already.
func (l *Loop) findPredecessor() {
	if l.snapshots.RendezvousPath == "" {
		return
	}
	before, err := hotrestart.Ask(l.snapshots.RendezvousPath)
	if err != nil {
		return
	}
	l.log.Info("handover: another process serves; taking its place")
	l.handover.predecessor, l.snapshots.Successor = before, true
}

// listenForSuccessor has the next process find this one.
func (l *Loop) listenForSuccessor() {
	if l.snapshots.RendezvousPath == "" {
		return
	}
	line, err := hotrestart.Listen(l.snapshots.RendezvousPath)
	if err != nil {
		l.log.Warn("a newer process will start cold", "error", err)
		return
	}
	l.handover.listener = line
	go line.Serve(func(a *hotrestart.Successor) { l.postUrgent(successorReady{a}) })
}

// end ends what is between the processes, once all is passed on.
func (h *handovers) end() {
	if h.listener != nil {
		h.listener.Close()
	}
	if h.passingConns() {
		close(h.connsToPass)
		<-h.allPassed
	}
	if h.successor != nil {
		h.successor.Close()
	}
}

// takeFromPredecessor takes the place of the process before, and then its clients' connections.
func (l *Loop) takeFromPredecessor() {
	left, err := l.handover.predecessor.Take()
	e := predecessorState{handed: left, err: err}
	if err == nil {
		e.state, e.err = snapshot.Decode(left.Snapshot)
	}
	l.postUrgent(e)
}

// predecessorState is what the process before has left, or why there is nothing.
type predecessorState struct {
	handed hotrestart.State
	state  policy.Snapshot
	err    error
}

func (e predecessorState) handle(l *Loop) {
	before := l.handover.predecessor
	if e.err == nil {
		if ahead := e.state.At - l.now(); ahead > 0 && ahead < maxClockSkew {
			e.state.At = l.now()
		}
		e.err = l.balancer.Restore(l.now(), maxHandoverStateAge, &e.state)
	}
	if e.err == nil {
		e.err = before.Accepted()
	}
	if e.err != nil {
		l.log.Error("handover: starting cold beside the process before", "error", e.err)
		before.Close()
	} else {
		l.log.Info("handover: state taken in", "customers", len(e.state.Customers), "backends", len(e.state.Backends))
		go func() {
			if err := before.Clients(l.receiveConn); err != nil {
				l.log.Warn("handover: clients' connections", "error", err)
			}
		}()
	}
	switch {
	case e.handed.Notes != nil && e.err == nil:
		l.peers.conn = e.handed.Notes
		go l.peers.readMessages(l)
	case l.cfg.Settings.Peers:
		if e.handed.Notes != nil {
			_ = e.handed.Notes.Close()
		}
		go l.bindPeerSocket()
	}
	if l.snapshots.Store != nil {
		l.beginSnapshots()
	}
	l.serveClients()
}

// bindPeerSocket has the notes' socket as soon as the process before has gone.
func (l *Loop) bindPeerSocket() {
	for {
		p, err := newPeers(&l.cfg, l.log)
		if err == nil {
			l.postUrgent(peerSocketBound{p.conn})
			return
		}
		time.Sleep(bindRetryDelay)
	}
}

// peerSocketBound is the notes' socket, had late.
type peerSocketBound struct{ conn *net.UDPConn }

func (e peerSocketBound) handle(l *Loop) {
	if l.lifecycle.Parted() {
		_ = e.conn.Close()
		return
	}
	l.peers.conn = e.conn
	go l.peers.readMessages(l)
}

// receiveConn takes in a connection from the process before.
func (l *Loop) receiveConn(c hotrestart.Client) {
	l.clients.slots <- struct{}{}
	l.post(connReceived{c})
}

type connReceived struct{ from hotrestart.Client }

func (e connReceived) handle(l *Loop) {
	head, now := &e.from.Head, l.now()
	c := newClient(e.from.Conn, now)
	c.commands = head.Asked
	if head.Known {
		c.credential = &forwardauth.Credential{User: head.User, Secret: head.Secret, Named: head.Named}
	}
	c.reading.unread, c.reading.inheritedCommands, c.reading.inheritedAge = e.from.Rest, head.Kept, head.AgeUS
	c.reading.inheritedAt = now
	l.metrics.PassedIn.Add(1)
	l.startClient(c)
}

// successorReady tells that a newer process could serve. It is given all that this one knows;
// what comes meanwhile is kept, for one of the two.
type successorReady struct{ successor *hotrestart.Successor }

func (e successorReady) handle(l *Loop) {
	if l.handover.successor != nil || l.lifecycle.Parted() {
		e.successor.Close()
		return
	}
	l.handover.successor = e.successor
	l.lifecycle.Pause()
	past := time.Unix(1, 0)
	_ = l.clients.listener.SetDeadline(past)
	left := hotrestart.State{Notes: l.peers.conn}
	if left.Notes != nil {
		_ = left.Notes.SetReadDeadline(past)
	}
	var err error
	if left.Snapshot, err = snapshot.Encode(l.balancer.TakeSnapshot(l.now(), true)); err != nil {
		e.successor.Close()
		handoverDone{err}.handle(l)
		return
	}
	go func() { l.postUrgent(handoverDone{e.successor.Give(left)}) }()
}

// handoverDone tells whether the newer process has taken over.
type handoverDone struct{ err error }

func (e handoverDone) handle(l *Loop) {
	if e.err != nil {
		l.log.Error("handover: the newer process did not take over; this one serves on", "error", e.err)
		l.resumeServing()
		return
	}
	l.log.Info("handover: a newer process has taken over", "open", l.open, "connections", len(l.clients.conns))
	l.lifecycle.Part(true)
	h := &l.handover
	h.connsToPass, h.allPassed = make(chan hotrestart.Client, cap(l.clients.slots)+1), make(chan struct{})
	go h.passAll()
	if l.peers.conn != nil {
		_ = l.peers.conn.Close()
		l.peers.conn = nil
	}
	l.storeLastSnapshot()
	for c := range l.clients.conns {
		c.reading.requestPart(c.conn)
	}
	l.step()
}

// resumeServing goes on as if no newer process had come.
func (l *Loop) resumeServing() {
	l.handover.successor = nil
	l.lifecycle.Unpause()
	if !l.shutdown.acceptingEnds {
		_ = l.clients.listener.SetDeadline(time.Time{})
		select {
		case l.clients.resumeAccept <- struct{}{}:
		default:
		}
	}
	if l.peers.conn != nil {
		_ = l.peers.conn.SetReadDeadline(time.Time{})
		go l.peers.readMessages(l)
	}
	for c := range l.clients.conns {
		kept := c.reading.held
		c.reading.held = nil
		for _, e := range kept {
			if c.closed {
				break
			}
			l.admit(e)
		}
	}
}

// holdForSuccessor tells whether a command is not taken in here, but kept until it is known who
// takes it.
func (l *Loop) holdForSuccessor(e commandRead) bool {
	if l.handover.successor == nil || l.lifecycle.Abandons(l.now()) {
		return false
	}
	c := e.client
	if len(c.reading.held) == 0 && e.command.args == nil && !l.handover.passingConns() {
		return false // it needs no decision, and this process still answers
	}
	c.reading.held = append(c.reading.held, e)
	c.reading.parted = c.reading.parted || e.framingLost // nothing more is read after it
	l.passToSuccessor(c)
	return true
}

// passToSuccessor passes a client's connection on as soon as it stands between two requests.
func (l *Loop) passToSuccessor(c *client) {
	s := &c.reading
	if !l.handover.passingConns() || !s.parted || c.closed || c.writeEnded || c.overLimit || c.ignoreInput.Load() || len(c.pipeline) > 0 || !c.out.drained() {
		return
	}
	p := hotrestart.Client{Conn: c.conn, Head: hotrestart.Head{Asked: c.commands, Kept: len(s.held)}}
	if k := c.credential; k != nil {
		p.Head.Known, p.Head.User, p.Head.Secret, p.Head.Named = true, k.User, k.Secret, k.Named
	}
	for i, e := range s.held {
		if i == 0 {
			p.Head.AgeUS = max(0, l.now()-e.arrived)
		}
		p.Rest = e.appendEncoded(p.Rest)
	}
	if s.inheritedCommands > 0 && len(s.held) == 0 { // from the process before, and not read here
		p.Head.Kept, p.Head.AgeUS = s.inheritedCommands, s.inheritedAge+l.now()-s.inheritedAt
	}
	p.Rest = append(p.Rest, s.unread...)
	c.closed = true
	close(c.done)
	delete(l.clients.conns, c)
	<-l.clients.slots
	l.metrics.PassedOn.Add(1)
	l.handover.connsToPass <- p
}

// passAll passes connections on. What the newer process can't be given any more is closed:
// it has died.
func (h *handovers) passAll() {
	defer close(h.allPassed)
	var err error
	for p := range h.connsToPass {
		if err == nil {
			err = h.successor.Pass(p)
		}
		_ = p.Conn.Close()
	}
}

// appendEncoded appends a command as it could be read anew.
func (e *commandRead) appendEncoded(b []byte) []byte {
	args := e.rawArgs
	if args == nil { // it was none that could be read: it is refused there as here
		args = [][]byte{[]byte("UNREADABLE")}
	}
	b = resp.AppendArray(b, len(args))
	for _, a := range args {
		b = resp.AppendBulk(b, a)
	}
	return b
}

// readingParted tells that a client's connection is not read any more, and what was read
// of it beyond its last command.
type readingParted struct {
	client *client
	rest   []byte
}

func (e readingParted) handle(l *Loop) {
	c := e.client
	if c.closed {
		return
	}
	c.reading.parted, c.reading.unread = true, e.rest
	l.passToSuccessor(c)
	if !c.closed && c.closeWhenIdle && len(c.pipeline) == 0 {
		c.finish(l)
	}
}

// readControl is what two processes need to read one connection after another. The loop owns
// what has no lock.
type readControl struct {
	mu            sync.Mutex
	inCommand     bool      // a command is being read
	partRequested bool      // the reading ends between two commands
	haltRequested bool      // it halts there, once nothing of another is read
	firstDeadline time.Time // by when the first command has to come; zero: it has

	parted bool          // it has
	unread []byte        // what was read beyond the last command
	held   []commandRead // commands that nobody has taken yet

	inheritedCommands int         // commands of rest that came with the connection, whole,
	inheritedAge      policy.Time // how old the first was
	inheritedAt       policy.Time // at this time
}

// beginCommand tells a reader whether it may read a command, given what its waiting for one ended with.
func (s *readControl) beginCommand(conn net.Conn, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inCommand = !s.partRequested && err == nil
	if s.inCommand && s.haltRequested {
		_ = conn.SetReadDeadline(s.firstDeadline) // it came while the reading was about to halt
	}
	return !s.partRequested
}

// haltedBy tells whether the waiting for a command has ended because the reading is to halt.
func (s *readControl) haltedBy(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.haltRequested && errors.Is(err, os.ErrDeadlineExceeded)
}

// endCommand tells that the command was read.
func (s *readControl) endCommand(conn net.Conn, spoken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inCommand = false
	if spoken {
		s.firstDeadline = time.Time{}
	}
	if s.partRequested || s.haltRequested {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	} else if spoken {
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// setFirstDeadline has the first command come by a time.
func (s *readControl) setFirstDeadline(conn net.Conn, first time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstDeadline = first
	if !s.partRequested && !s.haltRequested {
		_ = conn.SetReadDeadline(first)
	}
}

// requestHalt has the reading halt once nothing of a command is read that was not posted.
func (s *readControl) requestHalt(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.haltRequested = true
	if !s.inCommand {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// resume lets it go on.
func (s *readControl) resume(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.haltRequested = false; !s.partRequested {
		_ = conn.SetReadDeadline(s.firstDeadline)
	}
}

// requestPart ends the reading: at once, or after the command that is being read.
func (s *readControl) requestPart(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partRequested = true
	if !s.inCommand {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// arrivalTime is when a command came that has just been read. It belongs to the reader.
func (s *readControl) arrivalTime(now policy.Time) policy.Time {
	if s.inheritedCommands == 0 {
		return now
	}
	s.inheritedCommands--
	return s.inheritedAt - s.inheritedAge
}

// activityReader takes note of when something comes from a client.
type activityReader struct {
	from   io.Reader
	client *client
	clock  clock
}

func (r *activityReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	if n > 0 {
		r.client.lastByte.Store(r.clock.now())
	}
	return n, err
}

// commandSource is where a client's commands are read from.
func (c *client) commandSource() io.Reader {
	if len(c.reading.unread) == 0 {
		return c.conn
	}
	rest := c.reading.unread
	c.reading.unread = nil
	return io.MultiReader(bytes.NewReader(rest), c.conn)
}
