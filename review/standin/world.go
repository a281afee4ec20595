package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// world is a running deployment: servers, one agent of discovery for each gateway, and gateways.
type world struct {
	deployment
	record    *record
	dir       string
	servers   []*server
	configs   []map[string]any
	addresses []string // of the gateways, for clients
	processes []*process

	// holdSockets says that the platform holds the gateways' sockets for clients, which it does
	// for upgrades.
	holdSockets bool
	sockets     []*os.File
}

// newWorld starts the servers, and prepares the gateways without starting them.
func newWorld(d deployment, rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{deployment: d, record: rec, dir: dir}
	for i := range d.servers {
		s, err := newServer(fmt.Sprintf("s-%08x", 0x1000+i), rec)
		if err != nil {
			return w, err
		}
		w.servers = append(w.servers, s)
	}
	var peers []string
	for range d.gateways {
		peer, err := freeAddress("udp", "127.0.0.1")
		if err != nil {
			return w, err
		}
		peers = append(peers, peer)
	}
	for i := range d.gateways {
		cfg, err := w.config(i, peers)
		if err != nil {
			return w, err
		}
		w.configs = append(w.configs, cfg)
	}
	return w, nil
}

// config returns a gateway's configuration, and starts its agent of discovery.
func (w *world) config(i int, peers []string) (map[string]any, error) {
	agent, err := newDiscovery()
	if err != nil {
		return nil, err
	}
	for _, s := range w.servers {
		agent.add(s.name, s.address())
	}
	listen, err := freeAddress("tcp", fmt.Sprintf("127.0.%d.1", 50+i))
	if err != nil {
		return nil, err
	}
	management, err := freeAddress("tcp", fmt.Sprintf("127.0.%d.1", 50+i))
	if err != nil {
		return nil, err
	}
	known, _ := agent.list()
	w.addresses = append(w.addresses, listen)
	return map[string]any{
		"name": fmt.Sprintf("n%d", i), "listen": listen, "discovery": agent.address(),
		"seed":        fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"peer_listen": peers[i], "peers": peers, "management": management,
		"known": known, "settings": w.settings(i),
	}, nil
}

// start starts the servers and the gateways, and waits until these are ready.
func (w *world) start() error {
	for _, s := range w.servers {
		go s.serve()
	}
	for i := range w.configs {
		if w.holdSockets {
			if err := w.holdSocket(i); err != nil {
				return err
			}
		}
		if err := w.startGateway(i, fmt.Sprintf("n%d", i)); err != nil {
			return err
		}
	}
	for _, address := range w.addresses {
		if err := awaitPong(address); err != nil {
			return err
		}
	}
	w.record.add("%d gateways are ready", len(w.addresses))
	return nil
}

// holdSocket opens a gateway's socket for clients.
func (w *world) holdSocket(i int) error {
	listener, err := net.Listen("tcp", w.addresses[i])
	if err != nil {
		return err
	}
	defer listener.Close()
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	w.sockets = append(w.sockets, socket)
	return nil
}

// startGateway starts a process of gateway i.
func (w *world) startGateway(i int, logName string) error {
	dir := filepath.Join(w.dir, fmt.Sprintf("n%d", i))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	var inherited *os.File
	if w.holdSockets {
		inherited = w.sockets[i]
	}
	p, err := startProcess(w.configs[i], dir, logName, inherited)
	if err != nil {
		return err
	}
	w.processes = append(w.processes, p)
	w.record.add("gateway %d: process %d started", i, p.cmd.Process.Pid)
	return nil
}

// end ends all processes, copies their logs to the record and removes the folder.
func (w *world) end() {
	for _, p := range w.processes {
		p.kill()
	}
	logs, _ := filepath.Glob(filepath.Join(w.dir, "*", "*.log"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		w.record.add("log %s:\n%s", filepath.Base(path), text)
	}
	_ = os.RemoveAll(w.dir)
}
