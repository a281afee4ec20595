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
	// maxQueuedMessages is the size of the queue of messages to one voter. Messages beyond it are
	// dropped: raft sends them again.
	maxQueuedMessages = 256
	// packetBytes is the size in bytes above which no more messages are added to a packet.
	packetBytes        = 256 << 10
	verifyTimeout      = 2 * time.Second
	streamReopeningGap = 100 * time.Millisecond
)

// transport sends a voter's messages to the other voters. Each peer has its own goroutine, so that
// a stalled peer does not delay the others. It implements replica.Transport.
type transport struct {
	ctx       context.Context // ends all goroutines
	fleet     string
	overrides Addresses
	conns     connections

	// These functions report to the replica whether messages were delivered.
	reportUnreachable func(voter uint64)
	reportSnapshot    func(voter uint64, ok bool)

	mu    sync.Mutex
	peers map[peerKey]*peer
}

// peerKey identifies a peer. Two voters at the same address are different peers.
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

// peer returns the peer for a voter. It creates the peer and starts its goroutine if necessary.
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

// drop reports each snapshot among dropped messages as not delivered.
func (t *transport) drop(p *peer, messages []*raftpb.Message) {
	for _, m := range messages {
		if m.GetType() == raftpb.MsgSnap {
			t.reportSnapshot(p.number, false)
		}
	}
}

// run sends the queued messages until the transport's context ends. It opens a new stream whenever
// one fails.
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

// drain empties the queue and returns its messages: they are out of date once a stream has failed.
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

// stream sends the queued messages over one stream until it fails.
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

// packet returns a packet of a message and the messages queued after it, and whether the packet
// contains a snapshot.
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

// next returns the next queued message, or nil if the queue is empty. It does not block.
func (p *peer) next() *raftpb.Message {
	select {
	case m := <-p.queue:
		return m
	default:
		return nil
	}
}

// Verify queries what this process's voter has promised another voter; see replica.Transport.
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
