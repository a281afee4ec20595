package gateway

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// operator calls a gateway's admin interface.
func operator(t testing.TB, r *rig, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", r.gateway.admin.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// vars reads the metrics.
func vars(t testing.TB, r *rig) map[string]int {
	t.Helper()
	text, ok := strings.CutSuffix(operator(t, r, "vars"), "\neof\n")
	if !ok {
		t.Fatalf("figures without an end: %q", text)
	}
	figures := map[string]int{}
	for line := range strings.SplitSeq(text, "\n") {
		name, value, _ := strings.Cut(line, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			t.Fatalf("figure %q", line)
		}
		figures[strings.TrimPrefix(name, "gateway.")] = n
	}
	return figures
}

// managed starts a gateway with an admin interface.
func managed(t testing.TB, d *fakeDiscovery) *rig {
	return begin(t, configure(t, d, func(f map[string]any) { f["management"] = "127.0.0.1:0" }))
}

// The metrics count each request and each attempt once, as clients and backends have seen them.
func TestMetricsCountOutcomes(t *testing.T) {
	b := newBackend(t)
	d := newFakeDiscovery(t, b.entry("s-1", "Ready"), b.entry("s-2", "Terminating"))
	r := managed(t, d)
	c := r.client(t)

	c.lookup(1, "60000")
	b.next(t).serve(t, "one")
	c.value("one")
	c.send(
		"API.WRITE",
		"0000000000000007",
		"0000000000000002",
		"c=once,t=team,d=60000,units=1,spread=1,first=0",
		"x",
	)
	b.next(t).answer(t, "-ERR failed\r\n") // it may have been executed
	c.want("-ERR failed")
	tiny := "c=lookup,t=tiny,d=60000,units=1,spread=1,first=0"
	c.send("API.READ", "0000000000000009", "0000000000000003", tiny)
	b.next(t).serve(t, "two")
	c.value("two")
	c.send("API.READ", "0000000000000009", "0000000000000005", tiny) // its bucket is empty
	if line := c.line(); !strings.HasPrefix(line, "-BUSY") {
		t.Fatalf("answer %q, want a refusal", line)
	}
	c.send("NONSENSE")
	if line := c.line(); !strings.HasPrefix(line, "-ERR unknown command") {
		t.Fatalf("answer %q", line)
	}
	c.lookup(4, "60000")
	open := b.next(t)
	got := vars(t, r)
	for name, want := range map[string]int{
		"answered.lookup": 2, "deferred.lookup": 1, "errored.once": 1, "errored.lookup": 0, "answered.order": 0,
		"sends": 4, "current": 1, "cluster_size": 2, "cluster_unhealthy": 1, "conf_loaded": 1,
	} {
		if n, ok := got[name]; !ok || n != want {
			t.Errorf("%s is %d, want %d", name, n, want)
		}
	}
	open.serve(t, "four")
	c.value("four")
	if n := vars(t, r)["current"]; n != 0 {
		t.Errorf("%d requests are open after all were answered", n)
	}
}

// A drained gateway fails health checks at once, answers the requests that it has and that still
// come, closes its connections, keeps running, and can be returned to service.
func TestDrainClosesConnectionsAndCanBeEnded(t *testing.T) {
	b := newBackend(t)
	r := managed(t, newFakeDiscovery(t, b.entry("s-1", "Ready")))
	if got := operator(t, r, "check"); got != "ok\n" {
		t.Fatalf("check of a gateway that serves: %q", got)
	}
	idle, busy, asking := r.client(t), r.client(t), r.client(t)
	idle.send("PING")
	idle.want("+PONG")
	busy.lookup(1, "60000")
	held := b.next(t)
	asking.send("PING")
	asking.want("+PONG")

	if got := operator(t, r, "drain-on"); got != "ok\n" {
		t.Fatalf("drain-on: %q", got)
	}
	asking.send("PING")
	asking.want("-ERR draining")
	if got := operator(t, r, "check"); got != "fail draining\n" {
		t.Errorf("check of a drained gateway: %q", got)
	}
	late := r.client(t) // the front end does not know of the drain yet
	late.lookup(2, "60000")
	b.next(t).serve(t, "late")
	late.value("late")
	late.closed()
	idle.closed()
	held.serve(t, "held")
	busy.value("held")
	busy.closed()

	if got := operator(t, r, "drain-off"); got != "ok\n" {
		t.Fatalf("drain-off: %q", got)
	}
	again := r.client(t)
	for range 2 { // on one connection: it stays open
		again.send("PING")
		again.want("+PONG")
	}
	if got := operator(t, r, "swerve"); !strings.HasPrefix(got, "fail unknown call") {
		t.Errorf("an unknown call: %q", got)
	}
}
