package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
)

const maxPeerMessageBytes = 256 // maximum size of a datagram between gateways

// peerLink sends and receives gossip messages through one UDP socket. It belongs to the event loop,
// except for readMessages, which runs on its own goroutine.
type peerLink struct {
	conn  *net.UDPConn     // nil: there are no peers, or the socket is not open yet
	addrs []netip.AddrPort // by peer number, including this gateway
	self  int
	log   *slog.Logger
}

// newUnboundPeerLink returns a link whose socket is opened later.
func newUnboundPeerLink(cfg *Config, log *slog.Logger) *peerLink {
	return &peerLink{addrs: cfg.Peers, self: cfg.Settings.Self, log: log}
}

// newPeerLink returns a link, with an open socket if the settings enable peers.
func newPeerLink(cfg *Config, log *slog.Logger) (*peerLink, error) {
	p := newUnboundPeerLink(cfg, log)
	if !cfg.Settings.Peers {
		return p, nil
	}
	listen := cfg.Restart.ListenPacket
	if listen == nil {
		listen = func(address string) (net.PacketConn, error) {
			return net.ListenPacket("udp", address)
		}
	}
	conn, err := listen(cfg.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p.conn = conn.(*net.UDPConn)
	return p, nil
}

// send sends a message, which may be lost. A message over the size limit is not sent.
func (p *peerLink) send(peer int, message []byte) {
	if p.conn == nil || peer < 0 || peer >= len(p.addrs) || peer == p.self {
		return
	}
	if len(message) > maxPeerMessageBytes {
		p.log.Error("peer message exceeds the size limit; not sent", "bytes", len(message))
		return
	}
	_, _ = p.conn.WriteToUDPAddrPort(message, p.addrs[peer])
}

// peerMessage is a message from a peer.
type peerMessage struct {
	from int
	body []byte
}

func (m peerMessage) handle(g *Gateway) { g.balancer.ReceivePeerMessage(g.now(), m.from, m.body) }

// readMessages posts messages until the socket is closed or its read deadline passes. Datagrams
// from unknown addresses and datagrams over the size limit are dropped.
func (p *peerLink) readMessages(g *Gateway) {
	number := make(map[netip.AddrPort]int, len(p.addrs))
	for i, a := range p.addrs {
		number[a] = i
	}
	buf := make([]byte, maxPeerMessageBytes+1)
	conn := p.conn
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		peer, known := number[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if err != nil || !known || peer == p.self || n > maxPeerMessageBytes {
			continue
		}
		g.post(peerMessage{peer, append([]byte(nil), buf[:n]...)})
	}
}
