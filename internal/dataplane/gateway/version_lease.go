package gateway

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/plans"
)

// VersionLease tells whether this gateway may act on what is in force in it. The loop calls it, and
// it must not wait.
type VersionLease interface {
	// Current gives until when it may, by a clock that goes on while the process is stopped, and a
	// stamp of what is in force; 0: it may not.
	Current() (until time.Duration, stamp uint64)
	// Expired tells whether what was decided under a permit may not be done any more.
	Expired(until time.Duration, stamp uint64) bool
}

// OperationRecorder counts what a gateway does, under what is in force in it at the time. The loop
// calls it, and it must not wait.
type OperationRecorder interface {
	// Sent counts an attempt that was sent on: a request's first one, with its units, or another.
	Sent(first bool, units float64)
	// Rejected counts a request that was refused; turned: as this gateway may not act.
	Rejected(turned bool)
}

// fencedRetryAfter is when those come back that a gateway turns away because it may not act.
const fencedRetryAfter policy.Time = 500_000

// acquireVersionLease takes a permit for a request, or turns it away: unsent, and at once.
func (l *Loop) acquireVersionLease(r *request) bool {
	if l.cfg.VersionLease == nil {
		return true
	}
	if r.leaseUntil, r.leaseStamp = l.cfg.VersionLease.Current(); r.leaseUntil != 0 {
		return true
	}
	l.rejectFenced(r)
	return false
}

// fenced tells whether this gateway may act on nothing now.
func (l *Loop) fenced() bool {
	if l.cfg.VersionLease == nil {
		return false
	}
	until, _ := l.cfg.VersionLease.Current()
	return until == 0
}

// rejectFenced answers a request that may not be acted on. Nothing of it was sent.
func (l *Loop) rejectFenced(r *request) {
	l.answer(r, l.retryLaterReply(fencedRetryAfter))
	if l.cfg.Operations != nil {
		l.cfg.Operations.Rejected(true)
	}
}

// versionLeaseExpired tells whether an attempt may not be written any more, as the permit is over
// under which its request was decided.
func (l *Loop) versionLeaseExpired(r *request) bool {
	return l.cfg.VersionLease != nil && l.cfg.VersionLease.Expired(r.leaseUntil, r.leaseStamp)
}

// PlanTerms are the plans of a gateway, as one of the things that its fleet acts on. What a version
// does not name stays as the configuration has it. Its methods may be called from any goroutine.
type PlanTerms struct {
	names      []string
	configured []policy.Plan

	mu      sync.Mutex
	post    func(event)
	pending event // until there is a loop
}

// NewPlanTerms are the plans of a configuration.
func NewPlanTerms(c *Config) *PlanTerms {
	return &PlanTerms{names: c.Host.Plans, configured: c.Settings.Plans}
}

// attach has a loop take in changes.
func (t *PlanTerms) attach(post func(event)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.post = post
	if t.pending != nil {
		post(t.pending)
		t.pending = nil
	}
}

// CheckCatalog returns why a version of the plans can't be acted on here, nil if it can.
func (t *PlanTerms) CheckCatalog(b *plans.Catalog) error {
	for _, name := range b.PlanNames() {
		if !slices.Contains(t.names, name) {
			return fmt.Errorf("plans: %q is none of this gateway's plans", name)
		}
		if v, _ := b.Plan(name, 0); v.Rate < 0 || v.Rate > 0 && v.Burst <= 0 {
			return fmt.Errorf("plans: %q: rate %v with burst %v", name, v.Rate, v.Burst)
		}
	}
	return nil
}

// UseCatalogs has a version that was checked decide from now on, beside others whose terms bind as
// well. A book without plans stands for what the configuration has. order grows with each call, and
// done is called on the loop's goroutine once it has changed over.
func (t *PlanTerms) UseCatalogs(
	target *plans.Catalog, beside []*plans.Catalog, order uint64, done func(),
) {
	e := plansChanged{plans: slices.Clone(t.configured), order: order, done: done}
	e.books = append([]*plans.Catalog{target}, beside...)
	for i, b := range e.books {
		for k, name := range t.names {
			terms := termsOf(&t.configured[k])
			if v, ok := b.Plan(name, 0); ok {
				terms = v.Terms
			}
			if i > 0 {
				terms = plans.Tighter(termsOf(&e.plans[k]), terms)
			}
			p := &e.plans[k]
			p.Rate, p.Burst, p.CeilingRate, p.CeilingBurst = terms.Rate, terms.Burst, terms.CeilingRate, terms.CeilingBurst
		}
	}
	e.names = t.names
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.post == nil {
		t.pending = e
		return
	}
	t.post(e)
}

func termsOf(p *policy.Plan) plans.Terms {
	return plans.Terms{
		Rate:         p.Rate,
		Burst:        p.Burst,
		CeilingRate:  p.CeilingRate,
		CeilingBurst: p.CeilingBurst,
	}
}

// plansChanged is a change of the plans' terms, or of who has which.
type plansChanged struct {
	plans []policy.Plan
	names []string
	books []*plans.Catalog // the one that is acted on, and those beside it
	order uint64
	done  func()
}

// assigned is the plan that a customer has by the versions; below 0: the one that its requests
// name. Where versions differ it is the one with the smaller quota.
func (e *plansChanged) assigned(customer uint64) int {
	best := -1
	for _, b := range e.books {
		h, ok := b.At(customer, 0)
		if !ok {
			continue
		}
		k := slices.Index(e.names, h.Plan)
		if k >= 0 && (best < 0 || smallerQuota(&e.plans[k], &e.plans[best])) {
			best = k
		}
	}
	return best
}

func smallerQuota(a, b *policy.Plan) bool {
	return a.Rate < b.Rate || a.Rate == b.Rate && a.Burst < b.Burst
}

func (e plansChanged) handle(l *Loop) {
	if l.cfg.Allocations != nil {
		l.cfg.Allocations.SetPlanOrder(e.order)
	}
	if err := l.balancer.UpdatePlans(l.now(), e.plans, e.assigned); err != nil {
		l.log.Error("plans: not acted on", "error", err)
		return
	}
	l.assignedPlan = e.assigned
	e.done()
}

// applyAssignedPlan gives a request the plan that its customer has.
func (l *Loop) applyAssignedPlan(q *policy.Request) {
	if l.assignedPlan != nil {
		if k := l.assignedPlan(q.Customer); k >= 0 {
			q.Plan = k
		}
	}
}
