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
		t.Errorf("no state: %v", err)
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
	// Written by two goroutines, the newer one counts; nothing follows the last.
	if err := f.Store(sample(50), false); err != nil {
		t.Fatal(err)
	}
	last := sample(200)
	last.Last = true
	if err := errors.Join(f.Store(last, true), f.Store(sample(300), false)); err != nil {
		t.Fatal(err)
	}
	if got, err := f.Load(); err != nil || got.At != 200 {
		t.Errorf("holds the state of %d, %v", got.At, err)
	}
}

// A file that ends at any byte, or has any byte changed, is rejected with a reason.
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
			t.Errorf("cut after %d bytes: %+v", n, s)
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

// A store that is truncated or changed anywhere is rejected with a reason, or holds a snapshot that
// was stored.
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
	want, refused := sample(2), 0
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
					refused++
				} else if !reflect.DeepEqual(s, want) {
					t.Fatalf("%s, byte %d: %+v", filepath.Base(name), n, s)
				}
			}
		}
		if err := os.WriteFile(name, raw, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
}

// A snapshot that can't be stored leaves none: an old one would grant twice.
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
		t.Errorf("a state that another process still writes: %v", err)
	}
	if err := g.Store(sample(2), false); !errors.Is(err, store.ErrLocked) {
		t.Errorf("stored beside another process: %v", err)
	}
	if _, err := g.Load(); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("an old state is left: %v", err)
	}
	if err := g.Store(sample(3), false); err != nil {
		t.Error(err)
	}
	if _, err := Open(filepath.Join(t.TempDir(), "no", "state")); err == nil {
		t.Error("opened in a folder that is not there")
	}
}

// The next process continues where the one before ended, orderly or not, and where an earlier
// version did.
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
			t.Fatalf("life %d: %+v, %v", at, s, err)
		}
		next := sample(at + 1)
		next.Last = at%2 == 0
		next.Customers[0].ID += uint64(at) // the customer before is gone
		if err := f.Store(next, next.Last); err != nil {
			t.Fatal(err)
		}
		if !next.Last { // as the end of the process does
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

// BenchmarkSecond measures what a second costs: 10,000 customers of which one in a hundred changed,
// as one file written anew, and in the store.
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

// A path that names a directory with other files costs none of them, whatever becomes of the
// snapshot.
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
	) { // which removes the state
		t.Errorf("stored beside another process: %v", err)
	}
	if _, err := os.Stat(other); err != nil {
		t.Error(err)
	}
	if names, err := filepath.Glob(filepath.Join(path, "*.log")); err != nil || len(names) > 0 {
		t.Errorf("the state is left: %v, %v", names, err)
	}
}
