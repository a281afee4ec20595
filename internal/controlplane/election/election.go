// Package election is leader election for singleton work: a process requests the lease of a role,
// renews it, transfers it to another process, and ends the work before the lease expires.
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

// Tenure is the time under one term in which this process leads a role. It is passed to the work of
// the role. Its methods are safe for concurrent use.
type Tenure struct {
	Role    string
	Term    uint64
	elector *elector
}

// Holds reports whether the lease of the role is still valid by this process's clock. Work calls it
// at the last moment before an effect. Even so the receiver of the effect decides, by the term as a
// fencing token.
func (t *Tenure) Holds() bool {
	t.elector.mu.Lock()
	defer t.elector.mu.Unlock()
	term, ok := t.elector.claimant.Holds(monotonic.Now())
	return ok && term == t.Term
}

// Resign has the role transferred to another member, because its work can't go on under this term.
func (t *Tenure) Resign() {
	t.elector.mu.Lock()
	t.elector.resign = t.elector.workTerm == t.Term
	t.elector.mu.Unlock()
	t.elector.notify()
}

// Work is the singleton work of a role. It has to return soon after its context ends. If it returns
// earlier, the process stays the leader without doing work.
type Work func(ctx context.Context, t *Tenure)

// Options are the settings of a Set.
type Options struct {
	LeaseConfig lease.Config
	Client      *controlrpc.Client
	// Candidates are the ids of the members that may lead; empty means all. It has to be the same
	// in all processes.
	Candidates []string
	Log        *slog.Logger
}

// isCandidate reports whether a member may lead.
func (o *Options) isCandidate(id string) bool {
	return len(o.Candidates) == 0 || slices.Contains(o.Candidates, id)
}

// Set is the roles that a process may lead. Its methods are safe for concurrent use, but for Add
// and AddBalanced, which are called before Run.
type Set struct {
	options    Options
	electors   map[string]*elector // by role
	membership *controlrpc.Members // of the candidates, or of all members
	refreshNow chan struct{}       // signals a leader that is not among the known members

	mu        sync.Mutex
	members   []string                 // ids of the members that may lead, this one among them
	firstSeen map[string]time.Duration // by id, when a refresh first listed the member
	addresses map[string]string        // by id
	leases    map[string]lease.Lease   // by role, under the newest known term
}

const (
	// membersInterval is the time between two refreshes of the members.
	membersInterval = 3 * time.Second
	// membersTimeout is the deadline of one refresh.
	membersTimeout = 2 * time.Second
	// maxNamedCandidates is how many candidates are queried by their ids. With more of them it
	// costs less to query the changes of all members.
	maxNamedCandidates = 32
	// rankDelay is how long a member waits for each member that comes before it in rank.
	rankDelay = 60 * time.Millisecond
	// activeRanks is how many members request a lease at once. Those behind them wait for
	// lowRankDelay: they matter only when all of the first are gone.
	activeRanks     = 5
	lowRankDelay    = 3 * time.Second
	maxRequestDelay = 700 * time.Millisecond
	// retryDelay is the pause after a request that got no answer.
	retryDelay = 100 * time.Millisecond
	// settledAge is how long a member has to be known before a role is moved to it.
	settledAge = 4 * time.Second
	// moveInterval is the pause before a role is offered again to a preferred leader that did not
	// take it.
	moveInterval = 30 * time.Second
	// stopTimeout is how long the work may take to end before its role is transferred.
	stopTimeout = 300 * time.Millisecond
)

// New returns a Set without roles. It requests nothing before Run.
func New(options Options) *Set {
	query := consensus.MembershipQuery{Scope: consensus.ScopeMembers}
	if len(options.Candidates) <= maxNamedCandidates {
		query.IDs = options.Candidates
	}
	return &Set{
		options:    options,
		electors:   map[string]*elector{},
		membership: options.Client.Members(query),
		addresses:  map[string]string{},
		firstSeen:  map[string]time.Duration{},
		leases:     map[string]lease.Lease{},
		refreshNow: make(chan struct{}, 1),
	}
}

// Leader returns the leader of a role and its address, as far as this process knows. Its leadership
// may have ended since: the process at that address knows. The result ok is false if no leader is
// known.
func (s *Set) Leader(role string) (leader lease.Member, address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leader = s.leases[role].Holder
	return leader, s.addresses[leader.ID], leader.ID != ""
}

// self returns this process as a member.
func (s *Set) self() lease.Member { return s.options.Client.Me() }

// Add registers a role and its work. In a process that is no candidate it does nothing.
func (s *Set) Add(role string, work Work) {
	if !s.options.isCandidate(s.self().ID) {
		return
	}
	s.electors[role] = &elector{
		set:      s,
		role:     role,
		work:     work,
		wake:     make(chan struct{}, 1),
		claimant: lease.NewClaimant(s.options.LeaseConfig, role, s.self()),
	}
}

// AddBalanced registers a role as Add does, and has it move to the first member in its rank once
// that has been known for settledAge. So several roles are spread evenly, whichever process started
// first.
func (s *Set) AddBalanced(role string, work Work) {
	s.Add(role, work)
	if e := s.electors[role]; e != nil {
		e.balanced = true
	}
}

// Run takes part in the elections until ctx ends, and then transfers the roles that it leads. It
// returns when that is done, or after their leases have expired. Leader is kept up to date until
// watchCtx ends: a process that has transferred all its roles still has to find the leaders.
func (s *Set) Run(ctx, watchCtx context.Context) {
	go s.options.Client.Watch(watchCtx, lease.MachineName, s.updateLeases)
	go s.refreshMembers(watchCtx)
	var wg sync.WaitGroup
	for _, e := range s.electors {
		wg.Go(func() { e.run(ctx) })
	}
	wg.Wait()
}

// HeldTerms returns the terms of the roles that this process leads, by role.
func (s *Set) HeldTerms() map[string]uint64 {
	held := map[string]uint64{}
	for role, e := range s.electors {
		e.mu.Lock()
		if term, ok := e.claimant.Holds(monotonic.Now()); ok {
			held[role] = term
		}
		e.mu.Unlock()
	}
	return held
}
