package distributor

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
)

// maxQueuedRequests is how many requests wait for a stream to take them; an attempt whose stream
// takes none is ended.
const maxQueuedRequests = 16

var errRequestsQueued = errors.New("the stream takes no requests")

// attemptEvent is something that happened on an attempt's goroutines, to be taken in by the
// client's own.
type attemptEvent func(*Client)

// attempt is one stream to a voter, from the attempt to open it on. Its goroutines end with its
// context.
type attempt struct {
	number   uint64
	ctx      context.Context
	cancel   context.CancelFunc
	requests chan *distributionpb.WatchRequest
	events   chan<- attemptEvent

	announced distribution.Position // by the last heartbeat; of the client's goroutine
}

// connect begins to open a stream.
func connect(ctx context.Context, c *Client, to distribution.Connect) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{
		number: to.Attempt, ctx: ctx, cancel: cancel,
		requests: make(chan *distributionpb.WatchRequest, maxQueuedRequests), events: c.events,
	}
	go a.run(c, to.Server.Address)
	return a
}

// emit hands an event to the client, unless the attempt is over.
func (a *attempt) emit(event attemptEvent) {
	select {
	case a.events <- event:
	case <-a.ctx.Done():
	}
}

// send queues a request. It is called by the client's goroutine, and never waits.
func (a *attempt) send(request *distributionpb.WatchRequest) {
	select {
	case a.requests <- request:
	default:
		go a.disconnected(errRequestsQueued)
	}
}

// run opens the stream and passes on what it brings until it ends.
func (a *attempt) run(c *Client, address string) {
	defer a.cancel()
	stream, err := a.open(c, address)
	if err != nil {
		a.disconnected(err)
		return
	}
	a.emit(func(c *Client) { c.replica.Connected(c.clock.now(), a.number) })
	go a.sendQueued(stream)
	for {
		response, err := stream.Recv()
		if err != nil {
			a.disconnected(err)
			return
		}
		c.bytes.Add(uint64(proto.Size(response)))
		a.emit(func(c *Client) { c.received(a.number, response) })
	}
}

type watchStream = grpc.BidiStreamingClient[distributionpb.WatchRequest, distributionpb.WatchResponse]

func (a *attempt) open(c *Client, address string) (watchStream, error) {
	connection, err := c.options.Link.Connection(address)
	if err != nil {
		return nil, err
	}
	return distributionpb.NewDistributionClient(connection).Watch(a.ctx)
}

// sendQueued sends requests. That the stream has ended is told by what is received.
func (a *attempt) sendQueued(stream watchStream) {
	for {
		select {
		case <-a.ctx.Done():
			return
		case request := <-a.requests:
			if stream.Send(request) != nil {
				return
			}
		}
	}
}

func (a *attempt) disconnected(cause error) {
	a.emit(func(c *Client) { c.replica.Disconnected(c.clock.now(), a.number, cause) })
}
