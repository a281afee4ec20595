package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// PeerNetwork carries datagrams between gateways: late, and some not at all. Each
// gateway sees every other under an address of its own: what i sends to the
// socket (i, j) comes to j from the socket (j, i).
type PeerNetwork struct {
	links [][]*net.UDPConn
	dest  []netip.AddrPort // where each gateway listens

	mu   sync.Mutex
	rand *rand.Rand
	loss float64

	Sent, Dropped, Over atomic.Int64
}

const maxPeerMessageBytes = 256 // bytes; a longer datagram breaks the protocol

// NewPeerNetwork makes the links between gateways that listen at the addresses given.
func NewPeerNetwork(dest []netip.AddrPort, loss float64, seed uint64) (*PeerNetwork, error) {
	n := &PeerNetwork{dest: dest, loss: loss, rand: rand.New(rand.NewPCG(seed, 0x907e))}
	for i := range dest {
		n.links = append(n.links, make([]*net.UDPConn, len(dest)))
		for j := range dest {
			c, err := net.ListenUDP(
				"udp",
				net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")),
			)
			if err != nil {
				n.Close()
				return nil, fmt.Errorf("notes: %w", err)
			}
			n.links[i][j] = c
		}
	}
	for i := range dest {
		for j := range dest {
			if i != j {
				go n.forward(i, j)
			}
		}
	}
	return n, nil
}

// peers are the addresses under which gateway i finds all others.
func (n *PeerNetwork) peers(i int) (addrs []string) {
	for _, c := range n.links[i] {
		addrs = append(addrs, c.LocalAddr().String())
	}
	return addrs
}

// Close ends all links.
func (n *PeerNetwork) Close() {
	for _, row := range n.links {
		for _, c := range row {
			if c != nil {
				c.Close()
			}
		}
	}
}

func (n *PeerNetwork) forward(i, j int) {
	buf := make([]byte, 2048)
	for {
		size, _, err := n.links[i][j].ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		n.Sent.Add(1)
		if size > maxPeerMessageBytes {
			n.Over.Add(1)
		}
		n.mu.Lock()
		lost := n.rand.Float64() < n.loss
		late := time.Duration(1300+n.rand.IntN(9700)) * time.Microsecond
		n.mu.Unlock()
		if lost {
			n.Dropped.Add(1)
			continue
		}
		message := append([]byte(nil), buf[:size]...)
		time.AfterFunc(late, func() { _, _ = n.links[j][i].WriteToUDPAddrPort(message, n.dest[j]) })
	}
}
