package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

// oneBackend starts a gateway with one backend that is ready.
func oneBackend(t *testing.T, change func(map[string]any)) (*rig, *fakeBackend, *fakeDiscovery) {
	t.Helper()
	b := newBackend(t)
	d := newFakeDiscovery(t, b.entry("s-00000001", "Ready"))
	return begin(t, configure(t, d, change)), b, d
}

// fourBackends does the same with four ids at one address: the balancer then has more requests in
// flight at once.
func fourBackends(t *testing.T, sockets int) (*rig, *fakeBackend) {
	t.Helper()
	b := newBackend(t)
	var entries []string
	for i := range 4 {
		entries = append(entries, b.entry(fmt.Sprintf("s-0000000%d", i), "Ready"))
	}
	d := newFakeDiscovery(t, entries...)
	return begin(t, configure(t, d, func(f map[string]any) {
		f["limits"] = map[string]any{"memory_mb": 192, "sockets": sockets}
	})), b
}

func TestServesAndForwardsUnchanged(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c := r.client(t)
	c.send("API.WRITE", "0000000000000007", "9b1f03aa5c7e2d41",
		"c=order,t=team,d=60000,k=5c0f6e1a2b3d4c59,units=2,spread=1,first=0", "BODY")
	call := b.next(t)
	if got := string(call.args[3]); !strings.HasPrefix(got, "c=order,t=team,d=59") ||
		!strings.HasSuffix(got, ",k=5c0f6e1a2b3d4c59,units=2,spread=1,first=0") {
		t.Errorf("fields %q", got)
	}
	if string(call.args[0]) != "API.WRITE" || string(call.args[1]) != "0000000000000007" ||
		string(call.args[2]) != "9b1f03aa5c7e2d41" || string(call.args[4]) != "BODY" {
		t.Errorf("command %q", call.args)
	}
	call.serve(t, "value")
	c.value("value")
}

// Answers are in the order of the commands though backends answer in another, and commands are read
// while answers are pending.
func TestPipelinedAnswersKeepTheirOrder(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c := r.client(t)
	c.lookup(1, "60000")
	first := b.next(t)
	c.lookup(2, "60000")
	second := b.next(t) // read although the first has no answer
	c.send("PING")
	second.serve(t, "second")
	c.lookup(3, "60000")
	b.next(t).serve(t, "third") // the second is answered in the gateway by now
	first.serve(t, "first")
	c.value("first")
	c.value("second")
	c.want("+PONG")
	c.value("third")
}

func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		again        bool // a lookup may be retried after it
	}{
		{"error", "-ERR failed\r\n", true},
		{"turned away", "-BUSY\r\n", true},
		{"no value", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", true},
		{"connection ends", "", true},
		{"broken answer", "?\r\n", true},
		{"served", "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, b, _ := oneBackend(t, nil)
			client := r.client(t)
			client.lookup(1, "60000")
			call := b.next(t)
			if c.answer == "" {
				call.conn.Close()
			} else {
				call.answer(t, c.answer)
			}
			if c.again {
				b.next(t).serve(t, "ok")
			}
			client.value("ok")
		})
	}
}

// A request that may have been executed and must not be executed twice is neither retried nor
// rejected: it fails.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	for name, end := range map[string]func(*backendCall){
		"reset": func(c *backendCall) { c.conn.Close() },
		"error": func(c *backendCall) { _, _ = c.conn.Write([]byte("-ERR failed\r\n")) },
	} {
		t.Run(name, func(t *testing.T) {
			r, b, _ := oneBackend(t, nil)
			c := r.client(t)
			c.send(
				"API.WRITE",
				"0000000000000007",
				"0000000000000001",
				"c=once,t=team,d=60000,units=1,spread=1,first=0",
				"x",
			)
			end(b.next(t))
			c.want("-ERR failed")
			if len(b.got) > 0 {
				t.Error("sent again")
			}
		})
	}
}

// A non-idempotent request that the backend rejected was not executed, and is retried.
func TestBusyAnswerIsRetried(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c := r.client(t)
	c.send(
		"API.WRITE",
		"0000000000000007",
		"0000000000000001",
		"c=once,t=team,d=60000,units=1,spread=1,first=0",
		"x",
	)
	b.next(t).answer(t, "-BUSY\r\n")
	b.next(t).serve(t, "ok")
	c.value("ok")
}

// A backend at whose address nothing listens has executed nothing.
func TestRefusedConnectionIsRejectedAsNotExecuted(t *testing.T) {
	b := newBackend(t)
	b.listener.Close()
	d := newFakeDiscovery(t, b.entry("s-00000001", "Ready"))
	c := begin(t, configure(t, d, nil)).client(t)
	c.send(
		"API.WRITE",
		"0000000000000007",
		"0000000000000001",
		"c=once,t=team,d=60000,units=1,spread=1,first=0",
		"x",
	)
	if got := c.line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answer %q: a refusal was owed", got)
	}
}

// A silent backend delays no request beyond its deadline, and its later answer reaches nobody.
func TestAnswersBeforeTheDeadline(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c := r.client(t)
	c.lookup(1, "300")
	late := b.next(t)
	if got := c.line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answer %q", got)
	}
	_, _ = late.conn.Write([]byte("*3\r\n$4\r\nlate\r\n$-1\r\n$-1\r\n"))
	c.lookup(2, "60000")
	b.next(t).serve(t, "second")
	c.value("second")
}

// A rejection comes at once and says when to retry.
func TestRejectionIsPromptWithRetryAfter(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c := r.client(t)
	ask := func(id int) {
		c.send(
			"API.READ",
			"0000000000000009",
			fmt.Sprintf("%016x", id),
			"c=lookup,t=tiny,d=86400000,units=1,spread=1,first=0",
		)
	}
	ask(1)
	call := b.next(t)
	call.serve(t, "ok")
	c.value("ok")
	ask(2) // the bucket holds 1 unit, and refills in a day
	if got := c.line(); got != "-BUSY 2000" {
		t.Errorf("answer %q", got)
	}
}

// An invalid command is answered once and reaches no backend.
func TestInvalidCommands(t *testing.T) {
	r, b, _ := oneBackend(t, func(f map[string]any) {
		text := strings.Replace(settingsText, `"counter":false`, `"counter":false,"max-units":4`, 1)
		f["settings"] = json.RawMessage(
			strings.Replace(text, `"name":"lookup"`, `"name":"lookup","hard-limit-us":60000000`, 1),
		)
	})
	const id, customer = "0000000000000001", "0000000000000007"
	good := "c=lookup,t=team,d=60000,units=1,spread=1,first=0"
	for name, args := range map[string][]string{
		"unknown command":  {"GET", "x"},
		"no fields":        {"API.READ", customer, id},
		"too many":         {"API.READ", customer, id, good, "body", "more"},
		"customer":         {"API.READ", "7", id, good},
		"customer's range": {"API.READ", "0000000200000000", id, good},
		"id":               {"API.READ", customer, "1", good},
		"class":            {"API.READ", customer, id, strings.Replace(good, "lookup", "nothing", 1)},
		"plan":             {"API.READ", customer, id, strings.Replace(good, "team", "nothing", 1)},
		"missing field":    {"API.READ", customer, id, strings.Replace(good, ",d=60000", "", 1)},
		"unknown field":    {"API.READ", customer, id, good + ",x=1"},
		"field twice":      {"API.READ", customer, id, good + ",d=1"},
		"no number":        {"API.READ", customer, id, strings.Replace(good, "60000", "soon", 1)},
		"units not finite": {"API.READ", customer, id, strings.Replace(good, "units=1", "units=NaN", 1)},
		"too many units":   {"API.READ", customer, id, strings.Replace(good, "units=1", "units=5", 1)},
		"set too large":    {"API.READ", customer, id, strings.Replace(good, "spread=1", "spread=2", 1)},
		"no such gateway":  {"API.READ", customer, id, strings.Replace(good, "first=0", "first=1", 1)},
		"waits for a day":  {"API.READ", customer, id, strings.Replace(good, "60000", "86400000", 1)},
		"wrong command":    {"API.WRITE", customer, id, good, "body"},
		"key missing":      {"API.WRITE", customer, id, strings.Replace(good, "lookup", "order", 1), "body"},
		"large value":      {"API.READ", customer, id, good, strings.Repeat("x", 64<<10+1)},
		"many values":      append([]string{"API.READ", customer, id, good}, make([]string, 40)...),
	} {
		c := r.client(t)
		c.send(args...)
		if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%s: %q", name, got)
		}
		c.send("PING") // the framing is intact
		c.want("+PONG")
	}
	if len(b.got) > 0 {
		t.Error("a backend was reached")
	}
}

// redcon's parser panicked on the first of these.
func TestLostFramingClosesTheConnection(t *testing.T) {
	r, _, _ := oneBackend(t, nil)
	for _, text := range []string{"*1\r\n$-2\r\nxx", "GET / HTTP/1.1\r\n", "*1\r\n$99999999999999\r\n", "*-1\r\n", "*1\r\n:1\r\n",
		"*1\r\n$1\r\nxyz", strings.Repeat("*", 1<<16) + "\n"} {
		c := r.client(t)
		c.raw(text)
		if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%.20q: %q", text, got)
		}
		c.closed()
	}
}

// A client's disconnect is noticed while its request is in flight: its slot is free again.
func TestDisconnectFreesSlot(t *testing.T) {
	r, b, _ := oneBackend(t, func(f map[string]any) {
		f["settings"] = json.RawMessage(
			strings.Replace(settingsText, `"max-open":20000`, `"max-open":1`, 1),
		)
	})
	c := r.client(t)
	c.lookup(1, "80000000")
	b.next(t)
	c.conn.Close()
	served := make(chan bool, 1)
	go func() {
		call := <-b.got
		_, _ = call.conn.Write([]byte("*1\r\n$2\r\nok\r\n"))
		served <- true
	}()
	again := r.client(t)
	for id := 2; ; id++ {
		again.lookup(id, "80000000")
		if line := again.line(); line == "$2" {
			again.want("ok")
			break
		} else if !strings.HasPrefix(line, "-BUSY") {
			t.Fatalf("answer %q", line)
		}
	}
	wait(t, served, "the second request")
}

// A connection that breaks under a request says nothing of others: an idle one is used, unless it
// has ended too.
func TestBrokenConnectionAndIdleOnes(t *testing.T) {
	for _, alive := range []bool{true, false} {
		r, b, _ := oneBackend(t, nil)
		c, other := r.client(t), r.client(t)
		c.lookup(1, "60000")
		first := b.next(t)
		other.lookup(2, "60000")
		second := b.next(t)
		second.serve(t, "second")
		other.value("second") // its connection is idle by now
		haveRested(t, r)
		if !alive {
			second.conn.Close()
		}
		first.conn.Close()
		again := b.next(t)
		again.serve(t, "first")
		c.value("first")
		if (again.conn == second.conn) != alive {
			t.Errorf("the idle connection, open %t, was used %t", alive, !alive)
		}
	}
}

// An idle connection that breaks when used speaks against those that have been idle for longer:
// they are not tried one after another.
func TestStaleConnectionsAreDropped(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c, other := r.client(t), r.client(t)
	c.lookup(1, "60000")
	first := b.next(t)
	other.lookup(2, "60000")
	second := b.next(t)
	for _, call := range []*backendCall{first, second} {
		call.serve(t, "ok")
	}
	c.value("ok")
	other.value("ok")
	haveRested(t, r)
	c.lookup(3, "60000")
	stale := b.next(t)
	if stale.conn != first.conn && stale.conn != second.conn {
		t.Fatal("no kept connection was used")
	}
	stale.conn.Close()
	again := b.next(t)
	again.serve(t, "again")
	c.value("again")
	if again.conn == first.conn || again.conn == second.conn {
		t.Error("a connection kept for longer was used")
	}
}

// A backend that has restarted is reached by a new connection, though the old one, as of a machine
// that vanished, was never closed.
func TestRestartedBackendGetsNewConnections(t *testing.T) {
	r, b, d := oneBackend(t, nil)
	c := r.client(t)
	c.lookup(1, "60000")
	first := b.next(t)
	first.serve(t, "ok")
	c.value("ok")
	d.tell(
		strings.Replace(
			b.entry("s-00000001", "Ready"),
			`"up_since_ms":0`,
			`"up_since_ms":1000000000000`,
			1,
		),
	)
	d.settled(t)
	c.lookup(2, "60000")
	second := b.next(t)
	second.serve(t, "ok")
	c.value("ok")
	if second.conn == first.conn {
		t.Error("the old connection was used")
	}
}

// Nothing new is sent to a draining backend. Ids are a backend's identity: at a new address it is
// still the same backend.
func TestDrainAndChangeOfAddress(t *testing.T) {
	r, old, d := oneBackend(t, nil)
	c := r.client(t)
	c.lookup(1, "60000")
	old.next(t).serve(t, "ok")
	c.value("ok")
	other := newBackend(t)
	d.tell(other.entry("s-00000001", "Ready"))
	d.settled(t)
	c.lookup(2, "60000")
	other.next(t).serve(t, "moved")
	c.value("moved")
	d.tell(other.entry("s-00000001", "Terminating"))
	d.settled(t)
	c.lookup(3, "60000")
	if got := c.line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answer %q", got)
	}
	if len(old.got)+len(other.got) > 0 {
		t.Error("sent to a backend that drains")
	}
}

// A drain that is announced while an attempt waits for its dial holds for the attempt too: nothing
// is written to the new connection.
func TestDrainDuringDial(t *testing.T) {
	b := newBackend(t)
	d := newFakeDiscovery(t)
	g := unstarted(t, d)
	m := member{ID: "s-00000001", HostPort: b.listener.Addr().String(), Phase: "Ready"}
	g.backends.updateEndpoints(g, policy.Complete, []member{m})
	a := &attempt{startedAt: g.now(), deadline: g.now() + 1e9}
	g.backends.startAttempt(g, a, 1)
	m.Phase = "Terminating"
	g.backends.updateEndpoints(g, policy.Delta, []member{m})
	up := wait(t, g.events, "the dial").(dialed)
	if up.err != nil {
		t.Fatal(up.err)
	}
	up.handle(g)
	if len(g.queue) != 1 || g.queue[0].(attemptOutcome).result != policy.Superseded {
		t.Errorf("outcomes %+v, want one that tells that nothing ran", g.queue)
	}
	if err := wait(t, b.ended, "the connection's end"); !errors.Is(err, io.EOF) || len(b.got) > 0 {
		t.Errorf("the connection ended with %v after %d commands", err, len(b.got))
	}
}

// An idle connection is closed before the backend closes it: a request that crossed the backend's
// close would end as a reset.
func TestIdleConnectionIsClosed(t *testing.T) {
	r, b, _ := oneBackend(t, func(f map[string]any) {
		f["settings"] = json.RawMessage(
			strings.Replace(settingsText, `"idle-close-us":30000000`, `"idle-close-us":200000`, 1),
		)
	})
	c := r.client(t)
	c.lookup(1, "60000")
	b.next(t).serve(t, "ok")
	c.value("ok")
	if err := wait(t, b.ended, "the idle connection's end"); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}

// A member without a usable address is sent nothing, and one that is gone is removed.
func TestUnusableAddress(t *testing.T) {
	for _, address := range []string{"", "nowhere", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:99999"} {
		if m := (member{HostPort: address, Phase: "Ready"}); endpointState(&m) != policy.Draining {
			t.Errorf("%q: state %d", address, endpointState(&m))
		}
	}
	if m := (member{Phase: "Gone"}); endpointState(&m) != policy.Removed {
		t.Error("a member that is gone is kept for its address")
	}
}

// A watch that is never answered hides a drain, which counts as announced 6 s later all the same:
// by then the watch has timed out, and the complete list was fetched on another connection.
func TestHungWatchTimesOut(t *testing.T) {
	t.Parallel() // it waits for seconds
	var held atomic.Bool
	var d *fakeDiscovery
	second := newBackend(t)
	hung := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("index") && !held.Swap(true) {
			wait, err := strconv.Atoi(r.URL.Query().Get("wait"))
			if limit := time.Duration(
				wait,
			)*time.Millisecond + time.Second; err != nil ||
				limit >= 6*time.Second {
				t.Errorf("a watch is waited for %v, %v", limit, err)
			}
			d.tell(second.entry("s-00000002", "Ready"))
			<-r.Context().Done()
			return
		}
		d.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { hung.CloseClientConnections(); hung.Close() })
	d = newFakeDiscovery(t)
	r := begin(
		t,
		configure(
			t,
			d,
			func(f map[string]any) { f["discovery"] = strings.TrimPrefix(hung.URL, "http://") },
		),
	)
	d.settled(t)
	c := r.client(t)
	c.lookup(1, "60000")
	second.next(t).serve(t, "ok")
	c.value("ok")
}

// After a broken watch the complete list is fetched, as changes may have been missed.
func TestCompleteListAfterDiscoveryFailure(t *testing.T) {
	_, b, d := oneBackend(t, nil)
	for first := true; ; first = false {
		query := wait(t, d.calls, "a call to discovery")
		if query == "" && !first {
			break
		}
		if query != "" {
			d.CloseClientConnections()
			d.tell(b.entry("s-00000001", "Ready"))
		}
	}
}

// A planned shutdown answers all admitted requests, on connections that then close, and accepts new
// connections for a while.
func TestShutdownAnswersAdmittedRequests(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c, idle := r.client(t), r.client(t)
	c.lookup(1, "60000")
	call := b.next(t)
	r.stop()
	idle.closed()
	call.serve(t, "ok")
	c.value("ok")
	c.closed()
	c.conn.Close()
	idle.conn.Close()
	wait(t, r.ended, "the gateway's end")
}

// Requests that are still open when SIGKILL is near are failed.
func TestShutdownFailsOpenRequests(t *testing.T) {
	t.Parallel() // it waits for seconds
	r, b, _ := oneBackend(t, nil)
	c := r.client(t)
	c.lookup(1, "80000000")
	b.next(t)
	r.stop()
	c.want("-ERR failed")
	c.closed()
	c.conn.Close()
	wait(t, r.ended, "the gateway's end")
}

// Without a free descriptor an attempt ends at once, and no client waits for it.
func TestOutOfDescriptors(t *testing.T) {
	r, b := fourBackends(t, minSockets) // 3 connections to backends
	c := r.client(t)
	for id := range 3 {
		c.lookup(id, "60000")
		defer b.next(t).serve(t, "ok")
	}
	other := r.client(t)
	other.lookup(9, "80000000")
	if got := other.line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answer %q", got)
	}
}

// Clients beyond the limit take the slots of idle connections; where none is idle they are rejected
// at once.
func TestMoreClientsThanSlots(t *testing.T) {
	r, b := fourBackends(t, 40) // 6 clients
	idle := r.client(t)
	idle.send("PING")
	idle.want("+PONG")
	for id := range 6 {
		c := r.client(t)
		c.lookup(id, "60000")
		defer b.next(t).serve(t, "ok")
	}
	idle.closed()
	idle.conn.Close()
	surplus := r.client(t)
	surplus.lookup(9, "60000")
	if got := surplus.line(); !strings.HasPrefix(got, "-BUSY ") {
		t.Errorf("answer %q", got)
	}
	surplus.closed()
}

// A value near the limit passes both ways unchanged.
func TestLargeValues(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c := r.client(t)
	large := strings.Repeat("v", resp.MaxValue)
	c.send(
		"API.READ",
		"0000000000000007",
		"0000000000000001",
		"c=lookup,t=team,d=60000,units=1,spread=1,first=0",
		large,
	)
	call := b.next(t)
	if string(call.args[4]) != large {
		t.Error("the body changed")
	}
	call.serve(t, large)
	c.value(large)
}

func TestBadConfiguration(t *testing.T) {
	good := fmt.Sprintf(
		`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"01","settings":%s}`,
		settingsText,
	)
	if _, err := ParseConfig([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range [][2]string{
		{`"seed":"01"`, `"seed":"x"`}, {`"listen":"127.0.0.1:0"`, `"listen":""`}, {`"discovery":"127.0.0.1:1"`, `"discovery":""`},
		{`"balancers":1`, `"balancers":"many"`}, {`"peers":false`, `"peers":true`}, {`"name":"team"`, `"nam":"team"`},
		{`{"name":"n"`, `{"peers":["nowhere"]`}, {`"settings":{`, `"set":{`}, {`}`, ``},
	} {
		bad := strings.Replace(good, c[0], c[1], 1)
		if bad == good {
			t.Fatalf("%s: not there", c[0])
		}
		_, err := ParseConfig([]byte(bad))
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", c[1], err)
		}
	}
}

// The rejection log has each rejected request with its reason, and nothing else.
func TestRejectionLog(t *testing.T) {
	d := newFakeDiscovery(t)
	cfg := configure(t, d, nil)
	written := make(writes, 16)
	cfg.RejectionLog = written
	c := begin(t, cfg).client(t)
	c.lookup(0xabc, "500") // there is no backend, so no capacity
	if got := c.line(); !strings.HasPrefix(got, "-BUSY") {
		t.Fatalf("%q", got)
	}
	if got := wait(t, written, "the record"); got != "0000000000000abc load\n" {
		t.Errorf("%q", got)
	}
}

// writes passes on what is written.
type writes chan string

func (w writes) Write(p []byte) (int, error) {
	w <- string(p)
	return len(p), nil
}
