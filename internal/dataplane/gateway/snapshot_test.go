package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"mothcleat/internal/dataplane/policy"
)

// memory stores snapshots in memory.
type memory struct {
	mu     sync.Mutex
	states []policy.Snapshot
	err    error
	stored chan policy.Snapshot
}

func newMemory() *memory { return &memory{stored: make(chan policy.Snapshot, 1024)} }

func (m *memory) Load() (policy.Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.states) == 0 {
		return policy.Snapshot{}, fs.ErrNotExist
	}
	return m.states[len(m.states)-1], nil
}

func (m *memory) Store(s policy.Snapshot, _ bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err == nil {
		m.states = append(m.states, s)
		m.stored <- s
	}
	return m.err
}

// surviving is a configuration with a snapshot store.
func surviving(t testing.TB, d *fakeDiscovery, m *memory) Config {
	cfg := configure(t, d, nil)
	cfg.Restart = Restart{
		Store:            m,
		SnapshotInterval: 50 * time.Millisecond,
		MaxSnapshotAge:   time.Hour,
	}
	return cfg
}

// What a customer consumed before a restart stays consumed, after an orderly shutdown and after a
// crash.
func TestRestartKeepsConsumedUnits(t *testing.T) {
	for _, orderly := range []bool{true, false} {
		m := newMemory()
		b := newBackend(t)
		d := newFakeDiscovery(t, b.entry("s-00000001", "Ready"))
		r := begin(t, surviving(t, d, m))
		c := r.client(t)
		tiny := func(c *testClient, id string) {
			c.send(
				"API.READ",
				"0000000000000009",
				id,
				"c=lookup,t=tiny,d=60000,units=1,spread=1,first=0",
			)
		}
		tiny(c, "0000000000000001") // the whole bucket
		b.next(t).serve(t, "ok")
		c.value("ok")
		if orderly {
			r.stop()
			wait(t, r.ended, "the gateway's end")
			if s, err := m.Load(); err != nil || !s.Last {
				t.Errorf("the last state: %+v, %v", s, err)
			}
		}
		// The other process begins while the first one still runs, as it would after a crash.
		next := begin(t, surviving(t, d, m)).client(t)
		tiny(next, "0000000000000002")
		if got := next.line(); !strings.HasPrefix(got, "-BUSY") {
			t.Errorf("orderly %t: answer %q to a bank that is empty", orderly, got)
		}
	}
}

// A request that nearly spends a customer's reserved units has a snapshot stored at once, not only
// periodically.
func TestDueSnapshotIsStoredFirst(t *testing.T) {
	m := newMemory()
	b := newBackend(t)
	d := newFakeDiscovery(t, b.entry("s-00000001", "Ready"))
	cfg := surviving(t, d, m)
	cfg.Restart.SnapshotInterval = time.Hour
	g, err := newGateway(cfg, quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer g.clients.listener.Close()
	g.backends.updateEndpoints(
		g,
		policy.Complete,
		[]member{{ID: "s-00000001", HostPort: b.listener.Addr().String(), Phase: "Ready"}},
	)
	g.balancer.SnapshotStored(g.balancer.TakeSnapshot(g.now(), false).At)
	g.handle(tooMuch{})
	if len(m.states) != 1 {
		t.Errorf("%d states kept", len(m.states))
	}
}

// tooMuch consumes more than a customer's reserved units.
type tooMuch struct{}

func (tooMuch) handle(g *Gateway) {
	for id := range uint64(3) {
		g.requests.byID[1000+id] = &request{
			id:           1000 + id,
			client:       &client{},
			deadline:     g.now() + 1e6,
			args:         [][]byte{[]byte("API.READ"), nil, nil, []byte("d=1")},
			timeoutField: [2]int{2, 3},
		}
		g.balancer.Request(
			g.now(),
			policy.Request{ID: 1000 + id, Customer: 7, Units: 120, Timeout: 1e6, Spread: 1},
		)
	}
}

// A snapshot that can't be used is logged, and the gateway starts without state.
func TestUnusableSnapshotIsLoggedAndStateIsLost(t *testing.T) {
	for want, m := range map[string]*memory{
		"no snapshot":    newMemory(),
		"version 9":      {states: []policy.Snapshot{{Version: 9}}},
		"other settings": {states: []policy.Snapshot{{Version: policy.SnapshotVersion, Settings: 1}}},
	} {
		var lines bytes.Buffer
		d := newFakeDiscovery(t)
		g, err := newGateway(surviving(t, d, m), slog.New(slog.NewTextHandler(&lines, nil)))
		if err != nil {
			t.Fatal(err)
		}
		g.clients.listener.Close()
		if !strings.Contains(lines.String(), want) ||
			!strings.Contains(lines.String(), "starting without state") {
			t.Errorf("%s: log %q", want, lines.String())
		}
	}
}

// A snapshot store that fails is logged once, and once more when it works again.
func TestFailingSnapshotStoreIsLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	d := newFakeDiscovery(t)
	g, err := newGateway(configure(t, d, nil), slog.New(slog.NewTextHandler(&lines, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer g.clients.listener.Close()
	for _, err := range []error{nil, errors.New("disk full"), errors.New("disk full"), nil} {
		snapshotStored{err, 0}.handle(g)
	}
	if got := lines.String(); strings.Count(got, "can't be stored") != 1 ||
		strings.Count(got, "are stored again") != 1 {
		t.Errorf("log %q", got)
	}
}

// A process that has handed over admits nothing more, answers its open requests, and stores its
// last snapshot at once, as the successor waits for it.
func TestHandoverSignalAnswersOpenRequestsAndEnds(t *testing.T) {
	m := newMemory()
	b := newBackend(t)
	d := newFakeDiscovery(t, b.entry("s-00000001", "Ready"))
	r := begin(t, surviving(t, d, m))
	c, idle := r.client(t), r.client(t)
	c.lookup(1, "60000")
	call := b.next(t)
	idle.send("PING")
	idle.want("+PONG")
	r.gateway.urgent <- handoverSignalled{}
	idle.closed()
	idle.conn.Close()
	for s := wait(t, m.stored, "a state"); !s.Last; s = wait(t, m.stored, "the last state") {
	}
	c.lookup(2, "60000") // rejected, or unread as the connection closes
	call.serve(t, "ok")
	c.value("ok")
	if rest, err := io.ReadAll(
		c.in,
	); err != nil ||
		len(rest) > 0 && !strings.HasPrefix(string(rest), "-BUSY") {
		t.Errorf("after the answer: %q, %v", rest, err)
	}
	c.conn.Close()
	wait(t, r.ended, "the gateway's end")
	if s, _ := m.Load(); !s.Last || len(b.got) > 0 {
		t.Errorf("a state after the last one, or a request sent on: %d", len(b.got))
	}
}

// A successor restores the predecessor's last snapshot, and no older one, before it accepts
// clients.
func TestSuccessorWaitsForLastSnapshot(t *testing.T) {
	m := newMemory()
	b := newBackend(t)
	d := newFakeDiscovery(t, b.entry("s-00000001", "Ready"))
	before := begin(t, surviving(t, d, m))
	c := before.client(t)
	c.send(
		"API.READ",
		"0000000000000009",
		"0000000000000001",
		"c=lookup,t=tiny,d=60000,units=1,spread=1,first=0",
	)
	b.next(t).serve(t, "ok")
	c.value("ok")
	cfg := surviving(t, d, m)
	cfg.Restart.Successor = true
	cfg.Restart.StopPredecessor = func() error {
		before.gateway.urgent <- handoverSignalled{}
		return nil
	}
	next := begin(t, cfg).client(t)
	next.send(
		"API.READ",
		"0000000000000009",
		"0000000000000002",
		"c=lookup,t=tiny,d=60000,units=1,spread=1,first=0",
	)
	if got := next.line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answer %q: the state before was not taken in", got)
	}
}

// A connection that was accepted just before the shutdown is not reset with a request on it: the
// request is answered and the connection closes after that; one without a request closes by itself.
func TestConnectionAcceptedAtCloseIsAnsweredAndClosed(t *testing.T) {
	for _, speaks := range []bool{true, false} {
		g := unstarted(t, newFakeDiscovery(t))
		g.lifecycle.HandOver(false)
		shutdownRequested{}.handle(g)
		here, there := pipe(t)
		g.clients.slots <- struct{}{}
		clientConnected{here}.handle(g)
		g.shutdown.step(g)
		c := &testClient{t: t, conn: there, in: bufio.NewReader(there)}
		if speaks {
			c.lookup(1, "60000")
			wait(t, g.events, "the request").handle(g)
			if got := c.line(); !strings.HasPrefix(got, "-BUSY") {
				t.Fatalf("answer %q", got)
			}
		} else {
			for k := range g.clients.conns {
				k.lastCommand -= 100_000
			}
			g.shutdown.step(g)
		}
		wait(t, g.events, "the end of the reading").handle(g)
		c.closed()
	}
}

// pipe returns both ends of one connection.
func pipe(t testing.TB) (here *net.TCPConn, there net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if there, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); there.Close() })
	_ = there.SetDeadline(time.Now().Add(patience))
	return conn.(*net.TCPConn), there
}
