package controlrpc

import (
	"context"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
)

const (
	// maxQueuedMessages is how many messages wait for one voter; more are dropped: raft sends them
	// again.
	maxQueuedMessages = 256
	// packetBytes is the size from which on messages are sent without waiting for more.
	packetBytes        = 256 << 10
	verifyTimeout      = 2 * time.Second
	streamReopeningGap = 100 * time.Millisecond
)

// transport carries a voter's messages to the others. Each peer has a goroutine of its own, so that
// one that stalls delays nobody else. It implements replica.Transport.
type transport struct {
	ctx       context.Context // ends all goroutines
	fleet     string
	overrides Addresses
	conns     connections

	// They report to the replica what became of messages.
	reportUnreachable func(voter uint64)
	reportSnapshot    func(voter uint64, ok bool)

	mu    sync.Mutex
	peers map[peerKey]*peer
}

// peerKey identifies a peer: another voter at the same address is another peer.
type peerKey struct {
	address string
	number  uint64
}

// peer is the queue of messages to one voter.
type peer struct {
	from   *controlpb.Voter
	number uint64
	queue  chan *raftpb.Message
}

// Send queues messages for a voter, or drops them.
func (t *transport) Send(from, to *controlpb.Voter, messages []*raftpb.Message) {
	p := t.peer(from, to)
	for i, m := range messages {
		select {
		case p.queue <- m:
		default:
			t.drop(p, messages[i:])
			t.reportUnreachable(p.number)
			return
		}
	}
}

// peer returns the peer of a voter, and starts its goroutine if it is a new one.
func (t *transport) peer(from, to *controlpb.Voter) *peer {
	key := peerKey{t.overrides.resolve(to.Name, to.Address), to.Number}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[key]
	if p == nil {
		p = &peer{from, to.Number, make(chan *raftpb.Message, maxQueuedMessages)}
		t.peers[key] = p
		go t.run(key.address, p)
	}
	return p
}

// drop reports the snapshots among messages that are dropped.
func (t *transport) drop(p *peer, messages []*raftpb.Message) {
	for _, m := range messages {
		if m.GetType() == raftpb.MsgSnap {
			t.reportSnapshot(p.number, false)
		}
	}
}

// run sends what is queued over one stream after another, until the transport's context ends.
func (t *transport) run(address string, p *peer) {
	for t.ctx.Err() == nil {
		err := t.stream(address, p)
		if err == nil || t.ctx.Err() != nil {
			continue
		}
		t.reportUnreachable(p.number)
		t.drop(p, p.drain())
		sleep(t.ctx, streamReopeningGap)
	}
}

// drain empties the queue: its messages are out of date once a stream was lost.
func (p *peer) drain() (messages []*raftpb.Message) {
	for {
		select {
		case m := <-p.queue:
			messages = append(messages, m)
		default:
			return messages
		}
	}
}

// stream sends what is queued over one stream, until that fails.
func (t *transport) stream(address string, p *peer) error {
	client, err := t.conns.fleetClient(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	stream, err := client.Pass(ctx)
	if err != nil {
		return err
	}
	for {
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case first := <-p.queue:
			packet, hasSnapshot, err := t.packet(p, first)
			if err != nil {
				return err
			}
			err = stream.Send(packet)
			if hasSnapshot {
				t.reportSnapshot(p.number, err == nil)
			}
			if err != nil {
				return err
			}
		}
	}
}

// packet returns a packet of a message and of those that are queued behind it, and whether it has a
// snapshot.
func (t *transport) packet(
	p *peer, first *raftpb.Message,
) (packet *controlpb.Packet, hasSnapshot bool, err error) {
	packet = &controlpb.Packet{Fleet: t.fleet, From: p.from}
	size := 0
	for m := first; m != nil; m = p.next() {
		raw, err := proto.Marshal(m)
		if err != nil {
			return nil, false, err
		}
		packet.Messages = append(packet.Messages, raw)
		size += len(raw)
		if m.GetType() == raftpb.MsgSnap {
			hasSnapshot = true
		}
		if size > packetBytes {
			break
		}
	}
	return packet, hasSnapshot, nil
}

// next returns the next queued message; nil: there is none now.
func (p *peer) next() *raftpb.Message {
	select {
	case m := <-p.queue:
		return m
	default:
		return nil
	}
}

// Verify asks another voter what it was promised.
func (t *transport) Verify(
	to *controlpb.Voter, position *controlpb.Position,
	answer func(*controlpb.VerificationReply),
) {
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, verifyTimeout)
		defer cancel()
		client, err := t.conns.fleetClient(t.overrides.resolve(to.Name, to.Address))
		if err != nil {
			return
		}
		reply, err := client.Prove(ctx, position)
		if err == nil {
			answer(reply)
		}
	}()
}
