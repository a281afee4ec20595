package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

// heldDials holds a gateway's dials until the test lets them finish.
type heldDials struct {
	begun chan string // their addresses
	goOn  chan bool   // a value for each; closed: no more are held
}

func holdDials(g *Gateway) *heldDials {
	h := &heldDials{begun: make(chan string, 64), goOn: make(chan bool)}
	g.backends.dial.Control = func(_, address string, _ syscall.RawConn) error {
		h.begun <- address
		<-h.goOn
		return nil
	}
	return h
}

// slowDials are settings under which a dial may take as long as the test holds it.
func slowDials(f map[string]any) {
	f["settings"] = json.RawMessage(
		strings.Replace(settingsText, `"dial-timeout-us":250000`, `"dial-timeout-us":60000000`, 1),
	)
}

// ask runs a function on the event loop's goroutine and returns its result.
func ask[T any](t testing.TB, g *Gateway, f func(*Gateway) T) T {
	t.Helper()
	answer := make(chan T, 1)
	g.post(inspect(func(g *Gateway) { answer <- f(g) }))
	return wait(t, answer, "the loop")
}

// until waits for the event loop to reach a state: each look is an event of its own, behind all
// that was queued before it.
func until(t testing.TB, g *Gateway, what string, f func(*Gateway) bool) {
	t.Helper()
	for late := time.After(patience); !ask(t, g, f); {
		select {
		case <-late:
			t.Fatal("timed out waiting for ", what)
		default:
			runtime.Gosched()
		}
	}
}

// A request whose client has disconnected while its attempt waited for a connection is not sent
// when the connection is up: the first command on it is the next client's.
func TestDisconnectWithdrawsWaitingAttempt(t *testing.T) {
	for name, leave := range map[string]func(c *testClient){
		"closed": func(c *testClient) { c.conn.Close() },
		"reset":  func(c *testClient) { _ = c.conn.(*net.TCPConn).SetLinger(0); c.conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t)
			var dials *heldDials
			r := beginWith(
				t,
				configure(t, newFakeDiscovery(t, b.entry("s-00000001", "Ready")), slowDials),
				func(g *Gateway) { dials = holdDials(g) },
			)
			gone, other := r.client(t), r.client(t)
			gone.lookup(1, "60000")
			wait(t, dials.begun, "the first dial")
			other.lookup(2, "60000")
			wait(t, dials.begun, "the second dial")
			leave(gone)
			until(
				t,
				r.gateway,
				"the client's leaving",
				func(g *Gateway) bool { return g.requests.open == 1 },
			)
			if waiting := ask(
				t,
				r.gateway,
				func(g *Gateway) int { return len(g.backends.byNumber[1].waiting) },
			); waiting != 1 {
				t.Errorf("%d attempts wait, one is wanted", waiting)
			}
			close(dials.goOn)
			call := b.next(t)
			if got := string(call.args[2]); got != fmt.Sprintf("%016x", 2) {
				t.Fatalf("request %s was sent on, its client has left", got)
			}
			call.serve(t, "ok")
			other.value("ok")
			if n := ask(
				t,
				r.gateway,
				func(g *Gateway) int { return len(g.requests.byID) },
			); n != 0 ||
				len(b.got) > 0 {
				t.Errorf("%d requests in the table, %d commands more at the backend", n, len(b.got))
			}
		})
	}
}

// deaf is a backend that reads nothing until the test lets it, on sockets with small buffers.
type deaf struct {
	listener net.Listener
	conns    chan *net.TCPConn
}

func newDeaf(t testing.TB) *deaf {
	t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(
			func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) },
		)
	}}
	l, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &deaf{l, make(chan *net.TCPConn, 16)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			d.conns <- conn.(*net.TCPConn)
		}
	}()
	return d
}

// smallSends gives a gateway's connections to backends small buffers.
func smallSends(g *Gateway) {
	g.backends.dial.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(
			func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096) },
		)
	}
}

// The last byte of a partly written request is not sent once its client has disconnected: a backend
// begins a command with that byte.
func TestDisconnectAbortsPartialWrite(t *testing.T) {
	b := newDeaf(t)
	entry := fmt.Sprintf(
		`{"id":"s-00000001","host_port":%q,"phase":"Ready","size":1}`,
		b.listener.Addr(),
	)
	r := beginWith(t, configure(t, newFakeDiscovery(t, entry), nil), smallSends)
	c := r.client(t)
	c.send(
		"API.READ",
		"0000000000000007",
		"0000000000000001",
		"c=lookup,t=team,d=60000,units=1,spread=1,first=0",
		strings.Repeat("x", resp.MaxValue),
	)
	conn := wait(t, b.conns, "a connection")
	defer conn.Close()
	until(t, r.gateway, "the partly written request", func(g *Gateway) bool {
		b := g.backends.byNumber[1]
		return len(g.requests.byID) == 1 && b.dialing == 0 && len(b.waiting) == 0 &&
			g.metrics.Sends.Load() == 0
	})
	c.conn.Close()
	until(
		t,
		r.gateway,
		"the client's leaving",
		func(g *Gateway) bool { return g.requests.open == 0 },
	)
	if args, err := resp.NewReader(conn).ReadCommand(); err == nil {
		t.Fatalf("a command of %d values came whole, its client had left", len(args))
	} else if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal("nothing was begun: the test shows nothing")
	}
}

// A command that the reader has read, and the event loop has not handled, is answered before its
// connection closes, whatever closes it: the client sends again only what was not read.
func TestReadCommandsAreAnsweredBeforeClose(t *testing.T) {
	for name, end := range map[string]func(g *Gateway, c *client){
		"told to": func(g *Gateway, c *client) { c.closeAfterAnswers(g) },
		"the process ends": func(g *Gateway, c *client) {
			g.lifecycle.HandOver(false)
			shutdownRequested{}.handle(g)
		},
		"idle for long": func(g *Gateway, c *client) {
			c.lastCommand -= 100_000_000
			c.lastByte.Store(0)
			g.clients.closeIdle(g)
		},
		"others come": func(g *Gateway, c *client) {
			c.lastCommand -= 100_000_000
			c.lastByte.Store(0)
			g.clients.maxServed = 0
			g.clients.closeIdle(g)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := unstarted(t, newFakeDiscovery(t))
			here, there := pipe(t)
			g.clients.slots <- struct{}{}
			clientConnected{here}.handle(g)
			c := &testClient{t: t, conn: there, in: bufio.NewReader(there)}
			c.raw("*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPING\r\n") // both are read at once
			first := wait(t, g.events, "the first command")
			for k := range g.clients.conns {
				end(g, k)
			}
			first.handle(g)
			wait(t, g.events, "the second command").handle(g)
			if got := c.line(); got != "+PONG" && !strings.HasPrefix(got, "-ERR") {
				t.Fatalf("first answer %q", got)
			}
			if got := c.line(); got != "+PONG" && !strings.HasPrefix(got, "-ERR") {
				t.Fatalf("second answer %q", got)
			}
			g.shutdown.step(g)
			for k := range g.clients.conns {
				k.closeAfterAnswers(g)
			}
			wait(t, g.events, "the end of the reading").handle(g)
			c.closed()
		})
	}
}

// A connection that the kernel has accepted, and this process has not, is served: the shutdown
// waits for it, also where there was no slot for it before.
func TestShutdownDrainsBacklog(t *testing.T) {
	b := newBackend(t)
	r := beginWith(
		t,
		configure(t, newFakeDiscovery(t, b.entry("s-00000001", "Ready")), nil),
		func(g *Gateway) {
			g.clients.slots = make(chan struct{}, 1)
		},
	)
	c := r.client(t)
	c.lookup(1, "60000")
	call := b.next(t)
	late := r.client(t) // there is no slot for it
	late.lookup(2, "60000")
	r.stop()
	var closing policy.Time
	until(t, r.gateway, "the closing, and a place long after it", func(g *Gateway) bool {
		if g.shutdown.acceptingEnds && closing == 0 {
			closing = g.now()
		}
		return closing > 0 && g.now()-closing > 3*backlogQuietTime.Microseconds()
	})
	call.serve(t, "one")
	c.value("one")
	c.closed()
	c.conn.Close()
	b.next(t).serve(t, "two")
	late.value("two")
	late.closed()
	late.conn.Close()
	wait(t, r.ended, "the gateway's end")
}

// The shutdown waits, while there is time, for an answer that its client has not read completely.
func TestShutdownWaitsForSlowReaders(t *testing.T) {
	b := newBackend(t)
	cfg := configure(t, newFakeDiscovery(t, b.entry("s-00000001", "Ready")), nil)
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(
			func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096) },
		)
	}}
	cfg.Restart.Listen = func(address string) (net.Listener, error) { return small.Listen(context.Background(), "tcp", address) }
	r := begin(t, cfg)
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(
			func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) },
		)
	}}
	conn, err := dialer.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := &testClient{t, conn, bufio.NewReader(conn)}
	c.lookup(1, "60000")
	value := strings.Repeat("v", resp.MaxValue)
	b.next(t).serve(t, value)
	until(
		t,
		r.gateway,
		"the answer",
		func(g *Gateway) bool { return g.requests.open == 0 && g.requests.lastID == 1 },
	)
	r.stop()
	until(t, r.gateway, "the end of the connection", func(g *Gateway) bool {
		for k := range g.clients.conns {
			return g.shutdown.listenerClosed && k.writeEnded
		}
		t.Error("the connection has gone")
		return true
	})
	if owed := ask(
		t,
		r.gateway,
		func(g *Gateway) int { return g.shutdown.pendingWork(g, g.now()) },
	); owed != 1 {
		t.Errorf("%d are owed something, want the one that has not read its answer", owed)
	}
	c.value(value)
	c.closed()
	conn.Close()
	wait(t, r.ended, "the gateway's end")
}

// The steps of the shutdown follow from the longest deadline of the settings: SIGKILL comes that
// long, and 0.7 s, after SIGTERM.
func TestShutdownStepsFollowSettings(t *testing.T) {
	const longest = 400_000
	cfg := configure(t, newFakeDiscovery(t), func(f map[string]any) {
		f["settings"] = json.RawMessage(
			strings.ReplaceAll(
				settingsText,
				`"promise-us":10000000`,
				`"promise-us":300000,"hard-limit-us":400000`,
			),
		)
	})
	g, err := newGateway(cfg, quiet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { g.clients.listener.Close() })
	shutdownRequested{}.handle(g)
	at := g.now() + longest + 700_000
	if !g.lifecycle.FailsOpenRequests(at-300_000) || !g.lifecycle.Done(at, 1, 1) {
		t.Error("requests are still open when SIGKILL may come")
	}
}

// A dial to a backend's old address says nothing of the backend: the process before refused, or was
// not there.
func TestDialToOldAddressIsRepeated(t *testing.T) {
	for name, change := range map[string]func(old, new *fakeBackend) string{
		"moved": func(old, new *fakeBackend) string { return new.entry("s-00000001", "Ready") },
		"started anew": func(old, new *fakeBackend) string {
			return strings.Replace(old.entry("s-00000001", "Ready"), `"up_since_ms":0`, `"up_since_ms":1000000000000`, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			old, other := newBackend(t), newBackend(t)
			address := old.listener.Addr().String()
			old.listener.Close()
			d := newFakeDiscovery(t, old.entry("s-00000001", "Ready"))
			var dials *heldDials
			r := beginWith(t, configure(t, d, func(f map[string]any) {
				slowDials(f)
				f["settings"] = json.RawMessage(
					strings.Replace(
						string(f["settings"].(json.RawMessage)),
						`"max-attempts":3`,
						`"max-attempts":1`,
						1,
					),
				)
			}), func(g *Gateway) { dials = holdDials(g) })
			c := r.client(t)
			c.lookup(1, "60000")
			wait(t, dials.begun, "the dial to the old process")
			d.tell(change(old, other))
			d.settled(t)
			if name == "started anew" {
				// The old process refuses this one dial, and the new one listens from then on.
				dials.goOn <- true
				wait(t, dials.begun, "another dial")
				l, err := net.Listen("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				other.serveOn(l)
				t.Cleanup(func() { l.Close() })
			}
			close(dials.goOn)
			other.next(t).serve(t, "ok")
			c.value("ok")
			if n := ask(
				t,
				r.gateway,
				func(g *Gateway) int { return g.gauges().UnhealthyBackends },
			); n != 0 {
				t.Error("the backend is held for dead")
			}
		})
	}
}

// A drain that is announced while attempts wait for their dials ends them at once: none waits until
// its dial or its time is over.
func TestDrainCancelsWaitingAttempts(t *testing.T) {
	b, other := newBackend(t), newBackend(t)
	d := newFakeDiscovery(t, b.entry("s-00000001", "Ready"))
	var dials *heldDials
	r := beginWith(t, configure(t, d, slowDials), func(g *Gateway) { dials = holdDials(g) })
	c := r.client(t)
	c.lookup(1, "60000")
	c.lookup(2, "60000")
	for range 2 {
		wait(t, dials.begun, "the dials")
	}
	d.tell(b.entry("s-00000001", "Terminating"), other.entry("s-00000002", "Ready"))
	for range 2 {
		if got := wait(t, dials.begun, "a dial elsewhere"); got != other.listener.Addr().String() {
			t.Errorf("a dial to %s", got)
		}
	}
	close(dials.goOn)
	for range 2 {
		other.next(t).serve(t, "ok")
	}
	c.value("ok")
	c.value("ok")
	if len(b.got) > 0 {
		t.Error("sent to a backend that drains")
	}
}

// A retry with an idempotency key that waits for its connection until the deduplication window is
// over is not sent: backends have forgotten what may have been executed.
func TestRetryIsNotSentAfterDeduplicationWindow(t *testing.T) {
	first, second := newBackend(t), newBackend(t)
	d := newFakeDiscovery(t, first.entry("s-00000001", "Ready"))
	var dials *heldDials
	r := beginWith(t, configure(t, d, slowDials), func(g *Gateway) { dials = holdDials(g) })
	c := r.client(t)
	c.send(
		"API.WRITE",
		"0000000000000007",
		"0000000000000001",
		"c=order,t=team,d=80000000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0",
		"x",
	)
	wait(t, dials.begun, "the first dial")
	dials.goOn <- true
	call := first.next(t)
	d.tell(first.entry("s-00000001", "Terminating"), second.entry("s-00000002", "Ready"))
	d.settled(t)
	call.answer(t, "-ERR failed\r\n") // it may have been executed
	wait(t, dials.begun, "the repeat's dial")
	ask(t, r.gateway, func(g *Gateway) bool {
		g.clock.wall += 30_000_000 // the class's window
		return true
	})
	close(dials.goOn)
	if got := c.line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answer %q", got)
	}
	if len(second.got) > 0 {
		t.Error("sent again though the window has closed")
	}
}

// Of a client that has sent many commands at once and disconnected, none is admitted that waited
// behind its other requests.
func TestPipelinedCommandsOfDisconnectedClientAreDropped(t *testing.T) {
	g := unstarted(t, newFakeDiscovery(t))
	here, there := pipe(t)
	g.clients.slots <- struct{}{}
	k := newClient(here, g.now())
	k.pipelineSlots = make(chan struct{}, 1) // a pipeline of one
	g.startClient(k)
	c := &testClient{t: t, conn: there, in: bufio.NewReader(there)}
	c.raw(strings.Repeat("*1\r\n$4\r\nPING\r\n", 3))
	first := wait(t, g.events, "the first command")
	there.Close()
	for late := time.After(patience); !k.out.hungUp(); {
		select {
		case <-late:
			t.Fatal("the close is not seen")
		default:
			runtime.Gosched()
		}
	}
	first.handle(g) // there is a slot for another
	if e, ok := wait(t, g.events, "what comes next").(clientDisconnected); !ok {
		t.Fatalf("%+v was taken, its client has gone", e)
	}
}
