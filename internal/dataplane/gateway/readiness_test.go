package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/snapshot"
	"mothcleat/internal/storage/store"
)

// maxReadyTime is the time within which nine of ten restarted processes must be ready. These tests
// require it of every one.
const maxReadyTime = 10 * time.Second

// startWithinReadyTime starts a gateway and waits for the answer to its first PING.
func startWithinReadyTime(t *testing.T, cfg Config) *testGateway {
	t.Helper()
	start := time.Now()
	r := startGateway(t, cfg)
	if elapsed := time.Since(start); elapsed > maxReadyTime {
		t.Errorf("ready after %v, want at most %v", elapsed, maxReadyTime)
	}
	return r
}

// newBoundSocket returns a socket that is bound to an address but does not listen.
func newBoundSocket(t *testing.T) (fd int, address string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fd, fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// failingDiscoveries are discovery services that serve no list. Each function starts one and
// returns its address.
var failingDiscoveries = map[string]func(t *testing.T) (address string){
	"refuses connections": func(t *testing.T) string {
		_, address := newBoundSocket(t)
		return address
	},
	"can't be reached": func(t *testing.T) string {
		fd, address := newBoundSocket(t)
		if err := syscall.Listen(fd, 0); err != nil {
			t.Fatal(err)
		}
		filler, err := net.Dial(
			"tcp",
			address,
		) // fills the listener's backlog: the system drops further connection requests
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { filler.Close() })
		return address
	},
	"does not answer": discoveryWithHandler(
		func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	),
	"is unavailable": discoveryWithHandler(
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	),
	"serves no JSON": discoveryWithHandler(
		func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "<html>") },
	),
	"hangs in the middle of the list": discoveryWithHandler(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"revision":4,"complete":true,"members":[{"id"`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}),
}

// discoveryWithHandler returns a function that starts an HTTP server and returns its address.
func discoveryWithHandler(f http.HandlerFunc) func(t *testing.T) string {
	return func(t *testing.T) string {
		s := httptest.NewServer(f)
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		return strings.TrimPrefix(s.URL, "http://")
	}
}

// A gateway that starts while discovery serves no list becomes ready nevertheless and uses the list
// in its configuration, whether lists are pushed or polled.
func TestReadyWithoutDiscovery(t *testing.T) {
	for name, discovery := range failingDiscoveries {
		for _, mode := range []string{"pushed", "on_request"} {
			t.Run(name+", "+mode, func(t *testing.T) {
				t.Parallel() // each start waits for discovery first
				b := newFakeBackend(t)
				cfg := testConfig(t, newFakeDiscovery(t), func(f map[string]any) {
					f["discovery"] = discovery(t)
					f["known"] = json.RawMessage(
						`{"revision":41,"complete":true,"members":[` + b.memberJSON(
							"s-00000001",
							"Ready",
						) + `]}`,
					)
					f["settings"] = json.RawMessage(
						strings.Replace(
							settingsText,
							`"membership-mode":"pushed"`,
							fmt.Sprintf(`"membership-mode":%q`, mode),
							1,
						),
					)
				})
				r := startWithinReadyTime(t, cfg)
				c := r.dialClient(t)
				c.sendLookup(1, "60000")
				b.nextCommand(t).replyValue(t, "ok")
				c.wantValue("ok")
			})
		}
	}
}

// writeSnapshot runs a gateway until it has stored a snapshot, and returns the snapshot's path and
// the gateway's configuration.
func writeSnapshot(t *testing.T) (path string, cfg Config) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "state")
	b := newFakeBackend(t)
	cfg = testConfig(t, newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready")), nil)
	cfg.Restart = Restart{
		Store:            openSnapshotFile(t, path),
		SnapshotInterval: 50 * time.Millisecond,
		MaxSnapshotAge:   time.Hour,
	}
	r := startGateway(t, cfg)
	c := r.dialClient(t)
	c.sendLookup(1, "60000")
	b.nextCommand(t).replyValue(t, "ok")
	c.wantValue("ok")
	r.beginShutdown()
	wait(t, r.exited, "the gateway's end")
	return path, cfg
}

// openSnapshotFile opens the snapshot store at a path.
func openSnapshotFile(t *testing.T, path string) *snapshot.File {
	t.Helper()
	f, err := snapshot.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// forEachFile calls a function for each file in a directory.
func forEachFile(t *testing.T, dir string, change func(path string) error) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil || len(entries) == 0 {
		t.Fatalf("%d files, %v", len(entries), err)
	}
	for _, e := range entries {
		if err := change(filepath.Join(dir, e.Name())); err != nil {
			t.Fatal(err)
		}
	}
}

// A gateway becomes ready whatever it finds in place of its snapshot: a valid one, a damaged one,
// one that another process has locked, another file, nothing, or a path that it can't create.
func TestReadyWithAnySnapshot(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T, path string){
		"valid": func(*testing.T, string) {},
		"none": func(t *testing.T, path string) {
			if err := os.RemoveAll(path); err != nil {
				t.Fatal(err)
			}
		},
		"truncated": func(t *testing.T, path string) {
			forEachFile(t, path, func(path string) error {
				info, err := os.Stat(path)
				if err != nil {
					return err
				}
				return os.Truncate(path, info.Size()/2)
			})
		},
		"overwritten": func(t *testing.T, path string) {
			forEachFile(t, path, func(path string) error { return os.WriteFile(path, []byte(strings.Repeat("spoilt\x00", 500)), 0o600) })
		},
		"a foreign file": func(t *testing.T, path string) {
			if err := errors.Join(os.RemoveAll(path), os.WriteFile(path, []byte("something else"), 0o600)); err != nil {
				t.Fatal(err)
			}
		},
		"locked by another process": func(t *testing.T, path string) {
			other, err := store.Open(path, store.Options{})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { other.Close() })
		},
		"no directory": func(t *testing.T, path string) {
			if err := os.RemoveAll(filepath.Dir(path)); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // a shutdown takes half a second
			path, cfg := writeSnapshot(t)
			cfg.Restart.Store = openSnapshotFile(t, path)
			prepare(t, path)
			r := startWithinReadyTime(t, cfg)
			if n := onEventLoop(
				t,
				r.gateway,
				func(g *Gateway) int { return g.balancer.TakeSnapshot(g.now(), false).Version },
			); n != policy.SnapshotVersion {
				t.Errorf("snapshot version %d, want %d", n, policy.SnapshotVersion)
			}
		})
	}
}

// A request that arrived before the process accepted connections has waited in the listener's
// backlog. Its deadline counts from then, and the backend is sent no longer timeout than may be
// left.
func TestTimeInBacklogCountsAgainstDeadline(t *testing.T) {
	b := newFakeBackend(t)
	d := newFakeDiscovery(t, b.memberJSON("s-1", "Ready"))
	const waited = 400 * time.Millisecond
	var early net.Conn
	r := startGatewayWith(t, testConfig(t, d, nil), func(g *Gateway) {
		var err error
		if early, err = net.Dial("tcp", g.clients.listener.Addr().String()); err != nil {
			t.Fatal(err)
		}
		request := &testClient{t: t, conn: early}
		request.sendLookup(1, "2000")
		g.backlogSince -= waited.Microseconds() // in place of a sleep
	})
	defer early.Close()
	call := b.nextCommand(t)
	var sentMS int64
	for field := range strings.SplitSeq(string(call.args[3]), ",") {
		if value, ok := strings.CutPrefix(field, "d="); ok {
			sentMS, _ = strconv.ParseInt(value, 10, 64)
		}
	}
	if leftMS := 2000 - waited.Milliseconds(); sentMS <= 0 || sentMS > leftMS {
		t.Errorf("the backend was sent a timeout of %d ms, want at most %d ms", sentMS, leftMS)
	}
	call.replyValue(t, "early")
	later := r.dialClient(t)
	later.send("PING")
	later.wantLine("+PONG")
}
