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
	passing     chan hotrestart.Client
	passed      chan struct{} // closed when all that was put there is passed on
}

const (
	maxStateAge = 60_000_000             // a state from the process before is newer than that
	skewMost    = 1_000_000              // two processes' clocks may differ by so much
	bindAgain   = 200 * time.Millisecond // for the notes' socket, where the process before holds it
)

// passes tells whether connections are being passed on to a newer process.
func (h *handovers) passes() bool { return h.passing != nil }

// askBefore looks for a process that serves already.
func (l *Loop) askBefore() {
	if l.survival.Meet == "" {
		return
	}
	before, err := hotrestart.Ask(l.survival.Meet)
	if err != nil {
		return
	}
	l.log.Info("handover: another process serves; taking its place")
	l.handovers.predecessor, l.survival.Successor = before, true
}

// listenForSuccessor has the next process find this one.
func (l *Loop) listenForSuccessor() {
	if l.survival.Meet == "" {
		return
	}
	line, err := hotrestart.Listen(l.survival.Meet)
	if err != nil {
		l.log.Warn("a newer process will start cold", "error", err)
		return
	}
	l.handovers.listener = line
	go line.Serve(func(a *hotrestart.Successor) { l.urgentPost(successorReady{a}) })
}

// end ends what is between the processes, once all is passed on.
func (h *handovers) end() {
	if h.listener != nil {
		h.listener.Close()
	}
	if h.passes() {
		close(h.passing)
		<-h.passed
	}
	if h.successor != nil {
		h.successor.Close()
	}
}

// takeFromPredecessor takes the place of the process before, and then its clients' connections.
func (l *Loop) takeFromPredecessor() {
	left, err := l.handovers.predecessor.Take()
	e := takenOver{left: left, err: err}
	if err == nil {
		e.state, e.err = snapshot.Decode(left.Snapshot)
	}
	l.urgentPost(e)
}

// takenOver is what the process before has left, or why there is nothing.
type takenOver struct {
	left  hotrestart.State
	state policy.Snapshot
	err   error
}

func (e takenOver) handle(l *Loop) {
	before := l.handovers.predecessor
	if e.err == nil {
		if ahead := e.state.At - l.now(); ahead > 0 && ahead < skewMost {
			e.state.At = l.now()
		}
		e.err = l.module.Restore(l.now(), maxStateAge, &e.state)
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
			if err := before.Clients(l.passedOn); err != nil {
				l.log.Warn("handover: clients' connections", "error", err)
			}
		}()
	}
	switch {
	case e.left.Notes != nil && e.err == nil:
		l.peers.conn = e.left.Notes
		go l.peers.read(l)
	case l.cfg.Settings.Peers:
		if e.left.Notes != nil {
			_ = e.left.Notes.Close()
		}
		go l.bindNotes()
	}
	if l.survival.Keeper != nil {
		l.keepFrom()
	}
	l.serveClients()
}

// bindNotes has the notes' socket as soon as the process before has gone.
func (l *Loop) bindNotes() {
	for {
		p, err := newPeers(&l.cfg, l.log)
		if err == nil {
			l.urgentPost(notesBound{p.conn})
			return
		}
		time.Sleep(bindAgain)
	}
}

// notesBound is the notes' socket, had late.
type notesBound struct{ conn *net.UDPConn }

func (e notesBound) handle(l *Loop) {
	if l.life.Parted() {
		_ = e.conn.Close()
		return
	}
	l.peers.conn = e.conn
	go l.peers.read(l)
}

// passedOn takes in a connection from the process before.
func (l *Loop) passedOn(c hotrestart.Client) {
	l.clients.room <- struct{}{}
	l.post(passedIn{c})
}

type passedIn struct{ from hotrestart.Client }

func (e passedIn) handle(l *Loop) {
	head, now := &e.from.Head, l.now()
	c := newClient(e.from.Conn, now)
	c.asked = head.Asked
	if head.Known {
		c.credential = &forwardauth.Credential{User: head.User, Secret: head.Secret, Named: head.Named}
	}
	c.share.rest, c.share.old, c.share.age = e.from.Rest, head.Kept, head.AgeUS
	c.share.ageAt = now
	l.metrics.PassedIn.Add(1)
	l.begin(c)
}

// successorReady tells that a newer process could serve. It is given all that this one knows;
// what comes meanwhile is kept, for one of the two.
type successorReady struct{ successor *hotrestart.Successor }

func (e successorReady) handle(l *Loop) {
	if l.handovers.successor != nil || l.life.Parted() {
		e.successor.Close()
		return
	}
	l.handovers.successor = e.successor
	l.life.Pause()
	past := time.Unix(1, 0)
	_ = l.clients.listener.SetDeadline(past)
	left := hotrestart.State{Notes: l.peers.conn}
	if left.Notes != nil {
		_ = left.Notes.SetReadDeadline(past)
	}
	var err error
	if left.Snapshot, err = snapshot.Encode(l.module.TakeSnapshot(l.now(), true)); err != nil {
		e.successor.Close()
		given{err}.handle(l)
		return
	}
	go func() { l.urgentPost(given{e.successor.Give(left)}) }()
}

// given tells whether the newer process has taken over.
type given struct{ err error }

func (e given) handle(l *Loop) {
	if e.err != nil {
		l.log.Error("handover: the newer process did not take over; this one serves on", "error", e.err)
		l.resume()
		return
	}
	l.log.Info("handover: a newer process has taken over", "open", l.open, "connections", len(l.clients.conns))
	l.life.Part(true)
	h := &l.handovers
	h.passing, h.passed = make(chan hotrestart.Client, cap(l.clients.room)+1), make(chan struct{})
	go h.passAll()
	if l.peers.conn != nil {
		_ = l.peers.conn.Close()
		l.peers.conn = nil
	}
	l.lastState()
	for c := range l.clients.conns {
		c.share.part(c.conn)
	}
	l.step()
}

// resume goes on as if no newer process had come.
func (l *Loop) resume() {
	l.handovers.successor = nil
	l.life.Unpause()
	if !l.steps.closing {
		_ = l.clients.listener.SetDeadline(time.Time{})
		select {
		case l.clients.goOn <- struct{}{}:
		default:
		}
	}
	if l.peers.conn != nil {
		_ = l.peers.conn.SetReadDeadline(time.Time{})
		go l.peers.read(l)
	}
	for c := range l.clients.conns {
		kept := c.share.kept
		c.share.kept = nil
		for _, e := range kept {
			if c.gone {
				break
			}
			l.takeIn(e)
		}
	}
}

// keeps tells whether a command is not taken in here, but kept until it is known who
// takes it.
func (l *Loop) keeps(e taken) bool {
	if l.handovers.successor == nil || l.life.Abandons(l.now()) {
		return false
	}
	c := e.client
	if len(c.share.kept) == 0 && e.cmd.args == nil && !l.handovers.passes() {
		return false // it needs no decision, and this process still answers
	}
	c.share.kept = append(c.share.kept, e)
	c.share.parted = c.share.parted || e.last // nothing more is read after it
	l.pass(c)
	return true
}

// pass passes a client's connection on as soon as it stands between two requests.
func (l *Loop) pass(c *client) {
	s := &c.share
	if !l.handovers.passes() || !s.parted || c.gone || c.ended || c.surplus || c.barred.Load() || len(c.line) > 0 || !c.out.idle() {
		return
	}
	p := hotrestart.Client{Conn: c.conn, Head: hotrestart.Head{Asked: c.asked, Kept: len(s.kept)}}
	if k := c.credential; k != nil {
		p.Head.Known, p.Head.User, p.Head.Secret, p.Head.Named = true, k.User, k.Secret, k.Named
	}
	for i, e := range s.kept {
		if i == 0 {
			p.Head.AgeUS = max(0, l.now()-e.at)
		}
		p.Rest = e.again(p.Rest)
	}
	if s.old > 0 && len(s.kept) == 0 { // from the process before, and not read here
		p.Head.Kept, p.Head.AgeUS = s.old, s.age+l.now()-s.ageAt
	}
	p.Rest = append(p.Rest, s.rest...)
	c.gone = true
	close(c.done)
	delete(l.clients.conns, c)
	<-l.clients.room
	l.metrics.PassedOn.Add(1)
	l.handovers.passing <- p
}

// passAll passes connections on. What the newer process can't be given any more is closed:
// it has died.
func (h *handovers) passAll() {
	defer close(h.passed)
	var err error
	for p := range h.passing {
		if err == nil {
			err = h.successor.Pass(p)
		}
		_ = p.Conn.Close()
	}
}

// again appends a command as it could be read anew.
func (e *taken) again(b []byte) []byte {
	args := e.raw
	if args == nil { // it was none that could be read: it is refused there as here
		args = [][]byte{[]byte("UNREADABLE")}
	}
	b = resp.AppendArray(b, len(args))
	for _, a := range args {
		b = resp.AppendBulk(b, a)
	}
	return b
}

// partedFrom tells that a client's connection is not read any more, and what was read
// of it beyond its last command.
type partedFrom struct {
	client *client
	rest   []byte
}

func (e partedFrom) handle(l *Loop) {
	c := e.client
	if c.gone {
		return
	}
	c.share.parted, c.share.rest = true, e.rest
	l.pass(c)
	if !c.gone && c.ending && len(c.line) == 0 {
		c.finish(l)
	}
}

// share is what two processes need to read one connection after another. The loop owns
// what has no lock.
type share struct {
	mu      sync.Mutex
	command bool      // a command is being read
	parting bool      // the reading ends between two commands
	halting bool      // it halts there, once nothing of another is read
	first   time.Time // by when the first command has to come; zero: it has

	parted bool    // it has
	rest   []byte  // what was read beyond the last command
	kept   []taken // commands that nobody has taken yet

	old   int         // commands of rest that came with the connection, whole,
	age   policy.Time // how old the first was
	ageAt policy.Time // at this time
}

// begin tells a reader whether it may read a command, given what its waiting for one ended with.
func (s *share) begin(conn net.Conn, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.command = !s.parting && err == nil
	if s.command && s.halting {
		_ = conn.SetReadDeadline(s.first) // it came while the reading was about to halt
	}
	return !s.parting
}

// halts tells whether the waiting for a command has ended because the reading is to halt.
func (s *share) halts(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.halting && errors.Is(err, os.ErrDeadlineExceeded)
}

// end tells that the command was read.
func (s *share) end(conn net.Conn, spoken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.command = false
	if spoken {
		s.first = time.Time{}
	}
	if s.parting || s.halting {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	} else if spoken {
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// until has the first command come by a time.
func (s *share) until(conn net.Conn, first time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = first
	if !s.parting && !s.halting {
		_ = conn.SetReadDeadline(first)
	}
}

// halt has the reading halt once nothing of a command is read that was not posted.
func (s *share) halt(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.halting = true
	if !s.command {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// resume lets it go on.
func (s *share) resume(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.halting = false; !s.parting {
		_ = conn.SetReadDeadline(s.first)
	}
}

// part ends the reading: at once, or after the command that is being read.
func (s *share) part(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parting = true
	if !s.command {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// came is when a command came that has just been read. It belongs to the reader.
func (s *share) came(now policy.Time) policy.Time {
	if s.old == 0 {
		return now
	}
	s.old--
	return s.ageAt - s.age
}

// listening takes note of when something comes from a client.
type listening struct {
	from  io.Reader
	c     *client
	clock clock
}

func (r *listening) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	if n > 0 {
		r.c.heard.Store(r.clock.now())
	}
	return n, err
}

// source is where a client's commands are read from.
func (c *client) source() io.Reader {
	if len(c.share.rest) == 0 {
		return c.conn
	}
	rest := c.share.rest
	c.share.rest = nil
	return io.MultiReader(bytes.NewReader(rest), c.conn)
}
