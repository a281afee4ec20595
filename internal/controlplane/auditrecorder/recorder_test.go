package auditrecorder

import (
	"log/slog"
	"testing"

	"mothcleat/internal/controlplane/auditlog"
)

var discardLog = slog.New(slog.DiscardHandler)

// A process that ends at any moment leaves a valid log: the next process writes what it had counted
// but not written, under the versions under which it was counted.
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
			if incarnation%3 == 1 && k == 3 { // part of the counts is written before the end
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
		if incarnation%2 == 0 { // the process is shut down
			if err := r.Close(); err != nil {
				t.Fatal(err)
			}
			continue
		}
		// The process is killed: it writes nothing more, and its lock is released.
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
		t.Fatalf("violations %v, %d of %d entries are valid, %d heads", violations, len(valid),
			len(all), len(heads))
	}
	var sum auditlog.Counts
	byVersion := map[uint64]uint64{}
	for _, e := range all {
		sum = sum.Plus(e.Counts)
		byVersion[e.InForce["plans"]] += e.Forwarded
	}
	if sum != total {
		t.Errorf("the log has %+v, but %+v were counted", sum, total)
	}
	// Each incarnation counts two requests under its first version, and two under the next.
	for incarnation := uint64(1); incarnation <= 6; incarnation++ {
		first := incarnation * 10
		if byVersion[first] != 2 || byVersion[first+2] != 2 || byVersion[first+4] != 0 {
			t.Errorf("incarnation %d: requests by version %v", incarnation, byVersion)
		}
	}
	if _, gaps := auditlog.Summarize(valid, 1<<62); len(gaps) != 0 {
		t.Errorf("gaps %+v", gaps)
	}
}

// BenchmarkSent measures the cost of counting one request in the event loop.
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

// A log with a bounded number of entries is valid: checkpoints, which are part of the chain,
// replace the entries that are not kept.
func TestBoundedLogIsValid(t *testing.T) {
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
			t.Fatalf("incarnation %d: violations %v, %d of %d entries are valid", incarnation, violations,
				len(valid), len(all))
		}
		sum := uint64(0)
		intervals, _ := auditlog.Summarize(valid, 1<<62)
		for _, interval := range intervals {
			sum += interval.Forwarded
		}
		for _, e := range all { // counts from before a version was in force are in no interval
			if len(e.InForce) == 0 {
				sum += e.Forwarded
			}
		}
		if incarnation > 2 && !all[len(all)-1].Last {
			t.Errorf("incarnation %d: no last entry", incarnation)
		}
		// Ten requests of each incarnation were compacted without an item.
		if sum > counted || sum+10*incarnation < counted {
			t.Errorf("incarnation %d: %d requests were counted, the log has %d", incarnation,
				counted, sum)
		}
	}
	if maxKept > 24 {
		t.Errorf("%d entries were kept with a bound of 20", maxKept)
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
					t.Errorf("entry %d: a changed sum is not a violation", i)
				}
				all[i].Checkpoints[j].Sums[k].Forwarded--
			}
		}
	}
}
