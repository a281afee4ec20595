package allocator

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"strconv"
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

// Client is this process's side as one that uses budgets: its rights, as the gateway's loop sees them, and their
// renewal. The loop's calls never wait for anybody but for another short call.
type Client struct {
	rules  allocation.Config
	shards int
	rpc    *controlrpc.Client
	owners *election.Set
	log    *slog.Logger
	lent   func(gateway.OnDemandReply)

	loans    chan struct{}  // room for askings that are out
	silent   []atomic.Int64 // by shard: until when nobody is asked for units, by package monotonic's clock
	mu       sync.Mutex
	holder   *allocation.Holder
	gone     []uint64 // boots of this id that run no more
	took     uint64   // the request that something was taken for last
	tookBy   time.Duration
	figures  ClientStats
	order    uint64         // of the plans' version
	record   io.Writer      // nil: none
	lastTold []atomic.Int64 // by shard: when an owner last answered
}

// ClientStats are counts of what a User did.
type ClientStats struct {
	Renewals         uint64 `json:"renewals"`
	Failed           uint64 `json:"failed"`
	OnDemandRequests uint64 `json:"loans"`
	OnDemandGrants   uint64 `json:"lent"`
	OnDemandFailures uint64 `json:"unheard"` // loans without an answer
}

const (
	loansOut    = 256
	idleEach    = time.Second
	renewWithin = 400 * time.Millisecond
	lendWithin  = 150 * time.Millisecond
	silentFor   = 250 * time.Millisecond // after an asking for units without an answer, none goes to that owner
)

// NewClient makes one that holds nothing.
func NewClient(r allocation.Config, shards int, client *controlrpc.Client, owners *election.Set, log *slog.Logger) *Client {
	return &Client{rules: r, shards: shards, rpc: client, owners: owners, log: log, loans: make(chan struct{}, loansOut),
		silent: make([]atomic.Int64, shards), lastTold: make([]atomic.Int64, shards), holder: allocation.NewHolder(r, client.Me(), shards)}
}

// OnReply has the answers to Borrow go to a function. It is to be called before the first Borrow.
func (u *Client) OnReply(lent func(gateway.OnDemandReply)) { u.lent = lent }

func whole(b *policy.SharedQuota) allocation.Share {
	return allocation.Share{Rate: b.Rate, Burst: b.Burst}
}

// The loop's calls. Times are by package monotonic's clock: the module's own may have been read before the process was stopped.

// RecordDemand takes note that units were asked for.
func (u *Client) RecordDemand(_ policy.Time, b *policy.SharedQuota, units float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.holder.RecordDemand(monotonic.Now(), b.ID, whole(b), b.Spread, units)
}

// Available is how many units may be taken now.
func (u *Client) Available(_ policy.Time, b *policy.SharedQuota) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return min(u.holder.Available(monotonic.Now(), b.ID), b.Burst) // a part that is not lessened yet
}

// RefillRate is at which rate they come.
func (u *Client) RefillRate(_ policy.Time, b *policy.SharedQuota) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return min(u.holder.RefillRate(monotonic.Now(), b.ID), b.Rate)
}

// Consume uses units for a request.
func (u *Client) Consume(_ policy.Time, id uint64, b *policy.SharedQuota, units float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := monotonic.Now()
	u.holder.Consume(now, b.ID, units)
	u.took, u.tookBy = id, 0
	if units > 0 {
		u.tookBy = u.holder.UseBy(now, b.ID)
	}
}

// Release gives back units that were lent.
func (u *Client) Release(_ policy.Time, b *policy.SharedQuota, units float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.holder.Release(monotonic.Now(), b.ID, units)
}

// UsableUntil is until when what was taken for a request may be used.
func (u *Client) UsableUntil(id uint64) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.took != id {
		return 0
	}
	return u.tookBy
}

// Expired tells whether a time is over.
func (u *Client) Expired(by time.Duration) bool {
	failpoint.At("right-taken")
	over := monotonic.Now() >= by
	failpoint.At("right-checked")
	return over
}

// RequestOnDemand asks the owner of a budget for units.
func (u *Client) RequestOnDemand(id uint64, b *policy.SharedQuota, units float64) bool {
	shard := allocation.ShardOf(b.ID, u.shards)
	now := monotonic.Now()
	owner, address, ok := u.owners.Leader(allocation.RoleOfShard(shard))
	if !ok || now < time.Duration(u.silent[shard].Load()) {
		return false
	}
	select {
	case u.loans <- struct{}{}:
	default:
		return false
	}
	go u.borrow(shard, owner, address, gateway.OnDemandReply{RequestID: id, Quota: *b, UsableUntil: now + u.rules.UseTimeout}, units)
	return true
}

func (u *Client) borrow(shard int, owner lease.Member, address string, l gateway.OnDemandReply, units float64) {
	defer func() { <-u.loans }()
	ctx, cancel := context.WithTimeout(context.Background(), lendWithin)
	defer cancel()
	u.mu.Lock()
	age, order := u.holder.Age(monotonic.Now()), u.order
	u.mu.Unlock()
	ask := &controlpb.OnDemandRequest{LimitVersion: order, Age: age, Role: allocation.RoleOfShard(shard), Budget: l.Quota.ID, Units: units,
		Limit: &controlpb.Share{Rate: l.Quota.Rate, Burst: l.Quota.Burst}, MaxMembers: uint32(l.Quota.Spread)}
	a, err := u.rpc.Borrow(ctx, owner.ID, address, ask)
	u.mu.Lock()
	u.figures.OnDemandRequests++
	switch {
	case err != nil || a.Code != controlpb.Code_OK:
		u.figures.OnDemandFailures++
		u.silent[shard].Store(int64(monotonic.Now() + silentFor))
	case a.Granted:
		u.figures.OnDemandGrants++
		l.Units = units
	default:
		l.RetryAfter = time.Duration(a.RetryAfter)
	}
	u.mu.Unlock()
	u.lent(l)
}

// SetPlanOrder tells by which version of the plans wholes are from now on.
func (u *Client) SetPlanOrder(order uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.order = order
}

// SetEndedIncarnations tells of boots of this process's id that run no more: whatever they held is free.
func (u *Client) SetEndedIncarnations(boots []uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gone = boots
}

// Run renews the rights until the context ends.
func (u *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for shard := range u.shards {
		wg.Add(1)
		go func() {
			defer wg.Done()
			u.renewAll(ctx, shard)
		}()
	}
	wg.Wait()
}

func (u *Client) renewAll(ctx context.Context, shard int) {
	for ctx.Err() == nil {
		sent := monotonic.Now()
		again := u.renew(ctx, shard)
		wait := max(0, u.rules.RenewInterval-(monotonic.Now()-sent))
		if again {
			wait = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// renew renews once. It tells whether there is something to say at once.
func (u *Client) renew(ctx context.Context, shard int) bool {
	owner, address, ok := u.owners.Leader(allocation.RoleOfShard(shard))
	if !ok {
		return false
	}
	sent := monotonic.Now()
	u.mu.Lock()
	ask := u.holder.RenewRequest(sent, shard)
	ask.EndedIncarnations, ask.LimitVersion = u.gone, u.order
	u.mu.Unlock()
	if ask.AppliedUpdate == 0 && len(ask.Demands) == 0 && sent-time.Duration(u.lastTold[shard].Load()) < idleEach {
		return false // it was never given anything, and wants nothing: the way to the owner is kept open
	}
	one, cancel := context.WithTimeout(ctx, renewWithin)
	defer cancel()
	a, err := u.rpc.Renew(one, owner.ID, address, ask)
	failpoint.At("right-told")
	u.mu.Lock()
	defer u.mu.Unlock()
	u.figures.Renewals++
	if err != nil || a.Code != controlpb.Code_OK {
		u.figures.Failed++
		return false
	}
	u.lastTold[shard].Store(int64(monotonic.Now()))
	again := u.holder.HandleRenewal(monotonic.Now(), sent, shard, ask, a)
	u.write(shard, a.Term != ask.Term || len(a.Updates) > 0)
	if again {
		failpoint.At("right-lessened")
	}
	return again
}

// ReleaseAll gives everything back, and returns when the owners have heard it, or the context ends.
func (u *Client) ReleaseAll(ctx context.Context) {
	u.mu.Lock()
	all := u.holder.ReleaseAll(monotonic.Now())
	for shard := range all {
		u.write(shard, true)
	}
	u.mu.Unlock()
	var wg sync.WaitGroup
	for shard, ask := range all {
		if ask.AppliedUpdate == 0 {
			continue // nothing was ever given
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				owner, address, ok := u.owners.Leader(allocation.RoleOfShard(shard))
				if ok {
					one, cancel := context.WithTimeout(ctx, renewWithin)
					a, err := u.rpc.Renew(one, owner.ID, address, ask)
					cancel()
					if err == nil && a.Code == controlpb.Code_OK {
						return
					}
				}
				select {
				case <-ctx.Done():
				case <-time.After(readAgain):
				}
			}
		}()
	}
	wg.Wait()
}

// RecordLine is one line of a record of rights. Times are by package monotonic's clock, the same for all processes of a machine.
type RecordLine struct {
	At            time.Duration    `json:"at"`
	Member        lease.Member     `json:"member"`
	Shard         int              `json:"shard"`
	Until         time.Duration    `json:"until"` // the parts hold; and then the floors
	ReservedUntil time.Duration    `json:"floor_until"`
	Changed       bool             `json:"changed,omitempty"` // Held is all that is held from now on; else that is as before
	Held          map[string]Parts `json:"held,omitempty"`    // by the budget's number, hexadecimal
}

// Parts is a right in a record.
type Parts = allocation.Allocation

// RecordTo has each renewal written down. It is to be called before Run.
func (u *Client) RecordTo(to io.Writer) { u.record = to }

// write writes a line. The lock is held.
func (u *Client) write(shard int, changed bool) {
	if u.record == nil {
		return
	}
	l := RecordLine{At: monotonic.Now(), Member: u.rpc.Me(), Shard: shard, Changed: changed}
	l.Until, l.ReservedUntil = u.holder.Expiry(shard)
	if changed {
		l.Held = map[string]Parts{}
		for _, r := range u.holder.Status(l.At) {
			if allocation.ShardOf(r.Budget, u.shards) == shard {
				l.Held[strconv.FormatUint(r.Budget, 16)] = r.Allocation
			}
		}
	}
	raw, err := json.Marshal(l)
	if err == nil {
		_, err = u.record.Write(append(raw, '\n'))
	}
	if err != nil {
		u.log.Error("budgets: rights can't be written down", "error", err)
		u.record = nil
	}
}

// Status are what this process holds now, and what it did.
func (u *Client) Status() ([]allocation.HolderStatus, ClientStats) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.holder.Status(monotonic.Now()), u.figures
}
