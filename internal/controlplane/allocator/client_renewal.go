package allocator

import (
	"context"
	"sync"
	"time"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/failpoint"
	"mothcleat/internal/monotonic"
)

const (
	renewTimeout = 400 * time.Millisecond

	// idleInterval is the time between two renewals of a process that has no allocation and no
	// demand. These renewals keep the connection to the leader open.
	idleInterval = time.Second
)

// Run renews the allocations of all shards until the context ends.
func (c *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for shard := range c.shards {
		wg.Go(func() { c.renewShard(ctx, shard) })
	}
	wg.Wait()
}

func (c *Client) renewShard(ctx context.Context, shard int) {
	for ctx.Err() == nil {
		sent := monotonic.Now()
		renewNow := c.renew(ctx, shard)
		wait := max(0, c.config.RenewInterval-(monotonic.Now()-sent))
		if renewNow {
			wait = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// renew renews a shard's allocations once. It reports whether to renew again immediately.
func (c *Client) renew(ctx context.Context, shard int) (renewNow bool) {
	leader, address, ok := c.leaders.Leader(allocation.RoleOfShard(shard))
	if !ok {
		return false
	}
	sent := monotonic.Now()
	c.mu.Lock()
	request := c.holder.RenewRequest(sent, shard)
	request.EndedIncarnations = c.endedIncarnations
	request.LimitVersion = c.planOrder
	c.mu.Unlock()
	idle := request.AppliedUpdate == 0 && len(request.Demands) == 0
	if idle && sent-time.Duration(c.lastResponse[shard].Load()) < idleInterval {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	response, err := c.rpc.RenewAllocations(callCtx, leader.ID, address, request)
	failpoint.At("allocation-renewed")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Renewals++
	if err != nil || response.Code != controlpb.Code_OK {
		c.stats.Failed++
		return false
	}
	c.lastResponse[shard].Store(int64(monotonic.Now()))
	renewNow = c.holder.HandleRenewal(monotonic.Now(), sent, shard, request, response)
	c.writeRecord(shard, response.Term != request.Term || len(response.Updates) > 0)
	if renewNow {
		failpoint.At("allocation-reduced")
	}
	return renewNow
}

// ReleaseAll releases all allocations. It returns when their leaders have acknowledged the release
// or the context ends.
func (c *Client) ReleaseAll(ctx context.Context) {
	c.mu.Lock()
	requests := c.holder.ReleaseAll(monotonic.Now())
	for shard := range requests {
		c.writeRecord(shard, true)
	}
	c.mu.Unlock()
	var wg sync.WaitGroup
	for shard, request := range requests {
		if request.AppliedUpdate == 0 {
			continue // no leader has ever answered, so nothing was allocated
		}
		wg.Go(func() { c.sendUntilAcknowledged(ctx, shard, request) })
	}
	wg.Wait()
}

// sendUntilAcknowledged sends a renewal to the leader of a shard, and retries until a leader has
// answered it or the context ends.
func (c *Client) sendUntilAcknowledged(ctx context.Context, shard int,
	request *controlpb.RenewRequest) {
	for ctx.Err() == nil {
		leader, address, ok := c.leaders.Leader(allocation.RoleOfShard(shard))
		if ok {
			callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
			response, err := c.rpc.RenewAllocations(callCtx, leader.ID, address, request)
			cancel()
			if err == nil && response.Code == controlpb.Code_OK {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}
