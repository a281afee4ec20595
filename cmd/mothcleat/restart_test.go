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
	patience    = 30 * time.Second // for any event
	readyWithin = 10 * time.Second // the term: nine in ten restarted processes are ready by then. Here each has to be.
)

// restartedOperators names the operators' file of a process that the tests start.
const restartedOperators = "MOTHCLEAT_TEST_OPERATORS"

// TestRestartedProcess is no test but the process that the next ones start.
func TestRestartedProcess(t *testing.T) {
	path := os.Getenv(restartedOperators)
	if path == "" {
		return
	}
	if err := run(path); err != nil {
		t.Fatal(err)
	}
}

// site is where a process is started over and over.
type site struct {
	address  string
	config   string
	operator string
	dir      string   // for what a process leaves
	listener *os.File // the platform's; nil: the process listens by itself
}

// newSite makes one with a discovery that is silent and a state that is kept.
func newSite(t *testing.T, platformListens bool) *site {
	t.Helper()
	silent := httptest.NewServer(
		http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }),
	)
	t.Cleanup(func() { silent.CloseClientConnections(); silent.Close() })
	dir, err := os.MkdirTemp("", "mc") // a short name: a Unix socket's path may lie in it
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	s := &site{dir: dir}
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
		s.address = heldPort(t)
	}
	text := strings.Replace(
		head,
		"127.0.0.1:0",
		s.address,
		1,
	) + fmt.Sprintf(
		`%q,"name":"n0"}`,
		strings.TrimPrefix(silent.URL, "http://"),
	)
	s.config = write(t, "config.json", text)
	s.operator = write(
		t,
		"operators.toml",
		fmt.Sprintf("[state]\nfile = %q\nevery = \"50ms\"\n", filepath.Join(dir, "state")),
	)
	return s
}

// heldPort is an address that a process may listen at, and nobody else is given meanwhile.
func heldPort(t *testing.T) string {
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

// process is one that a test has started.
type process struct {
	cmd *exec.Cmd
	log chan struct{} // closed when all of its log is read
}

// start starts a process and waits until it answers PING; it has to in time.
func (s *site) start(t *testing.T) *process {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^TestRestartedProcess$")
	cmd.Env = append(
		os.Environ(),
		restartedOperators+"="+s.operator,
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
	began := time.Now()
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
		t.Fatalf("it has ended:\n%s", lines.String())
	case <-time.After(patience):
		t.Fatal("it is not ready")
	}
	s.ping(t)
	if took := time.Since(began); took > readyWithin {
		t.Errorf("ready after %v, want %v at most", took, readyWithin)
	}
	return p
}

// ping asks for +PONG.
func (s *site) ping(t *testing.T) {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(conn).ReadString('\n'); line != "+PONG\r\n" {
		t.Fatalf("%q, %v", line, err)
	}
}

// end ends a process by a signal and waits for its end.
func (p *process) end(by os.Signal) {
	if p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Signal(by)
		<-p.log
		_ = p.cmd.Wait()
	}
}

// A process that is killed, or told to end, is followed by one that is ready in time, while
// discovery is silent: by itself, and on the platform's socket.
func TestRestartedProcessesAreReady(t *testing.T) {
	for _, platformListens := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform listens %t", platformListens), func(t *testing.T) {
			t.Parallel() // each start waits for discovery first
			s := newSite(t, platformListens)
			for _, by := range []os.Signal{syscall.SIGKILL, syscall.SIGTERM, syscall.SIGKILL} {
				s.start(t).end(by)
			}
			s.start(t)
		})
	}
}

// A process on the platform's socket asks the one before for its place; one that is stopped never
// answers, and holds nobody up for longer than the term.
func TestReadyBesideAProcessThatHangs(t *testing.T) {
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
		t.Fatalf("%v, %v", status, err)
	}
	s.start(t)
}
