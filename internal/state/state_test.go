package state

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"

	"mothcleat/decide"
)

func sample(at decide.Time) decide.Snapshot {
	return decide.Snapshot{Version: decide.SnapshotVersion, At: at, Settings: 1 << 63, Born: 5,
		Base: []decide.Learnt{{Value: 0.1, Samples: 3}}, Grace: [][]decide.Learnt{{{Value: 1e6, Samples: 1}}},
		Customers: []decide.CustomerState{{ID: 1<<33 - 1, Plan: 1, Spread: 2, Level: 1.25, Ceiling: -3}},
		Backends:  []decide.BackendState{{Backend: 7, Started: 99, Down: true}}}
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
		want := sample(decide.Time(100 + i))
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

// A file that ends at any byte, or has any byte changed, is refused with a reason.
func TestEveryCutAndEveryFlipIsRefused(t *testing.T) {
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

// A process that ends amid writing leaves the state before, whole.
func TestHalfWrittenStateLeavesTheOldOne(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	f, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Store(sample(1), false); err != nil {
		t.Fatal(err)
	}
	raw, _ := Encode(sample(2))
	for n := range raw {
		if err := os.WriteFile(path+".new", raw[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if s, err := f.Load(); err != nil || s.At != 1 {
			t.Fatalf("after %d bytes of the next: %d, %v", n, s.At, err)
		}
	}
	if err := f.Store(sample(3), false); err != nil {
		t.Fatal(err)
	}
	if s, err := f.Load(); err != nil || s.At != 3 {
		t.Errorf("%d, %v", s.At, err)
	}
}

// What can't be written leaves nothing: an old state would grant twice.
func TestFailedStoreLeavesNoState(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	f, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Store(sample(1), false); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(path+".new", 0o700); err != nil { // nothing can be written there
		t.Fatal(err)
	}
	if err := f.Store(sample(2), false); err == nil {
		t.Error("no error")
	}
	if _, err := f.Load(); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("an old state is left: %v", err)
	}
	if _, err := Open(filepath.Join(t.TempDir(), "no", "state")); err == nil {
		t.Error("opened in a folder that is not there")
	}
}

func TestConcurrentStoresLeaveTheNewest(t *testing.T) {
	f, err := Open(filepath.Join(t.TempDir(), "state"))
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for at := range decide.Time(20) {
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
