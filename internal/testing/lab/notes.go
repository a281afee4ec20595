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

// PeerNetwork forwards datagrams between gateways with a delay, and drops some of them. Each gateway
// sees every other under a separate address: what i sends to the socket (i, j) arrives at j from the
// socket (j, i).
type PeerNetwork struct {
	links [][]*net.UDPConn
	dest  []netip.AddrPort // the address at which each gateway listens

	mu   sync.Mutex
	rand *rand.Rand
	loss float64

	Sent, Dropped, Over atomic.Int64
}

const maxPeerMessageBytes = 256 // bytes; a longer datagram breaks the protocol

// NewPeerNetwork starts the links between gateways that listen at the addresses in dest; loss is
// the probability that a datagram is dropped.
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
				return nil, fmt.Errorf("peer network: %w", err)
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

// peers returns the addresses at which gateway i reaches all others.
func (n *PeerNetwork) peers(i int) (addrs []string) {
	for _, c := range n.links[i] {
		addrs = append(addrs, c.LocalAddr().String())
	}
	return addrs
}

// Close closes all links.
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
