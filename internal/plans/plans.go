// Package plans determines which terms apply to a customer at a given time, and the levels of its
// token buckets after the terms change. It does no I/O, and times are arguments.
//
// A Catalog holds the versions of plans and the assignments of plans to customers, each effective
// from a given time. It is immutable, so any number of goroutines may read it. A change creates a
// new Catalog.
package plans

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sort"
)

// Time is a time in microseconds since 1970, as in package policy.
type Time = int64

// Terms are the limits that a plan grants to each of its customers, over all gateways together.
// They are in the units in which requests are charged.
type Terms struct {
	// Rate is in units a second; 0 for no quota.
	Rate float64
	// Burst is the capacity of the token bucket in units.
	Burst float64
	// CeilingRate is the rate of the second token bucket, the ceiling, in units a second; 0 for
	// none.
	CeilingRate  float64
	CeilingBurst float64
}

// Version is the terms of a plan, effective from a given time.
type Version struct {
	Plan string
	From Time
	Terms
}

// Assignment gives a customer a plan, effective from a given time.
type Assignment struct {
	Customer uint64
	// Plan is empty if the customer is no longer served.
	Plan string
	From Time
}

// ActivePlan is the version of a plan that applies to a customer.
type ActivePlan struct {
	Plan string
	// Version is the number of the plan's version, counted from 1.
	Version int
	// Since is the time from which the version applies to this customer.
	Since Time
	// Until is the time at which the next version or assignment begins; Forever if there is none.
	Until Time
	Terms
}

// Forever is later than any valid time in a catalog.
const Forever Time = 1 << 62

// Catalog holds versions and assignments, indexed by customer and time.
//
// The index has two levels of packed slices. A customer's assignments are adjacent and sorted by
// time, and are found by binary search for its id; the versions of a plan likewise. ActivePlan
// combines the two, so a new version of a plan costs one entry however many customers have the
// plan.
type Catalog struct {
	customers []uint64
	// assignments are the indexes into from and plan of each customer's first assignment. The last
	// element is the total number of assignments.
	assignments []uint32
	from        []Time
	// plan is the number of each assignment's plan, or noPlan.
	plan  []int32
	names []string
	// versions are sorted by time within each plan.
	versions [][]Version
}

// NewCatalog checks and indexes versions and assignments, which may be in any order. Its error
// names the invalid entry.
func NewCatalog(versions []Version, assignments []Assignment) (*Catalog, error) {
	c := &Catalog{}
	numbers, err := c.addVersions(versions)
	if err != nil {
		return nil, err
	}
	if err := c.addAssignments(assignments, numbers); err != nil {
		return nil, err
	}
	return c, nil
}

// addVersions adds the plans with their versions, and returns the plans' numbers by name.
func (c *Catalog) addVersions(versions []Version) (numbers map[string]int32, err error) {
	numbers = map[string]int32{}
	for _, v := range versions {
		if err := v.check(); err != nil {
			return nil, fmt.Errorf("plan %q from %d: %w", v.Plan, v.From, err)
		}
		number, ok := numbers[v.Plan]
		if !ok {
			number = int32(len(c.names))
			numbers[v.Plan] = number
			c.names = append(c.names, v.Plan)
			c.versions = append(c.versions, nil)
		}
		c.versions[number] = append(c.versions[number], v)
	}
	for _, planVersions := range c.versions {
		slices.SortFunc(planVersions, func(a, b Version) int { return cmp.Compare(a.From, b.From) })
		for i := range planVersions[1:] {
			if planVersions[i].From == planVersions[i+1].From {
				return nil, fmt.Errorf("plan %q from %d: defined twice",
					planVersions[i].Plan, planVersions[i].From)
			}
		}
	}
	return numbers, nil
}

// addAssignments adds the customers with their assignments. numbers are the plans' numbers by name.
func (c *Catalog) addAssignments(assignments []Assignment, numbers map[string]int32) error {
	all := slices.Clone(assignments)
	slices.SortFunc(all, func(a, b Assignment) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.From, b.From))
	})
	for i, a := range all {
		number, ok := numbers[a.Plan]
		if a.Plan == "" {
			number = noPlan
			ok = true
		}
		first := i == 0 || all[i-1].Customer != a.Customer
		switch {
		case !ok:
			return fmt.Errorf("customer %x from %d: there is no plan %q",
				a.Customer, a.From, a.Plan)
		case a.From < 0 || a.From >= Forever:
			return fmt.Errorf("customer %x: time %d is out of range", a.Customer, a.From)
		case !first && all[i-1].From == a.From:
			return fmt.Errorf("customer %x from %d: assigned two plans", a.Customer, a.From)
		}
		if first {
			c.customers = append(c.customers, a.Customer)
			c.assignments = append(c.assignments, uint32(i))
		}
		c.from = append(c.from, a.From)
		c.plan = append(c.plan, number)
	}
	c.assignments = append(c.assignments, uint32(len(all)))
	return nil
}

// noPlan is the number of the plan of a customer that has none.
const noPlan = -1

func (v *Version) check() error {
	switch {
	case v.Plan == "":
		return errors.New("the plan has no name")
	case v.From < 0 || v.From >= Forever:
		return errors.New("the time is out of range")
	case !(v.Rate >= 0 && v.Burst >= 0 && v.CeilingRate >= 0 && v.CeilingBurst >= 0):
		return errors.New("rates and bursts must be numbers of at least 0")
	case (v.CeilingRate == 0) != (v.CeilingBurst == 0):
		return errors.New("a ceiling must have both a rate and a burst")
	case (v.Rate == 0) != (v.Burst == 0):
		return errors.New("a quota must have both a rate and a burst")
	}
	return nil
}

// At returns the plan that applies to a customer at time t. ok is false if the customer has no plan
// at that time, or if the plan has no version yet.
func (c *Catalog) At(customer uint64, t Time) (active ActivePlan, ok bool) {
	i, found := slices.BinarySearch(c.customers, customer)
	if !found {
		return active, false
	}
	first, end := int(c.assignments[i]), int(c.assignments[i+1])
	later := sort.Search(end-first, func(i int) bool { return c.from[first+i] > t })
	assignment := first + later - 1
	if assignment < first || c.plan[assignment] == noPlan {
		return active, false
	}
	versions := c.versions[c.plan[assignment]]
	version := sort.Search(len(versions), func(i int) bool { return versions[i].From > t }) - 1
	if version < 0 {
		return active, false
	}
	active = ActivePlan{
		Plan:    versions[version].Plan,
		Version: version + 1,
		Since:   max(c.from[assignment], versions[version].From),
		Until:   Forever,
		Terms:   versions[version].Terms,
	}
	if assignment+1 < end {
		active.Until = c.from[assignment+1]
	}
	if version+1 < len(versions) {
		active.Until = min(active.Until, versions[version+1].From)
	}
	return active, true
}

// Carry returns the levels of a customer's two token buckets under new terms. Spent units stay
// spent: a bucket that is some units below its old burst is as many units below its new one. A
// downgrade to less than was spent leaves the bucket negative, and it then fills at the new rate; a
// later upgrade restores the level. No sequence of changes grants more units than the terms in
// force did.
func Carry(from, to Terms, level, ceiling float64) (float64, float64) {
	return carry(from.Burst, to.Burst, level), carry(from.CeilingBurst, to.CeilingBurst, ceiling)
}

func carry(from, to, level float64) float64 {
	if from == 0 { // the old terms had no such bucket
		return to
	}
	return to - (from - level)
}

// Tighter returns terms that satisfy both a and b. They apply while some gateways have not received
// the newer terms yet.
func Tighter(a, b Terms) Terms {
	return Terms{
		Rate:         tighter(a.Rate, b.Rate),
		Burst:        tighter(a.Burst, b.Burst),
		CeilingRate:  tighter(a.CeilingRate, b.CeilingRate),
		CeilingBurst: tighter(a.CeilingBurst, b.CeilingBurst),
	}
}

// tighter returns the smaller of two limits. 0 means no limit.
func tighter(a, b float64) float64 {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
