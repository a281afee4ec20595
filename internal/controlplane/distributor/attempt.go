package distributor

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
)

// maxQueuedRequests is how many requests may wait for a stream to send them. An attempt that
// exceeds it is ended.
const maxQueuedRequests = 16

var errRequestsQueued = errors.New("the stream takes no requests")

// attemptEvent is something that happened on an attempt's goroutines and that the client's
// goroutine handles.
type attemptEvent func(*Client)

// attempt is one stream to a voter, beginning with the attempt to open it. Its goroutines end with
// its context.
type attempt struct {
	number   uint64
	ctx      context.Context
	cancel   context.CancelFunc
	requests chan *distributionpb.WatchRequest
	events   chan<- attemptEvent

	// announced is the position in the last heartbeat. Only the client's goroutine uses it.
	announced distribution.Position
}

// connect starts to open a stream.
func connect(ctx context.Context, c *Client, to distribution.Connect) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{
		number: to.Attempt, ctx: ctx, cancel: cancel,
		requests: make(chan *distributionpb.WatchRequest, maxQueuedRequests), events: c.events,
	}
	go a.run(c, to.Server.Address)
	return a
}

// emit passes an event to the client, unless the attempt has ended.
func (a *attempt) emit(event attemptEvent) {
	select {
	case a.events <- event:
	case <-a.ctx.Done():
	}
}

// send queues a request. The client's goroutine calls it, and it never blocks.
func (a *attempt) send(request *distributionpb.WatchRequest) {
	select {
	case a.requests <- request:
	default:
		go a.emitDisconnected(errRequestsQueued)
	}
}

// run opens the stream and passes on what it receives until it ends.
func (a *attempt) run(c *Client, address string) {
	defer a.cancel()
	stream, err := a.open(c, address)
	if err != nil {
		a.emitDisconnected(err)
		return
	}
	a.emit(func(c *Client) { c.replica.Connected(c.clock.now(), a.number) })
	go a.sendQueued(stream)
	for {
		response, err := stream.Recv()
		if err != nil {
			a.emitDisconnected(err)
			return
		}
		c.bytes.Add(uint64(proto.Size(response)))
		a.emit(func(c *Client) { c.received(a.number, response) })
	}
}

type watchStream = grpc.BidiStreamingClient[
	distributionpb.WatchRequest, distributionpb.WatchResponse,
]

func (a *attempt) open(c *Client, address string) (watchStream, error) {
	connection, err := c.options.Link.Connection(address)
	if err != nil {
		return nil, err
	}
	return distributionpb.NewDistributionClient(connection).Watch(a.ctx)
}

// sendQueued sends requests. The receiving side reports the end of the stream.
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

func (a *attempt) emitDisconnected(cause error) {
	a.emit(func(c *Client) { c.replica.Disconnected(c.clock.now(), a.number, cause) })
}
