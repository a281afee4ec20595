package gateway

import (
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

	"mothcleat/internal/resp"
)

// heldDials are dials of a gateway that come up when a test lets them.
type heldDials struct {
	begun chan string // their addresses
	goOn  chan bool   // a value for each; closed: no more are held
}

func holdDials(l *Loop) *heldDials {
	h := &heldDials{begun: make(chan string, 64), goOn: make(chan bool)}
	l.backends.dial.Control = func(_, address string, _ syscall.RawConn) error {
		h.begun <- address
		<-h.goOn
		return nil
	}
	return h
}

// slowDials are settings under which a dial may take as long as a test holds it.
func slowDials(f map[string]any) {
	f["settings"] = json.RawMessage(strings.Replace(settingsText, `"dial-timeout-us":250000`, `"dial-timeout-us":60000000`, 1))
}

// ask has the loop tell something, and waits for it.
func ask[T any](t testing.TB, l *Loop, f func(*Loop) T) T {
	t.Helper()
	answer := make(chan T, 1)
	l.post(inspect(func(l *Loop) { answer <- f(l) }))
	return wait(t, answer, "the loop")
}

// until waits for the loop to be as a test wants it: each look is an event of its own, behind all that
// was queued before it.
func until(t testing.TB, l *Loop, what string, f func(*Loop) bool) {
	t.Helper()
	for late := time.After(patience); !ask(t, l, f); {
		select {
		case <-late:
			t.Fatal("timed out waiting for ", what)
		default:
			runtime.Gosched()
		}
	}
}

// A request whose client has left while its attempt waited for a connection is not sent on when that
// comes up: the first command on it is the next client's.
func TestWhoHasLeftIsNotSentOn(t *testing.T) {
	for name, leave := range map[string]func(c *testClient){
		"closed": func(c *testClient) { c.conn.Close() },
		"reset":  func(c *testClient) { _ = c.conn.(*net.TCPConn).SetLinger(0); c.conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t)
			var dials *heldDials
			r := beginWith(t, configure(t, newFakeDiscovery(t, b.entry("s-00000001", "Ready")), slowDials), func(l *Loop) { dials = holdDials(l) })
			gone, other := r.client(t), r.client(t)
			gone.lookup(1, "60000")
			wait(t, dials.begun, "the first dial")
			other.lookup(2, "60000")
			wait(t, dials.begun, "the second dial")
			leave(gone)
			until(t, r.loop, "the client's leaving", func(l *Loop) bool { return l.open == 1 })
			if waiting := ask(t, r.loop, func(l *Loop) int { return len(l.backends.byNumber[1].waiting) }); waiting != 1 {
				t.Errorf("%d attempts wait, one is wanted", waiting)
			}
			close(dials.goOn)
			call := b.next(t)
			if got := string(call.args[2]); got != fmt.Sprintf("%016x", 2) {
				t.Fatalf("request %s was sent on, its client has left", got)
			}
			call.serve(t, "ok")
			other.value("ok")
			if n := ask(t, r.loop, func(l *Loop) int { return len(l.requests) }); n != 0 || len(b.got) > 0 {
				t.Errorf("%d requests in the table, %d commands more at the backend", n, len(b.got))
			}
		})
	}
}

// deaf is a backend that reads nothing until a test lets it, on sockets that hold little.
type deaf struct {
	listener net.Listener
	conns    chan *net.TCPConn
}

func newDeaf(t testing.TB) *deaf {
	t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
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

// smallSends has a gateway's connections to backends hold little.
func smallSends(l *Loop) {
	l.backends.dial.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096) })
	}
}

// The last byte of a request that is only partly written does not come once its client has left: a
// backend begins a command with that byte.
func TestPartlyWrittenIsCutOffWithItsClient(t *testing.T) {
	b := newDeaf(t)
	entry := fmt.Sprintf(`{"id":"s-00000001","host_port":%q,"phase":"Ready","size":1}`, b.listener.Addr())
	r := beginWith(t, configure(t, newFakeDiscovery(t, entry), nil), smallSends)
	c := r.client(t)
	c.send("API.READ", "0000000000000007", "0000000000000001", "c=lookup,t=team,d=60000,units=1,spread=1,first=0", strings.Repeat("x", resp.MaxValue))
	conn := wait(t, b.conns, "a connection")
	defer conn.Close()
	until(t, r.loop, "the partly written request", func(l *Loop) bool {
		b := l.backends.byNumber[1]
		return len(l.requests) == 1 && b.dialing == 0 && len(b.waiting) == 0 && l.tally.Sends.Load() == 0
	})
	c.conn.Close()
	until(t, r.loop, "the client's leaving", func(l *Loop) bool { return l.open == 0 })
	if args, err := resp.NewReader(conn).ReadCommand(); err == nil {
		t.Fatalf("a command of %d values came whole, its client had left", len(args))
	} else if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal("nothing was begun: the test shows nothing")
	}
}
