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
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// discoveryCalls is the number of concurrent calls to a discovery service that does not answer.
const discoveryCalls = 8

// The limits on client and backend connections leave enough descriptors for everything else that
// the process opens, whatever the limit on descriptors is.
func TestConnectionLimitsReserveDescriptors(t *testing.T) {
	const (
		counter = counterConns
		sockets = 2 // the listener and the peers' socket
		process = 5 // three standard files, and two of the Go runtime's network poller
	)
	for limit := minSockets; limit <= 8192; limit++ {
		share, accepted := connectionLimits(limit)
		if sum := share + accepted + discoveryCalls + counter + sockets + process; share < 1 ||
			sum > limit {
			t.Fatalf("limit %d: up to %d descriptors are used, %d for backends", limit, sum, share)
		}
	}
}

// limitedConfig is the environment variable that holds the path of the configuration file of a
// process under a limit on descriptors.
const limitedConfig = "MOTHCLEAT_TEST_LIMITED_CONFIG"

// TestLimitedProcess is not a test of its own: TestIdleClientsLeaveDescriptorsForDiscovery runs it
// in another process, as a gateway under a limit of the system on descriptors.
func TestLimitedProcess(t *testing.T) {
	path := os.Getenv(limitedConfig)
	if path == "" {
		return
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := ParseConfig(raw)
	if err != nil {
		t.Fatal(err)
	}
	limit := uint64(cfg.Sockets)
	if err := syscall.Setrlimit(
		syscall.RLIMIT_NOFILE,
		&syscall.Rlimit{Cur: limit, Max: limit},
	); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		close(stop)
	}()
	if err := Run(
		cfg,
		slog.New(slog.NewTextHandler(os.Stderr, nil)),
		Control{Stop: stop},
	); err != nil {
		t.Fatal(err)
	}
}

// limitedProcess is a process that runs TestLimitedProcess.
type limitedProcess struct {
	address         string
	pid             int
	descriptorError atomic.Pointer[string] // the first log line on a lack of descriptors
}

// startLimited starts a limitedProcess and waits until it is ready.
func startLimited(t *testing.T, discovery string, sockets int) *limitedProcess {
	t.Helper()
	raw, err := json.Marshal(map[string]any{
		"name":      "n0",
		"listen":    "127.0.0.1:0",
		"discovery": discovery,
		"seed":      "8c1f30d27a5be964",
		"limits": map[string]any{
			"memory_mb": 192,
			"sockets":   sockets,
		},
		"settings": json.RawMessage(settingsText),
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestLimitedProcess$")
	cmd.Env = append(os.Environ(), limitedConfig+"="+path)
	stdin, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &limitedProcess{pid: cmd.Process.Pid}
	ready, read := make(chan string, 1), make(chan struct{})
	go func() {
		defer close(read)
		for lines := bufio.NewScanner(log); lines.Scan(); {
			line := lines.Text()
			if strings.Contains(line, "too many open files") {
				p.descriptorError.CompareAndSwap(nil, &line)
			}
			if _, rest, ok := strings.Cut(line, "msg=ready listen="); ok {
				address, _, _ := strings.Cut(rest, " ")
				ready <- address
			}
		}
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-read
		_ = cmd.Wait()
		stdin.Close()
	})
	p.address = wait(t, ready, "the process to be ready")
	return p
}

// sockets counts the sockets that the process has open.
func (p *limitedProcess) sockets() int {
	dir := fmt.Sprintf("/proc/%d/fd", p.pid)
	entries, _ := os.ReadDir(dir)
	n := 0
	for _, e := range entries {
		if to, _ := os.Readlink(filepath.Join(dir, e.Name())); strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}

// keepConnectionsOpen keeps a number of connections open until the test ends. A quarter of them
// have sent commands, the others nothing. One that the gateway closes is opened again.
func keepConnectionsOpen(t *testing.T, address string, size int) {
	t.Helper()
	testEnded := make(chan struct{})
	var connections sync.WaitGroup
	t.Cleanup(func() {
		close(testEnded)
		connections.Wait()
	})
	for i := range size {
		connections.Go(func() {
			for {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					return // the process has ended
				}
				if i%4 == 0 {
					_, _ = io.WriteString(conn, "*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPING\r\n")
				}
				ended := make(chan struct{})
				go func() {
					_, _ = io.Copy(io.Discard, conn)
					close(ended)
				}()
				select {
				case <-ended:
					conn.Close()
				case <-testEnded:
					conn.Close()
					return
				}
			}
		})
	}
}

// requestUntilServed repeats a request, each time on a new connection, until it is served: while
// other connections take all slots, the gateway may close a connection unread.
func requestUntilServed(t *testing.T, address string, b *fakeBackend, id int) {
	t.Helper()
	served := make(chan struct{})
	go func() {
		defer close(served)
		for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); id++ {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			_ = conn.SetDeadline(deadline)
			_, _ = io.WriteString(conn, lookupCommands(id, 1))
			line, _ := bufio.NewReader(conn).ReadString('\n')
			conn.Close()
			if line == "$2\r\n" {
				return
			}
		}
		t.Error("no request was served")
	}()
	for {
		select {
		case call := <-b.commands:
			_, _ = io.WriteString(call.conn, "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")
		case <-served:
			return
		}
	}
}

// interruptibleDiscovery is a discovery service that the test can make stop answering.
type interruptibleDiscovery struct {
	*fakeDiscovery
	mu         sync.Mutex
	up         chan struct{} // closed while discovery answers
	unanswered chan struct{} // a value for each call left unanswered
}

func (f *interruptibleDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	up := f.up
	f.mu.Unlock()
	select {
	case <-up:
		f.fakeDiscovery.ServeHTTP(w, r)
	default:
		f.unanswered <- struct{}{}
		<-r.Context().Done()
	}
}

// interrupt makes discovery leave calls unanswered until restore.
func (f *interruptibleDiscovery) interrupt() {
	f.mu.Lock()
	f.up = make(chan struct{})
	f.mu.Unlock()
}

// restore makes discovery answer calls again. It must follow interrupt.
func (f *interruptibleDiscovery) restore() { close(f.up) }

// Idle clients take all client slots of a process under the system's limit on descriptors while
// discovery does not answer. Once it answers again, the gateway watches it, accepts clients and
// dials backends. At no time does the process run out of descriptors.
func TestIdleClientsLeaveDescriptorsForDiscovery(t *testing.T) {
	t.Parallel() // evictions take seconds
	const sockets = minSockets
	_, accepted := connectionLimits(sockets)
	b := newFakeBackend(t)
	f := &interruptibleDiscovery{
		fakeDiscovery: newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready")),
		unanswered:    make(chan struct{}, 1024),
	}
	f.Close()
	f.Server = httptest.NewServer(f) // in place of the one that always answers
	f.interrupt()
	p := startLimited(t, strings.TrimPrefix(f.URL, "http://"), sockets)
	keepConnectionsOpen(t, p.address, 2*accepted)
	for round := range 2 {
		for range 3 {
			wait(t, f.unanswered, "calls while discovery does not answer")
		}
		// The clients' sockets, the listener, and the calls to discovery.
		for timeout := time.After(waitTimeout); p.sockets() < accepted+1+discoveryCalls; {
			select {
			case <-timeout:
				t.Fatalf("%d sockets: the clients have not taken all slots", p.sockets())
			default:
				runtime.Gosched()
			}
		}
		f.publish(b.memberJSON("s-00000001", "Ready"))
		f.restore()
		f.awaitWatch(t)
		requestUntilServed(t, p.address, b, 1000*(round+1))
		f.interrupt()
		f.publish(b.memberJSON("s-00000001", "Ready")) // ends the watch; the next one gets no answer
	}
	if line := p.descriptorError.Load(); line != nil {
		t.Errorf("the process ran out of descriptors: %s", *line)
	}
}
