package gateway

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// callAdmin sends a command to a gateway's admin interface and returns the whole answer.
func callAdmin(t testing.TB, r *testGateway, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", r.gateway.admin.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// readMetrics returns the gateway's metrics by name, without the prefix "gateway.".
func readMetrics(t testing.TB, r *testGateway) map[string]int {
	t.Helper()
	text, ok := strings.CutSuffix(callAdmin(t, r, "vars"), "\neof\n")
	if !ok {
		t.Fatalf("metrics without the end marker: %q", text)
	}
	metrics := map[string]int{}
	for line := range strings.SplitSeq(text, "\n") {
		name, value, _ := strings.Cut(line, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			t.Fatalf("metric %q: %v", line, err)
		}
		metrics[strings.TrimPrefix(name, "gateway.")] = n
	}
	return metrics
}

// startGatewayWithAdmin starts a gateway that has an admin interface.
func startGatewayWithAdmin(t testing.TB, d *fakeDiscovery) *testGateway {
	return startGateway(t, testConfig(t, d, func(f map[string]any) { f["management"] = "127.0.0.1:0" }))
}

// The metrics count each request and each attempt once, with the outcome that clients and backends
// have seen.
func TestMetricsCountOutcomes(t *testing.T) {
	b := newFakeBackend(t)
	d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"), b.memberJSON("s-2", "Terminating"))
	r := startGatewayWithAdmin(t, d)
	c := r.dialClient(t)

	c.sendLookup(1, "60000")
	b.nextCommand(t).replyValue(t, "one")
	c.wantValue("one")
	c.send(
		"API.WRITE",
		"0000000000000007",
		"0000000000000002",
		"c=once,t=team,d=60000,units=1,spread=1,first=0",
		"x",
	)
	b.nextCommand(t).reply(t, "-ERR failed\r\n") // the request may have been executed
	c.wantLine("-ERR failed")
	tiny := "c=lookup,t=tiny,d=60000,units=1,spread=1,first=0"
	c.send("API.READ", "0000000000000009", "0000000000000003", tiny)
	b.nextCommand(t).replyValue(t, "two")
	c.wantValue("two")
	c.send("API.READ", "0000000000000009", "0000000000000005", tiny) // its bucket is empty
	if line := c.readLine(); !strings.HasPrefix(line, "-BUSY") {
		t.Fatalf("reply %q, want a rejection", line)
	}
	c.send("NONSENSE")
	if line := c.readLine(); !strings.HasPrefix(line, "-ERR unknown command") {
		t.Fatalf("reply %q, want an unknown command", line)
	}
	c.sendLookup(4, "60000")
	open := b.nextCommand(t)
	got := readMetrics(t, r)
	for name, want := range map[string]int{
		"answered.lookup": 2, "deferred.lookup": 1, "errored.once": 1, "errored.lookup": 0, "answered.order": 0,
		"sends": 4, "current": 1, "cluster_size": 2, "cluster_unhealthy": 1, "conf_loaded": 1,
	} {
		if n, ok := got[name]; !ok || n != want {
			t.Errorf("%s is %d, want %d", name, n, want)
		}
	}
	open.replyValue(t, "four")
	c.wantValue("four")
	if n := readMetrics(t, r)["current"]; n != 0 {
		t.Errorf("%d requests are open after all replies", n)
	}
}

// A drained gateway fails health checks at once, answers its open requests and those that still
// arrive, and closes its connections. It keeps running and can be returned to service.
func TestDrainClosesConnectionsAndCanBeEnded(t *testing.T) {
	b := newFakeBackend(t)
	r := startGatewayWithAdmin(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	if got := callAdmin(t, r, "check"); got != "ok\n" {
		t.Fatalf("check before the drain: %q", got)
	}
	idle, busy, pinging := r.dialClient(t), r.dialClient(t), r.dialClient(t)
	idle.send("PING")
	idle.wantLine("+PONG")
	busy.sendLookup(1, "60000")
	held := b.nextCommand(t)
	pinging.send("PING")
	pinging.wantLine("+PONG")

	if got := callAdmin(t, r, "drain-on"); got != "ok\n" {
		t.Fatalf("drain-on: %q", got)
	}
	pinging.send("PING")
	pinging.wantLine("-ERR draining")
	if got := callAdmin(t, r, "check"); got != "fail draining\n" {
		t.Errorf("check during the drain: %q", got)
	}
	late := r.dialClient(t) // the front end has not noticed the drain yet
	late.sendLookup(2, "60000")
	b.nextCommand(t).replyValue(t, "late")
	late.wantValue("late")
	late.wantClosed()
	idle.wantClosed()
	held.replyValue(t, "held")
	busy.wantValue("held")
	busy.wantClosed()

	if got := callAdmin(t, r, "drain-off"); got != "ok\n" {
		t.Fatalf("drain-off: %q", got)
	}
	again := r.dialClient(t)
	for range 2 { // the second one checks that the connection stays open
		again.send("PING")
		again.wantLine("+PONG")
	}
	if got := callAdmin(t, r, "swerve"); !strings.HasPrefix(got, "fail unknown call") {
		t.Errorf("answer to an unknown call: %q", got)
	}
}
