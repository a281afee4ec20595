package clientlab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/lab"
)

// The platform's smallest limits.
const (
	memoryMB = 96
	sockets  = 512
)

const (
	backendCount    = 4
	readyTimeout    = 10 * time.Second
	readyPoll       = 5 * time.Millisecond
	memoryPoll      = 20 * time.Millisecond
	deduplicateOver = 30 * time.Second
)

// The classes of requests.
const (
	lookupClass = "lookup" // idempotent
	alertClass  = "alert"  // with an idempotency key
	orderClass  = "order"  // not idempotent
)

const (
	lookupLimit = 3 * time.Second
	alertLimit  = 15 * time.Second
)

var errNotReady = errors.New("the gateway is not ready")

// world is one gateway process and its stand-ins.
type world struct {
	dir      string
	address  string // of the gateway, for clients
	process  *exec.Cmd
	exited   chan struct{}
	backends []*backend
	register *http.Server
	changes  chan member // for the gateway's watch
	ids      idSource
	remove   func()
}

// newWorld starts the stand-ins and the gateway. The backends answer as the disturbance says.
func newWorld(ctx context.Context, d disturbance) (*world, error) {
	bin, remove, err := lab.BuildInTempDir(ctx)
	if err != nil {
		return nil, err
	}
	w := &world{remove: remove, dir: filepath.Dir(bin), changes: make(chan member, 16)}
	for i := range backendCount {
		b, err := newBackend(i, "127.0.0.1:0", d.serve, d.slowBackends)
		if err != nil {
			return nil, errors.Join(err, w.close())
		}
		w.backends = append(w.backends, b)
	}
	if err := w.startGateway(ctx, bin); err != nil {
		return nil, errors.Join(err, w.close())
	}
	return w, nil
}

// member is a backend as discovery lists it.
type member struct {
	ID       string `json:"id"`
	HostPort string `json:"host_port"`
	Locality string `json:"locality"`
	Cell     int    `json:"cell"`
	Phase    string `json:"phase"`
	Size     int    `json:"size"`
	UpSince  int64  `json:"up_since_ms"`
}

// list is discovery's answer: all members, or those that have changed.
type list struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

func (b *backend) member(phase string) member {
	return member{
		ID: b.id, HostPort: b.listener.Addr().String(), Locality: "a", Cell: 1, Phase: phase,
		Size: 1,
	}
}

// members is discovery's list of the backends at the start.
func (w *world) members() list {
	all := list{Revision: 1, Complete: true}
	for _, b := range w.backends {
		all.Members = append(all.Members, b.member("Ready"))
	}
	return all
}

// announce has discovery tell a change.
func (w *world) announce(m member) { w.changes <- m }

// serveRegister answers calls to discovery: one for the whole list, and watches, each of which ends
// with the next change.
func (w *world) serveRegister(out http.ResponseWriter, in *http.Request) {
	wait := in.URL.Query().Get("wait")
	if wait == "" {
		_ = json.NewEncoder(out).Encode(w.members())
		return
	}
	revision, _ := strconv.Atoi(in.URL.Query().Get("index"))
	answer := list{Revision: revision, Members: []member{}}
	millis, _ := strconv.Atoi(wait)
	select {
	case <-in.Context().Done():
		return
	case m := <-w.changes:
		answer.Revision++
		answer.Members = append(answer.Members, m)
	case <-time.After(time.Duration(millis) * time.Millisecond):
	}
	_ = json.NewEncoder(out).Encode(answer)
}

func (w *world) startGateway(ctx context.Context, bin string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.register = &http.Server{Handler: http.HandlerFunc(w.serveRegister)}
	go func() { _ = w.register.Serve(listener) }()
	if w.address, err = freeAddress(); err != nil {
		return err
	}
	path := filepath.Join(w.dir, "config.json")
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": w.address, "discovery": listener.Addr().String(),
		"seed": "8c1f30d27a5be964", "known": w.members(), "settings": settings(),
		"limits": map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	w.process = exec.CommandContext(ctx, bin)
	w.process.Env = append(os.Environ(), "RELAY_CONFIG="+path, "TMPDIR="+w.dir)
	w.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if log := os.Getenv("CLIENTLAB_LOG"); log != "" {
		if w.process.Stderr, err = os.Create(log); err != nil {
			return err
		}
	}
	if err := w.process.Start(); err != nil {
		return err
	}
	w.exited = make(chan struct{})
	go func() {
		_ = w.process.Wait()
		close(w.exited)
	}()
	return w.awaitReady()
}

// awaitReady waits until the gateway answers PING.
func (w *world) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPoll) {
		c, err := w.dial()
		if err != nil {
			continue
		}
		answer, err := c.do([]string{"PING"}, time.Second)
		_ = c.Close()
		if err == nil && answer == "+PONG" {
			return nil
		}
	}
	return errNotReady
}

// running reports whether the gateway's process runs.
func (w *world) running() bool {
	select {
	case <-w.exited:
		return false
	default:
		return true
	}
}

// watchMemory returns a function that returns the largest resident set since the call, in MB.
func (w *world) watchMemory() (peak func() float64) {
	end := make(chan struct{})
	largest := make(chan float64)
	go func() {
		most := 0.0
		for {
			select {
			case <-end:
				largest <- most
				return
			case <-time.After(memoryPoll):
				most = max(most, w.residentMB())
			}
		}
	}()
	return func() float64 {
		close(end)
		return <-largest
	}
}

func (w *world) residentMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.process.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	kb := 0.0
	_, _ = fmt.Sscan(after, &kb)
	return kb / 1024
}

// close ends all that was started.
func (w *world) close() error {
	if w.process != nil && w.process.Process != nil && w.exited != nil {
		_ = w.process.Process.Kill()
		<-w.exited
	}
	if w.register != nil {
		_ = w.register.Close()
	}
	for _, b := range w.backends {
		_ = b.listener.Close()
	}
	w.remove()
	return nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// settings returns the platform's settings: three classes, a plan that no run exhausts, and a
// small one.
func settings() map[string]any {
	site := harness.Site{
		Gateways: 1, MaxAttempts: 3, SlowStartMinFraction: 1, SlowStartDuration: time.Second,
		OverloadWindow: time.Second, DrainTimeout: 2 * time.Second,
		Classes: []harness.Class{
			{Name: lookupClass, LatencyTarget: time.Second, GiveUp: lookupLimit, Value: 1},
			{
				Name: alertClass, LatencyTarget: 4 * time.Second, GiveUp: alertLimit, Value: 3,
				Keyed: true, DeduplicationWindow: deduplicateOver,
			},
			{
				Name: orderClass, LatencyTarget: time.Second, GiveUp: lookupLimit, Value: 1,
				Unsafe: true,
			},
		},
		Plans: []harness.Plan{
			{Name: "team", Rate: 1e5, Burst: 1e5, Price: 1},
			{Name: "small", Rate: 1, Burst: 10, Price: 1},
		},
	}
	return site.Settings(0)
}
