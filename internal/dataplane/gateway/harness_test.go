package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mothcleat/internal/dataplane/resp"
)

// patience bounds every wait for an event; it says nothing about its speed.
const patience = 30 * time.Second

// fakeBackend answers commands as the test says.
type fakeBackend struct {
	listener net.Listener
	got      chan *backendCall
	ended    chan error // how each connection ended
}

// backendCall is a command that a backend has received completely.
type backendCall struct {
	args [][]byte
	conn net.Conn
}

func (c *backendCall) answer(t testing.TB, text string) {
	t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		t.Error(err)
	}
}

func (c *backendCall) serve(t testing.TB, value string) {
	t.Helper()
	c.answer(t, fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value))
}

func newBackend(t testing.TB) *fakeBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &fakeBackend{
		listener: l,
		got:      make(chan *backendCall, 1024),
		ended:    make(chan error, 1024),
	}
	t.Cleanup(func() { l.Close() })
	b.serveOn(l)
	return b
}

// serveOn reads commands from connections of a listener.
func (b *fakeBackend) serveOn(l net.Listener) {
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				in := resp.NewReader(conn)
				for {
					args, err := in.ReadCommand()
					if err != nil {
						conn.Close()
						b.ended <- err
						return
					}
					b.got <- &backendCall{args, conn}
				}
			}()
		}
	}()
}

func (b *fakeBackend) entry(id, phase string) string {
	return fmt.Sprintf(
		`{"id":%q,"host_port":%q,"locality":"a","cell":1,"phase":%q,"size":1,"up_since_ms":0}`,
		id,
		b.listener.Addr().String(),
		phase,
	)
}

// next waits for a command.
func (b *fakeBackend) next(t testing.TB) *backendCall {
	t.Helper()
	return wait(t, b.got, "a command at the backend")
}

func wait[T any](t testing.TB, from <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(patience):
		t.Fatal("timed out waiting for ", what)
		panic("unreachable")
	}
}

// fakeDiscovery serves a list of members and each change that the test makes.
type fakeDiscovery struct {
	*httptest.Server
	mu       sync.Mutex
	revision int
	list     string
	changed  chan struct{}
	calls    chan string
}

func newFakeDiscovery(t testing.TB, entries ...string) *fakeDiscovery {
	d := &fakeDiscovery{changed: make(chan struct{}), calls: make(chan string, 1024)}
	d.tell(entries...)
	d.Server = httptest.NewServer(d)
	t.Cleanup(func() { d.CloseClientConnections(); d.Close() })
	return d
}

func (d *fakeDiscovery) tell(entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.list = strings.Join(entries, ",")
	close(d.changed)
	d.changed = make(chan struct{})
}

// settled waits until the gateway watches from the last change on: it has then read that change,
// and applies it ahead of what it reads later. Which change is the last is looked up at each call,
// as another may be made meanwhile. The bound is on all calls together, as a gateway that never
// settles goes on calling.
func (d *fakeDiscovery) settled(t testing.TB) {
	t.Helper()
	for late := time.After(patience); ; {
		select {
		case call := <-d.calls:
			d.mu.Lock()
			want := fmt.Sprintf("index=%d&", d.revision)
			d.mu.Unlock()
			if strings.HasPrefix(call, want) {
				return
			}
		case <-late:
			t.Fatal("timed out waiting for a watch from the last change on")
		}
	}
}

func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case d.calls <- r.URL.RawQuery:
	default:
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	over := time.After(time.Duration(ms) * time.Millisecond)
	for {
		d.mu.Lock()
		revision, list, changed := d.revision, d.list, d.changed
		d.mu.Unlock()
		if index := r.URL.Query().Get("index"); index == "" || index != fmt.Sprint(revision) {
			fmt.Fprintf(
				w,
				`{"revision":%d,"complete":%t,"members":[%s]}`,
				revision,
				index == "",
				list,
			)
			return
		}
		select {
		case <-changed:
		case <-over:
			fmt.Fprintf(w, `{"revision":%d,"complete":false,"members":[]}`, revision)
			return
		case <-r.Context().Done():
			return
		}
	}
}

const settingsText = `{"self-index":0,"balancers":1,"az":0,"granularity-us":4000,"localities":["a"],
 "ceilings":{"peers":false,"probes":false,"second-copies":true,"retry-after":true,"max-attempts":3,
  "max-retry-after-us":2000000,"max-open":20000,"dial-timeout-us":250000,"idle-close-us":30000000},
 "family-info":{"counter":false,"settles":false,"counter-timeout-us":50000},
 "guarantees":{"cold-from":0.15,"cold-us":16000000,"tip-after-us":1000000},
 "membership-mode":"pushed","weights":"silent","report":{"names":[],"via":"silent"},
 "request-classes":[
  {"name":"lookup","promise-us":10000000,"repeat":"retryable","group":"all","window-us":0,"worth":1},
  {"name":"order","promise-us":10000000,"repeat":"dedup","group":"all","window-us":30000000,"worth":3},
  {"name":"once","promise-us":10000000,"repeat":"fragile","group":"all","window-us":0,"worth":3}],
 "tariffs":[{"name":"team","rate":1000,"burst":1000,"value-factor":1},
  {"name":"tiny","rate":0.1,"burst":1,"value-factor":1}]}`

// quiet returns a log that discards everything.
func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// rig is a gateway between fakes.
type rig struct {
	addr    string
	gateway *Gateway
	reload  chan struct{}
	configs chan func() (Config, error) // what the next reload reads
	once    sync.Once
	stopped chan struct{}
	ended   chan struct{}
}

// halt ends the event loop at once. A planned shutdown takes half a second at least: only the tests
// that are about it wait for one.
type halt struct{}

func (halt) handle(g *Gateway) { g.done = true }

// stop begins a planned shutdown.
func (r *rig) stop() { r.once.Do(func() { close(r.stopped) }) }

// reloads has the gateway read another configuration, or fail to read it.
func (r *rig) reloads(cfg Config, err error) {
	r.configs <- func() (Config, error) { return cfg, err }
	r.reload <- struct{}{}
}

// configure returns the configuration of a gateway with a fake discovery.
func configure(t testing.TB, d *fakeDiscovery, change func(map[string]any)) Config {
	t.Helper()
	f := map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": strings.TrimPrefix(d.URL, "http://"),
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"memory_mb": 192, "sockets": 1024},
		"settings": json.RawMessage(settingsText),
	}
	if change != nil {
		change(f)
	}
	raw, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := ParseConfig(raw)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// unstarted returns a gateway whose event loop the test runs by hand.
func unstarted(t testing.TB, d *fakeDiscovery) *Gateway {
	t.Helper()
	g, err := newGateway(configure(t, d, nil), quiet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { g.clients.listener.Close() })
	return g
}

// begin starts a gateway and waits until it is ready.
func begin(t testing.TB, cfg Config) *rig { return beginWith(t, cfg, func(*Gateway) {}) }

// beginWith is begin, after a function has prepared the gateway.
func beginWith(t testing.TB, cfg Config, prepare func(*Gateway)) *rig {
	t.Helper()
	g, err := newGateway(cfg, quiet())
	if err != nil {
		t.Fatal(err)
	}
	prepare(g)
	r := &rig{
		addr:    g.clients.listener.Addr().String(),
		gateway: g,
		stopped: make(chan struct{}),
		ended:   make(chan struct{}),
		reload:  make(chan struct{}),
		configs: make(chan func() (Config, error), 1),
	}
	control := Control{
		Stop:       r.stopped,
		Reload:     r.reload,
		ReadConfig: func() (Config, error) { return (<-r.configs)() },
	}
	go func() { g.serve(control); close(r.ended) }()
	t.Cleanup(func() {
		select {
		case g.urgent <- halt{}:
		case <-r.ended:
		case <-time.After(patience):
		}
		select {
		case <-r.ended:
		case <-time.After(patience):
			t.Error("the gateway did not end")
		}
	})
	c := r.client(t)
	c.send("PING")
	c.want("+PONG")
	c.conn.Close()
	return r
}

// testClient is a client's connection.
type testClient struct {
	t    testing.TB
	conn net.Conn
	in   *bufio.Reader
}

func (r *rig) client(t testing.TB) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(2 * patience))
	return &testClient{t, conn, bufio.NewReader(conn)}
}

func (c *testClient) raw(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *testClient) send(args ...string) {
	c.t.Helper()
	b := resp.AppendArray(nil, len(args))
	for _, a := range args {
		b = resp.AppendBulk(b, []byte(a))
	}
	c.raw(string(b))
}

// lookup sends an idempotent request.
func (c *testClient) lookup(id int, wait string) {
	c.t.Helper()
	c.send(
		"API.READ",
		"0000000000000007",
		fmt.Sprintf("%016x", id),
		"c=lookup,t=team,d="+wait+",units=1,spread=1,first=0",
	)
}

// line reads one line.
func (c *testClient) line() string {
	c.t.Helper()
	s, err := c.in.ReadString('\n')
	if err != nil {
		c.t.Fatal("reading an answer: ", err)
	}
	return strings.TrimSuffix(s, "\r\n")
}

func (c *testClient) want(line string) {
	c.t.Helper()
	if got := c.line(); got != line {
		c.t.Fatalf("answer %q, want %q", got, line)
	}
}

// value reads a bulk string.
func (c *testClient) value(want string) {
	c.t.Helper()
	c.want(fmt.Sprintf("$%d", len(want)))
	c.want(want)
}

// closed waits until the gateway has ended the connection.
func (c *testClient) closed() {
	c.t.Helper()
	if b, err := io.ReadAll(c.in); err != nil || len(b) > 0 {
		c.t.Fatalf("end of the connection: %q, %v", b, err)
	}
}

// ended waits until the gateway has cut the connection off, in whatever way.
func (c *testClient) ended() {
	c.t.Helper()
	if b, _ := io.ReadAll(c.in); len(b) > 0 {
		c.t.Fatalf("end of the connection: %q", b)
	}
}
