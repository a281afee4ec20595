package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"mothcleat/internal/testing/harness"
)

// SoakOptions describes one run of the soak.
type SoakOptions struct {
	Seed uint64
	For  time.Duration
	Bin  string // path of the gateway's binary; "": it is built
	Keep string // folder for the traces of failed runs; "": they are deleted
}

// The platform's time limits that gateways have to meet in a soak.
const (
	maxGiveUp         = 3 * time.Second        // upper bound of the clients' patience in the computation of the SIGKILL time
	killAfterGiveUp   = 700 * time.Millisecond // SIGKILL follows no earlier than this after the clients' patience ends
	maxReadyTime      = 10 * time.Second
	maxPause          = 150 * time.Millisecond // longest pause of a process between reading a clock and writing
	stalledClientTime = 3 * time.Second        // a client that stops in the middle of a request is answered within this time

	// acceptTime is how long after SIGTERM new connections still arrive.
	acceptTime = 400 * time.Millisecond

	// lateAnswers is the lateness up to which an answer breaks no rule; it merely earns nothing.
	lateAnswers = 500 * time.Millisecond

	// schedulingSlack is how late the rig itself may observe an event on a busy machine.
	schedulingSlack = time.Second
)

const (
	soakServers       = 8
	soakStream        = 0x50a4 // separates a soak's random stream from others of the same seed
	singleConnClients = 3      // per restart or replacement
	crowdSockets      = 256    // configured descriptor limit of gateways that get a crowd
	crowdConnections  = 140    // more connections than such a gateway accepts
	probeInterval     = 20 * time.Millisecond
)

// soakDraw holds the properties of a run that its seed determines.
type soakDraw struct {
	gateways   int
	rigListens bool // the rig holds the sockets for clients and replaces processes
	crowd      bool
	load       float64
}

func drawSoak(r *rand.Rand) soakDraw {
	return soakDraw{
		gateways:   3 + r.IntN(2),
		rigListens: r.IntN(2) == 0,
		crowd:      r.IntN(4) == 0,
		load:       harness.Between(r, 0.3, 0.6),
	}
}

// soak is one run of the soak.
type soak struct {
	w        *World
	draw     soakDraw
	upgrades *upgrades
	wg       sync.WaitGroup

	mu     sync.Mutex
	did    map[string]int
	errs   []error
	events []string // signals and faults with their times, for the trace
}

// RunSoak performs one run: restarts, hand-overs, series of signals, pauses, crowds and stalled clients
// under load. Besides the five rules it checks that a gateway that gets SIGTERM exits by itself with
// code 0 before the platform's earliest SIGKILL, and that gateways become ready in time.
func RunSoak(ctx context.Context, o SoakOptions, progress io.Writer) (*harness.Summary, error) {
	remove, err := buildIfNone(ctx, &o.Bin)
	if err != nil {
		return nil, err
	}
	defer remove()
	draw := drawSoak(rand.New(rand.NewPCG(o.Seed, soakStream)))
	options := Options{
		Seed:      o.Seed,
		Change:    func(site *harness.Site) { site.LateAnswers = lateAnswers },
		Gateways:  draw.gateways,
		Servers:   soakServers,
		Load:      draw.load,
		Bin:       o.Bin,
		Operators: recordText,
		Held:      draw.rigListens,
		Log:       progress,
	}
	if !draw.rigListens {
		options.Operators = operatorsText(false)
	}
	if draw.crowd {
		options.Sockets = crowdSockets
	}
	w, err := NewWorld(ctx, options)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	s := &soak{w: w, draw: draw, did: map[string]int{}}
	s.upgrades = &upgrades{w: w, o: UpgradeOptions{Kills: true}, did: s.did}
	traffic, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	s.begin(traffic, o.Seed)
	w.Clients.Run(traffic)
	s.wg.Wait()
	for _, g := range w.Gateways {
		s.stop(g, []signalAfter{{signal: syscall.SIGTERM}})
	}
	summary := w.summarize("soak")
	s.summarize(summary)
	if !summary.OK && o.Keep != "" {
		dir := filepath.Join(o.Keep, fmt.Sprintf("seed-%d", o.Seed))
		return summary, w.keepTrace(dir, summary, s.events)
	}
	return summary, nil
}

// begin starts the disturbances of the gateways, the stalled clients and the crowds.
func (s *soak) begin(ctx context.Context, seed uint64) {
	for _, g := range s.w.Gateways {
		r := rand.New(rand.NewPCG(seed, soakStream+1+uint64(g.Number)))
		s.spawn(func() { s.disturb(ctx, g, r) })
	}
	r := rand.New(rand.NewPCG(seed, soakStream-1))
	s.spawn(func() { s.stallClients(ctx, r) })
	if s.draw.crowd {
		s.spawn(func() { s.crowd(ctx) })
	}
}

func (s *soak) spawn(do func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		do()
	}()
}

func (s *soak) fail(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, err)
}

func (s *soak) failf(g *Gateway, format string, args ...any) {
	at := s.w.Record.Now().Round(time.Millisecond)
	s.fail(fmt.Errorf("gateway %d at %v: %s", g.Number, at, fmt.Sprintf(format, args...)))
}

func (s *soak) count(what string) { s.upgrades.count(what) }

// recordEvent records an event for the trace.
func (s *soak) recordEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	event := fmt.Sprintf(format, args...)
	s.events = append(s.events, fmt.Sprintf("%v %s", s.w.Record.Now(), event))
}

// signal sends a signal to one of a gateway's processes.
func (s *soak) signal(g *Gateway, pid int, one syscall.Signal) {
	s.recordEvent("gateway %d, process %d: %v", g.Number, pid, one)
	_ = syscall.Kill(pid, one)
}

// disturb reloads, pauses, kills, restarts or replaces a gateway, one action after another.
func (s *soak) disturb(ctx context.Context, g *Gateway, r *rand.Rand) {
	for sleep(ctx, time.Duration(harness.Between(r, 0.2, 2)*float64(time.Second))) {
		var err error
		switch n := r.IntN(12); {
		case n < 2:
			s.reload(g, r)
		case n < 4:
			s.pause(g, r)
		case s.draw.rigListens && n < 6:
			err = s.upgrades.kill(g, time.Duration(r.Int64N(int64(20*time.Millisecond))))
		case s.draw.rigListens:
			err = s.replace(g, r)
		case n < 5:
			err = s.killAndStart(g)
		case n < 9:
			err = s.restart(g, r)
		default:
			err = s.handOver(g)
		}
		if err != nil {
			s.failf(g, "%v", err)
			return
		}
	}
}

// signalAfter is one signal of a series.
type signalAfter struct {
	signal syscall.Signal
	wait   time.Duration // delay before the signal
}

// drawSeries draws the signals of a shutdown: SIGTERM, possibly with others shortly before or after it.
func drawSeries(r *rand.Rand) []signalAfter {
	interval := func() time.Duration {
		if r.IntN(3) == 0 {
			return 0
		}
		return time.Duration(r.Int64N(int64(time.Second)))
	}
	term := signalAfter{signal: syscall.SIGTERM}
	switch r.IntN(5) {
	case 0:
		return []signalAfter{{syscall.SIGHUP, 0}, {syscall.SIGTERM, interval()}}
	case 1:
		return []signalAfter{term, {syscall.SIGTERM, interval()}}
	case 2:
		return []signalAfter{term, {syscall.SIGHUP, interval()}, {syscall.SIGHUP, interval()}}
	case 3:
		return []signalAfter{term, {syscall.SIGSTOP, interval()}, {syscall.SIGCONT, maxPause}}
	}
	return []signalAfter{term}
}

// hangServer makes a random server hang, in one of three calls, until the returned function is called.
func (s *soak) hangServer(r *rand.Rand) (end func()) {
	if r.IntN(3) > 0 {
		return func() {}
	}
	hung := s.w.Servers[r.IntN(len(s.w.Servers))]
	hung.SetFault(Fault{Hang: true})
	s.recordEvent("server %s hangs", hung.ID)
	s.count("servers hung through a shutdown")
	return func() { hung.SetFault(Fault{}) }
}

// restart stops a gateway by a series of signals and starts it again. Some of its connections are
// used until it exits, and a server may hang during the whole shutdown.
func (s *soak) restart(g *Gateway, r *rand.Rand) error {
	end := s.hangServer(r)
	s.stop(g, drawSeries(r))
	end()
	wait, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := s.w.start(wait, g); err != nil {
		return err
	}
	s.count("restarted")
	return nil
}

// killTime returns the shortest time after SIGTERM at which the platform sends SIGKILL.
func (s *soak) killTime() time.Duration {
	longest := time.Duration(0)
	for i := range s.w.Site.Classes {
		longest = max(longest, s.w.Site.Classes[i].GiveUp)
	}
	return min(longest, maxGiveUp) + killAfterGiveUp
}

// stop stops a gateway by a series of signals, and sends SIGKILL at the platform's earliest time.
// Clients use open connections until the gateway has exited, unless the rig holds the socket for
// clients: then no process accepts connections any more.
func (s *soak) stop(g *Gateway, series []signalAfter) {
	pid := g.PID()
	if pid == 0 {
		s.failf(g, "no process runs")
		return
	}
	if !s.draw.rigListens {
		defer s.useSingleConns(g)()
	}
	killAt := s.signalAll(g, pid, series)
	s.awaitEnd(g, pid, killAt)
	wait, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := g.WaitForExit(wait); err != nil {
		s.failf(g, "%v", err)
	}
}

// useSingleConns makes clients send requests to a gateway, each on a separate connection, until the
// returned function is called.
func (s *soak) useSingleConns(g *Gateway) (end func()) {
	clientsContext, stopClients := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for n := range singleConnClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			s.w.Clients.runOnSingleConn(clientsContext, g.Number, n)
		}()
	}
	time.Sleep(50 * time.Millisecond) // until the clients have connected
	return func() {
		stopClients()
		clients.Wait()
	}
}

// awaitEnd waits until a process has exited. It fails the run unless the process exits by itself and
// with code 0 before killAt; at that time awaitEnd sends SIGKILL.
func (s *soak) awaitEnd(g *Gateway, pid int, killAt time.Time) {
	// Not processRuns, which would reap a child and lose its exit code.
	runs := func() bool {
		state, exists := processState(pid)
		return exists && !hasEnded(state)
	}
	for runs() && time.Now().Before(killAt) {
		time.Sleep(time.Millisecond)
	}
	if runs() {
		s.failf(g, "the process has not exited by itself before SIGKILL\n%s", g.logTail())
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
	for runs() {
		time.Sleep(time.Millisecond)
	}
	if code, known := g.exitCode(pid); known && code != 0 {
		s.failf(g, "the process exited with code %d\n%s", code, g.logTail())
	}
}

// signalAll sends a series of signals to one of a gateway's processes, and returns the earliest time
// of SIGKILL.
func (s *soak) signalAll(g *Gateway, pid int, series []signalAfter) (killAt time.Time) {
	for _, one := range series {
		time.Sleep(one.wait)
		switch one.signal {
		case syscall.SIGTERM:
			if killAt.IsZero() {
				killAt = time.Now().Add(s.killTime())
				if !s.draw.rigListens {
					s.spawn(func() { s.probeAccepting(g, time.Now().Add(acceptTime)) })
				}
				if pid == g.PID() {
					s.recordEvent("gateway %d, process %d: stopped", g.Number, pid)
					_ = g.Signal(one.signal)
					continue
				}
			}
		case syscall.SIGHUP:
			if err := g.Configure(); err != nil {
				s.fail(err)
			}
		}
		s.signal(g, pid, one.signal)
	}
	return killAt
}

// probeAccepting opens connections to a gateway that just got SIGTERM, for as long as new ones may
// arrive. Each has to be accepted, and its health check answered.
func (s *soak) probeAccepting(g *Gateway, until time.Time) {
	for time.Now().Before(until) {
		began := time.Now()
		if !answersPing(g.Address) && began.Before(until) {
			s.failf(g, "a connection %v before the gateway may stop accepting got no answer",
				until.Sub(began).Round(time.Millisecond))
			return
		}
		time.Sleep(probeInterval)
	}
}

// answersPing reports whether a health check on a new connection gets a reply, which may be an error.
func answersPing(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(stalledClientTime))
	if _, err := io.WriteString(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return false
	}
	first := make([]byte, 1)
	_, err = conn.Read(first)
	return err == nil && (first[0] == '+' || first[0] == '-')
}

// reload rewrites a gateway's configuration and sends SIGHUP, up to five times in a row.
func (s *soak) reload(g *Gateway, r *rand.Rand) {
	for range 1 + r.IntN(5) {
		if err := g.Configure(); err != nil {
			s.fail(err)
			return
		}
		_ = g.Signal(syscall.SIGHUP)
		if r.IntN(2) == 0 {
			time.Sleep(time.Duration(r.Int64N(int64(300 * time.Millisecond))))
		}
	}
	s.count("reloaded")
}

// pause stops a gateway's process for the longest pause that is allowed at any point. The rules apply
// nevertheless.
func (s *soak) pause(g *Gateway, r *rand.Rand) {
	pid := g.PID()
	for range 1 + r.IntN(3) {
		s.signal(g, pid, syscall.SIGSTOP)
		time.Sleep(maxPause)
		s.signal(g, pid, syscall.SIGCONT)
		time.Sleep(time.Duration(r.Int64N(int64(300 * time.Millisecond))))
	}
	s.count("paused")
}

// killAndStart kills a gateway by SIGKILL and starts it again.
func (s *soak) killAndStart(g *Gateway) error {
	if err := g.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	wait, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := g.WaitForExit(wait); err != nil {
		return err
	}
	s.count("killed")
	return s.w.start(wait, g)
}

// replace makes a new process take over, and stops the old one by a series of signals.
func (s *soak) replace(g *Gateway, r *rand.Rand) error {
	defer s.useSingleConns(g)()
	end := s.hangServer(r)
	defer end()
	old, err := s.upgrades.takeOver(g)
	if err != nil {
		return err
	}
	s.awaitEnd(g, old.pid, s.signalAll(g, old.pid, drawSeries(r)))
	s.count("replaced")
	return nil
}

// handOver makes a gateway start its own successor.
func (s *soak) handOver(g *Gateway) error {
	began := s.w.Record.Now()
	ctx, cancel := context.WithTimeout(context.Background(), maxReadyTime)
	defer cancel()
	took, err := g.HandOver(ctx)
	if err != nil {
		return err
	}
	if !took { // the previous process was still shutting down
		s.count("hand-overs refused")
		return nil
	}
	s.w.Record.AddProcessEvent(g.Number, harness.Ready)
	g.mu.Lock()
	g.readyIn = append(g.readyIn, s.w.Record.Now()-began)
	g.mu.Unlock()
	s.count("handed over")
	return nil
}

// stallClients starts clients that stop in the middle of a request and keep the connection open. The
// gateway has to answer or close each of these connections.
func (s *soak) stallClients(ctx context.Context, r *rand.Rand) {
	for sleep(ctx, time.Duration(harness.Between(r, 0.2, 1)*float64(time.Second))) {
		g := s.w.Gateways[r.IntN(len(s.w.Gateways))]
		part := "*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000"[:1+r.IntN(25)]
		s.spawn(func() { s.stallClient(g, part) })
	}
}

func (s *soak) stallClient(g *Gateway, part string) {
	conn, err := net.DialTimeout("tcp", g.Address, time.Second)
	if err != nil {
		return // no process listens at the moment
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, part); err != nil {
		return
	}
	limit := stalledClientTime + schedulingSlack
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	if _, err := conn.Read(make([]byte, 1)); isTimeout(err) {
		s.failf(g, "a client that stopped in the middle of a request got neither an error nor a close")
	}
	s.count("clients stalled")
}

// crowd makes idle clients use up the descriptors of all gateways while discovery is silent.
func (s *soak) crowd(ctx context.Context) {
	for sleep(ctx, 2*time.Second) {
		s.recordEvent("a crowd connects while discovery is silent")
		s.w.Register.Silence(true)
		var conns []net.Conn
		for _, g := range s.w.Gateways {
			for range crowdConnections {
				if c, err := net.DialTimeout("tcp", g.Address, time.Second); err == nil {
					conns = append(conns, c)
				}
			}
		}
		sleep(ctx, 3*time.Second)
		for _, c := range conns {
			c.Close()
		}
		s.w.Register.Silence(false)
		s.count("crowds")
	}
}

// summarize adds the actions and the further failures to the summary.
func (s *soak) summarize(f *harness.Summary) {
	f.Extra["done"] = s.did
	f.Extra["gateways"] = s.draw.gateways
	f.Extra["held"] = s.draw.rigListens
	f.Extra["crowd"] = s.draw.crowd
	for _, g := range s.w.Gateways {
		for _, took := range g.readyIn {
			if took > maxReadyTime {
				f.AddFailure(fmt.Sprintf("gateway %d was ready after %v", g.Number, took))
			}
		}
	}
	for _, err := range append(s.errs, s.upgrades.errs...) {
		f.AddFailure(err.Error())
	}
	if _, inPlace := refusals(s.w.Record); inPlace > 0 {
		f.AddFailure(fmt.Sprintf("%d connections found a closed port at gateways that serve", inPlace))
	}
	if len(s.did) == 0 {
		f.AddFailure("nothing was done")
	}
}

// keepTrace saves the gateways' logs, the events, the record and the summary in a folder.
func (w *World) keepTrace(dir string, summary *harness.Summary, events []string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	var err error
	for _, g := range w.Gateways {
		name := fmt.Sprintf("gateway-%d.log", g.Number)
		err = errors.Join(err, os.WriteFile(filepath.Join(dir, name), []byte(g.Log()), 0o600))
	}
	var record []byte
	w.Record.Read(func() {
		record, _ = json.MarshalIndent(map[string]any{
			"tries":    w.Record.Tries,
			"attempts": w.Record.Attempts,
			"events":   w.Record.ProcessEvents,
			"updates":  w.Record.EndpointUpdates,
		}, "", " ")
	})
	done := []byte(strings.Join(events, "\n") + "\n")
	return errors.Join(err, os.WriteFile(filepath.Join(dir, "record.json"), record, 0o600),
		os.WriteFile(filepath.Join(dir, "events.txt"), done, 0o600),
		os.WriteFile(filepath.Join(dir, "summary.json"), []byte(summary.Line()+"\n"), 0o600))
}
