package auditlog

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// record writes some entries of one boot, with a change of version in the middle.
func record(id, boot string, n int) (all []Entry) {
	prev := Root(id, boot)
	for i := range n {
		e := Entry{ID: id, Incarnation: boot, Seq: uint64(i + 1), StartedAt: int64(i) * 100, EndedAt: int64(i+1) * 100, InForce: map[string]uint64{"plans": 1},
			Counts: Counts{Forwarded: 3, Units: 4.5}, Prev: prev, Last: i == n-1}
		if i >= n/2 {
			e.InForce["plans"] = 2
		}
		prev = e.Hash()
		all = append(all, e)
	}
	return all
}

func head(e *Entry) Head { return Head{e.ID, e.Incarnation, e.Seq, e.Hash()} }

func TestARecordThatHolds(t *testing.T) {
	all := append(record("n0", "a", 8), record("n1", "b", 6)...)
	good, bad := Verify(slices.Clone(all), []Head{head(&all[3]), head(&all[7]), head(&all[13])})
	if len(bad) != 0 || len(good) != len(all) {
		t.Fatalf("%v, %d of %d entries", bad, len(good), len(all))
	}
	// Two copies of one record tell nothing new.
	if good, bad = Verify(append(slices.Clone(all), all[2:5]...), nil); len(bad) != 0 || len(good) != len(all) {
		t.Fatalf("%v, %d of %d entries", bad, len(good), len(all))
	}
	rows, gaps := Summarize(good, 1000)
	if len(gaps) != 0 || len(rows) != 4 {
		t.Fatalf("%+v %+v", rows, gaps)
	}
	if r := rows[0]; r.Number != 1 || r.Forwarded != 12 || r.Units != 18 || r.First != 1 || r.Last != 4 || r.From != 0 || r.To != 400 {
		t.Errorf("%+v", r)
	}
}

// Whatever is done to a record shows: an entry changed, left out, doubled under another content, the end cut off, all of it written
// anew, a copy under another name.
func TestDamageShows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := record("n0", "a", rapid.IntRange(2, 20).Draw(t, "entries"))
		told := rapid.IntRange(1, len(all)).Draw(t, "told")
		heads := []Head{head(&all[told-1])}
		at := rapid.IntRange(0, told-1).Draw(t, "at")
		damaged := slices.Clone(all)
		what := rapid.SampledFrom([]string{"changed", "left out", "doubled", "cut", "anew", "gone", "renamed"}).Draw(t, "what")
		switch what {
		case "changed":
			damaged[at].Units++
		case "left out":
			damaged = slices.Delete(damaged, at, at+1)
		case "doubled":
			other := damaged[at]
			other.Forwarded++
			damaged = slices.Insert(damaged, at+1, other)
		case "cut":
			damaged = damaged[:at]
		case "anew": // from some place on, with a chain that holds by itself
			prev := damaged[at].Prev
			for i := at; i < len(damaged); i++ {
				damaged[i].Units++
				damaged[i].Prev = prev
				prev = damaged[i].Hash()
			}
		case "gone":
			damaged = nil
		case "renamed":
			for i := range damaged {
				damaged[i].Incarnation = "b"
			}
		}
		good, bad := Verify(damaged, heads)
		if len(bad) == 0 {
			t.Fatalf("%s at %d of %d, told at %d: nothing is seen", what, at, len(all), told)
		}
		for _, e := range good {
			if e.Seq > uint64(at) && (what == "changed" || what == "anew") && e.Units != 4.5 {
				t.Fatalf("%s: entry %d still counts as %v units", what, e.Seq, e.Units)
			}
		}
	})
}

// What no record tells is a gap, and stays one.
func TestGapsStayGaps(t *testing.T) {
	all := record("n0", "a", 6)
	for i := 3; i < 6; i++ { // it lay still
		all[i].StartedAt += 10_000
		all[i].EndedAt += 10_000
	}
	all[5].Last = false // and was killed
	rows, gaps := Summarize(all, 1000)
	if len(gaps) != 2 || gaps[0].From != 300 || gaps[0].To != 10_300 || gaps[1].To != 0 {
		t.Errorf("%+v", gaps)
	}
	if len(rows) != 2 || !strings.Contains(fmt.Sprint(gaps), "no end") {
		t.Errorf("%+v", rows)
	}
}
