package allocator

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/election"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/dataplane/gateway"
	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/failpoint"
	"mothcleat/internal/monotonic"
)

const (
	maxOnDemandRequests = 256 // in flight
	onDemandTimeout     = 150 * time.Millisecond

	// unresponsiveDelay is the time for which a leader that did not answer an on-demand request is
	// sent no other.
	unresponsiveDelay = 250 * time.Millisecond
)

// Client provides this process's allocations to the gateway's event loop, and renews them. Its
// methods may be called concurrently, except OnReply and RecordTo. Calls from the event loop block
// only on a mutex that is held briefly. All times are by the clock of package monotonic, because
// the loop's own time may have been read before the process was suspended.
type Client struct {
	config  allocation.Config
	shards  int
	rpc     *controlrpc.Client
	leaders *election.Set
	log     *slog.Logger
	onReply func(gateway.OnDemandReply)

	onDemandSlots     chan struct{}  // one value for each request in flight
	unresponsiveUntil []atomic.Int64 // by shard: no on-demand requests before then
	lastResponse      []atomic.Int64 // by shard: when a leader last answered a renewal

	mu                sync.Mutex // guards what follows
	holder            *allocation.Holder
	endedIncarnations []uint64 // of this process's id
	lastRequest       uint64   // id of the request for which units were last taken
	lastUseBy         time.Duration
	stats             ClientStats
	planOrder         uint64    // order of the plans that define the limits; see SetPlanOrder
	record            io.Writer // nil: allocations are not recorded
}

// ClientStats counts the requests of a Client and their outcomes.
type ClientStats struct {
	Renewals         uint64 `json:"renewals"`
	Failed           uint64 `json:"failed"` // failed renewals
	OnDemandRequests uint64 `json:"loans"`
	OnDemandGrants   uint64 `json:"lent"`
	OnDemandFailures uint64 `json:"unheard"` // requests that failed or got no answer
}

// NewClient returns a client without allocations. Call OnReply before the gateway uses the client,
// and Run to renew allocations.
func NewClient(c allocation.Config, shards int, rpc *controlrpc.Client, leaders *election.Set,
	log *slog.Logger) *Client {
	return &Client{
		config:            c,
		shards:            shards,
		rpc:               rpc,
		leaders:           leaders,
		log:               log,
		onDemandSlots:     make(chan struct{}, maxOnDemandRequests),
		unresponsiveUntil: make([]atomic.Int64, shards),
		lastResponse:      make([]atomic.Int64, shards),
		holder:            allocation.NewHolder(c, rpc.Me(), shards),
	}
}

// OnReply sets the function that receives the replies to RequestOnDemand. It may be called from any
// goroutine. Call OnReply before the first RequestOnDemand.
func (c *Client) OnReply(onReply func(gateway.OnDemandReply)) { c.onReply = onReply }

func limitOf(q *policy.SharedQuota) allocation.Share {
	return allocation.Share{Rate: q.Rate, Burst: q.Burst}
}

// RecordDemand records that a request needs units of a quota.
func (c *Client) RecordDemand(_ policy.Time, q *policy.SharedQuota, units float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.RecordDemand(monotonic.Now(), q.ID, limitOf(q), q.Spread, units)
}

// Available returns the number of units of a quota that may be taken now. It is at most the quota's
// burst, which the allocation may still exceed just after the quota was lowered.
func (c *Client) Available(_ policy.Time, q *policy.SharedQuota) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(c.holder.Available(monotonic.Now(), q.ID), q.Burst)
}

// RefillRate returns the rate at which a quota is refilled now, in units per second.
func (c *Client) RefillRate(_ policy.Time, q *policy.SharedQuota) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(c.holder.RefillRate(monotonic.Now(), q.ID), q.Rate)
}

// Consume takes units for a request. A negative number puts units back.
func (c *Client) Consume(_ policy.Time, id uint64, q *policy.SharedQuota, units float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := monotonic.Now()
	c.holder.Consume(now, q.ID, units)
	c.lastRequest = id
	c.lastUseBy = 0
	if units > 0 {
		c.lastUseBy = c.holder.UseBy(now, q.ID)
	}
}

// Release returns units that were granted on demand and not used.
func (c *Client) Release(_ policy.Time, q *policy.SharedQuota, units float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.Release(monotonic.Now(), q.ID, units)
}

// UsableUntil returns the time until which the units taken for a request may be used. It returns 0
// if none were taken, or if units were taken for another request since.
func (c *Client) UsableUntil(id uint64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastRequest != id {
		return 0
	}
	return c.lastUseBy
}

// Expired reports whether a time has passed.
func (c *Client) Expired(until time.Duration) bool {
	failpoint.At("allocation-taken")
	expired := monotonic.Now() >= until
	failpoint.At("allocation-checked")
	return expired
}

// RequestOnDemand requests units of a quota from the leader of its shard, for the request with the
// id. The function set by OnReply receives the reply. RequestOnDemand sends nothing and returns
// false if no leader is known, an on-demand request to the shard failed within the last
// unresponsiveDelay, or maxOnDemandRequests are in flight.
func (c *Client) RequestOnDemand(id uint64, q *policy.SharedQuota, units float64) bool {
	shard := allocation.ShardOf(q.ID, c.shards)
	now := monotonic.Now()
	leader, address, ok := c.leaders.Leader(allocation.RoleOfShard(shard))
	if !ok || now < time.Duration(c.unresponsiveUntil[shard].Load()) {
		return false
	}
	select {
	case c.onDemandSlots <- struct{}{}:
	default:
		return false
	}
	reply := gateway.OnDemandReply{RequestID: id, Quota: *q, UsableUntil: now + c.config.UseTimeout}
	go func() {
		defer func() { <-c.onDemandSlots }()
		c.onReply(c.requestOnDemand(shard, leader, address, reply, units))
	}()
	return true
}

// requestOnDemand sends an on-demand request and fills in the reply from the response.
func (c *Client) requestOnDemand(shard int, leader lease.Member, address string,
	reply gateway.OnDemandReply, units float64) gateway.OnDemandReply {
	ctx, cancel := context.WithTimeout(context.Background(), onDemandTimeout)
	defer cancel()
	c.mu.Lock()
	request := &controlpb.OnDemandRequest{
		LimitVersion: c.planOrder,
		Age:          c.holder.Age(monotonic.Now()),
		Role:         allocation.RoleOfShard(shard),
		Budget:       reply.Quota.ID,
		Units:        units,
		Limit:        &controlpb.Share{Rate: reply.Quota.Rate, Burst: reply.Quota.Burst},
		MaxMembers:   uint32(reply.Quota.Spread),
	}
	c.mu.Unlock()
	response, err := c.rpc.RequestUnits(ctx, leader.ID, address, request)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.OnDemandRequests++
	switch {
	case err != nil || response.Code != controlpb.Code_OK:
		c.stats.OnDemandFailures++
		c.unresponsiveUntil[shard].Store(int64(monotonic.Now() + unresponsiveDelay))
	case response.Granted:
		c.stats.OnDemandGrants++
		reply.Units = units
	default:
		reply.RetryAfter = time.Duration(response.RetryAfter)
	}
	return reply
}

// SetPlanOrder sets the version of the plans that defines the limits from now on. The order is
// twice the version, plus one when no earlier version is in use any more.
func (c *Client) SetPlanOrder(order uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planOrder = order
}

// SetEndedIncarnations sets the incarnations of this process's id that have exited. Renewals report
// them, so that their allocations become free.
func (c *Client) SetEndedIncarnations(incarnations []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedIncarnations = incarnations
}

// Status returns the current allocations of this process, and the counts of its requests.
func (c *Client) Status() ([]allocation.HolderStatus, ClientStats) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.Status(monotonic.Now()), c.stats
}
