package clientlab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"mothcleat/internal/dataplane/resp"
)

// serveFunc answers a command that has come whole, by writing to a connection.
type serveFunc func(args []string, out io.Writer)

// backend is a quote server that answers the commands of each connection in order.
type backend struct {
	id       string
	listener net.Listener
	serve    serveFunc
	slow     bool // it reads commands slowly

	mu    sync.Mutex
	conns []net.Conn
}

const (
	slowReadBytes = 4 << 10
	slowReadPause = 150 * time.Millisecond
)

// slowConn is a connection that is read slowly.
type slowConn struct{ net.Conn }

func (c slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), slowReadBytes)])
	if n == slowReadBytes {
		time.Sleep(slowReadPause)
	}
	return n, err
}

func newBackend(number int, address string, serve serveFunc, slow bool) (*backend, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &backend{id: fmt.Sprintf("s-%08x", 1+number), listener: l, serve: serve, slow: slow}
	go b.accept()
	return b, nil
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns = append(b.conns, c)
		b.mu.Unlock()
		go b.serveConn(c)
	}
}

// end ends the backend as a process does: it no longer listens, and its connections are reset.
func (b *backend) end() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (b *backend) serveConn(c net.Conn) {
	defer c.Close()
	if b.slow {
		_ = c.(*net.TCPConn).SetReadBuffer(slowReadBytes)
		c = slowConn{c}
	}
	in := resp.NewReader(c)
	for {
		raw, err := in.ReadCommand()
		if err != nil {
			return
		}
		args := make([]string, len(raw))
		for i, a := range raw {
			args[i] = string(a)
		}
		if args[0] == "SELECT" {
			_, _ = io.WriteString(c, "+OK\r\n")
			continue
		}
		b.serve(args, c)
	}
}

// writeValue answers a command with a value.
func writeValue(out io.Writer, value string) {
	w := bufio.NewWriter(out)
	fmt.Fprintf(w, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
	_ = w.Flush()
}

// runCounter counts how often each request has come to a backend.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// add counts a run of a request and returns how many there were.
func (r *runCounter) add(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string]int{}
	}
	r.runs[id]++
	return r.runs[id]
}

// of returns how often a request has come.
func (r *runCounter) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
