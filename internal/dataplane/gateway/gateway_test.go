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

// startWithOneBackend starts a gateway with one backend that is ready.
func startWithOneBackend(
	t *testing.T,
	change func(map[string]any),
) (*testGateway, *fakeBackend, *fakeDiscovery) {
	t.Helper()
	b := newFakeBackend(t)
	d := newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready"))
	return startGateway(t, testConfig(t, d, change)), b, d
}

// startWithFourBackends starts a gateway with a limit on sockets and four backends that are ready.
// They share one address: the balancer allows more requests in flight for four backends.
func startWithFourBackends(t *testing.T, sockets int) (*testGateway, *fakeBackend) {
	t.Helper()
	b := newFakeBackend(t)
	var entries []string
	for i := range 4 {
		entries = append(entries, b.memberJSON(fmt.Sprintf("s-0000000%d", i), "Ready"))
	}
	d := newFakeDiscovery(t, entries...)
	return startGateway(t, testConfig(t, d, func(f map[string]any) {
		f["limits"] = map[string]any{"memory_mb": 192, "sockets": sockets}
	})), b
}

func TestServesAndForwardsUnchanged(t *testing.T) {
	r, b, _ := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	c.send("API.WRITE", "0000000000000007", "9b1f03aa5c7e2d41",
		"c=order,t=team,d=60000,k=5c0f6e1a2b3d4c59,units=2,spread=1,first=0", "BODY")
	call := b.nextCommand(t)
	if got := string(call.args[3]); !strings.HasPrefix(got, "c=order,t=team,d=59") ||
		!strings.HasSuffix(got, ",k=5c0f6e1a2b3d4c59,units=2,spread=1,first=0") {
		t.Errorf("fields %q", got)
	}
	if string(call.args[0]) != "API.WRITE" || string(call.args[1]) != "0000000000000007" ||
		string(call.args[2]) != "9b1f03aa5c7e2d41" || string(call.args[4]) != "BODY" {
		t.Errorf("command %q", call.args)
	}
	call.replyValue(t, "value")
	c.wantValue("value")
}

// Replies come in the order of the commands even if backends answer in another order, and commands
// are read while replies are pending.
func TestPipelinedAnswersKeepTheirOrder(t *testing.T) {
	r, b, _ := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	c.sendLookup(1, "60000")
	first := b.nextCommand(t)
	c.sendLookup(2, "60000")
	second := b.nextCommand(t) // the command is read although the first has no reply
	c.send("PING")
	second.replyValue(t, "second")
	c.sendLookup(3, "60000")
	b.nextCommand(t).replyValue(t, "third") // by now the gateway has the second answer
	first.replyValue(t, "first")
	c.wantValue("first")
	c.wantValue("second")
	c.wantLine("+PONG")
	c.wantValue("third")
}

// A request of class lookup is retried after every outcome of an attempt but a value.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		retried      bool
	}{
		{"error", "-ERR failed\r\n", true},
		{"busy", "-BUSY\r\n", true},
		{"no value", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", true},
		{"connection closed", "", true},
		{"malformed answer", "?\r\n", true},
		{"served", "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, b, _ := startWithOneBackend(t, nil)
			client := r.dialClient(t)
			client.sendLookup(1, "60000")
			call := b.nextCommand(t)
			if c.answer == "" {
				call.conn.Close()
			} else {
				call.reply(t, c.answer)
			}
			if c.retried {
				b.nextCommand(t).replyValue(t, "ok")
			}
			client.wantValue("ok")
		})
	}
}

// A non-idempotent request that may have been executed is neither retried nor rejected: it fails.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	for name, end := range map[string]func(*backendCall){
		"reset": func(c *backendCall) { c.conn.Close() },
		"error": func(c *backendCall) { _, _ = c.conn.Write([]byte("-ERR failed\r\n")) },
	} {
		t.Run(name, func(t *testing.T) {
			r, b, _ := startWithOneBackend(t, nil)
			c := r.dialClient(t)
			c.send(
				"API.WRITE",
				"0000000000000007",
				"0000000000000001",
				"c=once,t=team,d=60000,units=1,spread=1,first=0",
				"x",
			)
			end(b.nextCommand(t))
			c.wantLine("-ERR failed")
			if len(b.commands) > 0 {
				t.Error("the request was sent again")
			}
		})
	}
}

// A non-idempotent request that the backend rejected as busy was not executed, and is retried.
func TestBusyAnswerIsRetried(t *testing.T) {
	r, b, _ := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	c.send(
		"API.WRITE",
		"0000000000000007",
		"0000000000000001",
		"c=once,t=team,d=60000,units=1,spread=1,first=0",
		"x",
	)
	b.nextCommand(t).reply(t, "-BUSY\r\n")
	b.nextCommand(t).replyValue(t, "ok")
	c.wantValue("ok")
}

// A refused connection proves that the request was not executed: the client gets a rejection, which
// allows it to retry.
func TestRefusedConnectionIsRejectedAsNotExecuted(t *testing.T) {
	b := newFakeBackend(t)
	b.listener.Close()
	d := newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready"))
	c := startGateway(t, testConfig(t, d, nil)).dialClient(t)
	c.send(
		"API.WRITE",
		"0000000000000007",
		"0000000000000001",
		"c=once,t=team,d=60000,units=1,spread=1,first=0",
		"x",
	)
	if got := c.readLine(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("reply %q, want -BUSY", got)
	}
}

// A backend that does not answer delays no request beyond its deadline, and its late answer is
// dropped.
func TestAnswersBeforeTheDeadline(t *testing.T) {
	r, b, _ := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	c.sendLookup(1, "300")
	late := b.nextCommand(t)
	if got := c.readLine(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("reply %q", got)
	}
	_, _ = late.conn.Write([]byte("*3\r\n$4\r\nlate\r\n$-1\r\n$-1\r\n"))
	c.sendLookup(2, "60000")
	b.nextCommand(t).replyValue(t, "second")
	c.wantValue("second")
}

// A rejection is sent at once and says when to retry.
func TestRejectionIsPromptWithRetryAfter(t *testing.T) {
	r, b, _ := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	lookup := func(id int) {
		c.send(
			"API.READ",
			"0000000000000009",
			fmt.Sprintf("%016x", id),
			"c=lookup,t=tiny,d=86400000,units=1,spread=1,first=0",
		)
	}
	lookup(1)
	call := b.nextCommand(t)
	call.replyValue(t, "ok")
	c.wantValue("ok")
	lookup(2) // the bucket holds 1 unit and refills slowly
	if got := c.readLine(); got != "-BUSY 2000" {
		t.Errorf("reply %q", got)
	}
}

// An invalid command is answered with one error and reaches no backend.
func TestInvalidCommands(t *testing.T) {
	r, b, _ := startWithOneBackend(t, func(f map[string]any) {
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
		"not a number":     {"API.READ", customer, id, strings.Replace(good, "60000", "soon", 1)},
		"units not finite": {"API.READ", customer, id, strings.Replace(good, "units=1", "units=NaN", 1)},
		"too many units":   {"API.READ", customer, id, strings.Replace(good, "units=1", "units=5", 1)},
		"spread too large": {"API.READ", customer, id, strings.Replace(good, "spread=1", "spread=2", 1)},
		"no such gateway":  {"API.READ", customer, id, strings.Replace(good, "first=0", "first=1", 1)},
		"timeout too long": {"API.READ", customer, id, strings.Replace(good, "60000", "86400000", 1)},
		"wrong command":    {"API.WRITE", customer, id, good, "body"},
		"key missing":      {"API.WRITE", customer, id, strings.Replace(good, "lookup", "order", 1), "body"},
		"large value":      {"API.READ", customer, id, good, strings.Repeat("x", 64<<10+1)},
		"many values":      append([]string{"API.READ", customer, id, good}, make([]string, 40)...),
	} {
		c := r.dialClient(t)
		c.send(args...)
		if got := c.readLine(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%s: %q", name, got)
		}
		c.send("PING") // the framing is intact
		c.wantLine("+PONG")
	}
	if len(b.commands) > 0 {
		t.Error("an invalid command was sent to a backend")
	}
}

// A command with broken framing is answered with an error, and the connection is closed. redcon's
// parser panicked on the first of these inputs.
func TestLostFramingClosesTheConnection(t *testing.T) {
	r, _, _ := startWithOneBackend(t, nil)
	for _, text := range []string{"*1\r\n$-2\r\nxx", "GET / HTTP/1.1\r\n", "*1\r\n$99999999999999\r\n", "*-1\r\n", "*1\r\n:1\r\n",
		"*1\r\n$1\r\nxyz", strings.Repeat("*", 1<<16) + "\n"} {
		c := r.dialClient(t)
		c.writeRaw(text)
		if got := c.readLine(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%.20q: %q", text, got)
		}
		c.wantClosed()
	}
}

// A client's disconnect is noticed while its request is in flight, and frees the place that the
// request takes under max-open.
func TestDisconnectFreesSlot(t *testing.T) {
	r, b, _ := startWithOneBackend(t, func(f map[string]any) {
		f["settings"] = json.RawMessage(
			strings.Replace(settingsText, `"max-open":20000`, `"max-open":1`, 1),
		)
	})
	c := r.dialClient(t)
	c.sendLookup(1, "80000000")
	b.nextCommand(t)
	c.conn.Close()
	served := make(chan bool, 1)
	go func() {
		call := <-b.commands
		_, _ = call.conn.Write([]byte("*1\r\n$2\r\nok\r\n"))
		served <- true
	}()
	again := r.dialClient(t)
	for id := 2; ; id++ {
		again.sendLookup(id, "80000000")
		if line := again.readLine(); line == "$2" {
			again.wantLine("ok")
			break
		} else if !strings.HasPrefix(line, "-BUSY") {
			t.Fatalf("reply %q", line)
		}
	}
	wait(t, served, "the second request")
}

// A connection to a backend breaks while a request is in flight. That says nothing about other
// connections to this backend: the retry uses an idle one, unless that one has ended too.
func TestBrokenConnectionAndIdleOnes(t *testing.T) {
	for _, open := range []bool{true, false} {
		r, b, _ := startWithOneBackend(t, nil)
		c, other := r.dialClient(t), r.dialClient(t)
		c.sendLookup(1, "60000")
		first := b.nextCommand(t)
		other.sendLookup(2, "60000")
		second := b.nextCommand(t)
		second.replyValue(t, "second")
		other.wantValue("second") // its connection is idle by now
		waitForCooldowns(t, r)
		if !open {
			second.conn.Close()
		}
		first.conn.Close()
		retry := b.nextCommand(t)
		retry.replyValue(t, "first")
		c.wantValue("first")
		if (retry.conn == second.conn) != open {
			t.Errorf("idle connection open: %t, used: %t", open, !open)
		}
	}
}

// When an idle connection turns out to be broken on reuse, those that have been idle for longer are
// dropped as well, instead of being tried one after another.
func TestStaleConnectionsAreDropped(t *testing.T) {
	r, b, _ := startWithOneBackend(t, nil)
	c, other := r.dialClient(t), r.dialClient(t)
	c.sendLookup(1, "60000")
	first := b.nextCommand(t)
	other.sendLookup(2, "60000")
	second := b.nextCommand(t)
	for _, call := range []*backendCall{first, second} {
		call.replyValue(t, "ok")
	}
	c.wantValue("ok")
	other.wantValue("ok")
	waitForCooldowns(t, r)
	c.sendLookup(3, "60000")
	stale := b.nextCommand(t)
	if stale.conn != first.conn && stale.conn != second.conn {
		t.Fatal("no idle connection was reused")
	}
	stale.conn.Close()
	retry := b.nextCommand(t)
	retry.replyValue(t, "again")
	c.wantValue("again")
	if retry.conn == first.conn || retry.conn == second.conn {
		t.Error("a connection that had been idle for longer was used")
	}
}

// A backend that has restarted is sent requests on a new connection even if the old one was never
// closed, as happens when a machine vanishes.
func TestRestartedBackendGetsNewConnections(t *testing.T) {
	r, b, d := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	c.sendLookup(1, "60000")
	first := b.nextCommand(t)
	first.replyValue(t, "ok")
	c.wantValue("ok")
	d.publish(
		strings.Replace(
			b.memberJSON("s-00000001", "Ready"),
			`"up_since_ms":0`,
			`"up_since_ms":1000000000000`,
			1,
		),
	)
	d.awaitWatch(t)
	c.sendLookup(2, "60000")
	second := b.nextCommand(t)
	second.replyValue(t, "ok")
	c.wantValue("ok")
	if second.conn == first.conn {
		t.Error("the old connection was used")
	}
}

// No request is sent to a draining backend. A backend is identified by its id: it stays the same
// backend when its address changes.
func TestDrainAndChangeOfAddress(t *testing.T) {
	r, old, d := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	c.sendLookup(1, "60000")
	old.nextCommand(t).replyValue(t, "ok")
	c.wantValue("ok")
	other := newFakeBackend(t)
	d.publish(other.memberJSON("s-00000001", "Ready"))
	d.awaitWatch(t)
	c.sendLookup(2, "60000")
	other.nextCommand(t).replyValue(t, "moved")
	c.wantValue("moved")
	d.publish(other.memberJSON("s-00000001", "Terminating"))
	d.awaitWatch(t)
	c.sendLookup(3, "60000")
	if got := c.readLine(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("reply %q", got)
	}
	if len(old.commands)+len(other.commands) > 0 {
		t.Error("a request was sent to a draining backend")
	}
}

// A drain that is announced while an attempt waits for its dial applies to this attempt as well:
// nothing is written to the new connection.
func TestDrainDuringDial(t *testing.T) {
	b := newFakeBackend(t)
	d := newFakeDiscovery(t)
	g := newUnstartedGateway(t, d)
	m := member{ID: "s-00000001", HostPort: b.listener.Addr().String(), Phase: "Ready"}
	g.backends.updateEndpoints(g, policy.Complete, []member{m})
	a := &attempt{startedAt: g.now(), deadline: g.now() + 1e9}
	g.backends.startAttempt(g, a, 1)
	m.Phase = "Terminating"
	g.backends.updateEndpoints(g, policy.Delta, []member{m})
	e := wait(t, g.events, "the dial").(dialed)
	if e.err != nil {
		t.Fatal(e.err)
	}
	e.handle(g)
	if len(g.queue) != 1 || g.queue[0].(attemptOutcome).result != policy.Superseded {
		t.Errorf("outcomes %+v, want one that is Superseded", g.queue)
	}
	if err := wait(t, b.disconnects, "the connection's end"); !errors.Is(err, io.EOF) || len(b.commands) > 0 {
		t.Errorf("the connection ended with %v after %d commands", err, len(b.commands))
	}
}

// The gateway closes an idle connection before the backend does: a request that crossed the
// backend's close would end with a reset.
func TestIdleConnectionIsClosed(t *testing.T) {
	r, b, _ := startWithOneBackend(t, func(f map[string]any) {
		f["settings"] = json.RawMessage(
			strings.Replace(settingsText, `"idle-close-us":30000000`, `"idle-close-us":200000`, 1),
		)
	})
	c := r.dialClient(t)
	c.sendLookup(1, "60000")
	b.nextCommand(t).replyValue(t, "ok")
	c.wantValue("ok")
	if err := wait(t, b.disconnects, "the idle connection's end"); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}

// A member without a usable address counts as draining, so that it is sent nothing. One that is
// gone is removed.
func TestUnusableAddress(t *testing.T) {
	for _, address := range []string{"", "nowhere", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:99999"} {
		if m := (member{HostPort: address, Phase: "Ready"}); endpointState(&m) != policy.Draining {
			t.Errorf("%q: state %d", address, endpointState(&m))
		}
	}
	if m := (member{Phase: "Gone"}); endpointState(&m) != policy.Removed {
		t.Error("a member that is gone was kept because of its address")
	}
}

// A watch that is never answered would hide a drain, but a drain counts as announced to the gateway
// after 6 s. By then the watch must have timed out, and the gateway must have fetched the complete
// list on another connection.
func TestHungWatchTimesOut(t *testing.T) {
	t.Parallel() // it takes seconds
	var hung atomic.Bool
	var d *fakeDiscovery
	second := newFakeBackend(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("index") && !hung.Swap(true) {
			wait, err := strconv.Atoi(r.URL.Query().Get("wait"))
			if limit := time.Duration(
				wait,
			)*time.Millisecond + time.Second; err != nil ||
				limit >= 6*time.Second {
				t.Errorf("a watch times out after %v, want less than 6 s (%v)", limit, err)
			}
			d.publish(second.memberJSON("s-00000002", "Ready"))
			<-r.Context().Done()
			return
		}
		d.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	d = newFakeDiscovery(t)
	r := startGateway(
		t,
		testConfig(
			t,
			d,
			func(f map[string]any) { f["discovery"] = strings.TrimPrefix(server.URL, "http://") },
		),
	)
	d.awaitWatch(t)
	c := r.dialClient(t)
	c.sendLookup(1, "60000")
	second.nextCommand(t).replyValue(t, "ok")
	c.wantValue("ok")
}

// After a broken watch the gateway fetches the complete list, because it may have missed changes.
func TestCompleteListAfterDiscoveryFailure(t *testing.T) {
	_, b, d := startWithOneBackend(t, nil)
	for first := true; ; first = false {
		query := wait(t, d.calls, "a call to discovery")
		if query == "" && !first {
			break
		}
		if query != "" {
			d.CloseClientConnections()
			d.publish(b.memberJSON("s-00000001", "Ready"))
		}
	}
}

// A planned shutdown accepts new connections for a while, answers all admitted requests, and closes
// their connections after the replies.
func TestShutdownAnswersAdmittedRequests(t *testing.T) {
	r, b, _ := startWithOneBackend(t, nil)
	c, idle := r.dialClient(t), r.dialClient(t)
	c.sendLookup(1, "60000")
	call := b.nextCommand(t)
	r.beginShutdown()
	idle.wantClosed()
	call.replyValue(t, "ok")
	c.wantValue("ok")
	c.wantClosed()
	c.conn.Close()
	idle.conn.Close()
	wait(t, r.exited, "the gateway's end")
}

// A shutdown fails the requests that are still open shortly before SIGKILL is due.
func TestShutdownFailsOpenRequests(t *testing.T) {
	t.Parallel() // it takes seconds
	r, b, _ := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	c.sendLookup(1, "80000000")
	b.nextCommand(t)
	r.beginShutdown()
	c.wantLine("-ERR failed")
	c.wantClosed()
	c.conn.Close()
	wait(t, r.exited, "the gateway's end")
}

// Without a free descriptor for a backend connection, an attempt ends at once and its client does
// not wait.
func TestOutOfDescriptors(t *testing.T) {
	r, b := startWithFourBackends(t, minSockets) // 3 connections to backends
	c := r.dialClient(t)
	for id := range 3 {
		c.sendLookup(id, "60000")
		defer b.nextCommand(t).replyValue(t, "ok")
	}
	other := r.dialClient(t)
	other.sendLookup(9, "80000000")
	if got := other.readLine(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("reply %q", got)
	}
}

// Clients beyond the limit take the slots of idle connections. If no connection is idle, they are
// rejected at once.
func TestMoreClientsThanSlots(t *testing.T) {
	r, b := startWithFourBackends(t, 40) // slots for 6 clients
	idle := r.dialClient(t)
	idle.send("PING")
	idle.wantLine("+PONG")
	for id := range 6 {
		c := r.dialClient(t)
		c.sendLookup(id, "60000")
		defer b.nextCommand(t).replyValue(t, "ok")
	}
	idle.wantClosed()
	idle.conn.Close()
	surplus := r.dialClient(t)
	surplus.sendLookup(9, "60000")
	if got := surplus.readLine(); !strings.HasPrefix(got, "-BUSY ") {
		t.Errorf("reply %q", got)
	}
	surplus.wantClosed()
}

// A value of the maximum size passes unchanged in both directions.
func TestLargeValues(t *testing.T) {
	r, b, _ := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	large := strings.Repeat("v", resp.MaxValue)
	c.send(
		"API.READ",
		"0000000000000007",
		"0000000000000001",
		"c=lookup,t=team,d=60000,units=1,spread=1,first=0",
		large,
	)
	call := b.nextCommand(t)
	if string(call.args[4]) != large {
		t.Error("the gateway changed the body of the request")
	}
	call.replyValue(t, large)
	c.wantValue(large)
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
			t.Fatalf("%s is not in the configuration", c[0])
		}
		_, err := ParseConfig([]byte(bad))
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want an error of one line", c[1], err)
		}
	}
}

// The rejection log has one line for each rejected request, with its reason, and nothing else.
func TestRejectionLog(t *testing.T) {
	d := newFakeDiscovery(t)
	cfg := testConfig(t, d, nil)
	written := make(chanWriter, 16)
	cfg.RejectionLog = written
	c := startGateway(t, cfg).dialClient(t)
	c.sendLookup(0xabc, "500") // no backend, therefore no capacity
	if got := c.readLine(); !strings.HasPrefix(got, "-BUSY") {
		t.Fatalf("%q", got)
	}
	if got := wait(t, written, "the record"); got != "0000000000000abc load\n" {
		t.Errorf("%q", got)
	}
}

// chanWriter sends everything that is written to it to a channel.
type chanWriter chan string

func (w chanWriter) Write(p []byte) (int, error) {
	w <- string(p)
	return len(p), nil
}
