package auditlog

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// chainOf returns a chain of n entries of one incarnation. The version changes in the middle.
func chainOf(id, incarnation string, n int) (all []Entry) {
	prev := Root(id, incarnation)
	for i := range n {
		e := Entry{
			ID:          id,
			Incarnation: incarnation,
			Seq:         uint64(i + 1),
			StartedAt:   int64(i) * 100,
			EndedAt:     int64(i+1) * 100,
			InForce:     map[string]uint64{"plans": 1},
			Counts:      Counts{Forwarded: 3, Units: 4.5},
			Prev:        prev,
			Last:        i == n-1,
		}
		if i >= n/2 {
			e.InForce["plans"] = 2
		}
		prev = e.Hash()
		all = append(all, e)
	}
	return all
}

func headOf(e *Entry) Head { return Head{e.ID, e.Incarnation, e.Seq, e.Hash()} }

func checkValid(t *testing.T, entries []Entry, heads []Head, want int) (valid []Entry) {
	t.Helper()
	valid, violations := Verify(entries, heads)
	if len(violations) != 0 || len(valid) != want {
		t.Fatalf("violations %v, %d valid entries, want %d", violations, len(valid), want)
	}
	return valid
}

func TestValidLog(t *testing.T) {
	all := append(chainOf("n0", "a", 8), chainOf("n1", "b", 6)...)
	heads := []Head{headOf(&all[3]), headOf(&all[7]), headOf(&all[13])}
	checkValid(t, slices.Clone(all), heads, len(all))
	// Entries that occur in two copies of one log are not a violation.
	valid := checkValid(t, append(slices.Clone(all), all[2:5]...), nil, len(all))
	intervals, gaps := Summarize(valid, 1000)
	if len(gaps) != 0 || len(intervals) != 4 {
		t.Fatalf("intervals %+v, gaps %+v", intervals, gaps)
	}
	want := Interval{ID: "n0", Incarnation: "a", Item: "plans", Number: 1, From: 0, To: 400,
		Counts: Counts{Forwarded: 12, Units: 18}, First: 1, Last: 4}
	if intervals[0] != want {
		t.Errorf("the first interval is %+v, want %+v", intervals[0], want)
	}
}

// damagers maps kinds of damage to functions that damage a chain at an index.
var damagers = map[string]func(chain []Entry, at int) []Entry{
	"changed": func(chain []Entry, at int) []Entry {
		chain[at].Units++
		return chain
	},
	"removed": func(chain []Entry, at int) []Entry { return slices.Delete(chain, at, at+1) },
	"duplicated with another content": func(chain []Entry, at int) []Entry {
		other := chain[at]
		other.Forwarded++
		return slices.Insert(chain, at+1, other)
	},
	"truncated": func(chain []Entry, at int) []Entry { return chain[:at] },
	"rewritten": func(chain []Entry, at int) []Entry { // so that the chain is consistent by itself
		prev := chain[at].Prev
		for i := at; i < len(chain); i++ {
			chain[i].Units++
			chain[i].Prev = prev
			prev = chain[i].Hash()
		}
		return chain
	},
	"lost": func([]Entry, int) []Entry { return nil },
	"renamed": func(chain []Entry, _ int) []Entry {
		for i := range chain {
			chain[i].Incarnation = "b"
		}
		return chain
	},
}

// Any damage to a log up to a reported head is a violation.
func TestDamageIsAViolation(t *testing.T) {
	kinds := []string{"changed", "removed", "duplicated with another content", "truncated",
		"rewritten", "lost", "renamed"}
	rapid.Check(t, func(t *rapid.T) {
		all := chainOf("n0", "a", rapid.IntRange(2, 20).Draw(t, "entries"))
		reported := rapid.IntRange(1, len(all)).Draw(t, "reported")
		heads := []Head{headOf(&all[reported-1])}
		at := rapid.IntRange(0, reported-1).Draw(t, "at")
		kind := rapid.SampledFrom(kinds).Draw(t, "kind")
		damaged := damagers[kind](slices.Clone(all), at)
		valid, violations := Verify(damaged, heads)
		if len(violations) == 0 {
			t.Fatalf("%s at %d of %d, reported at %d: no violation", kind, at, len(all), reported)
		}
		if kind != "changed" && kind != "rewritten" {
			return
		}
		for _, e := range valid {
			if e.Seq > uint64(at) && e.Units != 4.5 {
				t.Fatalf("%s: entry %d still counts %v units", kind, e.Seq, e.Units)
			}
		}
	})
}

// Time that no log covers is a gap.
func TestGaps(t *testing.T) {
	all := chainOf("n0", "a", 6)
	for i := 3; i < 6; i++ { // the process was stopped
		all[i].StartedAt += 10_000
		all[i].EndedAt += 10_000
	}
	all[5].Last = false // and was killed
	intervals, gaps := Summarize(all, 1000)
	if len(gaps) != 2 {
		t.Fatalf("gaps %+v", gaps)
	}
	if gaps[0].From != 300 || gaps[0].To != 10_300 {
		t.Errorf("the gap while the process was stopped is %+v", gaps[0])
	}
	if gaps[1].To != 0 || !strings.Contains(gaps[1].Why, "no end") {
		t.Errorf("the gap after the last entry is %+v", gaps[1])
	}
	if len(intervals) != 2 {
		t.Errorf("intervals %+v", intervals)
	}
}
