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

// waitTimeout bounds every wait for an event. It is no requirement on how soon the event comes.
const waitTimeout = 30 * time.Second

// fakeBackend is a backend that passes the commands it receives to the test, which replies to them.
type fakeBackend struct {
	listener    net.Listener
	commands    chan *backendCall
	disconnects chan error // the read error that ended each connection
	// markers receives the SELECT commands, which the test then answers; nil: they are answered at
	// once.
	markers chan *backendCall
}

// backendCall is a command that a backend has received completely.
type backendCall struct {
	args [][]byte
	conn net.Conn
}

// reply sends text to the gateway as it is.
func (c *backendCall) reply(t testing.TB, text string) {
	t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		t.Error(err)
	}
}

// replyValue replies with a value, without a load report or a usage figure.
func (c *backendCall) replyValue(t testing.TB, value string) {
	t.Helper()
	c.reply(t, fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value))
}

// newFakeBackend starts a backend on the loopback interface.
func newFakeBackend(t testing.TB) *fakeBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &fakeBackend{
		listener:    l,
		commands:    make(chan *backendCall, 1024),
		disconnects: make(chan error, 1024),
	}
	t.Cleanup(func() { l.Close() })
	b.serveOn(l)
	return b
}

// serveOn accepts connections of a listener and reads commands from them, in the background.
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
						b.disconnects <- err
						return
					}
					call := &backendCall{args, conn}
					if string(args[0]) == "SELECT" {
						b.receiveMarker(call)
						continue
					}
					b.commands <- call
				}
			}()
		}
	}()
}

// receiveMarker answers a SELECT command, or passes it to the test.
func (b *fakeBackend) receiveMarker(call *backendCall) {
	if b.markers != nil {
		b.markers <- call
		return
	}
	_, _ = io.WriteString(call.conn, "+OK\r\n")
}

// memberJSON returns the backend's entry in discovery's list of members.
func (b *fakeBackend) memberJSON(id, phase string) string {
	return fmt.Sprintf(
		`{"id":%q,"host_port":%q,"locality":"a","cell":1,"phase":%q,"size":1,"up_since_ms":0}`,
		id,
		b.listener.Addr().String(),
		phase,
	)
}

// nextCommand waits for the next command that the backend receives.
func (b *fakeBackend) nextCommand(t testing.TB) *backendCall {
	t.Helper()
	return wait(t, b.commands, "a command at the backend")
}

// wait returns the next value of a channel; what names it in the failure message.
func wait[T any](t testing.TB, from <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(waitTimeout):
		t.Fatal("timed out waiting for ", what)
		panic("unreachable")
	}
}

// fakeDiscovery is a discovery service: it serves a list of members and each list that the test
// publishes.
type fakeDiscovery struct {
	*httptest.Server
	mu       sync.Mutex
	revision int
	list     string        // the members, as JSON
	changed  chan struct{} // closed by the next publish
	calls    chan string   // the query string of each call
}

// newFakeDiscovery starts a discovery service with a first list of members.
func newFakeDiscovery(t testing.TB, entries ...string) *fakeDiscovery {
	d := &fakeDiscovery{changed: make(chan struct{}), calls: make(chan string, 1024)}
	d.publish(entries...)
	d.Server = httptest.NewServer(d)
	t.Cleanup(func() { d.CloseClientConnections(); d.Close() })
	return d
}

// publish replaces the list of members and increases the revision.
func (d *fakeDiscovery) publish(entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.list = strings.Join(entries, ",")
	close(d.changed)
	d.changed = make(chan struct{})
}

// awaitWatch waits until the gateway starts a watch from the newest revision. The gateway has then
// read that revision, and applies it before anything that it reads later. The newest revision is
// looked up at each call, because the test may publish another one meanwhile. The timeout covers
// all calls together, because a gateway that never reaches that revision keeps calling.
func (d *fakeDiscovery) awaitWatch(t testing.TB) {
	t.Helper()
	for timeout := time.After(waitTimeout); ; {
		select {
		case call := <-d.calls:
			d.mu.Lock()
			want := fmt.Sprintf("index=%d&", d.revision)
			d.mu.Unlock()
			if strings.HasPrefix(call, want) {
				return
			}
		case <-timeout:
			t.Fatal("timed out waiting for a watch from the newest revision")
		}
	}
}

func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case d.calls <- r.URL.RawQuery:
	default:
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	expired := time.After(time.Duration(ms) * time.Millisecond)
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
		case <-expired:
			fmt.Fprintf(w, `{"revision":%d,"complete":false,"members":[]}`, revision)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// settingsText are the balancer's settings in the tests' configuration.
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

// discardLogger returns a logger that discards everything.
func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// testGateway is a running gateway with a fake discovery and fake backends.
type testGateway struct {
	addr          string // of the client listener
	gateway       *Gateway
	reload        chan struct{}               // a value triggers a reload
	configs       chan func() (Config, error) // returns what the next reload reads
	once          sync.Once                   // closes stopRequested
	stopRequested chan struct{}               // closed to begin a planned shutdown
	exited        chan struct{}               // closed when the event loop has ended
}

// stopEventLoop ends the event loop at once. A planned shutdown takes at least half a second, so
// only the tests of the shutdown wait for one.
type stopEventLoop struct{}

func (stopEventLoop) handle(g *Gateway) { g.done = true }

// beginShutdown begins a planned shutdown.
func (r *testGateway) beginShutdown() { r.once.Do(func() { close(r.stopRequested) }) }

// reloadWith makes the gateway reload; reading the configuration returns cfg and err.
func (r *testGateway) reloadWith(cfg Config, err error) {
	r.configs <- func() (Config, error) { return cfg, err }
	r.reload <- struct{}{}
}

// testConfig returns the configuration of a gateway that uses a fake discovery. change, if not nil,
// edits it before it is parsed.
func testConfig(t testing.TB, d *fakeDiscovery, change func(map[string]any)) Config {
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

// newUnstartedGateway returns a gateway whose event loop does not run: the test handles the events.
func newUnstartedGateway(t testing.TB, d *fakeDiscovery) *Gateway {
	t.Helper()
	g, err := newGateway(testConfig(t, d, nil), discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { g.clients.listener.Close() })
	return g
}

// startGateway starts a gateway and waits until it answers PING. The gateway ends with the test.
func startGateway(t testing.TB, cfg Config) *testGateway {
	return startGatewayWith(t, cfg, func(*Gateway) {})
}

// startGatewayWith is startGateway; prepare changes the gateway before its event loop starts.
func startGatewayWith(t testing.TB, cfg Config, prepare func(*Gateway)) *testGateway {
	t.Helper()
	g, err := newGateway(cfg, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	prepare(g)
	r := &testGateway{
		addr:          g.clients.listener.Addr().String(),
		gateway:       g,
		stopRequested: make(chan struct{}),
		exited:        make(chan struct{}),
		reload:        make(chan struct{}),
		configs:       make(chan func() (Config, error), 1),
	}
	control := Control{
		Stop:       r.stopRequested,
		Reload:     r.reload,
		ReadConfig: func() (Config, error) { return (<-r.configs)() },
	}
	go func() { g.serve(control); close(r.exited) }()
	t.Cleanup(func() {
		select {
		case g.urgent <- stopEventLoop{}:
		case <-r.exited:
		case <-time.After(waitTimeout):
		}
		select {
		case <-r.exited:
		case <-time.After(waitTimeout):
			t.Error("the gateway's event loop did not end")
		}
	})
	c := r.dialClient(t)
	c.send("PING")
	c.wantLine("+PONG")
	c.conn.Close()
	return r
}

// testClient is the client's side of a connection to a gateway.
type testClient struct {
	t    testing.TB
	conn net.Conn
	in   *bufio.Reader
}

// dialClient connects a new client to the gateway.
func (r *testGateway) dialClient(t testing.TB) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(2 * waitTimeout))
	return &testClient{t, conn, bufio.NewReader(conn)}
}

// writeRaw sends text as it is.
func (c *testClient) writeRaw(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// send sends a command in its RESP2 encoding.
func (c *testClient) send(args ...string) {
	c.t.Helper()
	b := resp.AppendArray(nil, len(args))
	for _, a := range args {
		b = resp.AppendBulk(b, []byte(a))
	}
	c.writeRaw(string(b))
}

// sendLookup sends an idempotent request of class lookup with a timeout in milliseconds.
func (c *testClient) sendLookup(id int, timeoutMS string) {
	c.t.Helper()
	c.send(
		"API.READ",
		"0000000000000007",
		fmt.Sprintf("%016x", id),
		"c=lookup,t=team,d="+timeoutMS+",units=1,spread=1,first=0",
	)
}

// readLine reads one line of a reply, without its line break.
func (c *testClient) readLine() string {
	c.t.Helper()
	s, err := c.in.ReadString('\n')
	if err != nil {
		c.t.Fatal("reading a reply: ", err)
	}
	return strings.TrimSuffix(s, "\r\n")
}

// wantLine reads one line of a reply and compares it.
func (c *testClient) wantLine(line string) {
	c.t.Helper()
	if got := c.readLine(); got != line {
		c.t.Fatalf("reply %q, want %q", got, line)
	}
}

// wantValue reads a bulk string and compares it.
func (c *testClient) wantValue(want string) {
	c.t.Helper()
	c.wantLine(fmt.Sprintf("$%d", len(want)))
	c.wantLine(want)
}

// wantClosed waits until the gateway closes the connection, with an orderly end and no more data.
func (c *testClient) wantClosed() {
	c.t.Helper()
	if b, err := io.ReadAll(c.in); err != nil || len(b) > 0 {
		c.t.Fatalf("before the end of the connection: %q, %v; want no data and no error", b, err)
	}
}

// wantDisconnected waits until the connection ends, by a close or a reset, without more data.
func (c *testClient) wantDisconnected() {
	c.t.Helper()
	if b, _ := io.ReadAll(c.in); len(b) > 0 {
		c.t.Fatalf("before the end of the connection: %q, want no data", b)
	}
}
