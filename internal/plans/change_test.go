package plans

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// randomCatalog returns a random catalog without times, which a file can represent.
func randomCatalog(t *testing.T, r *rand.Rand) *Catalog {
	t.Helper()
	var versions []Version
	for i := range 1 + r.IntN(5) {
		versions = append(versions,
			Version{Plan: fmt.Sprintf("plan %d\"\\\x01", i), Terms: randomTerms(r)})
	}
	var assignments []Assignment
	for i := range r.IntN(40) {
		if r.IntN(2) == 0 {
			assignments = append(assignments,
				Assignment{Customer: uint64(i) << 40, Plan: versions[r.IntN(len(versions))].Plan})
		}
	}
	catalog, err := NewCatalog(versions, assignments)
	if err != nil {
		t.Fatal(err)
	}
	return catalog
}

func randomTerms(r *rand.Rand) Terms {
	terms := Terms{Rate: r.Float64() * 1e9, Burst: 1 + float64(r.IntN(100))}
	if r.IntN(2) == 0 {
		terms.CeilingRate, terms.CeilingBurst = r.Float64(), math.Inf(1)
	}
	return terms
}

// difference computes the changes between two catalogs from their exported methods alone.
func difference(from, to *Catalog) *Changes {
	c := &Changes{}
	for _, name := range to.PlanNames() {
		v, _ := to.Plan(name, 0)
		if old, ok := from.Plan(name, 0); !ok || old != v {
			c.Plans = append(c.Plans, v)
		}
	}
	for _, name := range from.PlanNames() {
		if _, ok := to.Plan(name, 0); !ok {
			c.RemovedPlans = append(c.RemovedPlans, name)
		}
	}
	old, now := map[uint64]string{}, map[uint64]string{}
	from.Customers(func(id uint64, plan string) bool { old[id] = plan; return true })
	to.Customers(func(id uint64, plan string) bool { now[id] = plan; return true })
	for id, plan := range now {
		if old[id] != plan {
			c.Assignments = append(c.Assignments, Assignment{Customer: id, Plan: plan})
		}
	}
	for id := range old {
		if now[id] == "" {
			c.RemovedCustomers = append(c.RemovedCustomers, id)
		}
	}
	return c
}

// TestChangesLeadToTheOtherCatalog checks that applying the difference between two catalogs to the
// first gives the second, that the first is not modified, and that parsing a rendered catalog gives
// the same catalog.
func TestChangesLeadToTheOtherCatalog(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	for range 300 {
		from, to := randomCatalog(t, r), randomCatalog(t, r)
		before, want := Render(from), Render(to)
		got, err := from.Change(difference(from, to))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(Render(got), want) || !bytes.Equal(Render(from), before) {
			t.Fatalf("from\n%s\nto\n%s\ngot\n%s", before, want, Render(got))
		}
		to.Customers(func(id uint64, plan string) bool {
			a, _ := to.At(id, 0)
			b, ok := got.At(id, 0)
			if !ok || b.Plan != plan || a.Terms != b.Terms {
				t.Errorf("customer %x: got %+v, want %+v", id, b, a)
			}
			return true
		})
		read, err := Parse(want)
		if err != nil {
			t.Fatalf("%v\n%s", err, want)
		}
		if !bytes.Equal(Render(read), want) {
			t.Fatalf("%s\nis parsed as\n%s", want, Render(read))
		}
	}
}

// TestInvalidChanges checks that the error for invalid changes names the fault.
func TestInvalidChanges(t *testing.T) {
	b, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	for want, c := range map[string]*Changes{
		"its plan has been removed": {RemovedPlans: []string{"corporativo"}},
		"no plan \"outro\"":         {Assignments: []Assignment{{Customer: 1, Plan: "outro"}}},
		"at least 0":                {Plans: []Version{{Plan: "basico", Terms: Terms{Rate: -1}}}},
	} {
		if _, err := b.Change(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want %q", err, want)
		}
	}
}
