package controlplane

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/allocator"
	"mothcleat/internal/controlplane/lease"
)

// AllocationStatus describes this process's allocations, and the shards of quotas that it leads.
type AllocationStatus struct {
	Member      lease.Member                      `json:"member"`
	At          time.Duration                     `json:"at"` // see monotonic.Now
	Held        []allocation.HolderStatus         `json:"held"`
	Stats       allocator.ClientStats             `json:"did"`
	LeaderStats map[string]allocation.LeaderStats `json:"divides"` // by role of a shard
}

// callBudgets returns the ledger of all budgets, or of one customer's. Allocations of members
// without a session are marked as ended.
func (n *Node) callBudgets(ctx context.Context, arguments []string) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	views, err := n.readBudgets(ctx, arguments)
	if err != nil {
		return nil, err
	}
	membership, err := n.Membership(ctx)
	if err != nil {
		return nil, err
	}
	present := map[lease.Member]bool{}
	for _, m := range membership.Members {
		present[m.Member] = true
	}
	for _, v := range views {
		for i := range v.Allocations {
			v.Allocations[i].Ended = !present[v.Allocations[i].Member]
		}
	}
	return views, nil
}

// readBudgets reads all budgets, or only that of the customer named by the arguments.
func (n *Node) readBudgets(ctx context.Context, arguments []string) ([]allocation.View, error) {
	customer := uint64(0)
	if len(arguments) > 0 {
		var err error
		customer, err = strconv.ParseUint(arguments[0], 16, 64)
		if err != nil {
			return nil, fmt.Errorf("customer %.32q: up to 16 hexadecimal digits wanted",
				arguments[0])
		}
	}
	answer, err := n.client.Read(ctx, allocation.MachineName, nil)
	if err != nil {
		return nil, err
	}
	all, err := allocation.ReadViews(answer)
	if err != nil {
		return nil, err
	}
	views := []allocation.View{} // not null in JSON
	for _, v := range all {
		if len(arguments) == 0 || v.Budget == customer {
			views = append(views, v)
		}
	}
	return views, nil
}
