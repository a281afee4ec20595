package auditrecorder

import (
	"log/slog"
	"testing"

	"mothcleat/internal/controlplane/auditlog"
)

var discardLog = slog.New(slog.DiscardHandler)

// A process that ends at any moment leaves a valid log: the next one writes what it had counted and
// not written, under the versions that it was counted by.
func TestNextProcessWritesWhatAKilledOneCounted(t *testing.T) {
	dir := t.TempDir()
	var heads []auditlog.Head
	total := auditlog.Counts{}
	for incarnation := uint64(1); incarnation <= 6; incarnation++ {
		r, err := Open(dir, "n0", incarnation, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		for k := range 5 {
			r.Sent(true, 2.5)
			r.Sent(false, 2.5)
			r.Rejected(false)
			r.Rejected(true)
			total = total.Plus(auditlog.Counts{Forwarded: 1, Retries: 1, Units: 2.5, Rejected: 1,
				RejectedFenced: 1})
			if k%2 == 0 {
				r.Change(map[string]uint64{"plans": incarnation*10 + uint64(k)})
			}
			if incarnation%3 == 1 && k == 3 { // some of it is written before
				r.mu.Lock()
				err = r.write(int64(incarnation)*1000, false)
				r.mu.Unlock()
				if err != nil {
					t.Fatal(err)
				}
			}
		}
		if h := r.Head(); h != nil {
			heads = append(heads, *h)
		}
		if incarnation%2 == 0 { // it is shut down
			if err := r.Close(); err != nil {
				t.Fatal(err)
			}
			continue
		}
		// It is killed: it writes nothing more, and its lock is released.
		if err := r.store.Close(); err != nil {
			t.Fatal(err)
		}
	}
	r, err := Open(dir, "n0", 7, discardLog)
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
	valid, violations := auditlog.Verify(all, heads)
	if len(violations) > 0 || len(valid) != len(all) || len(heads) == 0 {
		t.Fatalf("%v, %d of %d entries, %d heads", violations, len(valid), len(all), len(heads))
	}
	var sum auditlog.Counts
	byVersion := map[uint64]uint64{}
	for _, e := range all {
		sum = sum.Plus(e.Counts)
		byVersion[e.InForce["plans"]] += e.Forwarded
	}
	if sum != total {
		t.Errorf("%+v were written, %+v were counted", sum, total)
	}
	// Each incarnation counts two requests under its first version, and two under the next.
	for incarnation := uint64(1); incarnation <= 6; incarnation++ {
		first := incarnation * 10
		if byVersion[first] != 2 || byVersion[first+2] != 2 || byVersion[first+4] != 0 {
			t.Errorf("incarnation %d: %v", incarnation, byVersion)
		}
	}
	if _, gaps := auditlog.Summarize(valid, 1<<62); len(gaps) != 0 {
		t.Errorf("%+v", gaps)
	}
}

// BenchmarkSent measures what counting costs a request in the event loop.
func BenchmarkSent(b *testing.B) {
	r, err := Open(b.TempDir(), "n0", 1, discardLog)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Sent(true, 1.5)
	}
	_ = r.Close()
}

// A log that is bounded is valid as well: checkpoints, which are in the chain, stand for the
// entries that are not kept.
func TestABoundedLogIsValid(t *testing.T) {
	dir := t.TempDir()
	var heads []auditlog.Head
	counted, maxKept := uint64(0), 0
	for incarnation := uint64(1); incarnation <= 9; incarnation++ {
		r, err := Open(dir, "n0", incarnation*7919%100, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		r.maxEntries = 20
		for k := range 30 {
			r.Sent(true, 1)
			counted++
			if k%10 == 9 {
				r.Change(map[string]uint64{"plans": incarnation})
			}
			r.mu.Lock()
			err := r.write(int64(incarnation*1000)+int64(k), false)
			r.mu.Unlock()
			if err != nil {
				t.Fatal(err)
			}
			heads = append(heads, *r.Head())
			all, err := readEntries(r.store, 0)
			if err != nil {
				t.Fatal(err)
			}
			maxKept = max(maxKept, len(all))
		}
		if err := r.Close(); err != nil {
			t.Fatal(err)
		}
		all, err := Read(dir)
		if err != nil {
			t.Fatal(err)
		}
		valid, violations := auditlog.Verify(all, heads)
		if len(violations) > 0 || len(valid) != len(all) {
			t.Fatalf("incarnation %d: %v", incarnation, violations)
		}
		sum := uint64(0)
		intervals, _ := auditlog.Summarize(valid, 1<<62)
		for _, interval := range intervals {
			sum += interval.Forwarded
		}
		for _, e := range all { // what was counted before a version was in force is in no interval
			if len(e.InForce) == 0 {
				sum += e.Forwarded
			}
		}
		if incarnation > 2 && !all[len(all)-1].Last {
			t.Errorf("incarnation %d: no last entry", incarnation)
		}
		// Ten of each incarnation were compacted without an item.
		if sum > counted || sum+10*incarnation < counted {
			t.Errorf("incarnation %d: %d requests were counted, the log has %d", incarnation,
				counted, sum)
		}
	}
	if maxKept > 24 {
		t.Errorf("%d entries were kept, 20 is the bound", maxKept)
	}
	all, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	// A change of a checkpoint is a violation too.
	for i := range all {
		for j := range all[i].Checkpoints {
			for k := range all[i].Checkpoints[j].Sums {
				all[i].Checkpoints[j].Sums[k].Forwarded++
				_, violations := auditlog.Verify(all, heads[len(heads)-1:])
				if len(violations) == 0 {
					t.Errorf("entry %d: a changed sum is no violation", i)
				}
				all[i].Checkpoints[j].Sums[k].Forwarded--
			}
		}
	}
}
