package lab

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"mothcleat/internal/dataplane/resp"
	"mothcleat/internal/testing/harness"
)

const (
	serverPort   = 8000 // port for the first gateway; each further gateway has a port 64 higher
	queuePerCore = 8
	slotsPerCore = 2
)

// Fault describes how a quote server misbehaves until its fault is changed.
type Fault struct {
	Errors float64 // fraction of requests that fail at once
	Slow   float64 // factor on the time that work takes; 0 and 1: not slower
	Hang   bool    // accepts requests and does not answer them
	Reset  float64 // fraction of requests whose connection is reset after the work instead of a reply
}

// Server is a stand-in quote server. It listens at a separate address for each gateway, by which it
// identifies the sender. Its work consists of spending time on one of its cores.
type Server struct {
	ID    string
	site  *harness.Site
	rec   *harness.Record
	cores int
	speed float64

	mu           sync.Mutex
	rand         *rand.Rand
	up           bool
	incarnation  int // index of the current start in the record
	currentStart harness.ServerStart
	fault        Fault
	drain        bool
	conns        map[net.Conn]bool
	listeners    []net.Listener
	addrs        []string          // by gateway; unchanged by restarts
	recent       []harness.Attempt // attempts within the site's overload window
	waiting      int
	slots        chan struct{}
	ended        chan struct{} // closed when this incarnation is killed
}

// NewServer starts a server that is warm from the beginning.
func NewServer(
	s *harness.Site, rec *harness.Record, world uint32, i int, seed uint64,
) (*Server, error) {
	cores, speed := s.Machine(i)
	sv := &Server{
		ID:    fmt.Sprintf("s-%08x", 0x1000+i*0x101),
		site:  s,
		rec:   rec,
		cores: int(cores),
		speed: speed,
		rand:  rand.New(rand.NewPCG(seed, uint64(i))),
		conns: map[net.Conn]bool{},
		addrs: make([]string, s.Gateways),
	}
	for g := range sv.addrs {
		sv.addrs[g] = netip.AddrPortFrom(hostOf(world, i), uint16(serverPort+64*g)).String()
	}
	return sv, sv.start(false)
}

// listen listens at a server's address. It retries for 2 s, because another rig that looks for a free
// address may occupy this one for a moment.
func listen(address string) (l net.Listener, err error) {
	for range 200 {
		if l, err = net.Listen("tcp", address); err == nil {
			return l, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, err
}

// start starts the server at its addresses.
func (sv *Server) start(slowStart bool) error {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.up {
		return errors.New("server: already runs")
	}
	sv.listeners = nil
	for _, address := range sv.addrs {
		l, err := listen(address)
		if err != nil {
			for _, l := range sv.listeners {
				l.Close()
			}
			return fmt.Errorf("server %s: %w", sv.ID, err)
		}
		sv.listeners = append(sv.listeners, l)
	}
	sv.up, sv.drain, sv.fault, sv.recent, sv.waiting = true, false, Fault{}, nil, 0
	sv.slots, sv.ended = make(chan struct{}, sv.cores*slotsPerCore), make(chan struct{})
	sv.currentStart = harness.ServerStart{
		Server:    sv.ID,
		Cores:     float64(sv.cores),
		Speed:     sv.speed,
		SlowStart: slowStart,
		At:        sv.rec.Now(),
	}
	sv.incarnation = sv.rec.AddServerStart(sv.currentStart)
	for g, l := range sv.listeners {
		go sv.accept(l, g, sv.ended)
	}
	return nil
}

// Kill stops the server as a crash would: it resets open connections and refuses new ones.
func (sv *Server) Kill() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.kill()
}

func (sv *Server) kill() {
	if !sv.up {
		return
	}
	sv.up = false
	close(sv.ended)
	for _, l := range sv.listeners {
		l.Close()
	}
	for c := range sv.conns {
		reset(c)
	}
	clear(sv.conns)
}

// Start restarts a killed server, cold.
func (sv *Server) Start() error { return sv.start(true) }

// SetDrain makes the server reject new requests, or accept them again.
func (sv *Server) SetDrain(on bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.drain = on
}

// SetFault replaces the server's fault.
func (sv *Server) SetFault(f Fault) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.fault = f
}

// Up reports whether the server runs, and when it started if it started cold.
func (sv *Server) Up() (up bool, slowStartSince time.Duration) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.currentStart.SlowStart {
		slowStartSince = sv.currentStart.At
	}
	return sv.up, slowStartSince
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (sv *Server) accept(l net.Listener, gateway int, ended chan struct{}) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		sv.mu.Lock()
		if ended != sv.ended || !sv.up {
			sv.mu.Unlock()
			reset(c)
			return
		}
		sv.conns[c] = true
		sv.mu.Unlock()
		go sv.serve(c, gateway, ended)
	}
}

// serve answers the commands of one connection in order. A pipelined command waits until the previous
// one is answered. If the gateway closes the connection, its queued work is dropped.
func (sv *Server) serve(c net.Conn, gateway int, ended chan struct{}) {
	defer func() {
		sv.mu.Lock()
		delete(sv.conns, c)
		sv.mu.Unlock()
		c.Close()
	}()
	commands := make(chan received, 16)
	clientGone, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer cancel()
		defer close(commands)
		in := resp.NewReader(c)
		for {
			_ = c.SetReadDeadline(time.Now().Add(harness.ServerIdle))
			if in.Await() != nil {
				return
			}
			command := received{first: sv.rec.Now()}
			var err error
			if command.args, err = in.ReadCommand(); err != nil {
				return
			}
			command.complete = sv.rec.Now()
			_ = c.SetReadDeadline(time.Time{})
			select {
			case commands <- command:
			case <-ended:
				return
			}
		}
	}()
	for command := range commands {
		reply, ok := sv.command(clientGone, ended, command, gateway)
		if !ok {
			reset(c)
			return
		}
		if _, err := c.Write(reply); err != nil {
			return
		}
		// The idle timeout starts when the reply is written.
		_ = c.SetReadDeadline(time.Now().Add(harness.ServerIdle))
	}
}

var (
	serverBusy   = []byte("-BUSY\r\n")
	serverFailed = []byte("-ERR failed\r\n")
)

// received is a command that was read from a gateway's connection.
type received struct {
	args     [][]byte
	first    time.Duration // when its first byte was received
	complete time.Duration // when its last byte was received
}

// command executes one command and returns the reply. ok is false if the connection has to be reset
// instead. clientGone is done once the gateway has closed the connection; ended is closed when the
// server's process ends.
func (sv *Server) command(
	clientGone context.Context,
	ended chan struct{},
	in received,
	gateway int,
) (reply []byte, ok bool) {
	args := in.args
	switch name := strings.ToUpper(string(args[0])); {
	case name == "PING":
		return []byte("+PONG\r\n"), true
	case name == "CLIENT" || name == "SELECT":
		return []byte("+OK\r\n"), true
	case name != "API.READ" && name != "API.WRITE" || len(args) < 4:
		return []byte("-ERR unknown command\r\n"), true
	}
	fields := fieldsOf(string(args[3]))
	class := slices.IndexFunc(
		sv.site.Classes,
		func(c harness.Class) bool { return c.Name == fields["c"] },
	)
	if class < 0 {
		return []byte("-SYNTAX\r\n"), true
	}
	id := string(args[2])
	toldWait, _ := strconv.Atoi(fields["d"])
	a := harness.Attempt{
		ID:          id,
		Key:         fields["k"],
		Server:      sv.ID,
		Gateway:     gateway,
		Class:       class,
		FirstByteAt: in.first,
		ReceivedAt:  in.complete,
		ToldWait:    time.Duration(toldWait) * time.Millisecond,
	}
	admitted := sv.admit(&a)
	if admitted.done {
		return admitted.reply, admitted.reply != nil
	}
	if !sv.waitForSlot(clientGone, ended, admitted) {
		return nil, false
	}
	defer func() { <-admitted.slots }()
	sv.rec.MarkRun(admitted.number, sv.recordEffect(a))
	if !sv.work(a, &admitted.start, admitted.fault, len(admitted.slots), ended) {
		return nil, false
	}
	if admitted.late < admitted.fault.Reset {
		return nil, false
	}
	sv.rec.MarkReplied(admitted.number)
	value := harness.ValueOf(id, sv.ID)
	b := resp.AppendArray(nil, 3)
	b = resp.AppendBulk(b, []byte(value))
	return append(b, "$-1\r\n$-1\r\n"...), true
}

// admission is the result of an attempt's arrival: a place in the queue, or the final reply.
type admission struct {
	number int // index of the attempt in the record
	fault  Fault
	start  harness.ServerStart
	slots  chan struct{}
	late   float64 // the draw that decides whether the connection is reset after the work

	done  bool
	reply []byte // if done; nil: the connection is reset
}

// admit records an attempt and puts it into the queue, unless the server is overloaded, full or
// failing.
func (sv *Server) admit(a *harness.Attempt) admission {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	a.Work = sv.drawWork(a.Class)
	result := admission{
		number: sv.rec.AddAttempt(*a),
		fault:  sv.fault,
		start:  sv.currentStart,
		slots:  sv.slots,
	}
	if sv.overloaded(*a) {
		sv.rec.MarkOverloaded(sv.incarnation)
		sv.kill()
		result.done = true
		return result
	}
	roll := sv.rand.Float64()
	result.late = sv.rand.Float64()
	if sv.drain || sv.waiting >= sv.cores*queuePerCore {
		sv.rec.MarkRejected(result.number)
		result.done, result.reply = true, serverBusy
		return result
	}
	if !result.fault.Hang && roll < result.fault.Errors {
		// The request fails before any work, so it has no effect; the gateway cannot know that.
		result.done, result.reply = true, serverFailed
		return result
	}
	sv.waiting++
	return result
}

// waitForSlot waits in the queue for a slot, and returns false if the gateway or the server ends
// first. The queued work is then dropped.
func (sv *Server) waitForSlot(
	clientGone context.Context,
	ended chan struct{},
	admitted admission,
) bool {
	leaveQueue := func() {
		sv.mu.Lock()
		sv.waiting--
		sv.mu.Unlock()
	}
	if admitted.fault.Hang {
		select {
		case <-clientGone.Done():
		case <-ended:
		}
		leaveQueue()
		return false
	}
	select {
	case admitted.slots <- struct{}{}:
		leaveQueue()
		return true
	case <-clientGone.Done():
		leaveQueue()
		return false
	case <-ended:
		return false
	}
}

// drawWork draws the work of one request; its mean is the mean of the request's class.
func (sv *Server) drawWork(class int) time.Duration {
	x := math.Exp(0.4*sv.rand.NormFloat64() - 0.08) // mean 1
	return time.Duration(x * float64(sv.site.Classes[class].Work))
}

// recordEffect records an attempt's idempotency key and reports whether the attempt has an effect. A
// repeat within the deduplication window has none, whichever server receives it.
func (sv *Server) recordEffect(a harness.Attempt) bool {
	c := &sv.site.Classes[a.Class]
	if !c.Keyed || a.Key == "" {
		return true
	}
	return sv.site.Remember(a.Key, a.ReceivedAt, c.DeduplicationWindow)
}

// overloaded reports whether a cold server has received more work than it can bear.
func (sv *Server) overloaded(a harness.Attempt) bool {
	sv.recent = append(sv.recent, a)
	sv.recent = slices.DeleteFunc(sv.recent, func(b harness.Attempt) bool {
		return a.ReceivedAt-b.ReceivedAt > sv.site.OverloadWindow
	})
	share := sv.site.CapacityShare(&sv.currentStart, a.ReceivedAt)
	if share == 1 {
		return false
	}
	sum := 0.0
	for _, b := range sv.recent {
		sum += b.Work.Seconds()
	}
	can := sv.currentStart.Cores * sv.currentStart.Speed * share * sv.site.OverloadWindow.Seconds()
	slack := 0.0
	for _, c := range sv.site.Classes {
		slack = max(slack, c.Work.Seconds())
	}
	return sum > sv.site.OverloadMultiple*can+slack
}

// work waits for as long as a request's work takes; the occupied slots share the cores.
func (sv *Server) work(
	a harness.Attempt, start *harness.ServerStart, f Fault, busy int, ended chan struct{},
) bool {
	need := a.Work.Seconds() / sv.speed * max(1, f.Slow) * max(1, float64(busy)/float64(sv.cores))
	for need > 0 {
		step := min(need, 0.1)
		share := sv.site.CapacityShare(start, sv.rec.Now())
		select {
		case <-time.After(time.Duration(step / share * float64(time.Second))):
		case <-ended:
			return false
		}
		need -= step
	}
	return true
}

func fieldsOf(list string) map[string]string {
	m := map[string]string{}
	for pair := range strings.SplitSeq(list, ",") {
		name, value, _ := strings.Cut(pair, "=")
		m[name] = value
	}
	return m
}
