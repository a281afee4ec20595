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
	started chan string // the address of each dial that has started
	release chan bool   // lets one dial go on; closed: no dial is held any more
}

func holdDials(g *Gateway) *heldDials {
	h := &heldDials{started: make(chan string, 64), release: make(chan bool)}
	g.backends.dial.Control = func(_, address string, _ syscall.RawConn) error {
		h.started <- address
		<-h.release
		return nil
	}
	return h
}

// withLongDialTimeout sets a dial timeout that is longer than any test holds a dial.
func withLongDialTimeout(f map[string]any) {
	f["settings"] = json.RawMessage(
		strings.Replace(settingsText, `"dial-timeout-us":250000`, `"dial-timeout-us":60000000`, 1),
	)
}

// onEventLoop runs a function on the event loop's goroutine and returns its result.
func onEventLoop[T any](t testing.TB, g *Gateway, f func(*Gateway) T) T {
	t.Helper()
	result := make(chan T, 1)
	g.post(inspect(func(g *Gateway) { result <- f(g) }))
	return wait(t, result, "the event loop")
}

// waitUntil waits until f reports true on the event loop. Each call of f is an event of its own,
// behind all events that were queued before.
func waitUntil(t testing.TB, g *Gateway, what string, f func(*Gateway) bool) {
	t.Helper()
	for timeout := time.After(waitTimeout); !onEventLoop(t, g, f); {
		select {
		case <-timeout:
			t.Fatal("timed out waiting for ", what)
		default:
			runtime.Gosched()
		}
	}
}

// A request is not sent if its client disconnects while the attempt waits for a dial: the first
// command on the new connection is another client's.
func TestDisconnectWithdrawsWaitingAttempt(t *testing.T) {
	for name, disconnect := range map[string]func(c *testClient){
		"closed": func(c *testClient) { c.conn.Close() },
		"reset":  func(c *testClient) { _ = c.conn.(*net.TCPConn).SetLinger(0); c.conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newFakeBackend(t)
			var dials *heldDials
			r := startGatewayWith(
				t,
				testConfig(t, newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready")), withLongDialTimeout),
				func(g *Gateway) { dials = holdDials(g) },
			)
			gone, other := r.dialClient(t), r.dialClient(t)
			gone.sendLookup(1, "60000")
			wait(t, dials.started, "the first dial")
			other.sendLookup(2, "60000")
			wait(t, dials.started, "the second dial")
			disconnect(gone)
			waitUntil(
				t,
				r.gateway,
				"the client's disconnect",
				func(g *Gateway) bool { return g.requests.open == 1 },
			)
			if waiting := onEventLoop(
				t,
				r.gateway,
				func(g *Gateway) int { return len(g.backends.byNumber[1].waiting) },
			); waiting != 1 {
				t.Errorf("%d attempts wait, want 1", waiting)
			}
			close(dials.release)
			call := b.nextCommand(t)
			if got := string(call.args[2]); got != fmt.Sprintf("%016x", 2) {
				t.Fatalf("request %s was sent although its client had disconnected", got)
			}
			call.replyValue(t, "ok")
			other.wantValue("ok")
			if n := onEventLoop(
				t,
				r.gateway,
				func(g *Gateway) int { return len(g.requests.byID) },
			); n != 0 ||
				len(b.commands) > 0 {
				t.Errorf("%d requests in the table, %d more commands at the backend", n, len(b.commands))
			}
		})
	}
}

// nonReadingBackend is a backend that accepts connections with small receive buffers and reads
// nothing from them: the test reads.
type nonReadingBackend struct {
	listener net.Listener
	conns    chan *net.TCPConn
}

func newNonReadingBackend(t testing.TB) *nonReadingBackend {
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
	d := &nonReadingBackend{l, make(chan *net.TCPConn, 16)}
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

// withSmallSendBuffers gives a gateway's connections to backends small send buffers.
func withSmallSendBuffers(g *Gateway) {
	g.backends.dial.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(
			func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096) },
		)
	}
}

// A request that is partly written when its client disconnects is not completed: a backend executes
// a command only after its last byte.
func TestDisconnectAbortsPartialWrite(t *testing.T) {
	b := newNonReadingBackend(t)
	entry := fmt.Sprintf(
		`{"id":"s-00000001","host_port":%q,"phase":"Ready","size":1}`,
		b.listener.Addr(),
	)
	r := startGatewayWith(t, testConfig(t, newFakeDiscovery(t, entry), nil), withSmallSendBuffers)
	c := r.dialClient(t)
	c.send(
		"API.READ",
		"0000000000000007",
		"0000000000000001",
		"c=lookup,t=team,d=60000,units=1,spread=1,first=0",
		strings.Repeat("x", resp.MaxValue),
	)
	conn := wait(t, b.conns, "a connection")
	defer conn.Close()
	waitUntil(t, r.gateway, "the partly written request", func(g *Gateway) bool {
		b := g.backends.byNumber[1]
		return len(g.requests.byID) == 1 && b.dialing == 0 && len(b.waiting) == 0 &&
			g.metrics.Sends.Load() == 0
	})
	c.conn.Close()
	waitUntil(
		t,
		r.gateway,
		"the client's disconnect",
		func(g *Gateway) bool { return g.requests.open == 0 },
	)
	if args, err := resp.NewReader(conn).ReadCommand(); err == nil {
		t.Fatalf("the backend received a whole command of %d values after its client had disconnected", len(args))
	} else if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal("no part of the command was written, which makes the test meaningless")
	}
}

// A command that the reader has read but the event loop has not handled yet is answered before its
// connection closes, whatever the reason for the close: a client retries only what was not read.
func TestReadCommandsAreAnsweredBeforeClose(t *testing.T) {
	for name, closeConn := range map[string]func(g *Gateway, c *client){
		"close requested": func(g *Gateway, c *client) { c.closeAfterAnswers(g) },
		"shutdown": func(g *Gateway, c *client) {
			g.lifecycle.HandOver(false)
			shutdownRequested{}.handle(g)
		},
		"idle timeout": func(g *Gateway, c *client) {
			c.lastCommand -= 100_000_000
			c.lastByte.Store(0)
			g.clients.closeIdle(g)
		},
		"eviction": func(g *Gateway, c *client) {
			c.lastCommand -= 100_000_000
			c.lastByte.Store(0)
			g.clients.maxServed = 0
			g.clients.closeIdle(g)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newUnstartedGateway(t, newFakeDiscovery(t))
			here, there := newConnPair(t)
			g.clients.slots <- struct{}{}
			clientConnected{here}.handle(g)
			c := &testClient{t: t, conn: there, in: bufio.NewReader(there)}
			c.writeRaw("*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPING\r\n") // both are read at once
			first := wait(t, g.events, "the first command")
			for conn := range g.clients.conns {
				closeConn(g, conn)
			}
			first.handle(g)
			wait(t, g.events, "the second command").handle(g)
			if got := c.readLine(); got != "+PONG" && !strings.HasPrefix(got, "-ERR") {
				t.Fatalf("first reply %q", got)
			}
			if got := c.readLine(); got != "+PONG" && !strings.HasPrefix(got, "-ERR") {
				t.Fatalf("second reply %q", got)
			}
			g.shutdown.step(g)
			for conn := range g.clients.conns {
				conn.closeAfterAnswers(g)
			}
			wait(t, g.events, "the end of the reader").handle(g)
			c.wantClosed()
		})
	}
}

// A connection that waits in the listener's backlog is served: the shutdown waits for it, even if
// there was no free slot for it at first.
func TestShutdownDrainsBacklog(t *testing.T) {
	b := newFakeBackend(t)
	r := startGatewayWith(
		t,
		testConfig(t, newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready")), nil),
		func(g *Gateway) {
			g.clients.slots = make(chan struct{}, 1)
		},
	)
	c := r.dialClient(t)
	c.sendLookup(1, "60000")
	call := b.nextCommand(t)
	late := r.dialClient(t) // no slot is free for it
	late.sendLookup(2, "60000")
	r.beginShutdown()
	var acceptingEnded policy.Time
	waitUntil(t, r.gateway, "a time long after accepting has ended", func(g *Gateway) bool {
		if g.shutdown.acceptingEnds && acceptingEnded == 0 {
			acceptingEnded = g.now()
		}
		return acceptingEnded > 0 && g.now()-acceptingEnded > 3*backlogQuietTime.Microseconds()
	})
	call.replyValue(t, "one")
	c.wantValue("one")
	c.wantClosed()
	c.conn.Close()
	b.nextCommand(t).replyValue(t, "two")
	late.wantValue("two")
	late.wantClosed()
	late.conn.Close()
	wait(t, r.exited, "the gateway's end")
}

// While there is time, the shutdown waits for a client that has not read its whole reply yet.
func TestShutdownWaitsForSlowReaders(t *testing.T) {
	b := newFakeBackend(t)
	cfg := testConfig(t, newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready")), nil)
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(
			func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096) },
		)
	}}
	cfg.Restart.Listen = func(address string) (net.Listener, error) { return small.Listen(context.Background(), "tcp", address) }
	r := startGateway(t, cfg)
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
	c.sendLookup(1, "60000")
	value := strings.Repeat("v", resp.MaxValue)
	b.nextCommand(t).replyValue(t, value)
	waitUntil(
		t,
		r.gateway,
		"the answer",
		func(g *Gateway) bool { return g.requests.open == 0 && g.requests.lastID == 1 },
	)
	r.beginShutdown()
	waitUntil(t, r.gateway, "the end of the connection", func(g *Gateway) bool {
		for conn := range g.clients.conns {
			return g.shutdown.listenerClosed && conn.writeEnded
		}
		t.Error("the connection was removed before its client had read the reply")
		return true
	})
	if pending := onEventLoop(
		t,
		r.gateway,
		func(g *Gateway) int { return g.shutdown.pendingWork(g, g.now()) },
	); pending != 1 {
		t.Errorf("pending work of %d, want 1 for the client that has not read its reply", pending)
	}
	c.wantValue(value)
	c.wantClosed()
	conn.Close()
	wait(t, r.exited, "the gateway's end")
}

// The steps of the shutdown follow from the longest deadline in the settings: SIGKILL comes 0.7 s
// more than this deadline after SIGTERM.
func TestShutdownStepsFollowSettings(t *testing.T) {
	const longest = 400_000
	cfg := testConfig(t, newFakeDiscovery(t), func(f map[string]any) {
		f["settings"] = json.RawMessage(
			strings.ReplaceAll(
				settingsText,
				`"promise-us":10000000`,
				`"promise-us":300000,"hard-limit-us":400000`,
			),
		)
	})
	g, err := newGateway(cfg, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { g.clients.listener.Close() })
	shutdownRequested{}.handle(g)
	at := g.now() + longest + 700_000
	if !g.lifecycle.FailsOpenRequests(at-300_000) || !g.lifecycle.Done(at, 1, 1) {
		t.Error("requests may still be open when SIGKILL comes")
	}
}

// A failed dial to a backend that has since moved or restarted says nothing about the backend's new
// process: the dial is repeated, and the backend does not count as unhealthy.
func TestDialToOldAddressIsRepeated(t *testing.T) {
	for name, change := range map[string]func(old, new *fakeBackend) string{
		"moved": func(old, new *fakeBackend) string { return new.memberJSON("s-00000001", "Ready") },
		"restarted": func(old, new *fakeBackend) string {
			return strings.Replace(old.memberJSON("s-00000001", "Ready"), `"up_since_ms":0`, `"up_since_ms":1000000000000`, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			old, other := newFakeBackend(t), newFakeBackend(t)
			address := old.listener.Addr().String()
			old.listener.Close()
			d := newFakeDiscovery(t, old.memberJSON("s-00000001", "Ready"))
			var dials *heldDials
			r := startGatewayWith(t, testConfig(t, d, func(f map[string]any) {
				withLongDialTimeout(f)
				f["settings"] = json.RawMessage(
					strings.Replace(
						string(f["settings"].(json.RawMessage)),
						`"max-attempts":3`,
						`"max-attempts":1`,
						1,
					),
				)
			}), func(g *Gateway) { dials = holdDials(g) })
			c := r.dialClient(t)
			c.sendLookup(1, "60000")
			wait(t, dials.started, "the dial to the old process")
			d.publish(change(old, other))
			d.awaitWatch(t)
			if name == "restarted" {
				// The first dial is refused; the new process listens before the second one.
				dials.release <- true
				wait(t, dials.started, "another dial")
				l, err := net.Listen("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				other.serveOn(l)
				t.Cleanup(func() { l.Close() })
			}
			close(dials.release)
			other.nextCommand(t).replyValue(t, "ok")
			c.wantValue("ok")
			if n := onEventLoop(
				t,
				r.gateway,
				func(g *Gateway) int { return g.gauges().UnhealthyBackends },
			); n != 0 {
				t.Errorf("%d backends count as unhealthy, want 0", n)
			}
		})
	}
}

// A drain that is announced while attempts wait for their dials ends these attempts at once. They
// do not wait for the end of the dial or for their timeout.
func TestDrainCancelsWaitingAttempts(t *testing.T) {
	b, other := newFakeBackend(t), newFakeBackend(t)
	d := newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready"))
	var dials *heldDials
	r := startGatewayWith(t, testConfig(t, d, withLongDialTimeout), func(g *Gateway) { dials = holdDials(g) })
	c := r.dialClient(t)
	c.sendLookup(1, "60000")
	c.sendLookup(2, "60000")
	for range 2 {
		wait(t, dials.started, "the dials")
	}
	d.publish(b.memberJSON("s-00000001", "Terminating"), other.memberJSON("s-00000002", "Ready"))
	for range 2 {
		if got := wait(t, dials.started, "a dial elsewhere"); got != other.listener.Addr().String() {
			t.Errorf("a dial to %s, want one to the other backend", got)
		}
	}
	close(dials.release)
	for range 2 {
		other.nextCommand(t).replyValue(t, "ok")
	}
	c.wantValue("ok")
	c.wantValue("ok")
	if len(b.commands) > 0 {
		t.Error("a request was sent to a draining backend")
	}
}

// A retry with an idempotency key is not sent if the deduplication window ends while the retry
// waits for its dial: backends may no longer know the key, and could execute the request twice.
func TestRetryIsNotSentAfterDeduplicationWindow(t *testing.T) {
	first, second := newFakeBackend(t), newFakeBackend(t)
	d := newFakeDiscovery(t, first.memberJSON("s-00000001", "Ready"))
	var dials *heldDials
	r := startGatewayWith(t, testConfig(t, d, withLongDialTimeout), func(g *Gateway) { dials = holdDials(g) })
	c := r.dialClient(t)
	c.send(
		"API.WRITE",
		"0000000000000007",
		"0000000000000001",
		"c=order,t=team,d=80000000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0",
		"x",
	)
	wait(t, dials.started, "the first dial")
	dials.release <- true
	call := first.nextCommand(t)
	d.publish(first.memberJSON("s-00000001", "Terminating"), second.memberJSON("s-00000002", "Ready"))
	d.awaitWatch(t)
	call.reply(t, "-ERR failed\r\n") // the request may have been executed
	wait(t, dials.started, "the dial for the retry")
	onEventLoop(t, r.gateway, func(g *Gateway) bool {
		g.clock.wall += 30_000_000 // the deduplication window of the class
		return true
	})
	close(dials.release)
	if got := c.readLine(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("reply %q, want -BUSY", got)
	}
	if len(second.commands) > 0 {
		t.Error("the request was sent again after the deduplication window")
	}
}

// A client sends more commands than its pipeline holds, and disconnects. The commands that waited
// for a pipeline slot are not admitted.
func TestPipelinedCommandsOfDisconnectedClientAreDropped(t *testing.T) {
	g := newUnstartedGateway(t, newFakeDiscovery(t))
	here, there := newConnPair(t)
	g.clients.slots <- struct{}{}
	conn := newClient(here, g.now())
	conn.pipelineSlots = make(chan struct{}, 1) // a pipeline of one command
	g.startClient(conn)
	c := &testClient{t: t, conn: there, in: bufio.NewReader(there)}
	c.writeRaw(strings.Repeat("*1\r\n$4\r\nPING\r\n", 3))
	first := wait(t, g.events, "the first command")
	there.Close()
	for timeout := time.After(waitTimeout); !conn.out.hungUp(); {
		select {
		case <-timeout:
			t.Fatal("timed out waiting for the gateway to notice the close")
		default:
			runtime.Gosched()
		}
	}
	first.handle(g) // frees a slot for another command
	if e, ok := wait(t, g.events, "the next event").(clientDisconnected); !ok {
		t.Fatalf("the next event is %+v, want clientDisconnected", e)
	}
}
