package gateway

import (
	"fmt"
	"slices"
	"sync"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/plans"
)

// PlanTerms puts versions of the plans in force in a gateway. Plans that a version does not name
// stay as configured. PlanTerms is safe for concurrent use.
type PlanTerms struct {
	names      []string
	configured []policy.Plan

	mu      sync.Mutex
	post    func(event) // nil: no gateway is attached yet
	pending event       // the latest change, until a gateway is attached; nil: none
}

// NewPlanTerms returns the plan terms of a configuration.
func NewPlanTerms(c *Config) *PlanTerms {
	return &PlanTerms{names: c.Host.Plans, configured: c.Settings.Plans}
}

// attach attaches a gateway. Changes are posted to it, including one that was made before.
func (t *PlanTerms) attach(post func(event)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.post = post
	if t.pending != nil {
		post(t.pending)
		t.pending = nil
	}
}

// CheckCatalog returns an error if a version of the plans can't be put in force here.
func (t *PlanTerms) CheckCatalog(c *plans.Catalog) error {
	for _, name := range c.PlanNames() {
		if !slices.Contains(t.names, name) {
			return fmt.Errorf("plans: %q is none of this gateway's plans", name)
		}
		if v, _ := c.Plan(name, 0); v.Rate < 0 || v.Rate > 0 && v.Burst <= 0 {
			return fmt.Errorf("plans: %q: rate %v with burst %v", name, v.Rate, v.Burst)
		}
	}
	return nil
}

// UseCatalogs puts the checked version target in force, together with other versions (others) whose
// terms also apply; the stricter terms win. A catalog without plans stands for the configured
// plans. order must increase with each call. done is called on the event loop's goroutine once the
// balancer uses the version.
func (t *PlanTerms) UseCatalogs(
	target *plans.Catalog, others []*plans.Catalog, order uint64, done func(),
) {
	e := plansChanged{
		plans:    slices.Clone(t.configured),
		names:    t.names,
		catalogs: append([]*plans.Catalog{target}, others...),
		order:    order,
		done:     done,
	}
	for i, catalog := range e.catalogs {
		for k, name := range t.names {
			terms := t.termsIn(catalog, k, name)
			if i > 0 {
				terms = plans.Tighter(termsOf(&e.plans[k]), terms)
			}
			setTerms(&e.plans[k], terms)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.post == nil {
		t.pending = e
		return
	}
	t.post(e)
}

// termsIn returns a plan's terms in a catalog, or the configured ones.
func (t *PlanTerms) termsIn(catalog *plans.Catalog, number int, name string) plans.Terms {
	if v, ok := catalog.Plan(name, 0); ok {
		return v.Terms
	}
	return termsOf(&t.configured[number])
}

func termsOf(p *policy.Plan) plans.Terms {
	return plans.Terms{
		Rate:         p.Rate,
		Burst:        p.Burst,
		CeilingRate:  p.CeilingRate,
		CeilingBurst: p.CeilingBurst,
	}
}

func setTerms(p *policy.Plan, t plans.Terms) {
	p.Rate = t.Rate
	p.Burst = t.Burst
	p.CeilingRate = t.CeilingRate
	p.CeilingBurst = t.CeilingBurst
}

// plansChanged is a change of the plans' terms or of the customers' plans.
type plansChanged struct {
	plans    []policy.Plan
	names    []string
	catalogs []*plans.Catalog // the version in force, then the others that apply
	order    uint64
	done     func()
}

// assigned returns the plan that the versions assign to a customer, or a negative number if its
// requests name the plan. If the versions differ, the plan with the smaller quota applies.
func (e *plansChanged) assigned(customer uint64) int {
	assigned := -1
	for _, catalog := range e.catalogs {
		h, ok := catalog.At(customer, 0)
		if !ok {
			continue
		}
		k := slices.Index(e.names, h.Plan)
		if k >= 0 && (assigned < 0 || smallerQuota(&e.plans[k], &e.plans[assigned])) {
			assigned = k
		}
	}
	return assigned
}

func smallerQuota(a, b *policy.Plan) bool {
	return a.Rate < b.Rate || a.Rate == b.Rate && a.Burst < b.Burst
}

func (e plansChanged) handle(g *Gateway) {
	if g.cfg.Allocations != nil {
		g.cfg.Allocations.SetPlanOrder(e.order)
	}
	if err := g.balancer.UpdatePlans(g.now(), e.plans, e.assigned); err != nil {
		g.log.Error("plans: the version was not put in force", "error", err)
		return
	}
	g.assignedPlan = e.assigned
	e.done()
}

// applyAssignedPlan sets a request's plan to the one assigned to its customer, if there is one.
func (g *Gateway) applyAssignedPlan(r *policy.Request) {
	if g.assignedPlan == nil {
		return
	}
	if k := g.assignedPlan(r.Customer); k >= 0 {
		r.Plan = k
	}
}
