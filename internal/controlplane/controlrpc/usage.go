package controlrpc

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothcleat/internal/controlplane/controlpb"
)

// UsageSource sends the closed periods of this process's usage that have not been collected yet.
// The map collected contains the newest collected period of each incarnation.
type UsageSource func(collected map[uint64]uint64, send func(*controlpb.UsagePeriod) error) error

// Collect calls handle with each closed period of a process's usage that has not been collected
// yet. It returns io.EOF after the last period, or the error that ended the call.
func (c *Client) Collect(
	ctx context.Context, id, address string, collected map[uint64]uint64,
	handle func(*controlpb.UsagePeriod) error,
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
		period, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := handle(period); err != nil {
			return err
		}
	}
}

// Collect sends the closed periods of this process's usage that have not been collected yet.
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
