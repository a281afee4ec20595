package lab

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"mothcleat/internal/testing/harness"
)

// singleConn is a client's only connection. The client uses it for as long as it stays open, even
// while the gateway shuts down, and does not check before a write whether the gateway has closed it.
type singleConn struct {
	address string
	conn    *clientConn // nil: none is open
	ended   bool
}

// errSingleConnClosed is returned to a client whose connection was closed between two requests. The
// client does not open another one.
var errSingleConnClosed = errors.New("the connection was closed")

func (c *singleConn) acquire(_ int, newConnection bool) (*clientConn, error) {
	if c.conn != nil && !newConnection {
		conn := c.conn
		c.conn = nil
		return conn, nil
	}
	if c.ended {
		return nil, errSingleConnClosed
	}
	c.ended = newConnection
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, in: bufio.NewReaderSize(conn, 512)}, nil
}

func (c *singleConn) keep(_ int, conn *clientConn) {
	conn.used = true
	c.conn = conn
}

// runOnSingleConn sends a client's requests to a gateway on one connection, each as soon as the
// previous one is answered, until the connection or the context ends.
func (c *Clients) runOnSingleConn(ctx context.Context, gateway, number int) {
	customers := c.customersOf(gateway)
	if len(customers) == 0 {
		return
	}
	conns := &singleConn{address: c.balancer.gateways[gateway].Address}
	defer func() {
		if conns.conn != nil {
			conns.conn.Close()
		}
	}()
	k := customers[number%len(customers)]
	traffic := c.site.Traffic(c.seed^uint64(c.ids.Add(1)), k)
	for ctx.Err() == nil {
		t, r := traffic.Request(c.rec.Now())
		t.ID = harness.Hex16(c.ids.Add(1))
		t.First = t.ID
		t.Wait = c.site.ClientTimeout(t.Class, r)
		t.Gateway = gateway
		c.balancer.sendOn(ctx, conns, c.site, &c.site.Customers[k], &t, 0)
		c.rec.AddTry(t)
		if t.Kind != harness.Served && t.Kind != harness.Refused && t.Kind != harness.Failed {
			return
		}
		// Refusals are immediate: without a pause, refused requests would crowd out all others.
		time.Sleep(time.Duration(harness.Between(r, 1, 10) * float64(time.Millisecond)))
	}
}

// customersOf returns the indexes of the customers whose requests come through a gateway.
func (c *Clients) customersOf(gateway int) (all []int) {
	for k, customer := range c.site.Customers {
		var set []int
		for i := range customer.Spread {
			set = append(set, (customer.First+i)%c.site.Gateways)
		}
		if slices.Contains(set, gateway) {
			all = append(all, k)
		}
	}
	return all
}
