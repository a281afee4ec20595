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

// memoryStore stores snapshots in memory.
type memoryStore struct {
	mu        sync.Mutex
	snapshots []policy.Snapshot
	err       error                // if not nil, Store fails with it
	stored    chan policy.Snapshot // each snapshot that was stored
}

func newMemoryStore() *memoryStore { return &memoryStore{stored: make(chan policy.Snapshot, 1024)} }

func (m *memoryStore) Load() (policy.Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.snapshots) == 0 {
		return policy.Snapshot{}, fs.ErrNotExist
	}
	return m.snapshots[len(m.snapshots)-1], nil
}

func (m *memoryStore) Store(s policy.Snapshot, _ bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err == nil {
		m.snapshots = append(m.snapshots, s)
		m.stored <- s
	}
	return m.err
}

// configWithStore returns a configuration with a snapshot store.
func configWithStore(t testing.TB, d *fakeDiscovery, m *memoryStore) Config {
	cfg := testConfig(t, d, nil)
	cfg.Restart = Restart{
		Store:            m,
		SnapshotInterval: 50 * time.Millisecond,
		MaxSnapshotAge:   time.Hour,
	}
	return cfg
}

// Units that a customer consumed before a restart remain consumed, after an orderly shutdown as
// well as after a crash.
func TestRestartKeepsConsumedUnits(t *testing.T) {
	for _, orderly := range []bool{true, false} {
		m := newMemoryStore()
		b := newFakeBackend(t)
		d := newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready"))
		r := startGateway(t, configWithStore(t, d, m))
		c := r.dialClient(t)
		tiny := func(c *testClient, id string) {
			c.send(
				"API.READ",
				"0000000000000009",
				id,
				"c=lookup,t=tiny,d=60000,units=1,spread=1,first=0",
			)
		}
		tiny(c, "0000000000000001") // the whole bucket
		b.nextCommand(t).replyValue(t, "ok")
		c.wantValue("ok")
		if orderly {
			r.beginShutdown()
			wait(t, r.exited, "the gateway's end")
			if s, err := m.Load(); err != nil || !s.Last {
				t.Errorf("the last snapshot: %+v, %v", s, err)
			}
		}
		// Without the orderly shutdown, the first process still runs here: it has stored no last
		// snapshot, as after a crash.
		next := startGateway(t, configWithStore(t, d, m)).dialClient(t)
		tiny(next, "0000000000000002")
		if got := next.readLine(); !strings.HasPrefix(got, "-BUSY") {
			t.Errorf("orderly shutdown %t: reply %q though the bucket is empty", orderly, got)
		}
	}
}

// When requests have consumed nearly all units that a customer has reserved, a snapshot is stored
// at once, not only at the end of the interval.
func TestDueSnapshotIsStoredFirst(t *testing.T) {
	m := newMemoryStore()
	b := newFakeBackend(t)
	d := newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready"))
	cfg := configWithStore(t, d, m)
	cfg.Restart.SnapshotInterval = time.Hour
	g, err := newGateway(cfg, discardLogger())
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
	g.handle(consumeReservedUnits{})
	if len(m.snapshots) != 1 {
		t.Errorf("%d snapshots were stored, want 1", len(m.snapshots))
	}
}

// consumeReservedUnits is an event that consumes more units than a customer has reserved.
type consumeReservedUnits struct{}

func (consumeReservedUnits) handle(g *Gateway) {
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

// If there is no usable snapshot, the reason is logged and the gateway starts without state.
func TestUnusableSnapshotIsLoggedAndStateIsLost(t *testing.T) {
	for want, m := range map[string]*memoryStore{
		"no snapshot":    newMemoryStore(),
		"version 9":      {snapshots: []policy.Snapshot{{Version: 9}}},
		"other settings": {snapshots: []policy.Snapshot{{Version: policy.SnapshotVersion, Settings: 1}}},
	} {
		var lines bytes.Buffer
		d := newFakeDiscovery(t)
		g, err := newGateway(configWithStore(t, d, m), slog.New(slog.NewTextHandler(&lines, nil)))
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

// Repeated failures to store snapshots are logged once, and so is the first success after them.
func TestFailingSnapshotStoreIsLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	d := newFakeDiscovery(t)
	g, err := newGateway(testConfig(t, d, nil), slog.New(slog.NewTextHandler(&lines, nil)))
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

// A process that is signalled to hand over admits no more requests and answers its open ones. It
// stores its last snapshot at once, because the successor waits for it.
func TestHandoverSignalAnswersOpenRequestsAndEnds(t *testing.T) {
	m := newMemoryStore()
	b := newFakeBackend(t)
	d := newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready"))
	r := startGateway(t, configWithStore(t, d, m))
	c, idle := r.dialClient(t), r.dialClient(t)
	c.sendLookup(1, "60000")
	call := b.nextCommand(t)
	idle.send("PING")
	idle.wantLine("+PONG")
	r.gateway.urgent <- handoverSignalled{}
	idle.wantClosed()
	idle.conn.Close()
	for s := wait(t, m.stored, "a snapshot"); !s.Last; s = wait(t, m.stored, "the last snapshot") {
	}
	c.sendLookup(2, "60000") // rejected, or not read because the connection closes
	call.replyValue(t, "ok")
	c.wantValue("ok")
	if rest, err := io.ReadAll(
		c.in,
	); err != nil ||
		len(rest) > 0 && !strings.HasPrefix(string(rest), "-BUSY") {
		t.Errorf("after the reply: %q, %v", rest, err)
	}
	c.conn.Close()
	wait(t, r.exited, "the gateway's end")
	if s, _ := m.Load(); !s.Last || len(b.commands) > 0 {
		t.Errorf("newest snapshot is the last one: %t, want true; %d requests sent, want 0", s.Last, len(b.commands))
	}
}

// A successor restores the predecessor's last snapshot, and no older one, before it accepts
// clients.
func TestSuccessorWaitsForLastSnapshot(t *testing.T) {
	m := newMemoryStore()
	b := newFakeBackend(t)
	d := newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready"))
	predecessor := startGateway(t, configWithStore(t, d, m))
	c := predecessor.dialClient(t)
	c.send(
		"API.READ",
		"0000000000000009",
		"0000000000000001",
		"c=lookup,t=tiny,d=60000,units=1,spread=1,first=0",
	)
	b.nextCommand(t).replyValue(t, "ok")
	c.wantValue("ok")
	cfg := configWithStore(t, d, m)
	cfg.Restart.Successor = true
	cfg.Restart.StopPredecessor = func() error {
		predecessor.gateway.urgent <- handoverSignalled{}
		return nil
	}
	next := startGateway(t, cfg).dialClient(t)
	next.send(
		"API.READ",
		"0000000000000009",
		"0000000000000002",
		"c=lookup,t=tiny,d=60000,units=1,spread=1,first=0",
	)
	if got := next.readLine(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("reply %q, want -BUSY: the last snapshot was not restored", got)
	}
}

// A connection that was accepted just before the shutdown is not reset while a request is on its
// way: the request is answered, and then the connection closes. A connection without a request
// closes after a short time.
func TestConnectionAcceptedAtCloseIsAnsweredAndClosed(t *testing.T) {
	for _, sendsRequest := range []bool{true, false} {
		g := newUnstartedGateway(t, newFakeDiscovery(t))
		g.lifecycle.HandOver(false)
		shutdownRequested{}.handle(g)
		here, there := newConnPair(t)
		g.clients.slots <- struct{}{}
		clientConnected{here}.handle(g)
		g.shutdown.step(g)
		c := &testClient{t: t, conn: there, in: bufio.NewReader(there)}
		if sendsRequest {
			c.sendLookup(1, "60000")
			wait(t, g.events, "the request").handle(g)
			if got := c.readLine(); !strings.HasPrefix(got, "-BUSY") {
				t.Fatalf("reply %q, want -BUSY", got)
			}
		} else {
			for conn := range g.clients.conns {
				conn.lastCommand -= 100_000
			}
			g.shutdown.step(g)
		}
		wait(t, g.events, "the end of the reader").handle(g)
		c.wantClosed()
	}
}

// newConnPair returns both ends of a TCP connection.
func newConnPair(t testing.TB) (here *net.TCPConn, there net.Conn) {
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
	_ = there.SetDeadline(time.Now().Add(waitTimeout))
	return conn.(*net.TCPConn), there
}
