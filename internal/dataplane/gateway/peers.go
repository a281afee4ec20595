package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
)

const maxPeerMessageBytes = 256 // bytes in a datagram between gateways

// peerLink sends and receives notes through one socket.
type peerLink struct {
	conn  *net.UDPConn
	addrs []netip.AddrPort
	self  int
	log   *slog.Logger
}

// newUnboundPeers is without a socket, so far.
func newUnboundPeers(cfg *Config, log *slog.Logger) *peerLink {
	return &peerLink{addrs: cfg.Peers, self: cfg.Settings.Self, log: log}
}

func newPeers(cfg *Config, log *slog.Logger) (*peerLink, error) {
	p := newUnboundPeers(cfg, log)
	if !cfg.Settings.Peers {
		return p, nil
	}
	listen := cfg.Restart.ListenPacket
	if listen == nil {
		listen = func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) }
	}
	conn, err := listen(cfg.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p.conn = conn.(*net.UDPConn)
	return p, nil
}

// send sends a note, which may be lost. One over the limit is never sent.
func (p *peerLink) send(peer int, note []byte) {
	if p.conn == nil || peer < 0 || peer >= len(p.addrs) || peer == p.self {
		return
	}
	if len(note) > maxPeerMessageBytes {
		p.log.Error("note over the limit", "bytes", len(note))
		return
	}
	_, _ = p.conn.WriteToUDPAddrPort(note, p.addrs[peer])
}

// peerMessage is a note from a peer.
type peerMessage struct {
	from int
	body []byte
}

func (h peerMessage) handle(l *Loop) { l.balancer.ReceivePeerMessage(l.now(), h.from, h.body) }

// readMessages posts notes until the socket is closed. What comes from no peer, or is
// longer than any note, is dropped.
func (p *peerLink) readMessages(l *Loop) {
	number := make(map[netip.AddrPort]int, len(p.addrs))
	for i, a := range p.addrs {
		number[a] = i
	}
	buf, conn := make([]byte, maxPeerMessageBytes+1), p.conn
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) { // closed, or paused
			return
		}
		peer, ok := number[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if err != nil || !ok || peer == p.self || n > maxPeerMessageBytes {
			continue
		}
		l.post(peerMessage{peer, append([]byte(nil), buf[:n]...)})
	}
}
