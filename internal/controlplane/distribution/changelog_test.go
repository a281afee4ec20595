package distribution

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSinceLeadsToTheNewest checks that from each revision in the log one merged delta leads to the
// newest revision, also after a compaction.
func TestSinceLeadsToTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		s.advance(testEpoch, drawChanges(t))
		bounds := LogBounds{
			Entries: rapid.IntRange(1, 12).Draw(t, "entries"),
			Bytes:   rapid.IntRange(200, 4000).Draw(t, "bytes"),
		}
		log := NewChangeLog(s.Position(), bounds)
		history := []*State{s.Clone()}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			if d := s.advance(0, drawChanges(t)); d != nil {
				log.Append(d)
				history = append(history, s.Clone())
			}
			if log.Len() > bounds.Entries || log.Bytes() > bounds.Bytes {
				t.Fatalf("%d entries of %d bytes, want at most %v", log.Len(), log.Bytes(), bounds)
			}
		}
		if rapid.Bool().Draw(t, "compacted") {
			log.Compact(rapid.Uint64Range(0, s.revision).Draw(t, "to"))
		}
		for _, old := range history {
			at := old.Position()
			d, ok := log.Since(at.Revision)
			if inLog := at.Revision >= log.Base().Revision; ok != inLog {
				t.Fatalf("Since(%d) returns %t, the log begins at %d",
					at.Revision, ok, log.Base().Revision)
			}
			if !ok {
				continue
			}
			if known, _ := log.At(at.Revision); known != at {
				t.Fatalf("the log has position %v, want %v", known, at)
			}
			if at == s.Position() {
				continue // nothing to apply
			}
			if err := old.Apply(d); err != nil || old.Position() != s.Position() {
				t.Fatalf("from %v to %v: %v", at, old.Position(), err)
			}
		}
		if _, ok := log.Since(s.revision + 1); ok {
			t.Fatal("Since accepts a revision after the newest")
		}
	})
}

// TestLogRestartsAfterGap checks that a delta that does not begin at the log's end restarts the
// log.
func TestLogRestartsAfterGap(t *testing.T) {
	s := NewState()
	first := s.advance(testEpoch, []Change{ready("a", 1)})
	log := NewChangeLog(s.Position(), DefaultLogBounds())
	s.advance(0, []Change{ready("b", 1)}) // missing from the log
	log.Append(s.advance(0, []Change{ready("c", 1)}))
	if _, ok := log.Since(first.To); ok {
		t.Error("Since returns a delta across a gap")
	}
	if log.Last() != s.Position() || log.Base() != s.Position() {
		t.Errorf("the log is from %v to %v, want %v", log.Base(), log.Last(), s.Position())
	}
	log.Append(&Delta{Epoch: testEpoch + 1, From: s.revision, To: s.revision + 1})
	if log.Base().Epoch != testEpoch+1 || log.Len() != 0 {
		t.Error("the log was not restarted at another epoch")
	}
}

// TestMergeKeepsNewestChange checks that merging keeps the newest change of each key, including
// deletions.
func TestMergeKeepsNewestChange(t *testing.T) {
	s := NewState()
	s.advance(testEpoch, []Change{ready("a", 1), ready("b", 1)})
	log := NewChangeLog(s.Position(), DefaultLogBounds())
	for _, c := range []Change{
		ready("a", 2), draining("b"), deleted("a"), ready("c", 1), deleted("b"), ready("b", 9),
	} {
		log.Append(s.advance(0, []Change{c}))
	}
	d, ok := log.Since(1)
	if !ok || len(d.Changes) != 3 {
		t.Fatalf("Since returns %v, %t; want 3 changes", d, ok)
	}
	if c := d.Changes[0]; c.ID != "a" || !c.Deleted {
		t.Errorf("the first change is %v", c)
	}
	if c := d.Changes[1]; c.ID != "b" || c.Deleted || c.Urgent() {
		t.Errorf("the second change is %v", c)
	}
}
