package controlrpc

import (
	"context"

	"mothcleat/internal/controlplane/controlpb"
)

// Budgets answers the calls for allocations in a process that leads shards of the quotas. Its
// methods are called concurrently.
type Budgets interface {
	// Renew renews a process's allocations.
	Renew(request *controlpb.RenewRequest) *controlpb.RenewResponse
	// GrantOnDemand grants units on demand.
	GrantOnDemand(request *controlpb.OnDemandRequest) *controlpb.OnDemandResponse
}

// noBudgets is the reason in answers to requests for allocations if this process divides no quotas.
const noBudgets = "this process divides nothing"

// RenewAllocations requests the renewal of this process's allocations from the leader of a shard.
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

// Renew renews a process's allocations, if this process divides quotas.
func (s *Server) Renew(
	_ context.Context, request *controlpb.RenewRequest,
) (*controlpb.RenewResponse, error) {
	if request.Fleet != s.fleet {
		return nil, errOtherFleet
	}
	if s.Budgets == nil {
		return &controlpb.RenewResponse{
			Code: controlpb.Code_NOT_LEADER, Reason: noBudgets,
		}, nil
	}
	return s.Budgets.Renew(request), nil
}

// Borrow grants units on demand, if this process divides quotas.
func (s *Server) Borrow(
	_ context.Context, request *controlpb.OnDemandRequest,
) (*controlpb.OnDemandResponse, error) {
	if request.Fleet != s.fleet {
		return nil, errOtherFleet
	}
	if s.Budgets == nil {
		return &controlpb.OnDemandResponse{
			Code: controlpb.Code_NOT_LEADER, Reason: noBudgets,
		}, nil
	}
	return s.Budgets.GrantOnDemand(request), nil
}
