package snapshot

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/storage/store"
)

func sample(at policy.Time) policy.Snapshot {
	return policy.Snapshot{
		Version:    policy.SnapshotVersion,
		At:         at,
		Settings:   1 << 63,
		StateSince: 5,
		ClassLatencies: []policy.Estimate{
			{Value: 0.1, Samples: 3},
		},
		ClientTimeouts: [][]policy.Estimate{{{Value: 1e6, Samples: 1}}},
		Customers: []policy.CustomerState{
			{ID: 1<<33 - 1, Plan: 1, Spread: 2, BucketLevel: 1.25, CeilingLevel: -3},
		},
		Backends: []policy.BackendState{{Backend: 7, StartedAt: 99, Unhealthy: true}},
	}
}

func TestStoreAndLoad(t *testing.T) {
	f, err := Open(filepath.Join(t.TempDir(), "state"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Load(); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("loading without a stored snapshot: %v", err)
	}
	for i, durable := range []bool{false, true} {
		want := sample(policy.Time(100 + i))
		if err := f.Store(want, durable); err != nil {
			t.Fatal(err)
		}
		if got, err := f.Load(); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v", got, err)
		}
	}
	// An older snapshot, as from a second goroutine, is ignored, and so is one after the last.
	if err := f.Store(sample(50), false); err != nil {
		t.Fatal(err)
	}
	last := sample(200)
	last.Last = true
	if err := errors.Join(f.Store(last, true), f.Store(sample(300), false)); err != nil {
		t.Fatal(err)
	}
	if got, err := f.Load(); err != nil || got.At != 200 {
		t.Errorf("loaded the snapshot of time %d, %v", got.At, err)
	}
}

// A text that is truncated at any byte, or in which any byte was changed, is rejected or decodes to
// the same snapshot. Errors state the reason.
func TestEveryTruncationAndBitFlipIsRejected(t *testing.T) {
	raw, err := Encode(sample(7))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(raw); err != nil {
		t.Fatal(err)
	}
	for n := range raw {
		if s, err := Decode(raw[:n]); err == nil {
			t.Errorf("truncated after %d bytes: %+v", n, s)
		}
		for _, mask := range []byte{1, 0x20, 0x80} {
			bad := append([]byte(nil), raw...)
			bad[n] ^= mask
			if s, err := Decode(bad); err == nil && !reflect.DeepEqual(s, sample(7)) {
				t.Errorf("byte %d changed: %+v", n, s)
			}
		}
	}
	for reason, text := range map[string]string{
		"no state": "PK\x03\x04 something else\n",
		"format 2": strings.Replace(string(raw), magic+" 1", magic+" 2", 1),
		"too many": string(raw) + "x",
		"head":     magic + " 1 x\n",
	} {
		if _, err := Decode([]byte(text)); err == nil || !strings.Contains(err.Error(), reason) {
			t.Errorf("%s: %v", reason, err)
		}
	}
}

// A store that is truncated or changed at any byte is rejected, or yields the stored snapshot.
func TestEveryTruncationAndBitFlipOfTheStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	write := func(path string) {
		f, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		last := sample(2)
		last.Last = true
		if err := errors.Join(f.Store(sample(1), false), f.Store(last, true)); err != nil {
			t.Fatal(err)
		}
	}
	write(path)
	names, err := filepath.Glob(filepath.Join(path, "*"))
	if err != nil || len(names) < 3 {
		t.Fatal(names, err)
	}
	f, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	want, rejected := sample(2), 0
	want.Last = true
	for _, name := range names {
		raw, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for n := range raw {
			flipped := append([]byte(nil), raw...)
			flipped[n] ^= 0x20
			for _, bad := range [][]byte{raw[:n], flipped} {
				if err := os.WriteFile(name, bad, 0o600); err != nil {
					t.Fatal(err)
				}
				if s, err := f.Load(); err != nil {
					rejected++
				} else if !reflect.DeepEqual(s, want) {
					t.Fatalf("%s, byte %d: %+v", filepath.Base(name), n, s)
				}
			}
		}
		if err := os.WriteFile(name, raw, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if rejected == 0 {
		t.Error("no damaged store was rejected")
	}
}

// If a snapshot can't be stored, no snapshot is left: an old one would grant the same quota twice.
func TestFailedStoreLeavesNoState(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	f, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Store(sample(1), false); err != nil {
		t.Fatal(err)
	}
	g, err := Open(path) // another process, which finds the store locked
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.Load(); !errors.Is(err, store.ErrLocked) {
		t.Errorf("loading while another process has the store open: %v", err)
	}
	if err := g.Store(sample(2), false); !errors.Is(err, store.ErrLocked) {
		t.Errorf("storing while another process has the store open: %v", err)
	}
	if _, err := g.Load(); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("loading after a failed store: %v", err)
	}
	if err := g.Store(sample(3), false); err != nil {
		t.Error(err)
	}
	if _, err := Open(filepath.Join(t.TempDir(), "no", "state")); err == nil {
		t.Error("opened in a directory that does not exist")
	}
}

// A process loads the snapshot of the process before it, whether that shut down in order or not, and
// also the file of an earlier version.
func TestNextProcessContinues(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	raw, err := Encode(sample(1))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	for at := policy.Time(1); at < 6; at++ {
		f, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		if s, err := f.Load(); err != nil || s.At != at || len(s.Customers) != 1 {
			t.Fatalf("process %d: %+v, %v", at, s, err)
		}
		next := sample(at + 1)
		next.Last = at%2 == 0
		next.Customers[0].ID += uint64(at) // replaces the previous customer
		if err := f.Store(next, next.Last); err != nil {
			t.Fatal(err)
		}
		if !next.Last { // what the system does when a process ends
			if err := f.closeStore(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestConcurrentStoresLeaveTheNewest(t *testing.T) {
	f, err := Open(filepath.Join(t.TempDir(), "state"))
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for at := range policy.Time(20) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := f.Store(sample(at+1), at%2 == 0); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	if s, err := f.Load(); err != nil || s.At != 20 {
		t.Errorf("%d, %v", s.At, err)
	}
}

// BenchmarkSecond measures the cost of storing one snapshot, as happens each second, for 10,000
// customers of which one in a hundred has changed: as a file that is rewritten, and in the store.
func BenchmarkSecond(b *testing.B) {
	state := sample(1)
	state.Customers = make([]policy.CustomerState, 10_000)
	for i := range state.Customers {
		state.Customers[i] = policy.CustomerState{
			ID:           uint64(i),
			Spread:       2,
			BucketLevel:  float64(i) / 3,
			CeilingLevel: 1e3,
			LocalDemand:  1.5,
		}
	}
	next := func() policy.Snapshot {
		state.At++
		for i := range 100 {
			state.Customers[(int(state.At)*100+i)%10_000].BucketLevel++
		}
		return state
	}
	b.Run("file", func(b *testing.B) {
		path, bytes := filepath.Join(b.TempDir(), "state"), 0
		for b.Loop() {
			raw, err := Encode(next())
			if err == nil {
				err = errors.Join(
					os.WriteFile(path+".new", raw, 0o600),
					os.Rename(path+".new", path),
				)
			}
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(raw)
		}
		b.ReportMetric(float64(bytes)/float64(b.N), "written/op")
	})
	b.Run("store", func(b *testing.B) {
		f, err := Open(filepath.Join(b.TempDir(), "state"))
		if err != nil {
			b.Fatal(err)
		}
		if err := f.Store(next(), false); err != nil {
			b.Fatal(err)
		}
		before := f.store.Stats().WrittenBytes
		for b.Loop() {
			if err := f.Store(next(), false); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(f.store.Stats().WrittenBytes-before)/float64(b.N), "written/op")
	})
}

// If the path is a directory that contains other files, none of them is removed with the snapshot.
func TestOtherFilesAreKept(t *testing.T) {
	path := t.TempDir()
	other := filepath.Join(path, "operators.toml")
	if err := os.WriteFile(other, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	g, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Store(sample(1), false); err != nil {
		t.Fatal(err)
	}
	if err := g.Store(
		sample(2),
		false,
	); !errors.Is(
		err,
		store.ErrLocked,
	) { // this failure removes the snapshot
		t.Errorf("storing while another process has the store open: %v", err)
	}
	if _, err := os.Stat(other); err != nil {
		t.Error(err)
	}
	if names, err := filepath.Glob(filepath.Join(path, "*.log")); err != nil || len(names) > 0 {
		t.Errorf("files of the snapshot are left: %v, %v", names, err)
	}
}
