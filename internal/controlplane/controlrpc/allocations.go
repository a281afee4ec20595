package controlrpc

import (
	"context"

	"mothcleat/internal/controlplane/controlpb"
)

// Budgets divides quotas, in the process that leads shards of them.
type Budgets interface {
	Renew(request *controlpb.RenewRequest) *controlpb.RenewResponse
	GrantOnDemand(request *controlpb.OnDemandRequest) *controlpb.OnDemandResponse
}

// notDividing is why a process answers no requests for allocations.
const notDividing = "this process divides nothing"

// RenewAllocations renews this process's allocations with the leader of a shard.
func (c *Client) RenewAllocations(
	ctx context.Context, id, address string, request *controlpb.RenewRequest,
) (*controlpb.RenewResponse, error) {
	leader, err := c.process(id, address)
	if err != nil {
		return nil, err
	}
	request.Fleet = c.fleet
	return leader.Renew(ctx, request)
}

// RequestUnits requests units on demand from the leader of a shard.
func (c *Client) RequestUnits(
	ctx context.Context, id, address string, request *controlpb.OnDemandRequest,
) (*controlpb.OnDemandResponse, error) {
	leader, err := c.process(id, address)
	if err != nil {
		return nil, err
	}
	request.Fleet = c.fleet
	request.Member = c.member()
	return leader.Borrow(ctx, request)
}

// Renew renews a process's allocations, if quotas are divided here.
func (s *Server) Renew(
	_ context.Context, request *controlpb.RenewRequest,
) (*controlpb.RenewResponse, error) {
	if request.Fleet != s.fleet {
		return nil, errOtherFleet
	}
	if s.Budgets == nil {
		return &controlpb.RenewResponse{
			Code: controlpb.Code_NOT_LEADER, Reason: notDividing,
		}, nil
	}
	return s.Budgets.Renew(request), nil
}

// Borrow grants units on demand, if the quota is divided here.
func (s *Server) Borrow(
	_ context.Context, request *controlpb.OnDemandRequest,
) (*controlpb.OnDemandResponse, error) {
	if request.Fleet != s.fleet {
		return nil, errOtherFleet
	}
	if s.Budgets == nil {
		return &controlpb.OnDemandResponse{
			Code: controlpb.Code_NOT_LEADER, Reason: notDividing,
		}, nil
	}
	return s.Budgets.GrantOnDemand(request), nil
}
