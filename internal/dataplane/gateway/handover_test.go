package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mothcleat/internal/dataplane/hotrestart"
)

// sharedListener is a listening socket that the processes of one gateway share, as a platform
// provides it.
type sharedListener struct {
	file           *os.File
	rendezvousPath string
}

// newSharedListener opens a sharedListener on the loopback interface.
func newSharedListener(t testing.TB) *sharedListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	t.Cleanup(func() { f.Close() })
	return &sharedListener{f, filepath.Join(t.TempDir(), "meet")}
}

// startProcess starts a gateway that stands for one process of the gateway. It takes over from the
// process that serves, if there is one.
func (h *sharedListener) startProcess(t testing.TB, d *fakeDiscovery) *testGateway {
	t.Helper()
	cfg := testConfig(t, d, func(f map[string]any) {
		f["management"] = "127.0.0.1:0"
		f["settings"] = json.RawMessage(
			strings.Replace(settingsText, `"second-copies":true`, `"second-copies":false`, 1),
		)
	})
	cfg.Restart.RendezvousPath = h.rendezvousPath
	cfg.Restart.Listen = func(string) (net.Listener, error) { return net.FileListener(h.file) }
	r := startGateway(t, cfg)
	h.waitUntilReady(t, r)
	return r
}

// waitUntilReady waits until a process passes its health check.
func (h *sharedListener) waitUntilReady(t testing.TB, r *testGateway) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); callAdmin(t, r, "check") != "ok\n"; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for the process to be ready")
		}
	}
}

// commandWithID waits for the command with an id. It drops other commands, such as hedges.
func (b *fakeBackend) commandWithID(t testing.TB, id int) *backendCall {
	t.Helper()
	for {
		if call := b.nextCommand(t); string(call.args[2]) == fmt.Sprintf("%016x", id) {
			return call
		}
	}
}

// sendOnce sends a non-idempotent request, which the gateway neither hedges nor retries.
func (c *testClient) sendOnce(id int) {
	c.t.Helper()
	c.send(
		"API.WRITE",
		"0000000000000007",
		fmt.Sprintf("%016x", id),
		"c=once,t=team,d=60000,units=1,spread=1,first=0",
		"x",
	)
}

// tinyFields are the fields of a request under the plan tiny, whose bucket holds 1 unit.
const tinyFields = "c=lookup,t=tiny,d=60000,units=1,spread=1,first=0"

// A successor takes over from a process that serves. No client connection ends. The predecessor
// answers the open requests. The successor answers the commands behind them and the command that
// had arrived only in part, and it knows which units were consumed.
func TestSuccessorTakesOver(t *testing.T) {
	b := newFakeBackend(t)
	d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
	h := newSharedListener(t)
	old := h.startProcess(t, d)
	idle, busy, half, empty := old.dialClient(t), old.dialClient(t), old.dialClient(t), old.dialClient(t)
	idle.send("PING")
	idle.wantLine("+PONG")
	empty.send("API.READ", "0000000000000009", "0000000000000002", tinyFields)
	b.nextCommand(t).replyValue(t, "tiny")
	empty.wantValue("tiny")
	busy.sendOnce(1)
	open := b.nextCommand(t)
	busy.sendOnce(2) // behind the first one
	behind := b.nextCommand(t)
	command := encodedLookup(0x11)
	half.writeRaw(command[:commandPrefixLength])

	next := h.startProcess(t, d)
	if got := callAdmin(t, old, "check"); got != "fail handed over\n" {
		t.Errorf("check of the predecessor: %q", got)
	}
	idle.send("PING")
	idle.wantLine("+PONG")
	half.writeRaw(command[commandPrefixLength:])
	b.commandWithID(t, 0x11).replyValue(t, "half")
	half.wantValue("half")
	empty.send("API.READ", "0000000000000009", "0000000000000012", tinyFields)
	if line := empty.readLine(); !strings.HasPrefix(line, "-BUSY") {
		t.Errorf("reply %q, want -BUSY: the successor does not know the consumed units", line)
	}
	busy.sendLookup(6, "60000")
	behind.replyValue(t, "behind")
	open.replyValue(t, "open")
	busy.wantValue("open")
	busy.wantValue("behind")
	b.commandWithID(t, 6).replyValue(t, "six")
	busy.wantValue("six")
	metrics := readMetrics(t, next)
	if metrics["answered.lookup"] != 2 || metrics["deferred.lookup"] != 1 ||
		metrics["passed_in"] < 4 {
		t.Errorf("metrics of the successor: %v", metrics)
	}
	if metrics := readMetrics(t, old); metrics["answered.once"] != 2 || metrics["current"] != 0 {
		t.Errorf("metrics of the predecessor: %v", metrics)
	}
	old.beginShutdown()
	wait(t, old.exited, "the end of the predecessor")
	idle.send("PING")
	idle.wantLine("+PONG")
}

// In a chain of processes, each of which takes over from its predecessor under load, every request
// of every client gets exactly one reply.
func TestChainOfHandoversAnswersAll(t *testing.T) {
	b := newFakeBackend(t)
	d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
	h := newSharedListener(t)
	current := h.startProcess(t, d)
	go func() {
		for call := range b.commands {
			call.replyValue(t, string(call.args[2]))
		}
	}()
	stop := make(chan struct{})
	done := make(chan error, 6)
	for n := range cap(done) {
		c := current.dialClient(t)
		go func() {
			for i := 1; ; i++ {
				select {
				case <-stop:
					done <- nil
					return
				default:
				}
				for k := range 1 + n%3 { // some clients pipeline two or three requests
					c.sendLookup(n<<20|i<<4|k, "60000")
				}
				for k := range 1 + n%3 {
					id := fmt.Sprintf("%016x", n<<20|i<<4|k)
					head, value := c.readLine(), ""
					if strings.HasPrefix(head, "-BUSY") {
						continue // allowed, because all processes share one quota
					}
					if value = c.readLine(); head != "$16" || value != id {
						done <- fmt.Errorf("client %d: reply %q %q to %s", n, head, value, id)
						return
					}
				}
			}
		}()
	}
	for range 4 {
		next := h.startProcess(t, d)
		current.beginShutdown()
		wait(t, current.exited, "the end of a predecessor")
		current = next
	}
	close(stop)
	for range cap(done) {
		if err := wait(t, done, "a client"); err != nil {
			t.Error(err)
		}
	}
}

// A third process that starts while the first one still answers its open requests takes over from
// the second one. The first process still answers its requests, and can then exit.
func TestThirdProcessWhileFirstShutsDown(t *testing.T) {
	b := newFakeBackend(t)
	h := newSharedListener(t)
	d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
	first := h.startProcess(t, d)
	c, other := first.dialClient(t), first.dialClient(t)
	other.send("PING")
	other.wantLine("+PONG")
	c.sendOnce(1)
	open := b.nextCommand(t)
	second := h.startProcess(t, d)
	third := h.startProcess(t, d)
	for _, r := range []*testGateway{first, second} {
		if got := callAdmin(t, r, "check"); got != "fail handed over\n" {
			t.Errorf("check of a predecessor: %q", got)
		}
	}
	other.send("PING")
	other.wantLine("+PONG")
	open.replyValue(t, "open")
	c.wantValue("open")
	second.beginShutdown() // before the first one, whose connection the second still waits for
	wait(t, second.exited, "the end of the second process")
	first.beginShutdown()
	wait(t, first.exited, "the end of the first process")
	other.sendLookup(2, "60000")
	b.commandWithID(t, 2).replyValue(t, "third")
	other.wantValue("third")
	if n := readMetrics(t, third)["answered.lookup"]; n != 1 {
		t.Errorf("the third process answered %d requests of class lookup, want 1", n)
	}
}

// If a successor exits before it has taken over, the predecessor continues to serve, including the
// commands that arrived meanwhile.
func TestSuccessorExitBeforeTakeover(t *testing.T) {
	b := newFakeBackend(t)
	d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
	h := newSharedListener(t)
	old := h.startProcess(t, d)
	c := old.dialClient(t)
	c.send("PING")
	c.wantLine("+PONG")
	for round := range 3 {
		predecessor, err := hotrestart.FindPredecessor(h.rendezvousPath)
		if err != nil {
			t.Fatal(err)
		}
		takeState(t, predecessor)
		c.sendLookup(round+1, "60000") // while it is undecided which process answers it
		predecessor.Close()
		b.nextCommand(t).replyValue(t, "kept")
		c.wantValue("kept")
	}
	other := old.dialClient(t)
	other.send("PING")
	other.wantLine("+PONG")
	next := h.startProcess(t, d) // a successor that keeps running takes over
	other.send("PING")
	other.wantLine("+PONG")
	c.sendLookup(9, "60000")
	b.nextCommand(t).replyValue(t, "next")
	c.wantValue("next")
	if n := readMetrics(t, next)["answered.lookup"]; n != 1 {
		t.Errorf("the successor answered %d requests, want 1", n)
	}
}

// wantValueOrBusy reads the reply to a request: a value or -BUSY. A process that does not know
// which units another one has consumed rejects requests until its buckets have refilled.
func (c *testClient) wantValueOrBusy(want string) {
	c.t.Helper()
	if line := c.readLine(); strings.HasPrefix(line, "$") {
		if value := c.readLine(); value != want {
			c.t.Fatalf("value %q, want %q", value, want)
		}
	} else if !strings.HasPrefix(line, "-BUSY") {
		c.t.Fatalf("reply %q, want a value or -BUSY", line)
	}
}

// If a successor exits right after it has taken over, before any connection was passed to it, the
// predecessor resumes serving: no connection ends, and all commands are answered.
func TestSuccessorExitRightAfterTakeover(t *testing.T) {
	b := newFakeBackend(t)
	d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
	h := newSharedListener(t)
	old := h.startProcess(t, d)
	c, busy, half := old.dialClient(t), old.dialClient(t), old.dialClient(t)
	c.send("PING")
	c.wantLine("+PONG")
	half.writeRaw("*1\r\n$4\r\nPI")
	busy.sendOnce(1)
	open := b.nextCommand(t)
	b.replyToAll(t, "kept")
	successor, err := hotrestart.FindPredecessor(h.rendezvousPath)
	if err != nil {
		t.Fatal(err)
	}
	takeState(t, successor)
	c.sendLookup(2, "60000") // while it is undecided which process answers it
	busy.sendLookup(3, "60000")
	confirm(t, successor)
	successor.Close()
	c.wantValueOrBusy("kept")
	open.replyValue(t, "open")
	busy.wantValue("open")
	busy.wantValueOrBusy("kept")
	half.writeRaw("NG\r\n")
	half.wantLine("+PONG")
	h.waitUntilReady(t, old)
	other := old.dialClient(t)
	for i, c := range []*testClient{c, busy, half, other} {
		c.sendLookup(10+i, "60000")
		c.wantValueOrBusy("kept")
	}
	clients := []*testClient{c, busy, half, other}
	waitUntil(t, old.gateway, "the end of the test gateway's own connection", func(g *Gateway) bool {
		return len(g.clients.conns) == len(clients)
	})
	next := h.startProcess(t, d) // a successor that keeps running takes over
	other.sendLookup(20, "60000")
	other.wantValueOrBusy("kept")
	for i, c := range clients {
		c.send("PING")
		c.wantLine("+PONG") // the predecessor would say that it has handed over
		if passed := onEventLoop(t, next.gateway, func(g *Gateway) bool {
			return connOf(g, c) != nil
		}); !passed {
			t.Errorf("connection %d was not passed to the successor", i)
		}
	}
	// The test gateway's PING at its start may have been accepted by the predecessor, and passed.
	if n := readMetrics(t, next)["passed_in"]; n != len(clients) && n != len(clients)+1 {
		t.Errorf("%d connections were passed to the successor, want %d", n, len(clients))
	}
}

// A successor exits before it has received the connections that were passed to it. The predecessor
// reads each of them again, including the command that had already arrived on it.
func TestSuccessorExitWithConnectionsInTransit(t *testing.T) {
	b := newFakeBackend(t)
	d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
	b.replyToAll(t, "kept")
	old, successor := startAndFindPredecessor(t, d)
	var clients []*testClient
	for range 20 {
		c := old.dialClient(t)
		c.send("PING")
		c.wantLine("+PONG")
		clients = append(clients, c)
	}
	takeState(t, successor)
	for i, c := range clients {
		c.sendLookup(2+i, "60000")
	}
	confirm(t, successor)
	for deadline := time.Now().Add(waitTimeout); readMetrics(t, old)["passed_on"] < len(clients); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for the connections to be passed")
		}
	}
	successor.Close()
	for _, c := range clients {
		c.wantValueOrBusy("kept")
	}
}

// A successor that accepts no more connections but keeps running remains the serving process: the
// predecessor rejects the commands on its remaining connections with -BUSY.
func TestSuccessorAcceptsNoMoreConnections(t *testing.T) {
	b := newFakeBackend(t)
	old, successor := startAndFindPredecessor(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	c := old.dialClient(t)
	c.send("PING")
	c.wantLine("+PONG")
	c.sendOnce(1)
	open := b.nextCommand(t)
	takeState(t, successor)
	c.sendOnce(2)
	confirm(t, successor)
	successor.Leave()
	open.replyValue(t, "open")
	c.wantValue("open")
	c.wantBusy()
	if got := callAdmin(t, old, "check"); got != "fail handed over\n" {
		t.Errorf("check of the predecessor: %q", got)
	}
}

// startAndFindPredecessor starts a process and connects to it as its successor. The test plays the
// successor.
func startAndFindPredecessor(
	t testing.TB,
	d *fakeDiscovery,
) (*testGateway, *hotrestart.Predecessor) {
	t.Helper()
	h := newSharedListener(t)
	old := h.startProcess(t, d)
	predecessor, err := hotrestart.FindPredecessor(h.rendezvousPath)
	if err != nil {
		t.Fatal(err)
	}
	return old, predecessor
}
