// Package election is leader election for singleton work: a process asks for the lease of a role, which the
// code calls a duty, renews it, transfers it to another process, and ends the work before the lease runs out.
package election

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/monotonic"
)

// Tenure is one leadership: the time under one term in which this process holds a role. It is what the work of
// the role gets. Its methods may be called from any goroutine.
type Tenure struct {
	Role string
	Term uint64
	r    *runner
}

// Holds tells whether the lease of the role is still valid by this process's clock. Work calls it at the last
// moment before an effect; the receiver of the effect decides, by the term as a fencing token.
func (t *Tenure) Holds() bool {
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	term, ok := t.r.holder.Holds(monotonic.Now())
	return ok && term == t.Term
}

// Resign has the role transferred to another member, because its work can't go on under this term.
func (t *Tenure) Resign() {
	t.r.mu.Lock()
	t.r.quit = t.r.term == t.Term
	t.r.mu.Unlock()
	select {
	case t.r.wake <- struct{}{}:
	default:
	}
}

// Work is the singleton work of a role. It has to return soon after its context ends. When it returns earlier
// the process stays the leader without work.
type Work func(ctx context.Context, t *Tenure)

// Options are the settings of a Set.
type Options struct {
	LeaseConfig lease.Config
	Client      *controlrpc.Client
	// Candidates are the ids of the members that may be leaders; empty means all. It has to be the same in all
	// processes.
	Candidates []string
	Log        *slog.Logger
}

// candidate tells whether a member may be a leader.
func (o *Options) candidate(id string) bool {
	return len(o.Candidates) == 0 || slices.Contains(o.Candidates, id)
}

// Set is the roles that a process may hold. Its methods may be called from any goroutine, but for Add and Spread,
// which are called before Run.
type Set struct {
	opt     Options
	runners map[string]*runner
	agreed  *controlrpc.Members // those that may be leaders, or all

	mu      sync.Mutex
	members []string                 // members with a session, this one among them
	since   map[string]time.Duration // by id, when a refresh first listed the member
	at      map[string]string        // address by id
	owners  map[string]lease.Lease   // newest known leader, by duty
	unknown chan struct{}            // signals a leader that is not among the known members
}

const (
	// membersInterval is how often the list of members is asked for.
	membersInterval = 3 * time.Second
	// membersTimeout is the deadline of one request for that list.
	membersTimeout = 2 * time.Second
	// maxNamedCandidates is how many candidates are asked for by their ids: with more of them it costs less to
	// ask for the changes of all members.
	maxNamedCandidates = 32
	// rankDelay is how long a member waits for each member that comes before it in rank.
	rankDelay = 60 * time.Millisecond
	// activeRanks is how many members try for a role at once. Those behind them ask after lowRankDelay: they
	// matter only when all of the first are gone.
	activeRanks     = 5
	lowRankDelay    = 3 * time.Second
	maxRequestDelay = 700 * time.Millisecond
	// retryDelay is the pause after a request that got no answer.
	retryDelay = 100 * time.Millisecond
	// settledAge is how long a member has to be known before a role is moved to it.
	settledAge = 4 * time.Second
	// moveInterval is the pause before a role that was not taken by its preferred leader is offered again.
	moveInterval = 30 * time.Second
	// stopTimeout is how long the work may take to end before its role is transferred.
	stopTimeout = 300 * time.Millisecond
)

// New returns a Set without roles. Nothing is asked for before Run.
func New(opt Options) *Set {
	query := consensus.MembershipQuery{Scope: consensus.ScopeMembers}
	if len(opt.Candidates) <= maxNamedCandidates {
		query.IDs = opt.Candidates
	}
	return &Set{
		opt:     opt,
		runners: map[string]*runner{},
		agreed:  opt.Client.Members(query),
		at:      map[string]string{},
		since:   map[string]time.Duration{},
		owners:  map[string]lease.Lease{},
		unknown: make(chan struct{}, 1),
	}
}

// Leader returns the leader of a role and its address, as far as this process was notified. The leadership may have
// ended since: the process at that address knows. The result ok is false where no leader is known.
func (s *Set) Leader(duty string) (who lease.Member, address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.owners[duty]
	return h.Holder, s.at[h.Holder.ID], h.Holder.ID != ""
}

// Add registers a role and its work. It must not be called after Run. In a process that is no candidate it does
// nothing.
func (s *Set) Add(name string, work Work) {
	if !s.opt.candidate(s.opt.Client.Me().ID) {
		return
	}
	s.runners[name] = &runner{set: s, name: name, work: work, wake: make(chan struct{}, 1),
		holder: lease.NewClaimant(s.opt.LeaseConfig, name, s.opt.Client.Me())}
}

// AddBalanced registers a role as Add does. Each role registered so moves to the first member in its rank once that has
// been known for settledAge: so several roles are spread evenly, whichever process started first.
func (s *Set) AddBalanced(name string, work Work) {
	s.Add(name, work)
	if r := s.runners[name]; r != nil {
		r.spread = true
	}
}

// Run takes part in the elections until ctx ends, and then transfers the roles that it holds. It returns when that
// is done, or after their leases have run out. Owner is kept up to date until watch ends: a process that has
// transferred all its roles still has to find the present leaders.
func (s *Set) Run(ctx, watch context.Context) {
	go s.opt.Client.Watch(watch, lease.MachineName, s.received)
	go s.refreshMembers(watch)
	var wg sync.WaitGroup
	for _, r := range s.runners {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.run(ctx)
		}()
	}
	wg.Wait()
}

// HeldTerms returns the terms of the roles that this process holds, by duty.
func (s *Set) HeldTerms() map[string]uint64 {
	held := map[string]uint64{}
	for name, r := range s.runners {
		r.mu.Lock()
		if term, ok := r.holder.Holds(monotonic.Now()); ok {
			held[name] = term
		}
		r.mu.Unlock()
	}
	return held
}
