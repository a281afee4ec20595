package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
)

const noteMost = 256 // bytes in a datagram between gateways

// peers sends and receives notes through one socket.
type peers struct {
	conn  *net.UDPConn
	addrs []netip.AddrPort
	self  int
	log   *slog.Logger
}

// peersWithout is without a socket, so far.
func peersWithout(cfg *Config, log *slog.Logger) *peers {
	return &peers{addrs: cfg.Peers, self: cfg.Settings.Self, log: log}
}

func newPeers(cfg *Config, log *slog.Logger) (*peers, error) {
	p := peersWithout(cfg, log)
	if !cfg.Settings.Peers {
		return p, nil
	}
	listen := cfg.Survival.ListenPacket
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

// tell sends a note, which may be lost. One over the limit is never sent.
func (p *peers) tell(peer int, note []byte) {
	if p.conn == nil || peer < 0 || peer >= len(p.addrs) || peer == p.self {
		return
	}
	if len(note) > noteMost {
		p.log.Error("note over the limit", "bytes", len(note))
		return
	}
	_, _ = p.conn.WriteToUDPAddrPort(note, p.addrs[peer])
}

// heard is a note from a peer.
type heard struct {
	from int
	note []byte
}

func (h heard) handle(l *Loop) { l.module.ReceivePeerMessage(l.now(), h.from, h.note) }

// read posts notes until the socket is closed. What comes from no peer, or is
// longer than any note, is dropped.
func (p *peers) read(l *Loop) {
	number := make(map[netip.AddrPort]int, len(p.addrs))
	for i, a := range p.addrs {
		number[a] = i
	}
	buf, conn := make([]byte, noteMost+1), p.conn
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) { // closed, or paused
			return
		}
		peer, ok := number[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if err != nil || !ok || peer == p.self || n > noteMost {
			continue
		}
		l.post(heard{peer, append([]byte(nil), buf[:n]...)})
	}
}
