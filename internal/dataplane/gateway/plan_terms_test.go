package gateway

import (
	"strings"
	"testing"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/simprotocol"
	"mothcleat/internal/plans"
)

// testTerms returns the terms of two plans.
func testTerms() *PlanTerms {
	return NewPlanTerms(
		&Config{Host: simprotocol.HostSettings{Plans: []string{"basico", "corporativo"}},
			Settings: policy.Settings{
				Plans: []policy.Plan{
					{Rate: 2, Burst: 8, Price: 3}, {Rate: 10, Burst: 40, ConcurrencyLimit: 5},
				},
			}},
	)
}

// A catalog with an unknown plan, an unknown key or a missing key is rejected.
func TestUnusablePlansAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		"[[plan]]\nname = \"outro\"\nrate = 1\nburst = 2\n":         "none of this gateway's plans",
		"[[plan]]\nname = \"basico\"\nrate = 1\nburst = 2\nx = 3\n": "line 5",
		"[[plan]]\nname = \"basico\"\nrate = 1\n":                   "burst",
	} {
		catalog, err := plans.Parse([]byte(text))
		if err == nil {
			err = testTerms().CheckCatalog(catalog)
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one with %q", text, err, want)
		}
	}
}

func parseCatalog(t *testing.T, text string) *plans.Catalog {
	t.Helper()
	catalog, err := plans.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return catalog
}

// While versions overlap, the stricter terms of each plan apply, and a customer that the versions
// assign to different plans has the smaller plan. What a version does not name is unchanged.
func TestStricterTermsApplyWhileVersionsOverlap(t *testing.T) {
	terms, applied := testTerms(), 0
	var got []plansChanged
	newer := parseCatalog(
		t,
		"[[plan]]\nname = \"basico\"\nrate = 1\nburst = 20\n[[plan]]\nname = \"corporativo\"\nrate = 12\nburst = 50\n[[customer]]\nid = \"0000000000000007\"\nplan = \"corporativo\"\n",
	)
	older := parseCatalog(
		t,
		"[[plan]]\nname = \"basico\"\nrate = 3\nburst = 6\n[[customer]]\nid = \"0000000000000007\"\nplan = \"basico\"\n",
	)
	// Before the event loop exists.
	terms.UseCatalogs(newer, []*plans.Catalog{older, {}}, 6, func() { applied++ })
	terms.attach(func(e event) { got = append(got, e.(plansChanged)) })
	terms.UseCatalogs(newer, nil, 7, func() { applied++ })
	if len(got) != 2 || applied != 0 {
		t.Fatalf("%d changes, %d reported as applied before the event loop handled them", len(got), applied)
	}
	b, c := got[0].plans[0], got[0].plans[1]
	if b.Rate != 1 || b.Burst != 6 || b.Price != 3 || c.Rate != 10 || c.Burst != 40 ||
		c.ConcurrencyLimit != 5 {
		t.Errorf("%+v %+v", b, c)
	}
	if plan := got[0].assigned(7); plan != 0 {
		t.Errorf("plan %d for a customer with a different plan in each version, want 0", plan)
	}
	b, c = got[1].plans[0], got[1].plans[1]
	if b.Rate != 1 || b.Burst != 20 || c.Rate != 12 || c.Burst != 50 || got[1].assigned(7) != 1 ||
		got[1].assigned(8) != -1 {
		t.Errorf("%+v %+v", b, c)
	}
}
