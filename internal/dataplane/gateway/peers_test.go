package gateway

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"mothcleat/internal/dataplane/policy"
)

// newUDPSocket returns a UDP socket on the loopback interface.
func newUDPSocket(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	return c
}

// No message over maxPeerMessageBytes is sent, because it would make a run of the platform invalid.
// Received datagrams that are too long or do not come from a peer are dropped.
func TestPeerMessages(t *testing.T) {
	peer, stranger := newUDPSocket(t), newUDPSocket(t)
	cfg := &Config{
		PeerListen: "127.0.0.1:0",
		Settings:   policy.Settings{Peers: true},
		Peers: []netip.AddrPort{
			netip.MustParseAddrPort("127.0.0.1:1"),
			peer.LocalAddr().(*net.UDPAddr).AddrPort(),
		},
	}
	p, err := newPeerLink(cfg, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.conn.Close() })
	g := &Gateway{eventLoop: eventLoop{events: make(chan event, 8)}}
	go p.readMessages(g)

	p.send(1, make([]byte, maxPeerMessageBytes+1))
	p.send(0, []byte("to itself"))
	p.send(2, []byte("to nobody"))
	p.send(1, []byte("to the peer"))
	buf := make([]byte, 1024)
	n, from, err := peer.ReadFromUDPAddrPort(buf)
	if err != nil || string(buf[:n]) != "to the peer" {
		t.Fatalf("%q, %v", buf[:n], err)
	}

	for _, send := range []struct {
		conn *net.UDPConn
		body []byte
	}{{stranger, []byte("from nobody")}, {peer, make([]byte, maxPeerMessageBytes+1)}, {peer, []byte("answer")}} {
		if _, err := send.conn.WriteToUDPAddrPort(send.body, from); err != nil {
			t.Fatal(err)
		}
	}
	if m := wait(t, g.events, "a message").(peerMessage); m.from != 1 || string(m.body) != "answer" {
		t.Errorf("message %q from peer %d", m.body, m.from)
	}
}
