package distribution

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSinceLeadsToTheNewest checks that from every revision in the log one merged delta leads to
// the newest one, whatever was compacted.
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
				t.Fatalf("%d entries of %d bytes, at most %v", log.Len(), log.Bytes(), bounds)
			}
		}
		if rapid.Bool().Draw(t, "compacted") {
			log.Compact(rapid.Uint64Range(0, s.revision).Draw(t, "to"))
		}
		for _, old := range history {
			at := old.Position()
			d, ok := log.Since(at.Revision)
			if reached := at.Revision >= log.Base().Revision; ok != reached {
				t.Fatalf("revision %d is answered for %t, the log begins at %d",
					at.Revision, ok, log.Base().Revision)
			}
			if !ok {
				continue
			}
			if known, _ := log.At(at.Revision); known != at {
				t.Fatalf("the log has %v where %v was", known, at)
			}
			if at == s.Position() {
				continue // nothing to apply
			}
			if err := old.Apply(d); err != nil || old.Position() != s.Position() {
				t.Fatalf("from %v: %v", at, err)
			}
		}
		if _, ok := log.Since(s.revision + 1); ok {
			t.Fatal("a revision that is to come is answered for")
		}
	})
}

// TestLogHasNoGap checks that a delta that does not begin at the log's end restarts the log.
func TestLogHasNoGap(t *testing.T) {
	s := NewState()
	first := s.advance(testEpoch, []Change{ready("a", 1)})
	log := NewChangeLog(s.Position(), DefaultLogBounds())
	s.advance(0, []Change{ready("b", 1)}) // not told
	log.Append(s.advance(0, []Change{ready("c", 1)}))
	if _, ok := log.Since(first.To); ok {
		t.Error("it answers over a gap")
	}
	if log.Last() != s.Position() || log.Base() != s.Position() {
		t.Errorf("%v to %v", log.Base(), log.Last())
	}
	log.Append(&Delta{Epoch: testEpoch + 1, From: s.revision, To: s.revision + 1})
	if log.Base().Epoch != testEpoch+1 || log.Len() != 0 {
		t.Error("it goes on over another epoch")
	}
}

// TestMergeTakesTheNewest checks that merging keeps the newest change of each key, deletions
// included.
func TestMergeTakesTheNewest(t *testing.T) {
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
		t.Fatalf("%v %v", ok, d)
	}
	if c := d.Changes[0]; c.ID != "a" || !c.Deleted {
		t.Errorf("first %v", c)
	}
	if c := d.Changes[1]; c.ID != "b" || c.Deleted || c.Urgent() {
		t.Errorf("then %v", c)
	}
}
