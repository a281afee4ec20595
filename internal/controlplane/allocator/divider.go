// Package allocator has a process divide the budgets of its fleet, where it owns a shard of them, and use
// its own parts. The arithmetic is package budget's.
package allocator

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/election"
	"mothcleat/internal/failpoint"
	"mothcleat/internal/monotonic"
)

// ShardLeaders is the owner's side in this process. Its Work is the work of the duty of each shard.
type ShardLeaders struct {
	Rules  allocation.Config
	Client *controlrpc.Client
	Log    *slog.Logger

	mu      sync.Mutex
	offices map[string]*office
	divided map[string]uint64 // the last term under which this process divided a shard
}

// office is one shard that this process owns now.
type office struct {
	tenure *election.Tenure
	kick   chan struct{} // there may be something to agree on

	mu     sync.Mutex
	owner  *allocation.Leader
	agreed chan struct{} // closed with each round that is
}

const (
	planEach  = 20 * time.Millisecond // at most so long nothing is planned; a renewal that changes something has it looked at at once
	readAgain = 50 * time.Millisecond
	// The last round of a term; the duty is handed on after 300 ms in any case.
	closeWithin = 250 * time.Millisecond
	soonMost    = 80 * time.Millisecond // a loan waits for a round
)

var notOwner = "this process does not own the shard"

// Work divides a shard for as long as the duty is held.
func (d *ShardLeaders) Work(ctx context.Context, t *election.Tenure) {
	if !d.first(t) {
		// The duty lapsed, and was renewed under the same term, as nobody else asked. What was given since the term began is
		// known to an Owner that has ended: another one begins with another term.
		t.Resign()
		return
	}
	failpoint.At("budgets-begin")
	books, err := d.read(ctx, t.Role)
	if err != nil {
		return
	}
	// All that the owner before may have given was given before now.
	owner, err := allocation.NewLeader(monotonic.Now(), d.Rules, t.Role, t.Term, books)
	if err != nil {
		d.Log.Error("budgets: what is agreed can't be used", "duty", t.Role, "error", err)
		return
	}
	o := &office{tenure: t, owner: owner, kick: make(chan struct{}, 1), agreed: make(chan struct{})}
	d.mu.Lock()
	if d.offices == nil {
		d.offices = map[string]*office{}
	}
	d.offices[t.Role] = o
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.offices[t.Role] == o {
			delete(d.offices, t.Role)
		}
	}()
	tick := time.NewTicker(planEach)
	defer tick.Stop()
	// A round that is under way when the duty is to be handed on is seen through.
	through, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(closeWithin, cancel) })()
	defer func() {
		if ctx.Err() != nil && o.tenure.Holds() {
			if err := d.agree(through, o, (*allocation.Leader).Close); err != nil {
				d.Log.Info("budgets: what the reserve holds is not handed on", "duty", t.Role, "error", err)
			}
		}
	}()
	for ctx.Err() == nil {
		if err := d.agree(through, o, (*allocation.Leader).Plan); err != nil {
			if ctx.Err() == nil {
				// Whether it is agreed can't be known any more. Another term begins with what is.
				d.Log.Error("budgets: a round is lost; the shard is given up", "duty", t.Role, "term", t.Term, "error", err)
				t.Resign()
			}
			return
		}
		select {
		case <-ctx.Done():
		case <-o.kick:
		case <-tick.C:
		}
	}
}

// first tells whether this process divides under a term for the first time.
func (d *ShardLeaders) first(t *election.Tenure) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.divided == nil {
		d.divided = map[string]uint64{}
	}
	if t.Term <= d.divided[t.Role] {
		return false
	}
	d.divided[t.Role] = t.Term
	return true
}

// read has the books as they are agreed under the term.
func (d *ShardLeaders) read(ctx context.Context, duty string) (*controlpb.Ledger, error) {
	for {
		raw, err := d.Client.Read(ctx, allocation.MachineName, []byte(duty))
		books := &controlpb.Ledger{}
		if err == nil {
			err = proto.Unmarshal(raw, books)
		}
		if err == nil || ctx.Err() != nil {
			return books, errors.Join(err, ctx.Err())
		}
		select {
		case <-ctx.Done():
		case <-time.After(readAgain):
		}
	}
}

// agree has what is planned agreed, if there is anything. It is asked for until it is known whether it was.
func (d *ShardLeaders) agree(ctx context.Context, o *office, plan func(*allocation.Leader, time.Duration) *controlpb.Round) error {
	o.mu.Lock()
	round := plan(o.owner, monotonic.Now())
	o.mu.Unlock()
	if round == nil {
		return nil
	}
	failpoint.At("budgets-before-agree")
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(round)
	if err != nil {
		return err
	}
	raw, err := d.Client.Propose(ctx, allocation.MachineName, body)
	if err != nil {
		return err
	}
	failpoint.At("budgets-after-agree")
	var r allocation.Result
	if err := json.Unmarshal(raw, &r); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !r.OK {
		o.owner.Rejected(monotonic.Now())
		return errors.New(r.Why) // a later owner has it, or this one is wrong about what is agreed
	}
	o.owner.Committed(monotonic.Now())
	close(o.agreed)
	o.agreed = make(chan struct{})
	return nil
}

func (d *ShardLeaders) office(duty string) *office {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.offices[duty]
}

// Renew renews a member's rights, if this process owns the shard.
func (d *ShardLeaders) Renew(ask *controlpb.RenewRequest) *controlpb.RenewResponse {
	o := d.office(ask.Role)
	if o == nil {
		return &controlpb.RenewResponse{Code: controlpb.Code_NOT_LEADER, Why: notOwner}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.tenure.Holds() {
		return &controlpb.RenewResponse{Code: controlpb.Code_NOT_LEADER, Why: notOwner}
	}
	failpoint.At("budgets-renew")
	a := o.owner.Renew(monotonic.Now(), ask)
	select {
	case o.kick <- struct{}{}:
	default:
	}
	return a
}

// GrantOnDemand lends units, if this process owns the shard.
func (d *ShardLeaders) GrantOnDemand(ask *controlpb.OnDemandRequest) *controlpb.OnDemandResponse {
	o := d.office(ask.Role)
	if o == nil {
		return &controlpb.OnDemandResponse{Code: controlpb.Code_NOT_LEADER, Why: notOwner}
	}
	limit := time.NewTimer(soonMost)
	defer limit.Stop()
	for {
		a, agreed := o.grantOnDemand(ask)
		if !a.AwaitRound {
			return a
		}
		select {
		case <-agreed:
		case <-limit.C:
			return a
		}
	}
}

// grantOnDemand lends, or tells what to wait for.
func (o *office) grantOnDemand(ask *controlpb.OnDemandRequest) (a *controlpb.OnDemandResponse, agreed chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.tenure.Holds() {
		return &controlpb.OnDemandResponse{Code: controlpb.Code_NOT_LEADER, Why: notOwner}, nil
	}
	if a = o.owner.GrantOnDemand(monotonic.Now(), ask); a.AwaitRound {
		select {
		case o.kick <- struct{}{}:
		default:
		}
	}
	return a, o.agreed
}

// Stats are what the owners in this process did, by duty.
func (d *ShardLeaders) Stats() map[string]allocation.LeaderStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string]allocation.LeaderStats{}
	for duty, o := range d.offices {
		o.mu.Lock()
		all[duty] = o.owner.Stats()
		o.mu.Unlock()
	}
	return all
}
