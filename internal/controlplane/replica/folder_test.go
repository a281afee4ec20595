package replica

import (
	"errors"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"pgregory.net/rapid"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/storage/store"
)

var three = []*controlpb.Voter{{Number: BootstrapNumber("f", "a"), Name: "a"}, {Number: BootstrapNumber("f", "b"), Name: "b"}, {Number: BootstrapNumber("f", "c"), Name: "c"}}

func TestFounding(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "log")
	if _, err := OpenStorage(dir, store.Options{}); !errors.Is(err, ErrNotInitialized) {
		t.Errorf("a folder that nobody founded: %v", err)
	}
	if err := Bootstrap(dir, "f", "a", three); err != nil {
		t.Fatal(err)
	}
	if err := Bootstrap(dir, "f", "a", three); !errors.Is(err, ErrInitialized) {
		t.Errorf("founded again: %v", err)
	}
	if err := Join(dir, "f", "a"); !errors.Is(err, ErrInitialized) {
		t.Errorf("joined after founding: %v", err)
	}
	f, err := OpenStorage(dir, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if f.Identity().Number != three[0].Number || f.Identity().Fleet != "f" {
		t.Errorf("%+v", f.Identity())
	}
	if _, err := OpenStorage(dir, store.Options{}); !errors.Is(err, store.ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
}

// After any works the folder holds what a plain model does, opened anew as well.
func TestFolderAgainstAModel(t *testing.T) {
	base := t.TempDir()
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		n++
		dir := filepath.Join(base, "log"+string(rune('a'+n%26))+string(rune('a'+n/26%26))+string(rune('a'+n/676%26)))
		if err := Bootstrap(dir, "f", "a", three); err != nil {
			t.Fatal(err)
		}
		f, err := OpenStorage(dir, store.Options{})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = f.Close() }()
		entries := map[uint64]uint64{} // index to term
		last, term, first := uint64(1), uint64(1), uint64(2)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			var w consensus.Ready
			w.MustSync = rapid.Bool().Draw(t, "sync")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1, 2: // entries, that may replace others
				term++
				from := uint64(max(int(first), int(last)+1-rapid.IntRange(0, 5).Draw(t, "back")))
				for i := range uint64(rapid.IntRange(1, 6).Draw(t, "entries")) {
					w.Entries = append(w.Entries, &raftpb.Entry{Index: new(from + i), Term: new(term)})
				}
				for i := from; i <= last; i++ {
					delete(entries, i)
				}
				for _, e := range w.Entries {
					entries[e.GetIndex()] = term
					last = e.GetIndex()
				}
			case 3: // a snapshot of its own
				if last > first {
					first = uint64(rapid.IntRange(int(first), int(last)).Draw(t, "first"))
					w.FirstIndex = first
					for i := range entries {
						if i < first {
							delete(entries, i)
						}
					}
				}
			case 4: // another's, that replaces all
				last += uint64(rapid.IntRange(0, 9).Draw(t, "ahead"))
				w.ReplaceLog, w.FirstIndex, w.MustSync = true, last+1, true
				first = last + 1
				entries = map[uint64]uint64{}
			}
			if err := f.Save(w); err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 3).Draw(t, "reopen") == 0 {
				if err := f.Close(); err != nil {
					t.Fatal(err)
				}
				if f, err = OpenStorage(dir, store.Options{}); err != nil {
					t.Fatal(err)
				}
			}
			saved, err := f.Load()
			if err != nil {
				t.Fatal(err)
			}
			if len(saved.Entries) != len(entries) {
				t.Fatalf("%d entries, %d wanted", len(saved.Entries), len(entries))
			}
			for _, e := range saved.Entries {
				if entries[e.GetIndex()] != e.GetTerm() {
					t.Fatalf("entry %d of term %d, wanted %d", e.GetIndex(), e.GetTerm(), entries[e.GetIndex()])
				}
			}
		}
	})
}
