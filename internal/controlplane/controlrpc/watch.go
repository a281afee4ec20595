package controlrpc

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothcleat/internal/controlplane/controlpb"
)

const (
	// watchHeartbeatInterval is the interval at which a server sends a watcher the last sent state
	// again, to show that the stream is alive.
	watchHeartbeatInterval = 5 * time.Second
	// watchTimeout is the time without an update after which a watcher switches to another voter.
	watchTimeout = watchHeartbeatInterval + attemptTimeout
	// watchRetryDelay is the pause before a watcher switches to another voter.
	watchRetryDelay = 4 * retryDelay
)

// Watch calls handle with a state machine's state, and again after each change, until the context
// ends. It may also call handle with an unchanged state. Any voter may send the state: it may be
// older than the state of another voter.
func (c *Client) Watch(ctx context.Context, machine string, handle func(state []byte)) {
	// The watchers are spread over the voters.
	const maxSpread = 1024
	voter := int(c.self.Incarnation % maxSpread)
	for ; ctx.Err() == nil; voter++ {
		if address := c.addressOfVoter(voter); address != "" {
			if client, err := c.conns.fleetClient(address); err == nil {
				c.watchVoter(ctx, client, machine, handle)
			}
		}
		sleep(ctx, watchRetryDelay)
	}
}

// addressOfVoter returns the address of the voter at an index modulo the number of voters; "": no
// voter is known.
func (c *Client) addressOfVoter(index int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.voters) == 0 {
		return ""
	}
	return c.addresses[c.voters[index%len(c.voters)]]
}

// watchVoter watches a state machine at one voter until updates stop arriving.
func (c *Client) watchVoter(
	ctx context.Context, voter controlpb.FleetClient, machine string, handle func(state []byte),
) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(watchTimeout, cancel)
	defer timeout.Stop()
	stream, err := voter.Watch(ctx, &controlpb.WatchRequest{Fleet: c.fleet, Machine: machine})
	if err != nil {
		return
	}
	for {
		update, err := stream.Recv()
		if err != nil {
			return
		}
		timeout.Reset(watchTimeout)
		handle(update.Body)
	}
}

// publish keeps the newest state of a state machine for its watchers.
func (s *Server) publish(machine string, index uint64, state []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updates[machine] = &controlpb.StateUpdate{Index: index, Body: state}
	close(s.updated)
	s.updated = make(chan struct{})
}

// update returns the newest state of a state machine, and a channel that is closed at the next
// update of any state machine.
func (s *Server) update(machine string) (*controlpb.StateUpdate, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updates[machine], s.updated
}

// Watch sends the current state of a state machine, and again after changes. A slow watcher misses
// states that have been replaced by newer ones.
func (s *Server) Watch(
	request *controlpb.WatchRequest, stream grpc.ServerStreamingServer[controlpb.StateUpdate],
) error {
	if request.Fleet != s.fleet {
		return errOtherFleet
	}
	if s.Replica() == nil {
		return status.Error(codes.Unavailable, "no voter")
	}
	var sent *controlpb.StateUpdate
	heartbeat := time.NewTicker(watchHeartbeatInterval)
	defer heartbeat.Stop()
	for {
		update, updated := s.update(request.Machine)
		if update != nil && update != sent {
			if err := stream.Send(update); err != nil {
				return err
			}
			sent = update
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-updated:
		case <-heartbeat.C:
			if sent == nil {
				continue
			}
			if err := stream.Send(sent); err != nil {
				return err
			}
		}
	}
}
