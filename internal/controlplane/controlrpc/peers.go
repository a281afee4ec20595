package controlrpc

import (
	"context"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
)

const (
	peerQueue   = 256 // messages that wait for one voter; more are dropped: the log sends them again
	proveWithin = 2 * time.Second
	againAfter  = 100 * time.Millisecond // a stream that broke is tried again
)

// dial makes a connection that is opened when it is first used, and again soon after it was lost.
func dial(address string, observer *Observer) (*grpc.ClientConn, error) {
	options := append(observer.dialOptions(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 500 * time.Millisecond},
			MinConnectTimeout: 500 * time.Millisecond,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(mostBytes), grpc.MaxCallSendMsgSize(mostBytes)))
	return grpc.NewClient("passthrough:///"+address, options...)
}

// Addresses says where processes are reached from here: names that are not in it are reached at the address
// that they told themselves.
type Addresses map[string]string

func (a Addresses) of(name, told string) string {
	if own, ok := a[name]; ok {
		return own
	}
	return told
}

// conns are the connections to others, by address.
type conns struct {
	observer *Observer // nil: none

	mu     sync.Mutex
	open   map[string]*grpc.ClientConn
	closed bool
}

func (c *conns) to(address string) (controlpb.FleetClient, error) {
	conn, err := c.connection(address)
	if err != nil {
		return nil, err
	}
	return controlpb.NewFleetClient(conn), nil
}

func (c *conns) connection(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, context.Canceled
	}
	conn := c.open[address]
	if conn == nil {
		var err error
		if conn, err = dial(address, c.observer); err != nil {
			return nil, err
		}
		if c.open == nil {
			c.open = map[string]*grpc.ClientConn{}
		}
		c.open[address] = conn
	}
	return conn, nil
}

func (c *conns) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.open {
		_ = conn.Close()
	}
}

// peers pass a voter's messages to the others, each by a goroutine of its own: one that stalls
// holds up nobody else.
type peers struct {
	ctx       context.Context
	fleet     string
	addresses Addresses
	conns     conns
	lost      func(voter uint64)
	passed    func(voter uint64, ok bool) // a snapshot

	mu sync.Mutex
	to map[route]*peer
}

// route is a voter's folder at an address: another folder there is another peer.
type route struct {
	address string
	number  uint64
}

type peer struct {
	from   *controlpb.Voter
	number uint64
	queue  chan *raftpb.Message
}

// Send passes messages on, or drops them.
func (p *peers) Send(from, to *controlpb.Voter, messages []*raftpb.Message) {
	address := p.addresses.of(to.Name, to.Address)
	p.mu.Lock()
	q := p.to[route{address, to.Number}]
	if q == nil {
		q = &peer{from, to.Number, make(chan *raftpb.Message, peerQueue)}
		p.to[route{address, to.Number}] = q
		go p.pass(address, q)
	}
	p.mu.Unlock()
	for i, m := range messages {
		select {
		case q.queue <- m:
		default:
			for _, m := range messages[i:] {
				if m.GetType() == raftpb.MsgSnap {
					p.passed(to.Number, false)
				}
			}
			p.lost(to.Number)
			return
		}
	}
}

// pass sends what is queued over one stream after another.
func (p *peers) pass(address string, q *peer) {
	for p.ctx.Err() == nil {
		err := p.stream(address, q)
		if err != nil && p.ctx.Err() == nil {
			p.lost(q.number)
			q.drain(p.passed)
			select {
			case <-p.ctx.Done():
			case <-time.After(againAfter):
			}
		}
	}
}

// drain drops what has waited for a stream that broke.
func (q *peer) drain(passed func(uint64, bool)) {
	for {
		select {
		case m := <-q.queue:
			if m.GetType() == raftpb.MsgSnap {
				passed(q.number, false)
			}
		default:
			return
		}
	}
}

func (p *peers) stream(address string, q *peer) error {
	client, err := p.conns.to(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	s, err := client.Pass(ctx)
	if err != nil {
		return err
	}
	for {
		var packet controlpb.Packet
		packet.Fleet, packet.From = p.fleet, q.from
		snap := false
		select {
		case <-s.Context().Done():
			return s.Context().Err()
		case m := <-q.queue:
			for size := 0; ; {
				raw, err := proto.Marshal(m)
				if err != nil {
					return err
				}
				packet.Messages, size = append(packet.Messages, raw), size+len(raw)
				snap = snap || m.GetType() == raftpb.MsgSnap
				if size > packetBytes {
					break
				}
				select {
				case m = <-q.queue:
					continue
				default:
				}
				break
			}
		}
		err := s.Send(&packet)
		if snap {
			p.passed(q.number, err == nil)
		}
		if err != nil {
			return err
		}
	}
}

// Verify asks another voter what it was promised.
func (p *peers) Verify(to *controlpb.Voter, position *controlpb.Position, answer func(*controlpb.VerificationReply)) {
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, proveWithin)
		defer cancel()
		client, err := p.conns.to(p.addresses.of(to.Name, to.Address))
		if err != nil {
			return
		}
		if w, err := client.Prove(ctx, position); err == nil {
			answer(w)
		}
	}()
}

// wait passes some time, or less if the context ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
