package gateway

import (
	"net"
	"testing"
)

// Connections that the kernel has accepted when the listener is to be closed are served: closing
// the listener over them would reset them and lose their requests. Later ones are refused.
func TestBacklogIsAcceptedBeforeListenerCloses(t *testing.T) {
	g := unstarted(t, newFakeDiscovery(t))
	address := g.clients.listener.Addr().String()
	const waiting = 3
	var dialled []net.Conn
	for range waiting {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		dialled = append(dialled, c)
	}
	raw, err := g.clients.listener.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if !g.clients.closeOnceDrained(g, raw) {
		t.Fatal("it was not closed")
	}
	accepted := map[string]*net.TCPConn{}
	for range waiting {
		e := wait(t, g.events, "a connection").(clientConnected)
		defer e.conn.Close()
		accepted[e.conn.RemoteAddr().String()] = e.conn
	}
	for _, c := range dialled {
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
		t.Errorf("%d places are taken, %d wanted", len(g.clients.slots), waiting)
	}
	if c, err := net.Dial("tcp", address); err == nil {
		c.Close()
		t.Error("a connection after the close")
	}
}

// While there is no free slot for a waiting connection the listener stays open: closing it would
// reset the connection.
func TestListenerStaysOpenWithoutFreeSlots(t *testing.T) {
	g := unstarted(t, newFakeDiscovery(t))
	for len(g.clients.slots) < cap(g.clients.slots) {
		g.clients.slots <- struct{}{}
	}
	raw, err := g.clients.listener.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if g.clients.closeOnceDrained(g, raw) {
		t.Error("it was closed")
	}
	c, err := net.Dial("tcp", g.clients.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	<-g.clients.slots // for the connection that waits
	<-g.clients.slots // to see that no other does
	if !g.clients.closeOnceDrained(g, raw) {
		t.Error("it was not closed though there was a place")
	}
}
