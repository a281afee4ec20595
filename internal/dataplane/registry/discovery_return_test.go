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

// term is the time within which a change binds, once discovery has it and can be reached, whatever
// became of earlier calls.
const term = 6 * time.Second

// socket is a socket that the test has listen when it wants.
type socket struct {
	fd      int
	file    *os.File // owns the descriptor
	address string
}

// boundSocket returns a socket with an address at which nothing listens yet: connections are
// refused there.
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

// serve answers calls for the list where a socket listens.
func (s *socket) serve(t *testing.T, list string) {
	t.Helper()
	l, err := net.FileListener(s.file) // it has a descriptor of its own
	if err != nil {
		t.Error(err)
		return
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done() // a watch
			return
		}
		fmt.Fprint(w, list)
	})}
	t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(l) }()
}

const oneMember = `{"revision":4,"complete":true,"members":[{"id":"s"}]}`

// failing are the ways in which one call fails, or is held until its caller gives it up.
var failing = map[string]func(w http.ResponseWriter, r *http.Request){
	"turned away": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	"an error":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
	"a cut list":  func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, oneMember[:20]) },
	"reset": func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	},
	"silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	"silent amid the list": func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, oneMember[:20])
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	},
}

// pacesOfTheWorst returns pacers of a large fleet whose calls have failed for long, some of them by
// rejections.
func pacesOfTheWorst(asks bool) []*membership.Pacer {
	var paces []*membership.Pacer
	for seed := range uint64(12) {
		p := membership.NewPacer(300, seed)
		if !asks {
			p.SetPushed(2_000_000)
		}
		for n := range 12 {
			p.Failed(seed%2 == 0 && n < 6, 0)
		}
		paces = append(paces, p)
	}
	return paces
}

// Discovery that can be reached right after it has failed a call, or has let it hang, is called
// again, and answers, within the term: also in a large fleet, after a long row of failed calls.
func TestReturningDiscoveryIsReachedInTime(t *testing.T) {
	t.Parallel() // the delays are seconds
	var all sync.WaitGroup
	defer all.Wait()
	for name, fail := range failing {
		for _, asks := range []bool{false, true} {
			what := fmt.Sprintf("%s, asks %t", name, asks)
			for _, pace := range pacesOfTheWorst(asks) {
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
				told := follow(
					t,
					NewPlatform(
						strings.TrimPrefix(s.URL, "http://"),
						asks,
						pace,
						quiet(),
					).following(),
				)
				all.Go(func() { heardInTime(t, what, told, &reachable) })
			}
		}
	}
}

// following has a source followed from the start.
func (d *Platform) following() *Platform {
	d.Follow()
	return d
}

// heardInTime waits for the list, and checks how long it took against the term.
func heardInTime(
	t *testing.T,
	what string,
	told <-chan Update,
	reachable *atomic.Pointer[time.Time],
) {
	for late := time.After(patience); ; {
		select {
		case n := <-told:
			if n.Kind == Unavailable {
				continue
			}
			if took := time.Since(*reachable.Load()); took > term {
				t.Errorf(
					"%s: heard %v after discovery could be reached, want at most %v",
					what,
					took,
					term,
				)
			}
		case <-late:
			t.Error(what, ": nothing was heard")
		}
		return
	}
}

// failures is a log that reports each call that failed.
type failures struct {
	slog.Handler
	seen chan struct{}
}

func (f failures) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "discovery" {
		select {
		case f.seen <- struct{}{}:
		default:
		}
	}
	return nil
}

// The same holds where nothing listened, and the next moment something does.
func TestDiscoveryAfterRefusalsIsReachedInTime(t *testing.T) {
	t.Parallel()
	var all sync.WaitGroup
	defer all.Wait()
	for _, asks := range []bool{false, true} {
		for _, pace := range pacesOfTheWorst(asks) {
			socket := boundSocket(t)
			seen := make(chan struct{}, 1)
			log := slog.New(failures{quiet().Handler(), seen})
			told := follow(t, NewPlatform(socket.address, asks, pace, log).following())
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
				heardInTime(t, fmt.Sprintf("refused, asks %t", asks), told, &reachable)
			})
		}
	}
}

// Dials that nobody answers would go on for minutes, and each holds one of the few connections:
// when discovery's machine is back, a new connection must be possible at once.
func TestHungDialsMakeRoomForOthers(t *testing.T) {
	t.Parallel()
	socket := boundSocket(t)
	if err := syscall.Listen(socket.fd, 0); err != nil {
		t.Fatal(err)
	}
	filler, err := net.Dial(
		"tcp",
		socket.address,
	) // the one that the queue holds: the system drops what else comes
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
	told := follow(t, p)
	for n := range 2*maxConcurrentCalls + 1 {
		select {
		case <-begun:
		case <-time.After(patience):
			t.Fatalf(
				"%d dials were begun, and then no other: those that hang hold all the places",
				n,
			)
		}
	}
	now := time.Now()
	var reachable atomic.Pointer[time.Time]
	reachable.Store(&now)
	socket.serve(t, oneMember)
	heardInTime(t, "dials that hang", told, &reachable)
}
