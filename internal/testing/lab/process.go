package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mothcleat/internal/testing/harness"
)

// Build compiles the gateway and returns the path of its binary.
func Build(ctx context.Context, dir string) (string, error) { return BuildTagged(ctx, dir, "") }

// BuildTagged does the same as Build, with a build tag.
func BuildTagged(ctx context.Context, dir, tag string) (string, error) {
	bin := filepath.Join(dir, "mothcleat")
	cmd := exec.CommandContext(ctx, "go", "build", "-tags", tag, "-o", bin,
		"mothcleat/cmd/mothcleat")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return bin, nil
}

// BuildInTempDir builds the gateway in a new temporary folder, for several worlds of one run; remove
// deletes the folder.
func BuildInTempDir(ctx context.Context) (bin string, remove func(), err error) {
	dir, err := os.MkdirTemp("", "mothcleat-bin-")
	if err != nil {
		return "", nil, err
	}
	remove = func() { _ = os.RemoveAll(dir) }
	if bin, err = Build(ctx, dir); err != nil {
		remove()
		return "", nil, err
	}
	return bin, remove, nil
}

// buildIfNone calls BuildInTempDir unless a binary is already named.
func buildIfNone(ctx context.Context, bin *string) (remove func(), err error) {
	if *bin != "" {
		return func() {}, nil
	}
	*bin, remove, err = BuildInTempDir(ctx)
	return remove, err
}

// Gateway is one instance: the real program as a process, which a scenario can restart under the same
// name and address.
type Gateway struct {
	Number       int
	Address      string // for clients
	Peer         string // for messages from other gateways
	dir          string
	bin          string
	args         []string
	rec          *harness.Record
	config       func(*Gateway) map[string]any
	env          []string // in addition to the rig's own
	listenerFile *os.File // the socket for clients if the rig holds it; nil: the process listens itself

	exitCodes sync.Map // exit codes (int) by process id

	mu            sync.Mutex
	pid           int    // 0: no process runs
	adminAddress  string // admin interface of the serving process; "": it has none
	predecessors  []int
	maxRSSKB      int           // the highest resident set size seen, in kB
	startedAt     time.Duration // when the current process was started
	expectedToRun bool          // if true, an exit counts as a crash
	readyIn       []time.Duration
}

// freeAddress returns an address on a host, at the first free port from the one given. Because the
// host is one that outgoing connections don't use, the address stays free while the gateway behind
// it restarts.
func freeAddress(network string, host netip.Addr, port int) (string, error) {
	for range 64 {
		address := netip.AddrPortFrom(host, uint16(port)).String()
		var err error
		if network == "udp" {
			var c net.PacketConn
			if c, err = net.ListenPacket("udp", address); err == nil {
				return address, c.Close()
			}
		} else {
			var l net.Listener
			if l, err = net.Listen("tcp", address); err == nil {
				return address, l.Close()
			}
		}
		port++
	}
	return "", fmt.Errorf("no free port at %s", host)
}

// worldCount counts the worlds of this process. Each world has separate hosts.
var worldCount atomic.Uint32

// hostOf returns host i of a world. A process that restarts must not listen on a port that the system
// assigns to others: while the process is down, another rig's server might get that port.
func hostOf(world uint32, i int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{
		127, byte(64 + pid%128), byte((int(world)*16 + pid/128%16) % 250), byte(1 + i%250),
	})
}

func newGateway(
	dir, bin string, args []string, rec *harness.Record, world uint32, i int,
) (*Gateway, error) {
	host := hostOf(world, i)
	g := &Gateway{
		Number: i,
		dir:    filepath.Join(dir, fmt.Sprintf("n%d", i)),
		bin:    bin,
		args:   args,
		rec:    rec,
	}
	if err := os.MkdirAll(g.dir, 0o700); err != nil {
		return nil, err
	}
	var err error
	if g.Address, err = freeAddress("tcp", host, 6379+i/250); err != nil {
		return nil, err
	}
	g.Peer, err = freeAddress("udp", host, 7946+i/250)
	return g, err
}

// Configure rewrites the configuration file, with the list of servers that the gateway's agent has.
func (g *Gateway) Configure() error {
	raw, err := json.Marshal(g.config(g))
	if err != nil {
		return err
	}
	// Replaced atomically, because a reload may read the file at any time.
	path := filepath.Join(g.dir, "config.json")
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Start starts a process. If that process exits unexpectedly, the record notes a crash.
func (g *Gateway) Start() error {
	if err := g.Configure(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pid != 0 {
		return errors.New("gateway: already runs")
	}
	pid, err := g.launch()
	if err != nil {
		return err
	}
	g.pid, g.expectedToRun, g.startedAt = pid, true, g.rec.Now()
	g.rec.AddProcessEvent(g.Number, harness.Started)
	return nil
}

// launch starts a process with the current configuration file.
func (g *Gateway) launch() (pid int, err error) {
	out, err := os.OpenFile(filepath.Join(g.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return 0, err
	}
	defer out.Close()
	cmd := exec.Command(g.bin, g.args...)
	cmd.Dir = g.dir
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(g.dir, "config.json"),
		"TMPDIR="+g.dir)
	cmd.Env = append(cmd.Env, g.env...)
	cmd.Stdout, cmd.Stderr = out, out
	if g.listenerFile != nil {
		cmd.ExtraFiles = []*os.File{g.listenerFile} // becomes descriptor 3
		cmd.Env = append(cmd.Env, "RELAY_INHERITED_FD=3")
	}
	// No process may outlive the rig, however the rig ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnStarterThread(cmd); err != nil {
		return 0, fmt.Errorf("gateway %d: %w", g.Number, err)
	}
	go func() {
		_ = cmd.Wait() // the log shows why it exited
		if cmd.ProcessState != nil {
			g.exitCodes.Store(cmd.Process.Pid, cmd.ProcessState.ExitCode())
		}
		g.recordExit(cmd.Process.Pid)
	}()
	return cmd.Process.Pid, nil
}

// exitCode returns a process's exit code, which is below 0 if a signal ended the process. The code is
// known only for processes that the rig itself started.
func (g *Gateway) exitCode(pid int) (code int, known bool) {
	for range exitCodePolls { // the code is stored shortly after the exit
		if value, known := g.exitCodes.Load(pid); known {
			return value.(int), true
		}
		time.Sleep(time.Millisecond)
	}
	return 0, false
}

const exitCodePolls = 200

// Dir returns the folder in which the gateway's processes run.
func (g *Gateway) Dir() string { return g.dir }

// SetEnv sets additional environment variables for processes that are started from now on.
func (g *Gateway) SetEnv(env ...string) { g.env = env }

// PID returns the id of the serving process; 0: none.
func (g *Gateway) PID() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pid
}

// AdminAddress returns the address of the gateway's admin interface.
func (g *Gateway) AdminAddress() string { return g.adminAddress }

// Log returns everything that the gateway's processes have logged.
func (g *Gateway) Log() string {
	raw, err := os.ReadFile(filepath.Join(g.dir, "log"))
	if err != nil {
		return ""
	}
	return string(raw)
}

// holdListener makes the rig hold the socket for clients, as a platform does, and gives the gateway
// an admin address.
func (g *Gateway) holdListener() error {
	l, err := net.Listen("tcp", g.Address)
	if err != nil {
		return err
	}
	defer l.Close()
	if g.listenerFile, err = l.(*net.TCPListener).File(); err != nil {
		return err
	}
	return g.newAdminAddress()
}

// startOnStarterThread starts a command from a thread that exists as long as the rig, because the
// kernel sends the parent-death signal when the thread that forked exits.
var startOnStarterThread = func() func(*exec.Cmd) error {
	type job struct {
		cmd *exec.Cmd
		err chan error
	}
	jobs := make(chan job)
	var once sync.Once
	return func(cmd *exec.Cmd) error {
		once.Do(func() {
			go runStarter(func() (*exec.Cmd, chan error) { j := <-jobs; return j.cmd, j.err })
		})
		j := job{cmd, make(chan error, 1)}
		jobs <- j
		return <-j.err
	}
}()

// recordExit records that a process has exited. It ignores a process that has handed over, because
// that is no longer the serving one.
func (g *Gateway) recordExit(pid int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if pid != g.pid {
		return
	}
	g.pid = 0
	if g.expectedToRun {
		if next := g.successor(pid); next != 0 {
			g.pid = next
			go g.watchExit(next)
			return
		}
		g.rec.AddProcessEvent(g.Number, harness.Crashed)
		return
	}
	g.rec.AddProcessEvent(g.Number, harness.Exited)
}

func (g *Gateway) pidFile() string { return filepath.Join(g.dir, "pid") }

// successor returns the process in the pid file if it is not old and still runs; 0 otherwise.
func (g *Gateway) successor(old int) int {
	raw, err := os.ReadFile(g.pidFile())
	if err != nil {
		return 0
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil || pid == old || !processRuns(pid) {
		return 0
	}
	return pid
}

// watchExit waits until a process exits that is not a child of the rig: one that has taken over.
func (g *Gateway) watchExit(pid int) {
	for processRuns(pid) {
		time.Sleep(10 * time.Millisecond)
	}
	g.recordExit(pid)
}

// processRuns reports whether a process runs, and reaps it if it is a zombie.
func processRuns(pid int) bool {
	state, exists := processState(pid)
	if exists && state == zombie {
		// The rig is the reaper of orphans, so it has to wait for them.
		_, _ = syscall.Wait4(pid, nil, syscall.WNOHANG, nil)
	}
	return exists && !hasEnded(state)
}

// The states of a process that has exited: not yet waited for, or being removed right now.
const (
	zombie = 'Z'
	dead   = 'X'
)

func hasEnded(state byte) bool { return state == zombie || state == dead }

// processState returns a process's state from /proc; exists is false if there is no such process.
func processState(pid int) (state byte, exists bool) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, false
	}
	i := bytes.LastIndexByte(raw, ')')
	if i < 0 || i+2 >= len(raw) {
		return 0, false
	}
	return raw[i+2], true
}

// Signal sends a signal to the serving process and records the event.
func (g *Gateway) Signal(s syscall.Signal) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pid == 0 {
		return errors.New("gateway: does not run")
	}
	switch s {
	case syscall.SIGKILL:
		g.expectedToRun = false
		g.rec.AddProcessEvent(g.Number, harness.Killed)
		for _, pid := range g.predecessors {
			_ = syscall.Kill(pid, s)
		}
	case syscall.SIGTERM:
		g.expectedToRun = false
		g.rec.AddProcessEvent(g.Number, harness.Stopping)
	case syscall.SIGHUP:
		g.rec.AddProcessEvent(g.Number, harness.Reloaded)
	case syscall.SIGUSR2:
		g.rec.AddProcessEvent(g.Number, harness.Handed)
	case syscall.SIGSTOP:
		g.rec.AddProcessEvent(g.Number, harness.Paused)
	case syscall.SIGCONT:
		g.rec.AddProcessEvent(g.Number, harness.Resumed)
	}
	g.sampleMemory()
	return syscall.Kill(g.pid, s)
}

// Expect records that the process will end by a signal that it sends to itself; 0 revokes that.
func (g *Gateway) Expect(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pid == 0 {
		return
	}
	if g.expectedToRun = s == 0; s == syscall.SIGKILL {
		g.rec.AddProcessEvent(g.Number, harness.Killed)
	}
}

// HandOver makes the process hand over to a new one and waits until the new one serves. It returns
// false if the context ends before that.
func (g *Gateway) HandOver(ctx context.Context) (bool, error) {
	g.mu.Lock()
	old := g.pid
	g.mu.Unlock()
	if err := g.Signal(syscall.SIGUSR2); err != nil {
		return false, err
	}
	for {
		if next := g.successor(old); next != 0 {
			g.mu.Lock()
			if g.pid == old {
				g.pid, g.startedAt = next, g.rec.Now()
				g.predecessors = append(g.predecessors[:0], old)
				go g.watchExit(next)
			}
			g.mu.Unlock()
			return true, nil
		}
		select {
		case <-ctx.Done():
			return false, nil
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Running reports whether a process serves.
func (g *Gateway) Running() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pid != 0
}

// WaitForExit waits until no process of this gateway runs.
func (g *Gateway) WaitForExit(ctx context.Context) error {
	for {
		g.mu.Lock()
		left := g.pid != 0
		for _, pid := range g.predecessors {
			left = left || processRuns(pid)
		}
		g.mu.Unlock()
		if !left {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("gateway %d: a process does not exit", g.Number)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Ready waits until the gateway answers PING and records how long its process took to become ready.
func (g *Gateway) Ready(ctx context.Context) error {
	for {
		if g.ping() {
			g.mu.Lock()
			g.readyIn = append(g.readyIn, g.rec.Now()-g.startedAt)
			g.mu.Unlock()
			g.rec.AddProcessEvent(g.Number, harness.Ready)
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("gateway %d: not ready: %w\n%s", g.Number, ctx.Err(), g.logTail())
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (g *Gateway) ping() bool {
	c, err := net.DialTimeout("tcp", g.Address, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = c.Write([]byte("*1\r\n$4\r\nPING\r\n"))
	buf := make([]byte, 7)
	n, _ := c.Read(buf)
	return string(buf[:n]) == "+PONG\r\n"
}

// sampleMemory updates the highest memory use seen. The caller holds the lock.
func (g *Gateway) sampleMemory() {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.pid))
	if err != nil {
		return
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			g.maxRSSKB = max(g.maxRSSKB, kb)
		}
	}
}

// Memory returns the highest memory use seen of a process of this gateway, in MB.
func (g *Gateway) Memory() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sampleMemory()
	return float64(g.maxRSSKB) / 1024
}

// logTail returns the last 2,000 bytes of the gateway's log.
func (g *Gateway) logTail() string {
	raw, err := os.ReadFile(filepath.Join(g.dir, "log"))
	if errors.Is(err, fs.ErrNotExist) {
		return "(no log)"
	}
	return string(raw[max(0, len(raw)-2000):])
}

// cpuSeconds returns the processor time that the serving process has used, in seconds.
func (g *Gateway) cpuSeconds() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100 // clock ticks
}
