package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds what a case has started and its record.
type world struct {
	trouble bool // with the disruption
	start   time.Time
	runLine string // the deploy file's run command
	dir     string // temporary

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	gateways []*gateway
}

var runPattern = regexp.MustCompile(`(?m)^run = "(.*)"`)

func newWorld(record string, trouble bool) (*world, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	line := runPattern.FindSubmatch(deploy)
	if line == nil {
		return nil, errors.New("no run command in the deploy file")
	}
	w := &world{
		trouble: trouble,
		start:   time.Now(),
		runLine: string(line[1]),
	}
	if w.dir, err = os.MkdirTemp("", "second-"); err != nil {
		return nil, err
	}
	if w.file, err = os.Create(record); err != nil {
		return nil, err
	}
	w.record = bufio.NewWriter(w.file)
	w.note("trouble: %v; run: %s", trouble, w.runLine)
	return w, nil
}

// write adds a line to the record.
func (w *world) write(format string, args ...any) string {
	line := fmt.Sprintf("%9.3f ", time.Since(w.start).Seconds()) + fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record != nil {
		fmt.Fprintln(w.record, line)
	}
	return line
}

// note adds a line to the record and prints it.
func (w *world) note(format string, args ...any) { fmt.Println(w.write(format, args...)) }

// end ends all gateways that still run.
func (w *world) end() {
	for _, g := range w.gateways {
		g.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record == nil {
		return
	}
	_ = w.record.Flush()
	_ = w.file.Close()
	w.record = nil
	_ = os.RemoveAll(w.dir)
}

// gateway is a gateway's place: its addresses and the process that serves there, if any.
type gateway struct {
	world  *world
	number int
	name   string
	listen string
	manage string // the operators' address
	config map[string]any

	starts  int
	process *exec.Cmd
	exited  chan struct{}
}

// freeAddress returns a loopback address that nobody uses, below the ports that the system gives to
// outgoing connections.
func freeAddress(network string) (address string, err error) {
	for range 100 {
		address = fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		var c io.Closer
		if network == "udp" {
			c, err = net.ListenPacket("udp", address)
		} else {
			c, err = net.Listen("tcp", address)
		}
		if err == nil {
			return address, c.Close()
		}
	}
	return "", err
}

// site is what the configurations of all gateways have in common.
type site struct {
	settings  map[string]any // without self-index and balancers
	sockets   int
	discovery *discovery
	counter   string
}

// addGateways makes the places of n gateways, and starts them.
func (w *world) addGateways(n int, s site) error {
	var peers, listens []string
	for range n {
		listen, err := freeAddress("tcp")
		if err != nil {
			return err
		}
		peer, err := freeAddress("udp")
		if err != nil {
			return err
		}
		listens = append(listens, listen)
		peers = append(peers, peer)
	}
	for i := range n {
		manage, err := freeAddress("tcp")
		if err != nil {
			return err
		}
		settings := map[string]any{"self-index": i, "balancers": n}
		for name, value := range s.settings {
			settings[name] = value
		}
		name := fmt.Sprintf("n%d", i)
		w.gateways = append(w.gateways, &gateway{
			world: w, number: i, name: name, listen: listens[i], manage: manage,
			config: map[string]any{
				"name": name, "listen": listens[i], "discovery": s.discovery.address,
				"management": manage,
				"limits": map[string]any{
					"cores": 1.0, "memory_mb": 192, "sockets": s.sockets,
				},
				"peer_listen": peers[i], "peers": peers, "counter": s.counter,
				"known": s.discovery.known(), "settings": settings,
			},
		})
	}
	for _, g := range w.gateways {
		if err := g.startProcess(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// startProcess starts the run command at the gateway's addresses.
func (g *gateway) startProcess() error {
	g.starts++
	dir := filepath.Join(g.world.dir, fmt.Sprintf("%s-%d", g.name, g.starts))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	g.config["seed"] = fmt.Sprintf("%016x", 0x8c1f30d27a5be964+uint64(g.number*1000+g.starts))
	text, err := json.Marshal(g.config)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return err
	}
	defer log.Close()
	tmp := filepath.Join(dir, "tmp")
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return err
	}
	cmd := exec.Command("/bin/sh", "-c", g.world.runLine)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.Env = append(os.Environ(),
		"RELAY_NAME="+g.name, "RELAY_LISTEN="+g.listen,
		fmt.Sprint("RELAY_DISCOVERY=", g.config["discovery"]),
		"RELAY_MANAGEMENT="+g.manage, "RELAY_CONFIG="+path, "TMPDIR="+tmp)
	if err := cmd.Start(); err != nil {
		return err
	}
	g.process = cmd
	g.exited = make(chan struct{})
	exited := g.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	g.world.write("start %s at %s", g.name, g.listen)
	return nil
}

// running reports whether the gateway's process runs.
func (g *gateway) running() bool {
	if g.process == nil {
		return false
	}
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the gateway's process.
func (g *gateway) signal(s syscall.Signal) {
	g.world.write("signal %v to %s", s, g.name)
	_ = g.process.Process.Signal(s)
}

// kill ends the gateway's process at once.
func (g *gateway) kill() {
	if !g.running() {
		return
	}
	g.signal(syscall.SIGKILL)
	<-g.exited
}

// awaitReady waits until the gateway answers PING.
func (g *gateway) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if g.ping() {
			g.world.write("%s is ready", g.name)
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	log, _ := os.ReadFile(filepath.Join(
		g.world.dir, fmt.Sprintf("%s-%d", g.name, g.starts), "log"))
	return fmt.Errorf("%s is not ready: %s", g.name, strings.TrimSpace(string(log)))
}

func (g *gateway) ping() bool {
	c, err := net.DialTimeout("tcp", g.listen, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.Write(command("PING")); err != nil {
		return false
	}
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line == "+PONG\r\n"
}
