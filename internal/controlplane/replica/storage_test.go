package replica

import (
	"errors"
	"fmt"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"pgregory.net/rapid"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/storage/store"
)

var threeVoters = []*controlpb.Voter{
	{Number: BootstrapNumber("f", "a"), Name: "a"},
	{Number: BootstrapNumber("f", "b"), Name: "b"},
	{Number: BootstrapNumber("f", "c"), Name: "c"},
}

func TestBootstrap(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "log")
	if _, err := OpenStorage(dir, store.Options{}); !errors.Is(err, ErrNotInitialized) {
		t.Errorf("a directory without a storage: %v", err)
	}
	if err := Bootstrap(dir, "f", "a", threeVoters); err != nil {
		t.Fatal(err)
	}
	if err := Bootstrap(dir, "f", "a", threeVoters); !errors.Is(err, ErrInitialized) {
		t.Errorf("bootstrapped again: %v", err)
	}
	if err := Join(dir, "f", "a"); !errors.Is(err, ErrInitialized) {
		t.Errorf("joined after the bootstrap: %v", err)
	}
	s, err := OpenStorage(dir, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if s.Identity().Number != threeVoters[0].Number || s.Identity().Fleet != "f" {
		t.Errorf("%+v", s.Identity())
	}
	if _, err := OpenStorage(dir, store.Options{}); !errors.Is(err, store.ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
}

// After any sequence of writes the storage holds the same entries as a plain model, also after it
// was reopened.
func TestFolderAgainstAModel(t *testing.T) {
	base := t.TempDir()
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		n++
		dir := filepath.Join(base, fmt.Sprintf("log%d", n))
		if err := Bootstrap(dir, "f", "a", threeVoters); err != nil {
			t.Fatal(err)
		}
		s, err := OpenStorage(dir, store.Options{})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = s.Close() }()
		entries := map[uint64]uint64{} // index to term
		last, term, first := uint64(1), uint64(1), uint64(2)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			var ready consensus.Ready
			ready.MustSync = rapid.Bool().Draw(t, "sync")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1, 2: // entries that may replace others
				term++
				back := rapid.IntRange(0, 5).Draw(t, "back")
				from := uint64(max(int(first), int(last)+1-back))
				for i := range uint64(rapid.IntRange(1, 6).Draw(t, "entries")) {
					e := &raftpb.Entry{Index: new(from + i), Term: new(term)}
					ready.Entries = append(ready.Entries, e)
				}
				for i := from; i <= last; i++ {
					delete(entries, i)
				}
				for _, e := range ready.Entries {
					entries[e.GetIndex()] = term
					last = e.GetIndex()
				}
			case 3: // a snapshot of the voter's own state
				if last > first {
					first = uint64(rapid.IntRange(int(first), int(last)).Draw(t, "first"))
					ready.FirstIndex = first
					for i := range entries {
						if i < first {
							delete(entries, i)
						}
					}
				}
			case 4: // another voter's snapshot, which replaces the log
				last += uint64(rapid.IntRange(0, 9).Draw(t, "ahead"))
				ready.ReplaceLog = true
				ready.FirstIndex = last + 1
				ready.MustSync = true
				first = last + 1
				entries = map[uint64]uint64{}
			}
			if err := s.Save(ready); err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 3).Draw(t, "reopen") == 0 {
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				if s, err = OpenStorage(dir, store.Options{}); err != nil {
					t.Fatal(err)
				}
			}
			stored, err := s.Load()
			if err != nil {
				t.Fatal(err)
			}
			if len(stored.Entries) != len(entries) {
				t.Fatalf("got %d entries, want %d", len(stored.Entries), len(entries))
			}
			for _, e := range stored.Entries {
				if want := entries[e.GetIndex()]; want != e.GetTerm() {
					t.Fatalf("entry %d has term %d, want %d", e.GetIndex(), e.GetTerm(), want)
				}
			}
		}
	})
}
