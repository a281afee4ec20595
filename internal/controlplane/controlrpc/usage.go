package controlrpc

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothcleat/internal/controlplane/controlpb"
)

// UsageSource sends the closed periods of this process's usage that were not collected yet. The map
// collected has the newest collected period of each incarnation.
type UsageSource func(collected map[uint64]uint64, send func(*controlpb.UsagePeriod) error) error

// Collect calls take with each closed period of a process's usage that was not collected yet. It
// returns io.EOF when it has all, or the error that ended it.
func (c *Client) Collect(
	ctx context.Context, id, address string, collected map[uint64]uint64,
	take func(*controlpb.UsagePeriod) error,
) error {
	client, err := c.process(id, address)
	if err != nil {
		return err
	}
	request := &controlpb.CollectRequest{Fleet: c.fleet}
	for incarnation, period := range collected {
		request.Collected = append(request.Collected,
			&controlpb.Collected{Incarnation: incarnation, Period: period})
	}
	stream, err := client.Collect(ctx, request)
	if err != nil {
		return err
	}
	for {
		part, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := take(part); err != nil {
			return err
		}
	}
}

// Collect sends this process's usage that was not collected yet.
func (s *Server) Collect(
	request *controlpb.CollectRequest, stream grpc.ServerStreamingServer[controlpb.UsagePeriod],
) error {
	if request.Fleet != s.fleet {
		return errOtherFleet
	}
	if s.usage == nil {
		return status.Error(codes.Unimplemented, "this process counts no use")
	}
	collected := map[uint64]uint64{}
	for _, c := range request.Collected {
		collected[c.Incarnation] = c.Period
	}
	return s.usage(collected, stream.Send)
}
