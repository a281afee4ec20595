// Package election is leader election for singleton work: a process asks for the lease of a role, which the
// code calls a duty, renews it, transfers it to another process, and ends the work before the lease runs out.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	"mothcleat/agree"
	"mothcleat/internal/fleetlink"
	"mothcleat/internal/monotonic"
	"mothcleat/lease"
)

// Tenure is one holding of a duty, as its work sees it.
type Tenure struct {
	Duty string
	Term uint64
	r    *runner
}

// Holds tells whether the duty is still held, by this process's clock. Work asks at the last moment before an
// effect; it is the effect's receiver that decides.
func (t *Tenure) Holds() bool {
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	term, ok := t.r.holder.Holds(monotonic.Now())
	return ok && term == t.Term
}

// GiveUp has the duty handed on: its work can't go on under this term.
func (t *Tenure) GiveUp() {
	t.r.mu.Lock()
	t.r.quit = t.r.term == t.Term
	t.r.mu.Unlock()
	select {
	case t.r.wake <- struct{}{}:
	default:
	}
}

// Work is what is done on behalf of the fleet. It ends soon after its context does. When it returns by
// itself the duty is held on without work.
type Work func(ctx context.Context, t *Tenure)

// Options say how duties are held.
type Options struct {
	Rules  lease.Rules
	Client *fleetlink.Client
	// Candidates are the ids of the members that may hold duties; empty: all may. It is to be the same at all.
	Candidates []string
	Log        *slog.Logger
}

// candidate tells whether a member may hold duties.
func (o *Options) candidate(id string) bool {
	return len(o.Candidates) == 0 || slices.Contains(o.Candidates, id)
}

// Set is the duties that a process may hold.
type Set struct {
	opt     Options
	runners map[string]*runner
	agreed  *fleetlink.Members // those that may hold duties, or all

	mu      sync.Mutex
	members []string                 // that have a session, this one among them
	since   map[string]time.Duration // from when on they were there, whenever looked
	at      map[string]string        // where they are reached, by id
	owners  map[string]lease.Holding // as a voter last told, by duty
	unknown chan struct{}            // an owner is not among the members that are known
}

const (
	membersEach  = 3 * time.Second
	mostNamed    = 32                    // candidates that are asked for by their ids: of more, all changes of members cost less
	rankWait     = 60 * time.Millisecond // a member waits so long for each that comes before it
	ranks        = 5                     // those behind look seldom: they are for when all of these are gone
	lookMost     = 700 * time.Millisecond
	lookSeldom   = 3 * time.Second
	askWithin    = 2 * time.Second
	failedAfter  = 100 * time.Millisecond
	settledAfter = 4 * time.Second
	moveEach     = 30 * time.Second       // a duty that did not go home is tried again
	endWithin    = 300 * time.Millisecond // for work to end before its duty is handed on
)

// New makes a set; Run has it begin.
func New(opt Options) *Set {
	query := agree.MembershipQuery{Scope: agree.ScopeMembers}
	if len(opt.Candidates) <= mostNamed {
		query.IDs = opt.Candidates
	}
	return &Set{opt: opt, runners: map[string]*runner{}, agreed: opt.Client.Members(query), at: map[string]string{}, since: map[string]time.Duration{},
		owners: map[string]lease.Holding{}, unknown: make(chan struct{}, 1)}
}

// Owner is who owns a duty as far as this process has heard, and where it is reached. It may be over: whoever is asked
// there knows.
func (s *Set) Owner(duty string) (who lease.Member, address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.owners[duty]
	return h.Owner, s.at[h.Owner.ID], h.Owner.ID != ""
}

// Add names a duty and its work. It must not be called after Run. In a process that is no candidate it does nothing.
func (s *Set) Add(name string, work Work) {
	if !s.opt.candidate(s.opt.Client.Me().ID) {
		return
	}
	s.runners[name] = &runner{set: s, name: name, work: work, wake: make(chan struct{}, 1),
		holder: lease.NewHolder(s.opt.Rules, name, s.opt.Client.Me())}
}

// Spread names a duty like Add. Of several that are named so each goes to the first in rank once that has been there for a while: so
// they are spread evenly, whoever was up first.
func (s *Set) Spread(name string, work Work) {
	s.Add(name, work)
	if r := s.runners[name]; r != nil {
		r.spread = true
	}
}

// home is who a duty that is spread should go to now; "": it stays.
func (s *Set) home(r *runner, now time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.spread || now < r.moveAt {
		return ""
	}
	for _, id := range s.members {
		if lease.Rank(r.name, id, s.members) == 0 {
			if since, ok := s.since[id]; !ok || id == s.opt.Client.Me().ID || now-since < settledAfter {
				return ""
			}
			r.moveAt = now + moveEach // it may be there and not able to take it
			return id
		}
	}
	return ""
}

// Run holds duties until the context ends, and then hands on what it holds. It returns when that is done, or after the
// holdings are over. Owner goes on being told until the other context ends: one that has handed on all that it held still has to
// find those who own now.
func (s *Set) Run(ctx, told context.Context) {
	go s.opt.Client.Watch(told, lease.MachineName, s.heard)
	go s.look(told)
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

// Held are the duties that this process holds, with their terms.
func (s *Set) Held() map[string]uint64 {
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

// look keeps up who belongs to the fleet.
func (s *Set) look(ctx context.Context) {
	for ctx.Err() == nil {
		one, cancel := context.WithTimeout(ctx, askWithin)
		all, err := s.able(one)
		cancel()
		if err == nil {
			s.mu.Lock()
			s.members = idsOf(all)
			there := map[string]time.Duration{}
			for _, m := range all {
				s.at[m.ID] = m.Address
				if there[m.ID] = monotonic.Now(); s.since[m.ID] > 0 {
					there[m.ID] = s.since[m.ID]
				}
			}
			s.since = there
			s.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-s.unknown:
			wait := time.NewTimer(failedAfter)
			select {
			case <-ctx.Done():
			case <-wait.C:
			}
		case <-time.After(membersEach):
		}
	}
}

// able are the members that can hold duties: those that say where they are reached, and have said something lately.
func (s *Set) able(ctx context.Context) (all []agree.MemberAt, err error) {
	members, err := s.agreed.List(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range members {
		if m.Active() && s.opt.candidate(m.ID) {
			all = append(all, m)
		}
	}
	return all, nil
}

func idsOf(all []agree.MemberAt) (ids []string) {
	for _, m := range all {
		ids = append(ids, m.ID)
	}
	return ids
}

func (s *Set) others() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// heard takes in the duties as a voter has them, and wakes whom that concerns.
func (s *Set) heard(state []byte) {
	var v lease.View
	if json.Unmarshal(state, &v) != nil {
		return
	}
	me := s.opt.Client.Me()
	s.mu.Lock()
	for _, h := range v.Duties {
		if h.Term < s.owners[h.Duty].Term {
			continue // an older state, from another voter
		}
		s.owners[h.Duty] = h
		if _, known := s.at[h.Owner.ID]; h.Owner.ID != "" && !known {
			select {
			case s.unknown <- struct{}{}:
			default:
			}
		}
	}
	s.mu.Unlock()
	for _, h := range v.Duties {
		r := s.runners[h.Duty]
		if r == nil {
			continue
		}
		r.mu.Lock()
		term, held := r.holder.Holds(monotonic.Now())
		switch {
		case held && h.Term > term && h.Owner != me:
			r.holder.End(monotonic.Now(), lookMost, "another holds it under term "+strconv.FormatUint(h.Term, 10))
			r.lapse(monotonic.Now())
		case held && h.Term == term && h.Wish != "":
			r.wish = h.Wish
		case !held && h.Owner == me && h.Offered:
			r.soon = true
		case !held && h.Owner.ID == "":
			r.freed = true
		default:
			r.mu.Unlock()
			continue
		}
		r.mu.Unlock()
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// runner holds one duty.
type runner struct {
	set  *Set
	name string
	work Work
	wake chan struct{}

	mu     sync.Mutex
	holder *lease.Holder
	wish   string // hand it on to that one
	quit   bool   // hand it on to whoever is there
	spread bool
	moveAt time.Duration // it is not moved home before
	soon   bool          // it was offered to this process
	freed  bool          // nobody holds it
	cancel context.CancelFunc
	ender  *time.Timer // ends the work with the holding, whatever this runner waits for
	worked chan struct{}
	term   uint64 // of the work under way
}

// stop ends the work under way. The lock is held.
func (r *runner) stop() {
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
}

func (r *runner) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			r.leave("")
			return
		case <-r.wake:
		case <-timer.C:
		}
		timer.Reset(r.step())
	}
}

// rank tells how many members come before this one for the duty.
func (r *runner) rank() int {
	return lease.Rank(r.name, r.set.opt.Client.Me().ID, r.set.others())
}

// step does what is due and tells when to look again.
func (r *runner) step() time.Duration {
	r.mu.Lock()
	now := monotonic.Now()
	held := r.lapse(now)
	wish, quit := r.wish, r.quit
	r.wish, r.quit = "", false
	rank := 0
	if !held && !r.soon {
		rank = min(r.rank(), 2*ranks)
		if r.freed {
			// A free duty goes to the first in rank that is there.
			r.freed = false
			r.holder.Failed(now, -1, time.Duration(rank)*rankWait)
		}
	}
	if held && wish == "" && !quit {
		wish = r.set.home(r, now)
	}
	if r.soon {
		r.soon = false
		r.holder.Failed(now, -1, 0)
	}
	if held && (quit || wish != "" && wish != r.set.opt.Client.Me().ID) {
		r.mu.Unlock()
		r.leave(wish)
		return 0
	}
	ask, at := r.holder.Due(now)
	if !ask {
		r.mu.Unlock()
		if held {
			// The end of the span is seen to at once.
			return min(at-now, max(0, r.holder.Left(now)))
		}
		return at - now
	}
	r.holder.Sent(now)
	knows := r.holder.Knows()
	r.mu.Unlock()
	r.ask(now, knows, rank)
	return 0
}

// ask asks for the duty, or its renewal.
func (r *runner) ask(sent time.Duration, knows uint64, rank int) {
	ctx, cancel := context.WithTimeout(context.Background(), r.set.opt.Rules.Span)
	defer cancel()
	raw, err := r.set.opt.Client.Do(ctx, lease.MachineName, lease.Op{Do: "ask", Duty: r.name, Term: knows}.Encode())
	var res lease.Result
	if err == nil {
		err = json.Unmarshal(raw, &res)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := monotonic.Now()
	switch {
	case errors.Is(err, fleetlink.ErrSuperseded):
		r.holder.Refused(now, sent, time.Hour, err.Error())
		r.lapse(now)
	case err != nil:
		r.holder.Failed(now, sent, failedAfter)
	case !res.OK:
		again := min(lookMost, max(10*time.Millisecond, res.Left+5*time.Millisecond)) + time.Duration(rank)*rankWait
		if rank >= ranks {
			again = max(lookSeldom, res.Left)
		}
		r.holder.Refused(now, sent, again, res.Why)
		r.lapse(now)
	case r.holder.GaveUp(res.Holding.Term):
		r.holder.Failed(now, sent, failedAfter)
		go r.release(res.Holding.Term) // what told so before got no answer
	case r.holder.Granted(now, sent, res.Holding.Term, res.Span, res.Holding.Wish):
		r.wish = res.Holding.Wish
		r.endAfter(r.holder.Left(now))
		if r.cancel == nil || r.term != res.Holding.Term {
			r.begin(res.Holding)
		}
	}
}

// endAfter has the work end when the holding does. The lock is held.
func (r *runner) endAfter(left time.Duration) {
	if r.ender != nil {
		r.ender.Stop()
	}
	r.ender = time.AfterFunc(left, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lapse(monotonic.Now())
	})
}

// lapse ends the work if the holding is over. The lock is held.
func (r *runner) lapse(now time.Duration) (held bool) {
	if _, held = r.holder.Holds(now); !held && r.cancel != nil {
		r.set.opt.Log.Warn("fleet: duty lost", "duty", r.name, "term", r.term, "why", r.holder.Lost())
		r.stop()
	}
	return held
}

// release tells the table that a term was given up.
func (r *runner) release(term uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), r.set.opt.Rules.Span)
	defer cancel()
	_, err := r.set.opt.Client.Do(ctx, lease.MachineName, lease.Op{Do: "release", Duty: r.name, Term: term}.Encode())
	r.set.opt.Log.Info("fleet: duty given up again", "duty", r.name, "term", term, "error", err)
}

// begin starts the work under a new term. The lock is held.
func (r *runner) begin(h lease.Holding) {
	r.stop()
	before := r.worked
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel, r.term, r.worked = cancel, h.Term, make(chan struct{})
	done := r.worked
	r.set.opt.Log.Info("fleet: duty taken", "duty", r.name, "term", h.Term, "cause", string(h.Cause))
	go func() {
		defer close(done)
		if before != nil {
			<-before // one at a time in this process
		}
		r.work(ctx, &Tenure{Duty: r.name, Term: h.Term, r: r})
	}()
}

// leave ends the work and gives the duty to another: the one named, else the first in rank.
func (r *runner) leave(to string) {
	ctx, cancel := context.WithTimeout(context.Background(), r.set.opt.Rules.Span)
	defer cancel()
	next, known := r.successor(ctx, to)
	if to != "" && !known {
		// It is not there: the wish is taken back, and the duty stays.
		_, err := r.set.opt.Client.Do(ctx, lease.MachineName, lease.Op{Do: "wish", Duty: r.name}.Encode())
		r.set.opt.Log.Warn("fleet: duty can't be handed on: no such gateway takes part", "duty", r.name, "to", to, "error", err)
		return
	}
	r.mu.Lock()
	now := monotonic.Now()
	term, held := r.holder.Holds(now)
	r.stop()
	worked := r.worked
	r.mu.Unlock()
	if !held {
		return
	}
	select {
	case <-worked:
	case <-time.After(endWithin):
	}
	op := lease.Op{Do: "release", Duty: r.name, Term: term}
	if known {
		op.Do, op.To = "hand", next
	}
	_, err := r.set.opt.Client.Do(ctx, lease.MachineName, op.Encode())
	r.mu.Lock()
	r.holder.End(monotonic.Now(), 2*r.set.opt.Rules.Offer, "handed on")
	r.term = 0
	r.mu.Unlock()
	r.set.opt.Log.Info("fleet: duty given up", "duty", r.name, "term", term, "to", op.To.ID, "error", err)
}

// successor is the member to hand the duty on to.
func (r *runner) successor(ctx context.Context, named string) (best lease.Member, known bool) {
	ctx, cancel := context.WithTimeout(ctx, endWithin)
	defer cancel()
	all, err := r.set.able(ctx)
	if err != nil {
		return best, false
	}
	ids := idsOf(all)
	rank := len(ids)
	for _, m := range all {
		if m.ID == r.set.opt.Client.Me().ID || named != "" && m.ID != named {
			continue
		}
		if n := lease.Rank(r.name, m.ID, ids); n < rank {
			best, rank = m.Member, n
		}
	}
	return best, best.ID != ""
}
