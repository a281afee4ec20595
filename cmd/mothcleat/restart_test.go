package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	eventTimeout = 30 * time.Second // for any event

	// readyTimeout is the stated target: nine in ten restarted processes are ready by then. The
	// tests demand it of each process.
	readyTimeout = 10 * time.Second
)

// operatorsVariable is the environment variable with the operators' file of a process that the
// tests start.
const operatorsVariable = "MOTHCLEAT_TEST_OPERATORS"

// TestRestartedProcess is not a test, but the process that the other tests of this file start.
func TestRestartedProcess(t *testing.T) {
	path := os.Getenv(operatorsVariable)
	if path == "" {
		return
	}
	if err := run(path); err != nil {
		t.Fatal(err)
	}
}

// testSite holds the files and the address with which a test starts processes one after another.
type testSite struct {
	address   string
	config    string
	operators string
	dir       string   // for files that a process leaves
	listener  *os.File // the platform's listener; nil: the process listens itself
}

// newSite returns a testSite whose discovery service never answers, with a stored state.
func newSite(t *testing.T, platformListens bool) *testSite {
	t.Helper()
	unresponsive := httptest.NewServer(
		http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }),
	)
	t.Cleanup(func() { unresponsive.CloseClientConnections(); unresponsive.Close() })
	dir, err := os.MkdirTemp("", "mc") // short: the length of a Unix socket's path is limited
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	s := &testSite{dir: dir}
	if platformListens {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		if s.listener, err = l.(*net.TCPListener).File(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.listener.Close() })
		s.address = l.Addr().String()
	} else {
		s.address = reservedAddress(t)
	}
	text := strings.Replace(
		head,
		"127.0.0.1:0",
		s.address,
		1,
	) + fmt.Sprintf(
		`%q,"name":"n0"}`,
		strings.TrimPrefix(unresponsive.URL, "http://"),
	)
	s.config = write(t, "config.json", text)
	s.operators = write(
		t,
		"operators.toml",
		fmt.Sprintf("[state]\nfile = %q\nevery = \"50ms\"\n", filepath.Join(dir, "state")),
	)
	return s
}

// reservedAddress returns an address on which a process can listen. A bound socket that does not
// listen reserves the port until the test ends.
func reservedAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// process is a gateway process that a test has started.
type process struct {
	cmd *exec.Cmd
	log chan struct{} // closed after all of its log has been read
}

// start starts a process and waits until it answers PING. The test fails if the process is not
// ready within readyTimeout.
func (s *testSite) start(t *testing.T) *process {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^TestRestartedProcess$")
	cmd.Env = append(
		os.Environ(),
		operatorsVariable+"="+s.operators,
		"RELAY_CONFIG="+s.config,
		"TMPDIR="+s.dir,
	)
	if s.listener != nil {
		cmd.Env = append(cmd.Env, inheritedFD+"=3")
		cmd.ExtraFiles = []*os.File{s.listener}
	}
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	startedAt := time.Now()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: cmd, log: make(chan struct{})}
	ready := make(chan struct{}, 1)
	var lines strings.Builder
	go func() {
		defer close(p.log)
		for in := bufio.NewScanner(log); in.Scan(); {
			fmt.Fprintln(&lines, in.Text())
			if strings.Contains(in.Text(), "msg=ready ") {
				ready <- struct{}{}
			}
		}
	}()
	t.Cleanup(func() { p.end(syscall.SIGKILL) })
	select {
	case <-ready:
	case <-p.log:
		t.Fatalf("the process ended before it was ready:\n%s", lines.String())
	case <-time.After(eventTimeout):
		t.Fatal("the process is not ready in time")
	}
	s.ping(t)
	if took := time.Since(startedAt); took > readyTimeout {
		t.Errorf("ready after %v, want at most %v", took, readyTimeout)
	}
	return p
}

// ping sends PING to the process and fails the test unless the answer is +PONG.
func (s *testSite) ping(t *testing.T) {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(eventTimeout))
	if _, err := io.WriteString(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(conn).ReadString('\n'); line != "+PONG\r\n" {
		t.Fatalf("PING was answered %q, %v", line, err)
	}
}

// end sends a signal to the process, unless it has ended already, and waits until it ends.
func (p *process) end(by os.Signal) {
	if p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Signal(by)
		<-p.log
		_ = p.cmd.Wait()
	}
}

// TestRestartedProcessesAreReady checks that after a process is killed or terminated the next one
// is ready in time although discovery does not answer, with a listener of its own and with the
// platform's.
func TestRestartedProcessesAreReady(t *testing.T) {
	for _, platformListens := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform listens %t", platformListens), func(t *testing.T) {
			t.Parallel() // each start first waits for discovery
			s := newSite(t, platformListens)
			for _, by := range []os.Signal{syscall.SIGKILL, syscall.SIGTERM, syscall.SIGKILL} {
				s.start(t).end(by)
			}
			s.start(t)
		})
	}
}

// TestReadyBesideAHungProcess guards against a start that waits too long for its predecessor. A
// process on the platform's socket asks its predecessor to hand over. A stopped predecessor
// (SIGSTOP) never answers, and must not delay the start beyond readyTimeout.
func TestReadyBesideAHungProcess(t *testing.T) {
	t.Parallel()
	s := newSite(t, true)
	before := s.start(t)
	if err := before.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(
		before.cmd.Process.Pid,
		&status,
		syscall.WUNTRACED,
		nil,
	); err != nil ||
		!status.Stopped() {
		t.Fatalf("the process is not stopped: status %v, %v", status, err)
	}
	s.start(t)
}
