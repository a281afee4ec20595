package plans

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// linearSearch returns the version that applies to a customer at time t. It is the reference for
// Catalog.At.
func linearSearch(
	versions []Version, assignments []Assignment, customer uint64, t Time,
) (v Version, ok bool) {
	var a Assignment
	for _, x := range assignments {
		if x.Customer == customer && x.From <= t && (!ok || x.From > a.From) {
			a, ok = x, true
		}
	}
	if !ok || a.Plan == "" {
		return v, false
	}
	ok = false
	for _, x := range versions {
		if x.Plan == a.Plan && x.From <= t && (!ok || x.From > v.From) {
			v, ok = x, true
		}
	}
	return v, ok
}

// randomEntries returns three plans, and as many customers as customers says. Each plan has each
// versions and each customer has each assignments (at most span), at distinct times below span.
func randomEntries(
	r *rand.Rand, customers, each, span int,
) (versions []Version, assignments []Assignment) {
	plans := []string{"basico", "pro", "corporativo"}
	for _, p := range plans {
		for _, at := range r.Perm(span)[:min(each, span)] {
			versions = append(versions,
				Version{p, Time(at), Terms{Rate: 1 + r.Float64(), Burst: 2}})
		}
	}
	for c := range customers {
		for _, at := range r.Perm(span)[:min(each, span)] {
			plan := ""
			if k := r.IntN(4); k < 3 {
				plan = plans[k]
			}
			assignments = append(assignments, Assignment{uint64(c) * 7, plan, Time(at)})
		}
	}
	return versions, assignments
}

func TestAtAgainstLinearSearch(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		versions, assignments := randomEntries(r, 8, 5, 40)
		b, err := NewCatalog(versions, assignments)
		if err != nil {
			t.Fatal(err)
		}
		for c := range uint64(9) {
			for at := Time(-1); at < 42; at++ {
				want, ok := linearSearch(versions, assignments, c*7, at)
				got, found := b.At(c*7, at)
				if ok != found || ok && (got.Plan != want.Plan || got.Terms != want.Terms) {
					t.Fatalf("customer %d at %d: got %+v %v, want %+v %v",
						c*7, at, got, found, want, ok)
				}
				if !found {
					continue
				}
				if got.Since > at || got.Until <= at {
					t.Fatalf("customer %d at %d: the plan applies from %d to %d",
						c*7, at, got.Since, got.Until)
				}
				if next, ok := b.At(c*7, got.Until-1); !ok || next.Version != got.Version ||
					next.Plan != got.Plan || next.Since != got.Since {
					t.Fatalf("customer %d: the plan at %d applies until %d, but the plan at %d is %+v",
						c*7, at, got.Until, got.Until-1, next)
				}
			}
		}
	}
}

func TestInvalidCatalogs(t *testing.T) {
	good := Version{"pro", 5, Terms{Rate: 1, Burst: 2}}
	for reason, c := range map[string]struct {
		v []Version
		a []Assignment
	}{
		"defined twice":            {[]Version{good, good}, nil},
		"the plan has no name":     {[]Version{{"", 5, Terms{}}}, nil},
		"at least 0":               {[]Version{{"pro", 5, Terms{Rate: -1, Burst: 1}}}, nil},
		"must be numbers":          {[]Version{{"pro", 5, Terms{Rate: math.NaN(), Burst: 1}}}, nil},
		"a ceiling must have both": {[]Version{{"pro", 5, Terms{Rate: 1, Burst: 1, CeilingRate: 3}}}, nil},
		"a quota must have both":   {[]Version{{"pro", 5, Terms{Burst: 1}}}, nil},
		"no plan \"x\"":            {[]Version{good}, []Assignment{{1, "x", 0}}},
		"assigned two plans":       {[]Version{good}, []Assignment{{1, "pro", 0}, {1, "", 0}}},
		"out of range":             {[]Version{good}, []Assignment{{1, "pro", -1}}},
	} {
		if _, err := NewCatalog(c.v, c.a); err == nil || !strings.Contains(err.Error(), reason) {
			t.Errorf("%s: %v", reason, err)
		}
	}
}

// TestCarryGrantsNoExtraUnits checks that no order of changes, spends and pauses grants a customer
// more than its first burst, plus what the rates in force refilled, plus what upgrades added to its
// burst, less what downgrades removed from it. It also checks that a change that is reverted at
// once leaves the level unchanged.
func TestCarryGrantsNoExtraUnits(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 2))
		draw := func() Terms { return Terms{Rate: 1 + 9*r.Float64(), Burst: 1 + 20*r.Float64()} }
		now := draw()
		level, granted, allowed := now.Burst, 0.0, now.Burst
		for range 200 {
			switch r.IntN(4) {
			case 0:
				next := draw()
				there, _ := Carry(now, next, level, 0)
				if back, _ := Carry(next, now, there, 0); math.Abs(back-level) > 1e-9 {
					t.Fatalf("seed %d: a level of %v is %v after a change and its reversal", seed, level, back)
				}
				allowed += next.Burst - now.Burst
				now, level = next, there
			case 1:
				filled := min(now.Burst-level, now.Rate*r.Float64())
				level += filled
				allowed += filled
			default:
				if units := 3 * r.Float64(); units <= level {
					level -= units
					granted += units
				}
			}
			if level > now.Burst+1e-9 || math.Abs(granted+level-allowed) > 1e-6 {
				t.Fatalf("seed %d: %v granted and a level of %v, of %v allowed", seed, granted, level, allowed)
			}
		}
	}
	if level, ceiling := Carry(Terms{}, Terms{Rate: 1, Burst: 4, CeilingRate: 2, CeilingBurst: 8},
		0, 0); level != 4 || ceiling != 8 {
		t.Errorf("the first plan starts with levels %v, %v, want 4, 8", level, ceiling)
	}
}

func TestTighterSatisfiesBoth(t *testing.T) {
	a, b := Terms{Rate: 2, Burst: 9, CeilingRate: 4, CeilingBurst: 10}, Terms{Rate: 3, Burst: 5}
	want := Terms{Rate: 2, Burst: 5, CeilingRate: 4, CeilingBurst: 10}
	if got := Tighter(a, b); got != want || Tighter(b, a) != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// BenchmarkAt looks up plans of 100,000 customers with 20 assignments each, three plans with 20
// versions.
func BenchmarkAt(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 3))
	versions, assignments := randomEntries(r, 100_000, 20, 1000)
	catalog, err := NewCatalog(versions, assignments)
	if err != nil {
		b.Fatal(err)
	}
	at := func() (uint64, Time) { return uint64(r.IntN(100_000)) * 7, Time(r.IntN(1000)) }
	b.Run("catalog", func(b *testing.B) {
		for b.Loop() {
			catalog.At(at())
		}
	})
	// the obvious alternative: a map of slices that are scanned
	byCustomer := map[uint64][]Assignment{}
	for _, a := range assignments {
		byCustomer[a.Customer] = append(byCustomer[a.Customer], a)
	}
	b.Run("map and scan", func(b *testing.B) {
		for b.Loop() {
			c, t := at()
			linearSearch(versions, byCustomer[c], c, t)
		}
	})
	b.Run(fmt.Sprintf("scan of %d", len(assignments)), func(b *testing.B) {
		for b.Loop() {
			c, t := at()
			linearSearch(versions, assignments, c, t)
		}
	})
}
