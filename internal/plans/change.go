package plans

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Changes are the differences between two catalogs without times. Each plan and customer occurs at
// most once.
type Changes struct {
	// Plans are the plans to set. Their times are ignored.
	Plans        []Version
	RemovedPlans []string
	// Assignments are the assignments to set. Their times are ignored.
	Assignments      []Assignment
	RemovedCustomers []uint64
}

// ErrTimedCatalog is returned by Change for a catalog whose entries have times.
var ErrTimedCatalog = errors.New("plans: a catalog with times can't be changed")

// Empty reports whether nothing changes.
func (changes *Changes) Empty() bool {
	return len(changes.Plans)+len(changes.RemovedPlans)+len(changes.Assignments)+
		len(changes.RemovedCustomers) == 0
}

// Change returns a copy of c with changes applied; c is not modified. c must have exactly one
// entry, without a time, for each plan and customer, as a catalog that Parse returns has. Change
// copies the index of customers and checks only the changed entries. It returns ErrTimedCatalog, or
// an error that names the invalid entry: terms out of range, or a customer whose plan does not
// exist.
func (c *Catalog) Change(changes *Changes) (*Catalog, error) {
	if len(c.from) != len(c.customers) {
		return nil, ErrTimedCatalog
	}
	next := &Catalog{from: c.from, assignments: c.assignments}
	renumbered, err := next.changePlans(c, changes)
	if err != nil {
		return nil, err
	}
	if err := next.changeCustomers(c, changes, renumbered); err != nil {
		return nil, err
	}
	return next, nil
}

// removedPlan is the new number of a removed plan.
const removedPlan = -2

// changePlans sets the plans of c, sorted by name, and returns the new number of each plan of
// before.
func (c *Catalog) changePlans(before *Catalog, changes *Changes) (renumbered []int32, err error) {
	terms := make(map[string]Version, len(before.names)+len(changes.Plans))
	for i, name := range before.names {
		terms[name] = before.versions[i][0]
	}
	for _, name := range changes.RemovedPlans {
		delete(terms, name)
	}
	for _, v := range changes.Plans {
		v.From = 0
		if err := v.check(); err != nil {
			return nil, fmt.Errorf("plan %q: %w", v.Plan, err)
		}
		terms[v.Plan] = v
	}
	for name := range terms {
		c.names = append(c.names, name)
	}
	slices.SortFunc(c.names, compareNames)
	for _, name := range c.names {
		c.versions = append(c.versions, []Version{terms[name]})
	}
	renumbered = make([]int32, len(before.names))
	for i, name := range before.names {
		renumbered[i] = c.planNumber(name)
	}
	return renumbered, nil
}

// planNumber returns the number of the plan with a name, or removedPlan if there is none. c.names
// must be sorted.
func (c *Catalog) planNumber(name string) int32 {
	if i, found := slices.BinarySearchFunc(c.names, name, compareNames); found {
		return int32(i)
	}
	return removedPlan
}

// changeCustomers sets the customers of c. It must be called after changePlans.
func (c *Catalog) changeCustomers(before *Catalog, changes *Changes, renumbered []int32) error {
	assigned := slices.Clone(changes.Assignments)
	slices.SortFunc(assigned, func(a, b Assignment) int {
		return cmp.Compare(a.Customer, b.Customer)
	})
	removed := slices.Sorted(slices.Values(changes.RemovedCustomers))
	size := len(before.customers) + len(assigned)
	c.customers = make([]uint64, 0, size)
	c.plan = make([]int32, 0, size)
	for i, customer := range before.customers {
		for len(assigned) > 0 && assigned[0].Customer < customer {
			if err := c.assign(&assigned[0]); err != nil {
				return err
			}
			assigned = assigned[1:]
		}
		if len(assigned) > 0 && assigned[0].Customer == customer {
			continue // a later iteration or the loop below adds it with its new plan
		}
		if _, isRemoved := slices.BinarySearch(removed, customer); isRemoved {
			continue
		}
		plan := before.plan[i]
		if plan >= 0 {
			plan = renumbered[plan]
		}
		if plan == removedPlan {
			return fmt.Errorf("customer %s: its plan has been removed", CustomerID(customer))
		}
		c.customers = append(c.customers, customer)
		c.plan = append(c.plan, plan)
	}
	for i := range assigned {
		if err := c.assign(&assigned[i]); err != nil {
			return err
		}
	}
	c.index()
	return nil
}

// assign appends a customer, whose number must be greater than those of all customers before it.
func (c *Catalog) assign(a *Assignment) error {
	plan := c.planNumber(a.Plan)
	if plan == removedPlan {
		return fmt.Errorf("customer %s: there is no plan %q", CustomerID(a.Customer), a.Plan)
	}
	c.customers = append(c.customers, a.Customer)
	c.plan = append(c.plan, plan)
	return nil
}

// index sets the index with one entry for each customer. It keeps the old index if the number of
// customers is the same.
func (c *Catalog) index() {
	if len(c.assignments) == len(c.customers)+1 {
		return
	}
	c.assignments = make([]uint32, len(c.customers)+1)
	c.from = make([]Time, len(c.customers))
	for i := range c.assignments {
		c.assignments[i] = uint32(i)
	}
}

func compareNames(a, b string) int { return cmp.Compare(a, b) }

// Customers calls each for every customer that has a plan in its first entry, in the order of ids,
// with that plan, until each returns false.
func (c *Catalog) Customers(each func(customer uint64, plan string) bool) {
	for i, customer := range c.customers {
		if plan := c.plan[c.assignments[i]]; plan >= 0 && !each(customer, c.names[plan]) {
			return
		}
	}
}
