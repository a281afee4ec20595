// Package election implements leader election for singleton work: a process requests the lease of a
// role, renews it, transfers it to another process, and ends the work before the lease expires.
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

// Tenure is the period in which this process leads a role under one term. It is passed to the work
// of the role. Its methods are safe for concurrent use.
type Tenure struct {
	Role    string
	Term    uint64
	elector *elector
}

// Holds reports whether the lease of the role is still valid by this process's clock. Work calls it
// immediately before an external effect. This check alone is not sufficient: the receiver of the
// effect has the final decision, with the term as a fencing token.
func (t *Tenure) Holds() bool {
	t.elector.mu.Lock()
	defer t.elector.mu.Unlock()
	term, ok := t.elector.claimant.Holds(monotonic.Now())
	return ok && term == t.Term
}

// Resign requests that the role be transferred to another member, because its work can't continue
// under this term.
func (t *Tenure) Resign() {
	t.elector.mu.Lock()
	t.elector.resign = t.elector.workTerm == t.Term
	t.elector.mu.Unlock()
	t.elector.notify()
}

// Work is the singleton work of a role. It must return soon after its context ends. If it returns
// earlier, the process stays the leader without doing work.
type Work func(ctx context.Context, t *Tenure)

// Options are the settings of a Set.
type Options struct {
	LeaseConfig lease.Config
	Client      *controlrpc.Client
	// Candidates are the ids of the members that may lead; empty means all. The list must be the
	// same in all processes.
	Candidates []string
	Log        *slog.Logger
}

// isCandidate reports whether a member may lead.
func (o *Options) isCandidate(id string) bool {
	return len(o.Candidates) == 0 || slices.Contains(o.Candidates, id)
}

// Set holds the roles that a process may lead. Its methods are safe for concurrent use, except Add
// and AddBalanced, which must be called before Run.
type Set struct {
	options    Options
	electors   map[string]*elector // by role
	membership *controlrpc.Members // of the candidates, or of all members
	refreshNow chan struct{}       // signals that a leader's address is unknown

	mu        sync.Mutex
	members   []string                 // ids of the members that may lead, including this one
	firstSeen map[string]time.Duration // by id: when a refresh first listed the member
	addresses map[string]string        // by id
	leases    map[string]lease.Lease   // by role, under the newest known term
}

const (
	// membersInterval is the interval between refreshes of the member list.
	membersInterval = 3 * time.Second
	// membersTimeout is the deadline of one refresh.
	membersTimeout = 2 * time.Second
	// maxNamedCandidates is the largest number of candidates that are queried by their ids. For a
	// larger number, querying the changes of all members costs less.
	maxNamedCandidates = 32
	// rankDelay is the delay of a member's request for each member that precedes it in rank.
	rankDelay = 60 * time.Millisecond
	// activeRanks is the number of members that retry a rejected request soon after the lease
	// expires. Members of lower rank wait for at least lowRankDelay: they are needed only if all of
	// the first are gone.
	activeRanks     = 5
	lowRankDelay    = 3 * time.Second
	maxRequestDelay = 700 * time.Millisecond
	// retryDelay is the pause after a request that got no answer.
	retryDelay = 100 * time.Millisecond
	// settledAge is how long a member must have been known before a role is moved to it.
	settledAge = 4 * time.Second
	// moveInterval is the pause before a role is offered again to a preferred leader that did not
	// accept it.
	moveInterval = 30 * time.Second
	// stopTimeout is how long the work may take to end before its role is transferred.
	stopTimeout = 300 * time.Millisecond
)

// New returns a Set without roles. It sends no requests before Run is called.
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

// Leader returns the leader of a role and its address, as last known to this process. The
// leadership may have ended since; only the process at that address can tell. The result ok is
// false if no leader is known.
func (s *Set) Leader(role string) (leader lease.Member, address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leader = s.leases[role].Holder
	return leader, s.addresses[leader.ID], leader.ID != ""
}

// self returns this process as a member.
func (s *Set) self() lease.Member { return s.options.Client.Me() }

// Add registers a role and its work. In a process that is not a candidate it does nothing.
func (s *Set) Add(role string, work Work) {
	if !s.options.isCandidate(s.self().ID) {
		return
	}
	s.electors[role] = &elector{
		set:      s,
		role:     role,
		work:     work,
		stepNow:  make(chan struct{}, 1),
		claimant: lease.NewClaimant(s.options.LeaseConfig, role, s.self()),
	}
}

// AddBalanced registers a role as Add does. In addition, the role moves to the member that ranks
// first for it once that member has been known for settledAge. This spreads several roles evenly,
// whichever process started first.
func (s *Set) AddBalanced(role string, work Work) {
	s.Add(role, work)
	if e := s.electors[role]; e != nil {
		e.balanced = true
	}
}

// Run takes part in the elections until ctx ends, and then transfers the roles that this process
// leads. It returns when they are transferred, or after their leases have expired. Leader is kept
// up to date until watchCtx ends: a process that has transferred all its roles still has to find
// the leaders.
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
