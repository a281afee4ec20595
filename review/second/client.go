package main

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID returns the id of a request.
func newID() string { return fmt.Sprintf("%016x", 0x5e0000000000+lastID.Add(1)) }

// request is a client's request for a cotacao.
type request struct {
	customer uint64
	plan     string
	wait     time.Duration // that the client will wait
	units    int
	spread   int
	first    int
	write    bool // by API.WRITE

	id   string
	sent time.Time
}

// encode encodes the request and gives it an id.
func (r *request) encode() []byte {
	r.id = newID()
	list := fmt.Sprintf("c=cotacao,t=%s,d=%d,units=%d,spread=%d,first=%d",
		r.plan, r.wait.Milliseconds(), r.units, r.spread, r.first)
	name := "API.READ"
	if r.write {
		name = "API.WRITE"
	}
	return command(name, fmt.Sprintf("%016x", r.customer), r.id, list)
}

// connection is a client's connection to a gateway.
type connection struct {
	net.Conn
	in *bufio.Reader
}

func dial(g *gateway) (*connection, error) {
	c, err := net.DialTimeout("tcp", g.listen, 5*time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{c, newReader(c)}, nil
}

// do sends a request and waits for its answer, for as long as the client waits and a second more.
func (c *connection) do(w *world, r *request) (answer, error) {
	b := r.encode()
	r.sent = time.Now()
	w.write("send %s for %x", r.id, r.customer)
	_ = c.SetDeadline(r.sent.Add(r.wait + time.Second))
	if _, err := c.Write(b); err != nil {
		return answer{}, err
	}
	a, err := readAnswer(c.in)
	if err != nil {
		w.write("no answer to %s: %v", r.id, err)
		return a, err
	}
	w.write("answer to %s: %.40q", r.id, a.line+a.value)
	return a, nil
}

func newReader(c net.Conn) *bufio.Reader { return bufio.NewReader(c) }
