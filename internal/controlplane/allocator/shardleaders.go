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
	// planInterval is the maximum time between two plans. A renewal causes a plan immediately.
	planInterval = 20 * time.Millisecond

	// retryInterval is the time between two attempts to reach the replicated state or a leader.
	retryInterval = 50 * time.Millisecond

	// closeTimeout bounds the last round of a term. It is shorter than the time after which the
	// role is transferred in any case.
	closeTimeout = 250 * time.Millisecond

	// awaitRoundTimeout is the maximum time that an on-demand request waits for a round.
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

// Lead leads a shard until the context ends or the shard can no longer be led under this term.
func (l *ShardLeaders) Lead(ctx context.Context, t *election.Tenure) {
	if !l.startTerm(t) {
		// The lease expired and was renewed under the same term, because no other member requested
		// it. Only the previous Leader of this process, which has ended, knew the allocations of
		// the term. A new Leader needs a new term.
		t.Resign()
		return
	}
	failpoint.At("shard-before-read")
	ledger, err := l.readLedger(ctx, t.Role)
	if err != nil {
		return
	}
	// Any allocation by the previous leader was made before now.
	leader, err := allocation.NewLeader(monotonic.Now(), l.Config, t.Role, t.Term, ledger)
	if err != nil {
		l.Log.Error("allocation: the committed ledger is unusable", "role", t.Role, "error", err)
		return
	}
	s := &shardLeader{
		tenure:    t,
		leader:    leader,
		planNow:   make(chan struct{}, 1),
		committed: make(chan struct{}),
	}
	l.add(s)
	defer l.remove(s)
	// A round that is pending when ctx ends can still complete: commitCtx ends closeTimeout later.
	commitCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(closeTimeout, cancel) })()
	defer l.closeTerm(ctx, commitCtx, s)
	l.commitRounds(ctx, commitCtx, s)
}

// startTerm reports whether this process leads under a term for the first time.
func (l *ShardLeaders) startTerm(t *election.Tenure) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastTerms == nil {
		l.lastTerms = map[string]uint64{}
	}
	if t.Term <= l.lastTerms[t.Role] {
		return false
	}
	l.lastTerms[t.Role] = t.Term
	return true
}

func (l *ShardLeaders) add(s *shardLeader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shards == nil {
		l.shards = map[string]*shardLeader{}
	}
	l.shards[s.tenure.Role] = s
}

func (l *ShardLeaders) remove(s *shardLeader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shards[s.tenure.Role] == s {
		delete(l.shards, s.tenure.Role)
	}
}

// shard returns the leader of a role's shard, or nil if this process does not lead the shard.
func (l *ShardLeaders) shard(role string) *shardLeader {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shards[role]
}

// readLedger returns the committed ledger of a role's shard. It retries until the context ends.
func (l *ShardLeaders) readLedger(ctx context.Context, role string) (*controlpb.Ledger, error) {
	for {
		raw, err := l.RPC.Read(ctx, allocation.MachineName, []byte(role))
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

// commitRounds plans and commits rounds until ctx ends or a round fails. If a round fails, possibly
// with an unknown outcome, it resigns, so that another term starts with the committed ledger.
func (l *ShardLeaders) commitRounds(ctx, commitCtx context.Context, s *shardLeader) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		err := l.commit(commitCtx, s, s.leader.Plan)
		if err != nil {
			if ctx.Err() == nil {
				l.Log.Error("allocation: a round failed; resigning as the leader of the shard",
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
func (l *ShardLeaders) closeTerm(ctx, commitCtx context.Context, s *shardLeader) {
	if ctx.Err() == nil || !s.tenure.Holds() {
		return
	}
	if err := l.commit(commitCtx, s, s.leader.Close); err != nil {
		l.Log.Info("allocation: the pools could not be carried over to the next leader",
			"role", s.tenure.Role, "error", err)
	}
}

// commit proposes the round that plan returns. It returns nil if there is none or once the round is
// committed, and an error if the round was rejected or its outcome is unknown.
func (l *ShardLeaders) commit(ctx context.Context, s *shardLeader,
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
	raw, err := l.RPC.Propose(ctx, allocation.MachineName, body)
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
		// There is a later leader, or this leader's state differs from the committed ledger.
		s.leader.Rejected(monotonic.Now())
		return fmt.Errorf("%w: %s", errRoundRejected, result.Why)
	}
	s.leader.Committed(monotonic.Now())
	close(s.committed)
	s.committed = make(chan struct{})
	return nil
}

// Renew renews a member's allocations, if this process leads the shard.
func (l *ShardLeaders) Renew(request *controlpb.RenewRequest) *controlpb.RenewResponse {
	notLeader := &controlpb.RenewResponse{Code: controlpb.Code_NOT_LEADER, Reason: reasonNotLeader}
	s := l.shard(request.Role)
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

// GrantOnDemand grants units, if this process leads the shard. If a round has to be committed
// first, it waits up to awaitRoundTimeout.
func (l *ShardLeaders) GrantOnDemand(
	request *controlpb.OnDemandRequest,
) *controlpb.OnDemandResponse {
	s := l.shard(request.Role)
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

// grantOnDemand handles a request for units. If the response has AwaitRound set, committed is
// closed when the next round is committed.
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

// requestPlan triggers a plan without waiting for planInterval.
func (s *shardLeader) requestPlan() {
	select {
	case s.planNow <- struct{}{}:
	default:
	}
}

// Stats returns the counts of the leaders in this process, by role.
func (l *ShardLeaders) Stats() map[string]allocation.LeaderStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]allocation.LeaderStats{}
	for role, s := range l.shards {
		s.mu.Lock()
		all[role] = s.leader.Stats()
		s.mu.Unlock()
	}
	return all
}
