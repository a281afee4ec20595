package auditrecorder

import (
	"log/slog"
	"testing"

	"mothcleat/internal/controlplane/auditlog"
)

var quiet = slog.New(slog.DiscardHandler)

// A process that ends at any moment leaves a record that holds, with all that it counted: the next one writes the rest down, under the
// versions that it was done by.
func TestWhatAKilledProcessLeft(t *testing.T) {
	dir := t.TempDir()
	var heads []auditlog.Head
	total := auditlog.Counts{}
	for boot := uint64(1); boot <= 6; boot++ {
		r, err := Open(dir, "n0", boot, quiet)
		if err != nil {
			t.Fatal(err)
		}
		for k := range 5 {
			r.Sent(true, 2.5)
			r.Sent(false, 2.5)
			r.Rejected(false)
			r.Rejected(true)
			total = total.Plus(auditlog.Counts{Forwarded: 1, Retries: 1, Units: 2.5, Rejected: 1, RejectedFenced: 1})
			if k%2 == 0 {
				r.Change(map[string]uint64{"plans": boot*10 + uint64(k)})
			}
			if boot%3 == 1 && k == 3 { // some of it was written before
				r.mu.Lock()
				err = r.write(int64(boot)*1000, false)
				r.mu.Unlock()
				if err != nil {
					t.Fatal(err)
				}
			}
		}
		if h := r.Head(); h != nil {
			heads = append(heads, *h)
		}
		if boot%2 == 0 { // it ends in order
			if err := r.Close(); err != nil {
				t.Fatal(err)
			}
			continue
		}
		// It is killed: nothing more is written by it, and its lock goes.
		if err := r.store.Close(); err != nil {
			t.Fatal(err)
		}
	}
	r, err := Open(dir, "n0", 7, quiet)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	all, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	good, bad := auditlog.Verify(all, heads)
	if len(bad) > 0 || len(good) != len(all) || len(heads) == 0 {
		t.Fatalf("%v, %d of %d entries, %d heads", bad, len(good), len(all), len(heads))
	}
	var sum auditlog.Counts
	byVersion := map[uint64]uint64{}
	for _, e := range all {
		sum = sum.Plus(e.Counts)
		byVersion[e.InForce["plans"]] += e.Forwarded
	}
	if sum != total {
		t.Errorf("%+v were recorded, %+v were done", sum, total)
	}
	// Two under the first version of each boot's, two under the next.
	for boot := uint64(1); boot <= 6; boot++ {
		if byVersion[boot*10] != 2 || byVersion[boot*10+2] != 2 || byVersion[boot*10+4] != 0 {
			t.Errorf("boot %d: %v", boot, byVersion)
		}
	}
	if _, gaps := auditlog.Summarize(good, 1<<62); len(gaps) != 0 {
		t.Errorf("%+v", gaps)
	}
}

// What recording costs a request in the loop.
func BenchmarkSent(b *testing.B) {
	r, err := Open(b.TempDir(), "n0", 1, quiet)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Sent(true, 1.5)
	}
	_ = r.Close()
}

// A record that is bounded holds all the same: what is not kept any more is in sums, which are in the chain.
func TestABoundedRecordHolds(t *testing.T) {
	dir := t.TempDir()
	var heads []auditlog.Head
	done, most := uint64(0), 0
	for boot := uint64(1); boot <= 9; boot++ {
		r, err := Open(dir, "n0", boot*7919%100, quiet)
		if err != nil {
			t.Fatal(err)
		}
		r.maxEntries = 20
		for k := range 30 {
			r.Sent(true, 1)
			done++
			if k%10 == 9 {
				r.Change(map[string]uint64{"plans": boot})
			}
			r.mu.Lock()
			err := r.write(int64(boot*1000)+int64(k), false)
			r.mu.Unlock()
			if err != nil {
				t.Fatal(err)
			}
			heads = append(heads, *r.Head())
			all, err := entries(r.store, 0)
			if err != nil {
				t.Fatal(err)
			}
			most = max(most, len(all))
		}
		if err := r.Close(); err != nil {
			t.Fatal(err)
		}
		all, err := Read(dir)
		if err != nil {
			t.Fatal(err)
		}
		good, bad := auditlog.Verify(all, heads)
		if len(bad) > 0 || len(good) != len(all) {
			t.Fatalf("boot %d: %v", boot, bad)
		}
		sum := uint64(0)
		rows, _ := auditlog.Summarize(good, 1<<62)
		for _, row := range rows {
			sum += row.Forwarded
		}
		for _, e := range all { // what was done before anything was in force is no stretch of an item
			if len(e.InForce) == 0 {
				sum += e.Forwarded
			}
		}
		if boot > 2 && !all[len(all)-1].Last {
			t.Errorf("boot %d: no end", boot)
		}
		if sum > done || sum+10*boot < done { // ten of each boot were folded without an item
			t.Errorf("boot %d: %d requests were done, the record tells %d", boot, done, sum)
		}
	}
	if most > 24 {
		t.Errorf("%d entries were kept, 20 is the bound", most)
	}
	all, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	// The sums can't be changed unseen either.
	for i := range all {
		for j := range all[i].Checkpoints {
			for k := range all[i].Checkpoints[j].Sums {
				all[i].Checkpoints[j].Sums[k].Forwarded++
				if _, bad := auditlog.Verify(all, heads[len(heads)-1:]); len(bad) == 0 {
					t.Errorf("entry %d: a changed sum does not show", i)
				}
				all[i].Checkpoints[j].Sums[k].Forwarded--
			}
		}
	}
}
