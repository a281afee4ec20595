package gateway

import (
	"net"
	"testing"
)

// Connections that wait in the listener's backlog are accepted before the listener closes. Closing
// it earlier would reset them and lose their requests. Later connections are refused.
func TestBacklogIsAcceptedBeforeListenerCloses(t *testing.T) {
	g := newUnstartedGateway(t, newFakeDiscovery(t))
	address := g.clients.listener.Addr().String()
	const waiting = 3
	var conns []net.Conn
	for range waiting {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
	}
	raw, err := g.clients.listener.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if !g.clients.closeOnceDrained(g, raw) {
		t.Fatal("the listener was not closed")
	}
	accepted := map[string]*net.TCPConn{}
	for range waiting {
		e := wait(t, g.events, "a connection").(clientConnected)
		defer e.conn.Close()
		accepted[e.conn.RemoteAddr().String()] = e.conn
	}
	for _, c := range conns {
		conn := accepted[c.LocalAddr().String()]
		if conn == nil {
			t.Fatalf("%s was not accepted", c.LocalAddr())
		}
		if _, err := conn.Write([]byte("x")); err != nil {
			t.Error(err)
		}
		if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Errorf("read %d, %v", n, err)
		}
	}
	if len(g.clients.slots) != waiting {
		t.Errorf("%d slots are taken, want %d", len(g.clients.slots), waiting)
	}
	if c, err := net.Dial("tcp", address); err == nil {
		c.Close()
		t.Error("a connection was accepted after the listener was closed")
	}
}

// The listener stays open while a waiting connection has no free slot: closing it would reset the
// connection.
func TestListenerStaysOpenWithoutFreeSlots(t *testing.T) {
	g := newUnstartedGateway(t, newFakeDiscovery(t))
	for len(g.clients.slots) < cap(g.clients.slots) {
		g.clients.slots <- struct{}{}
	}
	raw, err := g.clients.listener.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if g.clients.closeOnceDrained(g, raw) {
		t.Error("the listener was closed without a free slot")
	}
	c, err := net.Dial("tcp", g.clients.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	<-g.clients.slots // for the waiting connection
	<-g.clients.slots // lets the listener check that no other connection waits
	if !g.clients.closeOnceDrained(g, raw) {
		t.Error("the listener was not closed although there was a free slot")
	}
}
