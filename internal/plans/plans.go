// Package plans decides which terms apply to a customer at a time, and what happens to its token
// buckets when the terms change. It does no I/O, and times are arguments.
//
// A Catalog holds versions of plans, and which customer has which plan, each from some time on. It
// is immutable once built, so any number of goroutines may read it. A change makes a new Catalog.
package plans

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sort"
)

// Time is microseconds since 1970, as in package policy.
type Time = int64

// Terms are what a plan grants each of its customers, over all gateways together. Units are those
// of requests.
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

// Version is the terms of a plan from a time on.
type Version struct {
	Plan string
	From Time
	Terms
}

// Assignment gives a customer a plan from a time on.
type Assignment struct {
	Customer uint64
	// Plan is empty if the customer is not served any more.
	Plan string
	From Time
}

// ActivePlan is the version of a plan that applies to a customer.
type ActivePlan struct {
	Plan string
	// Version counts the versions of the plan from 1.
	Version int
	// Since is when the version began to apply to this customer.
	Since Time
	// Until is when the next version or assignment begins; Forever if none is known.
	Until Time
	Terms
}

// Forever is later than any time that a catalog may name.
const Forever Time = 1 << 62

// Catalog holds versions and assignments, indexed by customer and time.
//
// The index has two levels of packed slices. A customer's assignments are adjacent and sorted by
// time, and are found by binary search for its id; the versions of a plan likewise. ActivePlan
// combines the two, so a new version of a plan costs one entry however many customers have the
// plan.
type Catalog struct {
	customers []uint64
	// assignments are the indexes of each customer's first assignment, with the end as the last
	// element.
	assignments []uint32
	from        []Time
	// plan is the number of each assignment's plan, or noPlan.
	plan  []int32
	names []string
	// versions are sorted by time within each plan.
	versions [][]Version
}

// NewCatalog checks and indexes versions and assignments, which may be in any order. Its error
// names the entry that is invalid.
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

// addVersions sets the plans and returns their numbers by name.
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
	for _, ofPlan := range c.versions {
		slices.SortFunc(ofPlan, func(a, b Version) int { return cmp.Compare(a.From, b.From) })
		for i := range ofPlan[1:] {
			if ofPlan[i].From == ofPlan[i+1].From {
				return nil, fmt.Errorf("plan %q from %d: announced twice",
					ofPlan[i].Plan, ofPlan[i].From)
			}
		}
	}
	return numbers, nil
}

// addAssignments sets the customers. numbers are those of the plans by name.
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
			return fmt.Errorf("customer %x: no time: %d", a.Customer, a.From)
		case !first && all[i-1].From == a.From:
			return fmt.Errorf("customer %x from %d: given two plans", a.Customer, a.From)
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
		return errors.New("it has no name")
	case v.From < 0 || v.From >= Forever:
		return errors.New("no time")
	case !(v.Rate >= 0 && v.Burst >= 0 && v.CeilingRate >= 0 && v.CeilingBurst >= 0):
		return errors.New("terms below 0, or no numbers")
	case (v.CeilingRate == 0) != (v.CeilingBurst == 0):
		return errors.New("a ceiling has a rate and a burst")
	case (v.Rate == 0) != (v.Burst == 0):
		return errors.New("a quota has a rate and a burst")
	}
	return nil
}

// At returns the plan that applies to a customer at a time. ok is false if it has no plan then, or
// the plan has no version yet.
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

// Carry returns the levels of a customer's two token buckets under new terms. What was spent stays
// spent: a bucket that lacks some units of its old burst lacks as many of its new one. A downgrade
// below what is used leaves the bucket negative, to fill at the new rate, and a later upgrade
// restores the level. No sequence of changes grants a unit more than the terms in force did.
func Carry(from, to Terms, level, ceiling float64) (float64, float64) {
	return carry(from.Burst, to.Burst, level), carry(from.CeilingBurst, to.CeilingBurst, ceiling)
}

func carry(from, to, level float64) float64 {
	if from == 0 { // nothing was counted before
		return to
	}
	return to - (from - level)
}

// Tighter returns terms that satisfy both a and b. They apply while some gateways do not know the
// newer terms yet.
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
