package gateway

import (
	"strings"
	"testing"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/simprotocol"
	"mothcleat/internal/plans"
)

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

func TestUnusablePlansAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		"[[plan]]\nname = \"outro\"\nrate = 1\nburst = 2\n":         "none of this gateway's plans",
		"[[plan]]\nname = \"basico\"\nrate = 1\nburst = 2\nx = 3\n": "line 5",
		"[[plan]]\nname = \"basico\"\nrate = 1\n":                   "burst",
	} {
		book, err := plans.Parse([]byte(text))
		if err == nil {
			err = testTerms().CheckCatalog(book)
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, %q wanted", text, err, want)
		}
	}
}

func parsed(t *testing.T, text string) *plans.Catalog {
	t.Helper()
	book, err := plans.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return book
}

// While versions overlap the tighter terms bind, and of two plans the smaller; what a version does
// not name is as it was.
func TestTighterTermsBindWhileVersionsOverlap(t *testing.T) {
	terms, done := testTerms(), 0
	var got []plansChanged
	newer := parsed(
		t,
		"[[plan]]\nname = \"basico\"\nrate = 1\nburst = 20\n[[plan]]\nname = \"corporativo\"\nrate = 12\nburst = 50\n[[customer]]\nid = \"0000000000000007\"\nplan = \"corporativo\"\n",
	)
	older := parsed(
		t,
		"[[plan]]\nname = \"basico\"\nrate = 3\nburst = 6\n[[customer]]\nid = \"0000000000000007\"\nplan = \"basico\"\n",
	)
	// before there is a loop
	terms.UseCatalogs(newer, []*plans.Catalog{older, {}}, 6, func() { done++ })
	terms.attach(func(e event) { got = append(got, e.(plansChanged)) })
	terms.UseCatalogs(newer, nil, 7, func() { done++ })
	if len(got) != 2 || done != 0 {
		t.Fatalf("%d changes, %d done before the loop had them", len(got), done)
	}
	b, c := got[0].plans[0], got[0].plans[1]
	if b.Rate != 1 || b.Burst != 6 || b.Price != 3 || c.Rate != 10 || c.Burst != 40 ||
		c.ConcurrencyLimit != 5 {
		t.Errorf("%+v %+v", b, c)
	}
	if k := got[0].assigned(7); k != 0 {
		t.Errorf("plan %d of a customer that has one by each", k)
	}
	b, c = got[1].plans[0], got[1].plans[1]
	if b.Rate != 1 || b.Burst != 20 || c.Rate != 12 || c.Burst != 50 || got[1].assigned(7) != 1 ||
		got[1].assigned(8) != -1 {
		t.Errorf("%+v %+v", b, c)
	}
}
