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

// discoveryCalls are made at the same time while discovery is silent.
const discoveryCalls = 8

// Clients and backends leave enough of a gateway's descriptors for all else, at any limit.
func TestConnectionLimitsReserveDescriptors(t *testing.T) {
	const (
		counter = counterConns
		sockets = 2 // the listener and the peers' socket
		process = 5 // three standard files, and two of the language's own for waiting
	)
	for limit := minSockets; limit <= 8192; limit++ {
		share, accepted := connectionLimits(limit)
		if sum := share + accepted + discoveryCalls + counter + sockets + process; share < 1 ||
			sum > limit {
			t.Fatalf("limit %d: %d descriptors at most", limit, sum)
		}
	}
}

// limitedConfig names the variable with the configuration file of a process with a limit on
// descriptors.
const limitedConfig = "MOTHCLEAT_TEST_LIMITED_CONFIG"

// TestLimitedProcess is no test but the process that TestIdleClientsLeaveDescriptorsForDiscovery
// starts: a gateway under the system's limit on descriptors.
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
	most := uint64(cfg.Sockets)
	if err := syscall.Setrlimit(
		syscall.RLIMIT_NOFILE,
		&syscall.Rlimit{Cur: most, Max: most},
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

// limited is a process that runs TestLimitedProcess.
type limited struct {
	address string
	pid     int
	short   atomic.Pointer[string] // the first line of its log that tells of no descriptor left
}

// startLimited starts such a process and waits until it is ready.
func startLimited(t *testing.T, discovery string, sockets int) *limited {
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
	p := &limited{pid: cmd.Process.Pid}
	ready, read := make(chan string, 1), make(chan struct{})
	go func() {
		defer close(read)
		for lines := bufio.NewScanner(log); lines.Scan(); {
			line := lines.Text()
			if strings.Contains(line, "too many open files") {
				p.short.CompareAndSwap(nil, &line)
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
func (p *limited) sockets() int {
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

// crowd keeps a number of connections open that send nothing, or have sent one command; one that
// the gateway closes is opened again.
func crowd(t *testing.T, address string, size int) {
	t.Helper()
	over := make(chan struct{})
	var all sync.WaitGroup
	t.Cleanup(func() {
		close(over)
		all.Wait()
	})
	for i := range size {
		all.Go(func() {
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
				case <-over:
					conn.Close()
					return
				}
			}
		})
	}
}

// asks sends a request until it is served: a connection may be closed unread while others take all
// slots.
func asks(t *testing.T, address string, b *fakeBackend, id int) {
	t.Helper()
	served := make(chan struct{})
	go func() {
		defer close(served)
		for late := time.Now().Add(patience); time.Now().Before(late); id++ {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			_ = conn.SetDeadline(late)
			_, _ = io.WriteString(conn, lookups(id, 1))
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
		case call := <-b.got:
			_, _ = io.WriteString(call.conn, "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")
		case <-served:
			return
		}
	}
}

// fallible is discovery that fails and comes back.
type fallible struct {
	*fakeDiscovery
	mu      sync.Mutex
	down    chan struct{} // closed: it is up
	silence chan struct{} // a call that came while it was down
}

func (f *fallible) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	down := f.down
	f.mu.Unlock()
	select {
	case <-down:
		f.fakeDiscovery.ServeHTTP(w, r)
	default:
		f.silence <- struct{}{}
		<-r.Context().Done() // a call made meanwhile is never answered
	}
}

// fall has it down from now on, its watches silent.
func (f *fallible) fall() {
	f.mu.Lock()
	f.down = make(chan struct{})
	f.mu.Unlock()
}

func (f *fallible) comeBack() { close(f.down) }

// Silent clients take all slots for clients, under the system's limit on descriptors, while
// discovery is down. When it is back the gateway watches it, accepts and dials; it never lacked a
// descriptor.
func TestIdleClientsLeaveDescriptorsForDiscovery(t *testing.T) {
	t.Parallel() // places are made in seconds
	const sockets = minSockets
	_, accepted := connectionLimits(sockets)
	b := newBackend(t)
	f := &fallible{
		fakeDiscovery: newFakeDiscovery(t, b.entry("s-00000001", "Ready")),
		silence:       make(chan struct{}, 1024),
	}
	f.Close()
	f.Server = httptest.NewServer(f) // the discovery that fails, in place of the one that does not
	f.fall()
	p := startLimited(t, strings.TrimPrefix(f.URL, "http://"), sockets)
	crowd(t, p.address, 2*accepted)
	for round := range 2 {
		for range 3 {
			wait(t, f.silence, "calls while discovery is down")
		}
		for late := time.After(patience); p.sockets() < accepted+1+discoveryCalls; { // those, the listener, and the calls
			select {
			case <-late:
				t.Fatalf("%d sockets, the clients have not taken all places", p.sockets())
			default:
				runtime.Gosched()
			}
		}
		f.tell(b.entry("s-00000001", "Ready"))
		f.comeBack()
		f.settled(t)
		asks(t, p.address, b, 1000*(round+1))
		f.fall()
		f.tell(b.entry("s-00000001", "Ready")) // ends the watch; the next call finds it down
	}
	if line := p.short.Load(); line != nil {
		t.Errorf("it lacked a descriptor: %s", *line)
	}
}
