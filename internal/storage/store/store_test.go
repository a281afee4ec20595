package store_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"mothcleat/internal/storage/store"
	"mothcleat/internal/testing/faultfs"
	"mothcleat/internal/testing/storetest"
)

func open(t testing.TB, dir string, o store.Options) *store.Store {
	t.Helper()
	s, err := store.Open(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func put(key, value string) *store.Batch {
	var b store.Batch
	b.Put([]byte(key), []byte(value))
	return &b
}

func checkValue(t testing.TB, s *store.Store, key, value string) {
	t.Helper()
	if got, err := s.Get([]byte(key)); err != nil || string(got) != value {
		t.Errorf("Get(%q): got %.40q, error %v; want %.40q", key, got, err, value)
	}
}

// TestAgainstAMap runs random batches, reopenings, power failures, compactions and snapshots, and
// compares the content with a map.
func TestAgainstAMap(t *testing.T) {
	for seed := range uint64(16) {
		w, f, durable := storetest.NewWorkload(seed), faultfs.New(), 0
		if seed%2 == 0 {
			w.Keys = 150 // enough for merges that do not include the oldest run
		}
		f.Record()
		reopen := func() {
			o := storetest.Small(f)
			o.Verify = w.Rand.IntN(2) == 0
			w.Store = open(t, "", o)
		}
		snapshots := map[*store.Snapshot]storetest.Content{}
		for reopen(); w.Last() < 200; {
			switch k := w.Rand.IntN(40); {
			case k == 0:
				if err := w.Store.Close(); err != nil {
					t.Fatal(err)
				}
				durable = w.Last()
				reopen()
			case k == 1: // power failure
				f = f.After(len(f.Ops()), func(int) int { return w.Rand.IntN(2) - 1 })
				f.Record()
				reopen()
				got, err := storetest.Read(w.Store)
				n := w.After(got)
				if err != nil || n < durable {
					t.Fatalf("seed %d: after a crash: content %v, state of batch %d, want at least batch %d; error %v",
						seed, got, n, durable, err)
				}
				w.States, snapshots = w.States[:n+1], map[*store.Snapshot]storetest.Content{}
			case k == 2:
				if err := w.Store.Compact(context.Background()); err != nil {
					t.Fatal(err)
				}
			case k == 3:
				view, err := w.Store.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				snapshots[view] = w.States[w.Last()]
			default:
				d := store.Durability(w.Rand.IntN(2) == 0)
				if err := w.Commit(d); err != nil {
					t.Fatal(err)
				}
				if d {
					durable = w.Last()
				}
			}
			if st := w.Store.Stats(); st.BackgroundError != nil ||
				st.Keys != uint64(len(w.States[w.Last()])) {
				t.Fatalf("seed %d: got %d keys, want %d; background error %v",
					seed, st.Keys, len(w.States[w.Last()]), st.BackgroundError)
			}
		}
		if got, err := storetest.Read(w.Store); err != nil || w.After(got) != w.Last() {
			t.Errorf("seed %d: wrong content %v, error %v", seed, got, err)
		}
		for view, want := range snapshots {
			if got, err := storetest.ContentOf(view); err != nil || !maps.Equal(got, want) {
				t.Errorf("seed %d: the content of a snapshot changed; error %v", seed, err)
			}
			view.Close()
		}
	}
}

func TestRangeIsOrderedAndBounded(t *testing.T) {
	s := open(t, "", storetest.Small(faultfs.New()))
	for i := range 40 { // enough keys to be spread over the overlay and runs
		if err := s.Commit(put(fmt.Sprintf("%02d", i*7%40), "v"), store.Buffered); err != nil {
			t.Fatal(err)
		}
	}
	view, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	defer view.Close()
	var got []string
	for key, err := range view.Keys([]byte("05"), []byte("12")) {
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, string(key))
	}
	if want := []string{"05", "06", "07", "08", "09", "10", "11"}; !slices.Equal(got, want) {
		t.Errorf("Keys(05, 12): got %v, want %v", got, want)
	}
	for range view.Range(nil, nil) {
		break // checks that the iteration may end early
	}
	if _, err := s.Get([]byte("nowhere")); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("Get of an absent key: error %v, want ErrNotFound", err)
	}
}

// TestGroupCommitTornAnywhere tears a write that several batches share at every byte. Recovery must
// find a prefix of these batches: none without the ones before it, and no part of one.
func TestGroupCommitTornAnywhere(t *testing.T) {
	f := faultfs.New()
	s := open(t, "", store.Options{FS: f})
	f.Record()
	release, entered := make(chan struct{}), make(chan struct{})
	var once sync.Once
	f.Fail = func(op *faultfs.Op) (int, error) {
		if op.Kind == faultfs.SyncFile {
			once.Do(func() { close(entered); f.Fail = nil; <-release })
		}
		return 0, nil
	}
	var all sync.WaitGroup
	commit := func(key string) {
		all.Go(func() {
			if err := s.Commit(put(key, strings.Repeat(key, 20)), store.Durable); err != nil {
				t.Error(err)
			}
		})
	}
	commit("first")
	<-entered // the first commit is being synced; the next ones queue up and form a group
	for _, key := range []string{"a", "b", "c"} {
		commit(key)
	}
	for store.QueuedCommits(s) < 3 {
		runtime.Gosched()
	}
	close(release)
	all.Wait()
	ops := f.Ops()
	group := -1
	for i, op := range ops {
		if op.Kind == faultfs.Write && op.Bytes() > 3*20 && strings.HasSuffix(op.Name, ".log") {
			group = i
		}
	}
	for cut := 1; cut < ops[group].Bytes(); cut++ {
		crashed := f.After(group+1, func(i int) int {
			if i == group {
				return cut
			}
			return faultfs.Kept
		})
		s := open(t, "", store.Options{FS: crashed, Verify: true})
		got, err := storetest.Read(s)
		if err != nil || got["first"] == "" || int(s.Stats().Seq) != len(got) {
			t.Fatalf("torn at %d: content %v, error %v", cut, got, err)
		}
		for key, v := range got {
			if v != strings.Repeat(key, 20) {
				t.Fatalf("torn at %d: wrong value in %v", cut, got)
			}
		}
	}
}

func TestExtremes(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, store.Options{SegmentBytes: 1 << 20})
	long := strings.Repeat("0123456789abcdef", 1<<20) // 16 MiB: larger than a segment
	var b store.Batch
	b.Put(nil, []byte("under no key"))
	b.Put([]byte("long"), []byte(long))
	b.Put([]byte("empty"), nil)
	if err := s.Commit(&b, store.Durable); err != nil {
		t.Fatal(err)
	}
	for i := range 40 {
		if err := s.Commit(put("short", fmt.Sprint(i)), store.Durable); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open(t, dir, store.Options{Verify: true})
	checkValue(t, s, "", "under no key")
	checkValue(t, s, "long", long)
	checkValue(t, s, "empty", "")
	checkValue(t, s, "short", "39")
	for _, tooLarge := range []*store.Batch{put(strings.Repeat("k", store.MaxKey+1), "")} {
		if err := s.Commit(tooLarge, store.Durable); err == nil {
			t.Error("a key that is too long was accepted")
		}
	}
	checkValue(t, s, "short", "39")
}

func TestOneWriterAtATime(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, store.Options{})
	for _, o := range []store.Options{{}, {ReadOnly: true}} {
		if _, err := store.Open(dir, o); !errors.Is(err, store.ErrLocked) {
			t.Errorf("Open with %+v: error %v, want ErrLocked", o, err)
		}
	}
	if err := errors.Join(s.Commit(put("k", "v"), store.Buffered), s.Close()); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		r := open(t, dir, store.Options{ReadOnly: true})
		checkValue(t, r, "k", "v")
		if err := r.Commit(put("k", "w"), store.Durable); !errors.Is(err, store.ErrReadOnly) {
			t.Errorf("Commit to a read-only store: error %v, want ErrReadOnly", err)
		}
	}
	if err := s.Commit(put("k", "w"), store.Buffered); !errors.Is(err, store.ErrClosed) {
		t.Errorf("Commit after Close: error %v, want ErrClosed", err)
	}
}

func TestForeignAndNewerDirectoriesAreKept(t *testing.T) {
	f := faultfs.New()
	if err := open(t, "", store.Options{FS: f}).Commit(put("k", "v"), store.Durable); err != nil {
		t.Fatal(err)
	}
	original := f.Copy()
	for reason, change := range map[string]func(c *faultfs.FS){
		"format 2": func(c *faultfs.FS) {
			c.Replace("MANIFEST", store.WithFormatVersion(c.Read("MANIFEST"), 2))
		},
		"kind": func(c *faultfs.FS) {
			c.Replace("MANIFEST", []byte(strings.Repeat("another program's", 9)))
		},
		"missing":           func(c *faultfs.FS) { c.Remove("MANIFEST") },
		"manifest names it": func(c *faultfs.FS) { c.Remove("0000000000000001.log") },
	} {
		c := original.Copy()
		change(c)
		before := c.Names()
		if _, err := store.Open("",
			store.Options{FS: c}); err == nil || !strings.Contains(err.Error(), reason) {
			t.Errorf("Open: error %v, want one with %q", err, reason)
		}
		if !slices.Equal(before, c.Names()) {
			t.Errorf("%s: Open changed the directory: %v", reason, c.Names())
		}
	}
}

// TestDiskFullShortWritesAndFailedSyncs checks that a failed write changes nothing, that a failed
// compaction step does not fail commits, and that a failed sync makes the store read-only.
func TestDiskFullShortWritesAndFailedSyncs(t *testing.T) {
	f := faultfs.New()
	s := open(t, "", storetest.Small(f))
	if err := s.Commit(put("k", "before"), store.Durable); err != nil {
		t.Fatal(err)
	}
	for _, written := range []int{0, 1, 30, 1000} {
		f.Fail = func(op *faultfs.Op) (int, error) {
			if op.Kind == faultfs.Write {
				return written, syscall.ENOSPC
			}
			return 0, nil
		}
		if err := s.Commit(put("k", "lost"), store.Durable); !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("Commit with a full disk: error %v, want ENOSPC", err)
		}
		checkValue(t, s, "k", "before")
		f.Fail = nil
		got, err := storetest.Read(open(t, "", storetest.Small(f.Copy())))
		if err != nil || got["k"] != "before" {
			t.Errorf("reopened after a short write of %d bytes: content %v, error %v", written, got, err)
		}
	}
	// With free space commits succeed again. They also succeed while compaction fails, and Stats
	// reports the error of the compaction.
	f.Fail = func(op *faultfs.Op) (int, error) {
		if op.Kind == faultfs.Create {
			return 0, syscall.EMFILE
		}
		return 0, nil
	}
	for i := range 20 {
		if err := s.Commit(put(fmt.Sprint("n", i), strings.Repeat("x", 60)),
			store.Durable); err != nil {
			t.Fatal(err)
		}
	}
	if st := s.Stats(); !errors.Is(st.BackgroundError, syscall.EMFILE) {
		t.Errorf("Stats: background error %v, want EMFILE", st.BackgroundError)
	}
	f.Fail = nil
	if err := s.Compact(t.Context()); err != nil {
		t.Error(err)
	}
	f.Fail = func(op *faultfs.Op) (int, error) {
		if op.Kind == faultfs.SyncFile {
			return 0, syscall.EIO
		}
		return 0, nil
	}
	if err := s.Commit(put("k", "unsure"),
		store.Durable); !errors.Is(err, store.ErrReadOnly) || !errors.Is(err, syscall.EIO) {
		t.Errorf("Commit with a failing sync: error %v, want ErrReadOnly and EIO", err)
	}
	f.Fail = nil
	if err := s.Commit(put("k", "after"), store.Buffered); !errors.Is(err, store.ErrReadOnly) {
		t.Errorf("Commit after a failed sync: error %v, want ErrReadOnly", err)
	}
	checkValue(t, s, "k", "before")
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

func TestReadOnlyDirectory(t *testing.T) {
	if os.Getuid() == 0 {
		t.Log("permissions do not apply to root: only missing directories are tested")
	} else {
		dir := t.TempDir()
		if err := os.Chmod(dir, 0o500); err != nil {
			t.Fatal(err)
		}
		if _, err := store.Open(dir, store.Options{}); !errors.Is(err, fs.ErrPermission) {
			t.Errorf("Open of a read-only directory: error %v, want ErrPermission", err)
		}
	}
	if _, err := store.Open(filepath.Join(t.TempDir(), "no", "where"),
		store.Options{}); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("Open without a parent directory: error %v, want ErrNotExist", err)
	}
	if _, err := store.Open(t.TempDir(),
		store.Options{ReadOnly: true}); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("Open of an empty directory as read-only: error %v, want ErrNotExist", err)
	}
}

// TestSpaceAndRunsStayBounded overwrites the same keys many times and checks that the log and the
// index stay within the bounds of the package comment.
func TestSpaceAndRunsStayBounded(t *testing.T) {
	f := faultfs.New()
	o := store.Options{
		FS:                  f,
		SegmentBytes:        16 << 10,
		MaxOverlayKeys:      128,
		CompactionStepBytes: 4 << 10,
	}
	s := open(t, "", o)
	for i := range 20_000 {
		var b store.Batch
		key := []byte(fmt.Sprintf("key%03d", i*7919%500))
		if b.Put(key, bytes.Repeat([]byte{byte(i)}, i%97)); i%11 == 0 {
			b.Delete(key)
		}
		if err := s.Commit(&b, store.Buffered); err != nil {
			t.Fatal(err)
		}
		if i%500 != 499 {
			continue
		}
		st := s.Stats()
		if st.BackgroundError != nil {
			t.Fatal(st.BackgroundError)
		}
		if limit := 2*(st.LiveBytes+24*int64(st.Keys)) + 3*o.SegmentBytes; st.LogBytes > limit {
			t.Fatalf("after batch %d: log of %d bytes for %d live bytes", i, st.LogBytes, st.LiveBytes)
		}
		if limit := 4*int(st.Keys) + 2*o.MaxOverlayKeys; st.Entries > limit || st.Runs > 8 {
			t.Fatalf("after batch %d: %d entries in %d runs for %d keys", i, st.Entries, st.Runs, st.Keys)
		}
	}
	if err := s.Compact(t.Context()); err != nil {
		t.Fatal(err)
	}
	if st := s.Stats(); st.LogBytes > st.LiveBytes*5/4+o.SegmentBytes {
		t.Errorf("after Compact: log of %d bytes for %d live bytes", st.LogBytes, st.LiveBytes)
	}
}

func TestRepair(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	o := store.Options{SegmentBytes: 8 << 10, MaxOverlayKeys: 64}
	s, err := store.Open(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	expected := storetest.Content{}
	for i := range 600 {
		key, value := fmt.Sprintf("key%03d", i*31%400), fmt.Sprint("value", i)
		if err := s.Commit(put(key, value), store.Buffered); err != nil {
			t.Fatal(err)
		}
		expected[key] = value
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	for _, kind := range []string{"*.log", "*.idx"} {
		names, err := filepath.Glob(filepath.Join(dir, kind))
		if err != nil || len(names) == 0 {
			t.Fatal(names, err)
		}
		raw, err := os.ReadFile(names[0])
		if err != nil {
			t.Fatal(err)
		}
		raw[len(raw)/3] ^= 4
		if err := os.WriteFile(names[0], raw, 0o600); err != nil {
			t.Fatal(err)
		}
		var damage *store.DamageError
		if _, err := store.Check(dir, o); !errors.As(err, &damage) ||
			damage.File != filepath.Base(names[0]) {
			t.Errorf("Check: error %v, want a DamageError for %s", err, names[0])
		}
		rep, err := store.Repair(dir, false)
		if err != nil {
			t.Fatal(err)
		}
		if len(rep.Lost) == 0 || rep.RecoveredKeys == 0 {
			t.Errorf("Repair: %+v, want recovered keys and reported losses", rep)
		}
		if kept, err := os.ReadFile(filepath.Join(rep.DamagedDir,
			filepath.Base(names[0]))); err != nil || !bytes.Equal(kept, raw) {
			t.Errorf("the damaged file was not kept unchanged: %v", err)
		}
		s := open(t, dir, store.Options{SegmentBytes: 8 << 10, MaxOverlayKeys: 64, Verify: true})
		got, err := storetest.Read(s)
		if err != nil || len(got) != rep.RecoveredKeys {
			t.Errorf("%d keys in the repaired store, %d reported; error %v", len(got), rep.RecoveredKeys, err)
		}
		for key, value := range got {
			if expected[key] != value {
				t.Errorf("%s: recovered %q, want the newest value %q", key, value, expected[key])
			}
		}
		expected = got
		if err := s.Compact(t.Context()); err != nil { // writes an index run for the next round
			t.Fatal(err)
		}
		s.Close()
	}
	if err := os.Remove(filepath.Join(dir, "MANIFEST")); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Repair(dir, false); err == nil {
		t.Error("Repair without fromLogs succeeded without a manifest")
	}
	if rep, err := store.Repair(dir, true); err != nil || rep.RecoveredKeys != len(expected) {
		t.Errorf("Repair from the logs: %+v, error %v; want %d keys", rep, err, len(expected))
	}
}

func TestFilterFalsePositiveRate(t *testing.T) {
	if rate := store.FalsePositiveRate(20_000); rate > 0.02 {
		t.Errorf("false positive rate %.4f, want at most 0.02", rate)
	}
}

// TestRecoveredDataIsSynced checks that recovery syncs the replayed batches. A process is killed
// after a buffered commit, the next one opens the store and syncs it, and then the power fails.
func TestRecoveredDataIsSynced(t *testing.T) {
	f := faultfs.New()
	first := open(t, "", store.Options{FS: f})
	f.Record()
	if err := first.Commit(put("k", "v"), store.Buffered); err != nil {
		t.Fatal(err)
	}
	f.Kill()
	if err := open(t, "", store.Options{FS: f}).Sync(); err != nil {
		t.Fatal(err)
	}
	crashed := f.After(len(f.Ops()), func(int) int { return faultfs.Lost })
	checkValue(t, open(t, "", store.Options{FS: crashed}), "k", "v")
}

// TestSyncIsDurable checks that Sync writes the sync mark as a durable commit does: a damaged batch
// that Sync had made durable is reported, not mistaken for a torn tail.
func TestSyncIsDurable(t *testing.T) {
	f := faultfs.New()
	s := open(t, "", store.Options{FS: f})
	if err := errors.Join(s.Commit(put("k", "v"), store.Buffered), s.Sync()); err != nil {
		t.Fatal(err)
	}
	c, name := f.Copy(), "0000000000000001.log"
	c.Replace(name, c.Read(name)[:len(c.Read(name))-1])
	var damage *store.DamageError
	if _, err := store.Open("",
		store.Options{FS: c}); !errors.As(err, &damage) || damage.File != name {
		t.Errorf("Open with a truncated batch that was synced: error %v, want a DamageError for the log", err)
	}
}
