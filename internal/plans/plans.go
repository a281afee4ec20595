// Package plans decides which terms hold for a customer at a time, and what becomes of what
// it has spent when they change. It does no I/O, and time comes from outside.
//
// A Book is all that was announced: versions of plans, and which customer has which plan, each from
// a time on. It is built once and then only read, so any number of goroutines may ask it; news make
// a new Book.
package plans

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sort"
)

// Time is microseconds since 1970, as in the decision module.
type Time = int64

// Terms are what a plan grants each of its customers, over all gateways together. Units are those
// of requests.
type Terms struct {
	Rate         float64 // units a second; 0: no rate is kept
	Burst        float64 // units that the store holds
	CeilingRate  float64 // of the second store; 0: there is none
	CeilingBurst float64
}

// Version is what a plan grants from a time on.
type Version struct {
	Plan string
	From Time
	Terms
}

// Assignment gives a customer a plan from a time on.
type Assignment struct {
	Customer uint64
	Plan     string // "": none; the customer is served no more
	From     Time
}

// ActivePlan is what holds for a customer: a plan's version since a time.
type ActivePlan struct {
	Plan    string
	Version int  // counts a plan's versions from 1
	Since   Time // when it began for this customer
	Until   Time // when the next one begins; Forever: none is known
	Terms
}

// Forever is later than any time that a book may name.
const Forever Time = 1 << 62

// Catalog holds versions and assignments, indexed by customer and time.
//
// The index is two levels of packed slices: a customer's assignments stand together in the order of
// their times, found by its id in a sorted slice; a plan's versions the same. A holding is where
// the two meet, so a new version of a plan costs one entry however many customers have the plan.
type Catalog struct {
	customers []uint64
	spans     []uint32 // where each customer's assignments begin; one more at the end
	from      []Time
	plan      []int32 // -1: none
	names     []string
	versions  [][]Version // by plan, in the order of their times
}

// NewCatalog checks and indexes what was announced. The order of the lists does not matter.
func NewCatalog(versions []Version, assignments []Assignment) (*Catalog, error) {
	b := &Catalog{}
	byName := map[string]int32{}
	for _, v := range versions {
		if err := v.check(); err != nil {
			return nil, fmt.Errorf("plan %q from %d: %w", v.Plan, v.From, err)
		}
		p, ok := byName[v.Plan]
		if !ok {
			p = int32(len(b.names))
			byName[v.Plan] = p
			b.names, b.versions = append(b.names, v.Plan), append(b.versions, nil)
		}
		b.versions[p] = append(b.versions[p], v)
	}
	for _, of := range b.versions {
		slices.SortFunc(of, func(a, b Version) int { return cmp.Compare(a.From, b.From) })
		for i := range of[1:] {
			if of[i].From == of[i+1].From {
				return nil, fmt.Errorf("plan %q from %d: announced twice", of[i].Plan, of[i].From)
			}
		}
	}
	all := slices.Clone(assignments)
	slices.SortFunc(all, func(a, b Assignment) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.From, b.From))
	})
	for i, a := range all {
		p, ok := byName[a.Plan]
		if a.Plan == "" {
			p, ok = -1, true
		}
		switch {
		case !ok:
			return nil, fmt.Errorf("customer %x from %d: there is no plan %q",
				a.Customer, a.From, a.Plan)
		case a.From < 0 || a.From >= Forever:
			return nil, fmt.Errorf("customer %x: no time: %d", a.Customer, a.From)
		case i > 0 && all[i-1].Customer == a.Customer && all[i-1].From == a.From:
			return nil, fmt.Errorf("customer %x from %d: given two plans", a.Customer, a.From)
		}
		if i == 0 || all[i-1].Customer != a.Customer {
			b.customers = append(b.customers, a.Customer)
			b.spans = append(b.spans, uint32(i))
		}
		b.from, b.plan = append(b.from, a.From), append(b.plan, p)
	}
	b.spans = append(b.spans, uint32(len(all)))
	return b, nil
}

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

// At tells what holds for a customer at a time; ok is false where it has no plan then, or the plan
// has no version yet.
func (b *Catalog) At(customer uint64, t Time) (h ActivePlan, ok bool) {
	i, found := slices.BinarySearch(b.customers, customer)
	if !found {
		return h, false
	}
	first, last := int(b.spans[i]), int(b.spans[i+1])
	a := first + sort.Search(last-first, func(i int) bool { return b.from[first+i] > t }) - 1
	if a < first || b.plan[a] < 0 {
		return h, false
	}
	of := b.versions[b.plan[a]]
	v := sort.Search(len(of), func(i int) bool { return of[i].From > t }) - 1
	if v < 0 {
		return h, false
	}
	h = ActivePlan{
		Plan:    of[v].Plan,
		Version: v + 1,
		Since:   max(b.from[a], of[v].From),
		Until:   Forever,
		Terms:   of[v].Terms,
	}
	if a+1 < last {
		h.Until = b.from[a+1]
	}
	if v+1 < len(of) {
		h.Until = min(h.Until, of[v+1].From)
	}
	return h, true
}

// Carry returns the levels of a customer's two stores under new terms. What was spent stays spent: a
// store that lacks so many units of its old burst lacks as many of its new one. A downgrade below
// what is used leaves it under nothing, to fill at the new rate; and back again it holds what it
// held. No order of changes grants a unit more than the terms in force did.
func Carry(from, to Terms, level, ceiling float64) (float64, float64) {
	return carry(from.Burst, to.Burst, level), carry(from.CeilingBurst, to.CeilingBurst, ceiling)
}

func carry(from, to, level float64) float64 {
	if from == 0 { // nothing was counted before
		return to
	}
	return to - (from - level)
}

// Tighter returns terms that keep both: those in force while some gateways have not heard of the
// newer ones yet.
func Tighter(a, b Terms) Terms {
	return Terms{
		Rate:         tighter(a.Rate, b.Rate),
		Burst:        tighter(a.Burst, b.Burst),
		CeilingRate:  tighter(a.CeilingRate, b.CeilingRate),
		CeilingBurst: tighter(a.CeilingBurst, b.CeilingBurst),
	}
}

// tighter is the smaller of two bounds, of which 0 is none.
func tighter(a, b float64) float64 {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
