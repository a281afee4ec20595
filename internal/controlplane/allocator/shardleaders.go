// Package allocator runs package allocation in a process: ShardLeaders divides the budgets of the
// shards that this process leads, and Client uses and renews the process's own allocations.
package allocator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

const (
	// planInterval bounds the time without a look at the budgets. A renewal causes one at once.
	planInterval = 20 * time.Millisecond

	// retryInterval is between two attempts to reach the replicated state or a leader.
	retryInterval = 50 * time.Millisecond

	// closeTimeout is for the last round of a term, and is shorter than the time after which the
	// role is transferred in any case.
	closeTimeout = 250 * time.Millisecond

	// awaitRoundTimeout is how long an on-demand request waits for a round.
	awaitRoundTimeout = 80 * time.Millisecond
)

const reasonNotLeader = "this process does not lead the shard"

var errRoundRejected = errors.New("allocation: the round was rejected")

// ShardLeaders leads shards in this process. Its methods may be called concurrently.
type ShardLeaders struct {
	Config allocation.Config
	RPC    *controlrpc.Client
	Log    *slog.Logger

	mu        sync.Mutex
	shards    map[string]*shardLeader // by role
	lastTerms map[string]uint64       // by role: the last term under which this process led
}

// shardLeader is one shard that this process leads now.
type shardLeader struct {
	tenure  *election.Tenure
	planNow chan struct{} // holds a value when there may be something to commit

	mu        sync.Mutex
	leader    *allocation.Leader
	committed chan struct{} // closed with the next round that is committed
}

// Lead leads a shard until the context ends or the shard can't be led under this term any more.
func (d *ShardLeaders) Lead(ctx context.Context, t *election.Tenure) {
	if !d.startTerm(t) {
		// The lease expired and was renewed under the same term, as nobody else asked for it. What
		// was allocated since the term began was known to a Leader that has ended. The next one
		// needs another term.
		t.Resign()
		return
	}
	failpoint.At("shard-before-read")
	ledger, err := d.readLedger(ctx, t.Role)
	if err != nil {
		return
	}
	// Whatever the leader before allocated, it did so before now.
	leader, err := allocation.NewLeader(monotonic.Now(), d.Config, t.Role, t.Term, ledger)
	if err != nil {
		d.Log.Error("allocation: the committed ledger is unusable", "role", t.Role, "error", err)
		return
	}
	s := &shardLeader{
		tenure:    t,
		leader:    leader,
		planNow:   make(chan struct{}, 1),
		committed: make(chan struct{}),
	}
	d.add(s)
	defer d.remove(s)
	// A round that is under way when ctx ends is completed: commitCtx ends closeTimeout later.
	commitCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(closeTimeout, cancel) })()
	defer d.closeTerm(ctx, commitCtx, s)
	d.commitRounds(ctx, commitCtx, s)
}

// startTerm reports whether this process leads under a term for the first time.
func (d *ShardLeaders) startTerm(t *election.Tenure) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastTerms == nil {
		d.lastTerms = map[string]uint64{}
	}
	if t.Term <= d.lastTerms[t.Role] {
		return false
	}
	d.lastTerms[t.Role] = t.Term
	return true
}

func (d *ShardLeaders) add(s *shardLeader) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shards == nil {
		d.shards = map[string]*shardLeader{}
	}
	d.shards[s.tenure.Role] = s
}

func (d *ShardLeaders) remove(s *shardLeader) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shards[s.tenure.Role] == s {
		delete(d.shards, s.tenure.Role)
	}
}

// shard returns the leader of a role's shard, nil if it is not led here.
func (d *ShardLeaders) shard(role string) *shardLeader {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shards[role]
}

// readLedger returns the committed ledger of a role's shard. It retries until the context ends.
func (d *ShardLeaders) readLedger(ctx context.Context, role string) (*controlpb.Ledger, error) {
	for {
		raw, err := d.RPC.Read(ctx, allocation.MachineName, []byte(role))
		ledger := &controlpb.Ledger{}
		if err == nil {
			err = proto.Unmarshal(raw, ledger)
		}
		if err == nil || ctx.Err() != nil {
			return ledger, errors.Join(err, ctx.Err())
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// commitRounds plans and commits rounds until ctx ends. Where the outcome of a round is unknown it
// resigns: another term starts with what is committed.
func (d *ShardLeaders) commitRounds(ctx, commitCtx context.Context, s *shardLeader) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		err := d.commit(commitCtx, s, s.leader.Plan)
		if err != nil {
			if ctx.Err() == nil {
				d.Log.Error("allocation: a round is lost; resigning as the leader of the shard",
					"role", s.tenure.Role, "term", s.tenure.Term, "error", err)
				s.tenure.Resign()
			}
			return
		}
		select {
		case <-ctx.Done():
		case <-s.planNow:
		case <-ticker.C:
		}
	}
}

// closeTerm commits the last round of a term whose role is to be transferred.
func (d *ShardLeaders) closeTerm(ctx, commitCtx context.Context, s *shardLeader) {
	if ctx.Err() == nil || !s.tenure.Holds() {
		return
	}
	if err := d.commit(commitCtx, s, s.leader.Close); err != nil {
		d.Log.Info("allocation: the pools are not carried over", "role", s.tenure.Role, "error",
			err)
	}
}

// commit proposes the round that plan returns, if any, and returns once the outcome is known, or
// the context ends.
func (d *ShardLeaders) commit(ctx context.Context, s *shardLeader,
	plan func(time.Duration) *controlpb.Round) error {
	s.mu.Lock()
	round := plan(monotonic.Now())
	s.mu.Unlock()
	if round == nil {
		return nil
	}
	failpoint.At("round-before-commit")
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(round)
	if err != nil {
		return err
	}
	raw, err := d.RPC.Propose(ctx, allocation.MachineName, body)
	if err != nil {
		return err
	}
	failpoint.At("round-after-commit")
	var result allocation.Result
	if err := json.Unmarshal(raw, &result); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !result.OK {
		// There is a later leader, or this one is wrong about what is committed.
		s.leader.Rejected(monotonic.Now())
		return fmt.Errorf("%w: %s", errRoundRejected, result.Why)
	}
	s.leader.Committed(monotonic.Now())
	close(s.committed)
	s.committed = make(chan struct{})
	return nil
}

// Renew renews a member's allocations, if this process leads the shard.
func (d *ShardLeaders) Renew(request *controlpb.RenewRequest) *controlpb.RenewResponse {
	notLeader := &controlpb.RenewResponse{Code: controlpb.Code_NOT_LEADER, Reason: reasonNotLeader}
	s := d.shard(request.Role)
	if s == nil {
		return notLeader
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.tenure.Holds() {
		return notLeader
	}
	failpoint.At("budgets-renew")
	response := s.leader.Renew(monotonic.Now(), request)
	s.requestPlan()
	return response
}

// GrantOnDemand grants units, if this process leads the shard. It waits up to awaitRoundTimeout for
// a round that has to be committed first.
func (d *ShardLeaders) GrantOnDemand(
	request *controlpb.OnDemandRequest,
) *controlpb.OnDemandResponse {
	s := d.shard(request.Role)
	if s == nil {
		return &controlpb.OnDemandResponse{Code: controlpb.Code_NOT_LEADER, Reason: reasonNotLeader}
	}
	timeout := time.NewTimer(awaitRoundTimeout)
	defer timeout.Stop()
	for {
		response, committed := s.grantOnDemand(request)
		if !response.AwaitRound {
			return response
		}
		select {
		case <-committed:
		case <-timeout.C:
			return response
		}
	}
}

// grantOnDemand grants units, or returns a channel that is closed with the next round.
func (s *shardLeader) grantOnDemand(request *controlpb.OnDemandRequest) (
	response *controlpb.OnDemandResponse, committed chan struct{},
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.tenure.Holds() {
		notLeader := controlpb.Code_NOT_LEADER
		return &controlpb.OnDemandResponse{Code: notLeader, Reason: reasonNotLeader}, nil
	}
	response = s.leader.GrantOnDemand(monotonic.Now(), request)
	if response.AwaitRound {
		s.requestPlan()
	}
	return response, s.committed
}

// requestPlan has the budgets looked at without waiting for planInterval.
func (s *shardLeader) requestPlan() {
	select {
	case s.planNow <- struct{}{}:
	default:
	}
}

// Stats returns what the leaders in this process did, by role.
func (d *ShardLeaders) Stats() map[string]allocation.LeaderStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string]allocation.LeaderStats{}
	for role, s := range d.shards {
		s.mu.Lock()
		all[role] = s.leader.Stats()
		s.mu.Unlock()
	}
	return all
}
