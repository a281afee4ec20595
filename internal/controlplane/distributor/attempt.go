package distributor

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
)

// maxQueuedRequests is how many requests may wait to be sent on a stream. A further request ends
// the attempt.
const maxQueuedRequests = 16

var errRequestsQueued = errors.New("too many requests wait to be sent on the stream")

// attemptEvent is an event from an attempt's goroutines. Client.Run's goroutine calls it.
type attemptEvent func(*Client)

// attempt is one stream to a voter, from the start of opening it. Its goroutines end when its
// context does.
type attempt struct {
	number   uint64
	ctx      context.Context
	cancel   context.CancelFunc
	requests chan *distributionpb.WatchRequest
	events   chan<- attemptEvent

	// announced is the position in the last heartbeat. Only Client.Run's goroutine uses it.
	announced distribution.Position
}

// connect starts to open a stream. It does not wait for the stream.
func connect(ctx context.Context, c *Client, action distribution.Connect) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{
		number: action.Attempt, ctx: ctx, cancel: cancel,
		requests: make(chan *distributionpb.WatchRequest, maxQueuedRequests), events: c.events,
	}
	go a.run(c, action.Server.Address)
	return a
}

// emit passes an event to the client, unless the attempt has ended.
func (a *attempt) emit(event attemptEvent) {
	select {
	case a.events <- event:
	case <-a.ctx.Done():
	}
}

// send queues a request and never blocks. If the queue is full, it reports the attempt as
// disconnected.
func (a *attempt) send(request *distributionpb.WatchRequest) {
	select {
	case a.requests <- request:
	default:
		go a.emitDisconnected(errRequestsQueued)
	}
}

// run opens the stream and passes its responses to the client until the stream ends.
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
		a.emit(func(c *Client) { c.handleResponse(a.number, response) })
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

// sendQueued sends the queued requests until sending fails or the attempt ends. It reports no
// error, since run does when it receives the end of the stream.
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
