package store_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"mothcleat/internal/crashfs"
	"mothcleat/store"
)

// small has every kind of file and of work happen within a few dozen batches.
var small = store.Options{SegmentBytes: 700, Overlay: 8, Step: 64}

func on(f store.FS) store.Options {
	o := small
	o.FS = f
	return o
}

type content = map[string]string

const counter = "#" // holds the number of the last batch

// writer commits random batches and remembers what the store held after each.
type writer struct {
	t      testing.TB
	r      *rand.Rand
	s      *store.Store
	states []content
}

func (w *writer) commit(d store.Durability) error {
	var b store.Batch
	now := maps.Clone(w.states[len(w.states)-1])
	for range 1 + w.r.IntN(4) {
		key := fmt.Sprintf("k%02d", w.r.IntN(24))
		if w.r.IntN(4) == 0 {
			b.Delete([]byte(key))
			delete(now, key)
			continue
		}
		value := string(bytes.Repeat([]byte{byte(w.r.Uint32())}, w.r.IntN(60)))
		b.Put([]byte(key), []byte(value))
		now[key] = value
	}
	n := fmt.Sprint(len(w.states))
	b.Put([]byte(counter), []byte(n))
	now[counter] = n
	err := w.s.Commit(&b, d)
	if err == nil {
		w.states = append(w.states, now)
	}
	return err
}

func contentOf(t testing.TB, s *store.Store) (content, error) {
	t.Helper()
	view, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	defer view.Close()
	got := content{}
	for item, err := range view.Range(nil, nil) {
		if err != nil {
			return nil, err
		}
		got[string(item.Key)] = string(item.Value)
		if one, err := view.Get(item.Key); err != nil || !bytes.Equal(one, item.Value) {
			t.Fatalf("%q: ranged %q, got %q, %v", item.Key, item.Value, one, err)
		}
	}
	return got, nil
}

// batches tells after how many batches the store held this, -1 if never.
func (w *writer) batches(got content) int {
	n := 0
	fmt.Sscan(got[counter], &n)
	if n < len(w.states) && maps.Equal(got, w.states[n]) {
		return n
	}
	return -1
}

// reopen opens what a crash left, twice, and tells what it holds.
func (w *writer) reopen(f *crashfs.FS, promised int, what string) {
	w.t.Helper()
	for range 2 {
		o := on(f)
		o.Verify = true
		s, err := store.Open("", o)
		if err != nil {
			w.t.Fatalf("%s: %v", what, err)
		}
		got, err := contentOf(w.t, s)
		if err != nil {
			w.t.Fatalf("%s: %v", what, err)
		}
		if n := w.batches(got); n < promised {
			w.t.Fatalf("%s: holds %v, as after batch %d (-1: never); %d were promised", what, got, n, promised)
		}
		if err := s.Close(); err != nil {
			w.t.Fatalf("%s: %v", what, err)
		}
	}
}

// After a crash at any operation, with any of what was not synced there, lost or in part, the
// store opens and holds what it held after some batch, not before the last promised one.
func TestCrashAtEveryOperation(t *testing.T) {
	for _, seed := range []uint64{1} {
		w := &writer{t: t, r: rand.New(rand.NewPCG(seed, 0)), states: []content{{}}}
		f := crashfs.New()
		f.Record()
		var err error
		if w.s, err = store.Open("", on(f)); err != nil {
			t.Fatal(err)
		}
		for i := range 24 {
			d := store.Durability(w.r.IntN(3) > 0)
			if err := w.commit(d); err != nil {
				t.Fatal(err)
			}
			if d {
				f.Mark(len(w.states) - 1)
			}
			if i == 18 {
				if err := w.s.Compact(context.Background()); err != nil {
					t.Fatal(err)
				}
			}
		}
		if st := w.s.Stats(); st.Moved == 0 || st.Merged == 0 || st.Segments < 2 {
			t.Fatalf("seed %d: the work that should be crashed did not happen: %+v", seed, st)
		}
		ops, promised, crashes := f.Ops(), 0, 0
		for n := range len(ops) + 1 {
			if n > 0 && ops[n-1].Kind == crashfs.Note {
				promised = ops[n-1].Note
			}
			pending := f.Pending(n)
			try := func(what string, fate func(i int) int) {
				crashes++
				w.reopen(f.After(n, fate), promised, fmt.Sprintf("seed %d, after operation %d, %s", seed, n, what))
			}
			try("all kept", func(int) int { return crashfs.Kept })
			if len(pending) == 0 {
				continue
			}
			try("all lost", func(int) int { return crashfs.Lost })
			last := pending[len(pending)-1]
			for cut := 1; cut < ops[last].Bytes(); cut += 1 + w.r.IntN(24) {
				try(fmt.Sprintf("the last torn at %d", cut), func(i int) int {
					if i == last {
						return cut
					}
					return crashfs.Kept
				})
			}
			for range 3 {
				try("some kept", func(i int) int {
					switch k := w.r.IntN(3); {
					case k == 0 && ops[i].Bytes() > 1:
						return 1 + w.r.IntN(ops[i].Bytes()-1)
					case k == 1:
						return crashfs.Lost
					}
					return crashfs.Kept
				})
			}
		}
		t.Logf("seed %d: %d operations, %d crashes", seed, len(ops), crashes)
	}
}

// Every file cut at every byte and with every byte changed: the store opens with all that was
// promised, or says which file is at fault.
func TestEveryCutAndEveryFlip(t *testing.T) {
	w := &writer{t: t, r: rand.New(rand.NewPCG(7, 0)), states: []content{{}}}
	f := crashfs.New()
	var err error
	if w.s, err = store.Open("", on(f)); err != nil {
		t.Fatal(err)
	}
	for range 40 {
		if err := w.commit(store.Durable); err != nil {
			t.Fatal(err)
		}
	}
	whole := f.Copy()
	opened, refused := 0, 0
	judge := func(name string, at int, data []byte, what string) {
		c := whole.Copy()
		c.Replace(name, data)
		for _, verify := range []bool{true, false} {
			o := on(c.Copy())
			o.Verify = verify
			got, err := content(nil), error(nil)
			s, err := store.Open("", o)
			if err == nil {
				got, err = contentOf(t, s)
				if got != nil && w.batches(got) != len(w.states)-1 {
					t.Fatalf("%s %s at %d: holds %v, not what was promised", name, what, at, got)
				}
				s.Close()
			}
			var damage *store.DamageError
			if err != nil && !errors.As(err, &damage) {
				t.Fatalf("%s %s at %d: refused without a place: %v", name, what, at, err)
			}
			if err == nil {
				opened++
			} else {
				refused++
			}
		}
	}
	for _, name := range whole.Names() {
		data := whole.Read(name)
		for at := range data {
			judge(name, at, data[:at], "cut")
			flipped := slices.Clone(data)
			flipped[at] ^= 1 << (at % 8)
			judge(name, at, flipped, "flipped")
		}
	}
	if opened == 0 || refused == 0 {
		t.Errorf("%d opened, %d refused: this shows nothing", opened, refused)
	}
	t.Logf("%d opened, %d refused", opened, refused)
}

// Random batches, reopenings, crashes and compactions against a plain map.
func TestAgainstAMap(t *testing.T) {
	for seed := range uint64(12) {
		w := &writer{t: t, r: rand.New(rand.NewPCG(seed, 1)), states: []content{{}}}
		f := crashfs.New()
		f.Record()
		open := func() {
			o := on(f)
			o.Verify = w.r.IntN(2) == 0
			s, err := store.Open("", o)
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			w.s = s
		}
		promised := 0
		var held []*store.Snapshot
		var holds []content
		for open(); len(w.states) < 120; {
			switch k := w.r.IntN(40); {
			case k == 0:
				if err := w.s.Close(); err != nil {
					t.Fatal(err)
				}
				promised = len(w.states) - 1
				open()
			case k == 1: // the power goes
				f = f.After(len(f.Ops()), func(int) int { return w.r.IntN(2) - 1 })
				f.Record()
				open()
				got, err := contentOf(t, w.s)
				n := w.batches(got)
				if err != nil || n < promised {
					t.Fatalf("seed %d: after a crash %v, as after batch %d of %d, %v", seed, got, n, promised, err)
				}
				w.states = w.states[:n+1]
				held, holds = nil, nil
			case k == 2:
				if err := w.s.Compact(context.Background()); err != nil {
					t.Fatal(err)
				}
			case k == 3:
				view, err := w.s.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				held, holds = append(held, view), append(holds, w.states[len(w.states)-1])
			default:
				d := store.Durability(w.r.IntN(2) == 0)
				if err := w.commit(d); err != nil {
					t.Fatal(err)
				}
				if d {
					promised = len(w.states) - 1
				}
			}
			if st := w.s.Stats(); st.Background != nil || st.Keys != uint64(len(w.states[len(w.states)-1])) {
				t.Fatalf("seed %d: %d keys, not %d; %v", seed, st.Keys, len(w.states[len(w.states)-1]), st.Background)
			}
		}
		if got, err := contentOf(t, w.s); err != nil || w.batches(got) != len(w.states)-1 {
			t.Errorf("seed %d: holds %v, %v", seed, got, err)
		}
		for i, view := range held {
			got := content{}
			for item, err := range view.Range(nil, nil) {
				if err != nil {
					t.Fatalf("seed %d: a snapshot: %v", seed, err)
				}
				got[string(item.Key)] = string(item.Value)
			}
			if !maps.Equal(got, holds[i]) {
				t.Errorf("seed %d: a snapshot changed", seed)
			}
			view.Close()
		}
		if err := w.s.Close(); err != nil {
			t.Error(err)
		}
	}
}
