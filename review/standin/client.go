package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// clientConn is a connection from a client to a gateway.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func dialGateway(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// request is a client's request.
type request struct {
	id       string
	customer uint64
	plan     string
	class    string
	units    int
	wait     time.Duration
	body     string // of an alerta
}

// writeSlowly writes a command byte by byte, the last one once the time is nearly over, never after
// it on a machine that keeps up.
func writeSlowly(c net.Conn, command []byte, within time.Duration) error {
	started := time.Now()
	for i := range command {
		part := time.Duration(i) * (within * 19 / 20) / time.Duration(len(command))
		time.Sleep(time.Until(started.Add(part)))
		if _, err := c.Write(command[i : i+1]); err != nil {
			return fmt.Errorf("byte %d: %w", i, err)
		}
	}
	return nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// command returns the request as PROTOCOL has it. The customer's set are all gateways.
func (r *request) command(gateways int) []byte {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d", r.class, r.plan, r.wait.Milliseconds())
	customer := fmt.Sprintf("%016x", r.customer)
	if r.class == "cotacao" {
		fields += fmt.Sprintf(",units=%d,spread=%d,first=0", r.units, gateways)
		return encode("API.READ", customer, r.id, fields)
	}
	fields += fmt.Sprintf(",k=%s,units=%d,spread=%d,first=0", r.id, r.units, gateways)
	return encode("API.WRITE", customer, r.id, fields, r.body)
}

// pool keeps a client's connections to one gateway. Each carries one request at a time, and a new
// one is opened when all are busy.
type pool struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn
}

func (p *pool) take() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c
	}
	return nil
}

func (p *pool) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// do sends a command and waits for its answer, for as long as the client waits. A kept connection
// that ends without an answer was closed between requests: the command is sent once more.
func (p *pool) do(command []byte, wait time.Duration) (reply, error) {
	end := time.Now().Add(wait)
	if c := p.take(); c != nil {
		if r, err := p.attempt(c, command, end); err == nil || time.Now().After(end) {
			return r, err
		}
	}
	c, err := dialGateway(p.address)
	if err != nil {
		return reply{}, err
	}
	return p.attempt(c, command, end)
}

func (p *pool) attempt(c *clientConn, command []byte, end time.Time) (reply, error) {
	_ = c.SetDeadline(end)
	if _, err := c.Write(command); err != nil {
		_ = c.Close()
		return reply{}, err
	}
	r, err := readReply(c.in)
	if err != nil {
		_ = c.Close()
		return reply{}, err
	}
	_ = c.SetDeadline(time.Time{})
	p.put(c)
	return r, nil
}
