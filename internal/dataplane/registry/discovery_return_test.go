package registry

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/dataplane/membership"
)

// updateDeadline is the time within which a gateway must act on a change once discovery has it and is
// reachable, whatever happened to earlier calls.
const updateDeadline = 6 * time.Second

// socket is a bound socket on which the test starts to listen at a time of its choice.
type socket struct {
	fd      int
	file    *os.File // owns the descriptor
	address string
}

// boundSocket returns a socket that is bound to an address but does not listen yet, so that
// connections to the address are refused.
func boundSocket(t *testing.T) *socket {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	s := &socket{fd: fd, file: os.NewFile(uintptr(fd), "discovery")}
	t.Cleanup(func() { s.file.Close() })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	s.address = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	return s
}

// serve answers calls for the list on a listening socket.
func (s *socket) serve(t *testing.T, list string) {
	t.Helper()
	l, err := net.FileListener(s.file) // duplicates the descriptor
	if err != nil {
		t.Error(err)
		return
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done() // holds a watch
			return
		}
		fmt.Fprint(w, list)
	})}
	t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(l) }()
}

const oneMember = `{"revision":4,"complete":true,"members":[{"id":"s"}]}`

// failureModes are the ways in which one call fails, or is held until its caller abandons it.
var failureModes = map[string]func(w http.ResponseWriter, r *http.Request){
	"rejected":         func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	"an error":         func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
	"a truncated list": func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, oneMember[:20]) },
	"reset": func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	},
	"silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	"silent within the list": func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, oneMember[:20])
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	},
}

// pacersAfterFailures returns pacers of a large fleet whose calls have failed many times in a row,
// some of them by rejections.
func pacersAfterFailures(polled bool) []*membership.Pacer {
	var pacers []*membership.Pacer
	for seed := range uint64(12) {
		p := membership.NewPacer(300, seed)
		if !polled {
			p.SetPushed(2_000_000)
		}
		for n := range 12 {
			p.Failed(seed%2 == 0 && n < 6, 0)
		}
		pacers = append(pacers, p)
	}
	return pacers
}

// If discovery becomes reachable right after it has failed a call or left it hanging, it is called
// again and its answer arrives within updateDeadline, even in a large fleet after many failed calls.
func TestReturningDiscoveryIsReachedInTime(t *testing.T) {
	t.Parallel() // the delays are seconds
	var all sync.WaitGroup
	defer all.Wait()
	for name, fail := range failureModes {
		for _, polled := range []bool{false, true} {
			what := fmt.Sprintf("%s, polled %t", name, polled)
			for _, pacer := range pacersAfterFailures(polled) {
				var reachable atomic.Pointer[time.Time]
				s := httptest.NewServer(
					http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if now := time.Now(); reachable.CompareAndSwap(nil, &now) {
							fail(w, r)
							return
						}
						fmt.Fprint(w, oneMember)
					}),
				)
				t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
				updates := follow(
					t,
					NewPlatform(
						strings.TrimPrefix(s.URL, "http://"),
						polled,
						pacer,
						quiet(),
					).startFollowing(),
				)
				all.Go(func() { expectUpdateInTime(t, what, updates, &reachable) })
			}
		}
	}
}

// startFollowing calls Follow and returns the source.
func (d *Platform) startFollowing() *Platform {
	d.Follow()
	return d
}

// expectUpdateInTime waits for the list, and checks that it arrived within updateDeadline after
// discovery was reachable.
func expectUpdateInTime(
	t *testing.T,
	what string,
	updates <-chan Update,
	reachable *atomic.Pointer[time.Time],
) {
	for late := time.After(patience); ; {
		select {
		case u := <-updates:
			if u.Kind == Unavailable {
				continue
			}
			if took := time.Since(*reachable.Load()); took > updateDeadline {
				t.Errorf(
					"%s: received %v after discovery was reachable, want at most %v",
					what,
					took,
					updateDeadline,
				)
			}
		case <-late:
			t.Error(what, ": no update was received")
		}
		return
	}
}

// failureLog is a log handler that reports each failed call on a channel.
type failureLog struct {
	slog.Handler
	seen chan struct{}
}

func (f failureLog) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "discovery" {
		select {
		case f.seen <- struct{}{}:
		default:
		}
	}
	return nil
}

// If nothing listens at discovery's address, and then a server starts there, its answer also arrives
// within updateDeadline.
func TestDiscoveryAfterRefusalsIsReachedInTime(t *testing.T) {
	t.Parallel()
	var all sync.WaitGroup
	defer all.Wait()
	for _, polled := range []bool{false, true} {
		for _, pacer := range pacersAfterFailures(polled) {
			socket := boundSocket(t)
			seen := make(chan struct{}, 1)
			log := slog.New(failureLog{quiet().Handler(), seen})
			updates := follow(t, NewPlatform(socket.address, polled, pacer, log).startFollowing())
			all.Go(func() {
				select {
				case <-seen:
				case <-time.After(patience):
					t.Error("no call was refused")
					return
				}
				now := time.Now()
				var reachable atomic.Pointer[time.Time]
				reachable.Store(&now)
				if err := syscall.Listen(socket.fd, 16); err != nil {
					t.Error(err)
					return
				}
				socket.serve(t, oneMember)
				expectUpdateInTime(t, fmt.Sprintf("refused, polled %t", polled), updates, &reachable)
			})
		}
	}
}

// Without a timeout, unanswered dials would hang for minutes, and each occupies one of the few
// connections that are allowed. When discovery's machine is back, a new connection must be possible
// at once.
func TestHungDialsMakeRoomForOthers(t *testing.T) {
	t.Parallel()
	socket := boundSocket(t)
	if err := syscall.Listen(socket.fd, 0); err != nil {
		t.Fatal(err)
	}
	filler, err := net.Dial(
		"tcp",
		socket.address,
	) // fills the accept queue, so that the system drops further connection attempts
	if err != nil {
		t.Fatal(err)
	}
	defer filler.Close()
	p := NewPlatform(socket.address, false, membership.NewPacer(300, 7).SetPushed(200_000), quiet())
	begun := make(chan struct{}, 1024)
	p.client.dialer.Control = func(string, string, syscall.RawConn) error {
		begun <- struct{}{}
		return nil
	}
	updates := follow(t, p)
	for n := range 2*maxConcurrentCalls + 1 {
		select {
		case <-begun:
		case <-time.After(patience):
			t.Fatalf(
				"no further dial after %d: the hanging ones occupy all connections",
				n,
			)
		}
	}
	now := time.Now()
	var reachable atomic.Pointer[time.Time]
	reachable.Store(&now)
	socket.serve(t, oneMember)
	expectUpdateInTime(t, "hanging dials", updates, &reachable)
}
