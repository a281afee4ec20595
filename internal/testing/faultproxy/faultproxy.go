// Package faultproxy is a TCP proxy on loopback that tests put between processes to inject faults
// into the link: each direction can be cut, delayed or slowed by itself, and connections can be
// reset or left half open.
//
// A cut link gives no error: bytes that are sent wait, as with a network that drops every packet,
// and arrive once the link is no longer cut.
package faultproxy

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is one way of a link.
type Direction int

// The directions of a link.
const (
	Upstream   Direction = iota // from the process that connects to the target
	Downstream                  // from the target to the process that connects
)

// Conditions are the faults of one direction of a link. The zero value has no faults.
type Conditions struct {
	Cut    bool
	Delay  time.Duration
	Jitter time.Duration // upper bound of a random delay added to Delay, drawn for each read
	// BytesPerSecond is the rate limit; 0 means none.
	BytesPerSecond int
}

// Link is a proxy in front of one target address. Its methods may be called from any goroutine.
type Link struct {
	listener net.Listener
	target   string

	mu             sync.Mutex
	conditions     [2]Conditions
	changed        chan struct{} // closed when the conditions change
	random         *rand.Rand
	connections    map[*connectionPair]bool
	closed         bool
	forwardedBytes [2]int64
	delayedReads   [2]int // chunks and new connections that had to wait for a cut to end
}

// connectionPair is an accepted connection and the connection to the target.
type connectionPair struct{ client, target net.Conn }

// chunkBytes is the largest number of bytes of one read.
const chunkBytes = 16 << 10

// New returns a proxy that listens at one address and connects to the target. The seed determines
// the jitter.
func New(listen, target string, seed uint64) (*Link, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	k := &Link{
		listener: l,
		target:   target,
		changed:  make(chan struct{}),
		random:   rand.New(rand.NewPCG(seed, 0x11)),
	}
	k.connections = map[*connectionPair]bool{}
	go k.accept()
	return k, nil
}

// Address returns the address at which the proxy listens.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Set changes the conditions of a direction, for open connections too.
func (k *Link) Set(d Direction, w Conditions) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conditions[d] = w
	close(k.changed)
	k.changed = make(chan struct{})
}

// Cut cuts both directions, or restores them if cut is false.
func (k *Link) Cut(cut bool) {
	k.Set(Upstream, Conditions{Cut: cut})
	k.Set(Downstream, Conditions{Cut: cut})
}

// Reset resets all connections at both ends.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.connections {
		reset(p.client)
		reset(p.target)
	}
}

// HalfOpen resets all connections on the side of the target alone: the process that connected is
// not notified, and what it sends is lost.
func (k *Link) HalfOpen() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.connections {
		reset(p.target)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Forwarded returns how many bytes were forwarded, and how many chunks or new connections had to
// wait for a cut to end. Tests use it to check that their faults had an effect.
func (k *Link) Forwarded(d Direction) (bytes int64, held int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.forwardedBytes[d], k.delayedReads[d]
}

// Close ends the proxy and resets all connections.
func (k *Link) Close() {
	_ = k.listener.Close()
	k.Reset()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.closed {
		k.closed = true
		close(k.changed)
	}
}

func (k *Link) accept() {
	for {
		client, err := k.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // a shortage of file descriptors is temporary
			continue
		}
		go k.join(client)
	}
}

// join connects an accepted connection to the target. While a direction is cut no connection is
// made, because no handshake would be answered.
func (k *Link) join(client net.Conn) {
	if !k.waitWhileCut(Upstream) || !k.waitWhileCut(Downstream) {
		_ = client.Close()
		return
	}
	target, err := net.Dial("tcp", k.target)
	if err != nil {
		reset(client)
		return
	}
	p := &connectionPair{client, target}
	k.mu.Lock()
	if k.closed {
		k.mu.Unlock()
		reset(client)
		reset(target)
		return
	}
	k.connections[p] = true
	k.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); k.relay(Upstream, client, target) }()
	go func() { defer wg.Done(); k.relay(Downstream, target, client) }()
	wg.Wait()
	_, _ = client.Close(), target.Close()
	k.mu.Lock()
	delete(k.connections, p)
	k.mu.Unlock()
}

// waitWhileCut waits until a direction is not cut. It returns false if the proxy was closed
// meanwhile.
func (k *Link) waitWhileCut(d Direction) bool {
	for first := true; ; first = false {
		k.mu.Lock()
		cut, closed, changed := k.conditions[d].Cut, k.closed, k.changed
		if cut && first {
			k.delayedReads[d]++
		}
		k.mu.Unlock()
		if closed {
			return false
		}
		if !cut {
			return true
		}
		<-changed
	}
}

// chunk is the bytes of one read, and the time at which they are to be forwarded.
type chunk struct {
	bytes     []byte
	forwardAt time.Time
}

// relay forwards one direction until it ends or breaks.
func (k *Link) relay(d Direction, from, to net.Conn) {
	chunks := make(chan chunk, 64)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, chunkBytes)
			n, err := from.Read(buf)
			if n > 0 {
				chunks <- chunk{buf[:n], time.Now().Add(k.delay(d))}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for p := range chunks {
		if broken {
			continue // the bytes are lost; the reader ends by itself
		}
		time.Sleep(time.Until(p.forwardAt))
		if !k.waitWhileCut(d) {
			broken = true
			continue
		}
		k.mu.Lock()
		rate := k.conditions[d].BytesPerSecond
		k.forwardedBytes[d] += int64(len(p.bytes))
		k.mu.Unlock()
		for rest := p.bytes; len(rest) > 0 && !broken; {
			n := len(rest)
			if rate > 0 {
				n = min(n, max(1, rate/20))
				time.Sleep(time.Second / 20)
			}
			_, err := to.Write(rest[:n])
			broken, rest = err != nil, rest[n:]
		}
	}
	if t, ok := to.(*net.TCPConn); ok && !broken && k.waitWhileCut(d) {
		_ = t.CloseWrite()
	}
}

func (k *Link) delay(d Direction) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.conditions[d]
	if w.Jitter > 0 {
		return w.Delay + time.Duration(k.random.Int64N(int64(w.Jitter)))
	}
	return w.Delay
}
