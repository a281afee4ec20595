package plans

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Changes lead from one book without times to another: what is set, and what is removed. Neither
// names a plan or a customer twice.
type Changes struct {
	Plans            []Version // their times are not read
	RemovedPlans     []string
	Assignments      []Assignment // their times are not read
	RemovedCustomers []uint64
}

// Empty reports that nothing changes.
func (c *Changes) Empty() bool {
	return len(c.Plans)+len(c.RemovedPlans)+len(c.Assignments)+len(c.RemovedCustomers) == 0
}

// Change returns a book with changes; b stays as it is. Both hold one entry without a time for each
// plan and customer, as those that Parse reads. It copies the index of customers and reads only
// what changes. It returns an error that names what can't hold: terms out of range, or a customer
// whose plan is not there.
func (b *Catalog) Change(c *Changes) (*Catalog, error) {
	if len(b.from) != len(b.customers) {
		return nil, errors.New("plans: a book with times can't be changed")
	}
	next := &Catalog{from: b.from, spans: b.spans}
	renumbered, err := next.changePlans(b, c)
	if err != nil {
		return nil, err
	}
	if err := next.changeCustomers(b, c, renumbered); err != nil {
		return nil, err
	}
	return next, nil
}

// removedPlan is the new number of a plan that is there no more.
const removedPlan = -2

// changePlans makes the plans of a book, in the order of their names, and returns the new number of
// each old one.
func (b *Catalog) changePlans(before *Catalog, c *Changes) (renumbered []int32, err error) {
	terms := make(map[string]Version, len(before.names)+len(c.Plans))
	for i, name := range before.names {
		terms[name] = before.versions[i][0]
	}
	for _, name := range c.RemovedPlans {
		delete(terms, name)
	}
	for _, v := range c.Plans {
		v.From = 0
		if err := v.check(); err != nil {
			return nil, fmt.Errorf("plan %q: %w", v.Plan, err)
		}
		terms[v.Plan] = v
	}
	for name := range terms {
		b.names = append(b.names, name)
	}
	slices.SortFunc(b.names, compareNames)
	for _, name := range b.names {
		b.versions = append(b.versions, []Version{terms[name]})
	}
	renumbered = make([]int32, len(before.names))
	for i, name := range before.names {
		renumbered[i] = b.planNumber(name)
	}
	return renumbered, nil
}

// planNumber is the number of a plan by its name, removedPlan if it is not there. The names are
// sorted.
func (b *Catalog) planNumber(name string) int32 {
	if i, found := slices.BinarySearchFunc(b.names, name, compareNames); found {
		return int32(i)
	}
	return removedPlan
}

// changeCustomers makes the customers of a book whose plans are made.
func (b *Catalog) changeCustomers(before *Catalog, c *Changes, renumbered []int32) error {
	assigned := slices.Clone(c.Assignments)
	slices.SortFunc(assigned, func(a, b Assignment) int {
		return cmp.Compare(a.Customer, b.Customer)
	})
	removed := slices.Sorted(slices.Values(c.RemovedCustomers))
	size := len(before.customers) + len(assigned)
	b.customers, b.plan = make([]uint64, 0, size), make([]int32, 0, size)
	for i, customer := range before.customers {
		for len(assigned) > 0 && assigned[0].Customer < customer {
			if err := b.assign(&assigned[0]); err != nil {
				return err
			}
			assigned = assigned[1:]
		}
		if len(assigned) > 0 && assigned[0].Customer == customer {
			continue // it comes next, with its new plan
		}
		if _, gone := slices.BinarySearch(removed, customer); gone {
			continue
		}
		plan := before.plan[i]
		if plan >= 0 {
			plan = renumbered[plan]
		}
		if plan == removedPlan {
			return fmt.Errorf("customer %s: its plan is removed", CustomerID(customer))
		}
		b.customers, b.plan = append(b.customers, customer), append(b.plan, plan)
	}
	for i := range assigned {
		if err := b.assign(&assigned[i]); err != nil {
			return err
		}
	}
	b.index()
	return nil
}

// assign appends a customer, whose number is greater than all before it.
func (b *Catalog) assign(a *Assignment) error {
	plan := b.planNumber(a.Plan)
	if plan == removedPlan {
		return fmt.Errorf("customer %s: there is no plan %q", CustomerID(a.Customer), a.Plan)
	}
	b.customers, b.plan = append(b.customers, a.Customer), append(b.plan, plan)
	return nil
}

// index gives each customer its one entry. While their count stays, the index of the book before
// serves.
func (b *Catalog) index() {
	if len(b.spans) == len(b.customers)+1 {
		return
	}
	b.spans, b.from = make([]uint32, len(b.customers)+1), make([]Time, len(b.customers))
	for i := range b.spans {
		b.spans[i] = uint32(i)
	}
}

func compareNames(a, b string) int { return cmp.Compare(a, b) }

// Customers calls a function for each customer and the plan of its first entry, by id, until it
// returns false.
func (b *Catalog) Customers(each func(customer uint64, plan string) bool) {
	for i, customer := range b.customers {
		if plan := b.plan[b.spans[i]]; plan >= 0 && !each(customer, b.names[plan]) {
			return
		}
	}
}
