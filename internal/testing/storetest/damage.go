package storetest

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"mothcleat/internal/storage/store"
	"mothcleat/internal/testing/faultfs"
)

// Tally counts how recoveries ended.
type Tally struct {
	Opened  int // opened with all promised batches
	Refused int // refused because of damage, with the file and the place
	// Invented counts contents that the store never had. LostPromised counts contents that are
	// older than promised. Unclear counts refusals that name no file, and those after a mere crash.
	Invented, LostPromised, Unclear int
	Why                             []string // the first failed recoveries
}

// Bad returns the number of failed recoveries.
func (t *Tally) Bad() int { return t.Invented + t.LostPromised + t.Unclear }

// Add adds another tally to this one.
func (t *Tally) Add(o *Tally) {
	t.Opened += o.Opened
	t.Refused += o.Refused
	t.Invented += o.Invented
	t.LostPromised += o.LostPromised
	t.Unclear += o.Unclear
	t.Why = append(t.Why, o.Why...)
}

// bad counts a failed recovery in n, and keeps the reasons of the first five.
func (t *Tally) bad(n *int, format string, args ...any) {
	*n++
	if len(t.Why) < 5 {
		t.Why = append(t.Why, fmt.Sprintf(format, args...))
	}
}

// judge opens the store that is left and counts the result. If refusal is set, the store may be
// refused because of damage. what describes the case.
func (t *Tally) judge(w *Workload, o store.Options, promised int, refusal bool, what string) {
	var got Content
	s, err := store.Open("", o)
	if err == nil {
		got, err = Read(s)
		err = errors.Join(err, s.Close())
	}
	if err != nil {
		var damage *store.DamageError
		if refusal && errors.As(err, &damage) && damage.File != "" {
			t.Refused++
			return
		}
		t.bad(&t.Unclear, "%s: %v", what, err)
		return
	}
	switch n := w.After(got); {
	case n < 0:
		t.bad(&t.Invented, "%s: the store never had this content: %v", what, got)
	case n < promised:
		t.bad(&t.LostPromised, "%s: content as after batch %d, but %d batches were promised",
			what, n, promised)
	default:
		t.Opened++
	}
}

// Crashes runs a workload of batches and crashes it after each of its operations. At each crash the
// operations that were not synced are kept, lost or torn, in regular ways and in a number of random
// ways.
func Crashes(ctx context.Context, seed uint64, batches, random int) (*Tally, error) {
	w, f, t := NewWorkload(seed), faultfs.New(), &Tally{}
	f.Record()
	var err error
	if w.Store, err = store.Open("", Small(f)); err != nil {
		return nil, err
	}
	for i := range batches {
		d := store.Durability(w.Rand.IntN(3) > 0)
		if err := w.Commit(d); err != nil {
			return nil, err
		}
		if d {
			f.Mark(w.Last())
		}
		if i%20 == 18 {
			if err := w.Store.Compact(ctx); err != nil {
				return nil, err
			}
		}
	}
	if st := w.Store.Stats(); st.CopiedBytes == 0 || st.MergedEntries == 0 || st.Segments < 2 {
		return nil, fmt.Errorf(
			"%d batches are too few for all kinds of work to occur: %+v",
			batches,
			st,
		)
	}
	ops, promised := f.Ops(), 0
	for n := 0; n <= len(ops) && ctx.Err() == nil; n++ {
		if n > 0 && ops[n-1].Kind == faultfs.Marker {
			promised = ops[n-1].Marker
		}
		try := func(what string, fate func(i int) int) {
			what = fmt.Sprintf("seed %d, after operation %d, %s", seed, n, what)
			left := f.After(n, fate)
			for range 2 { // the second round opens what the first recovery left
				o := Small(left)
				o.Verify = true
				t.judge(w, o, promised, false, what)
			}
		}
		try("all kept", func(int) int { return faultfs.Kept })
		pending := f.Pending(n)
		if len(pending) == 0 {
			continue
		}
		try("all lost", func(int) int { return faultfs.Lost })
		last := pending[len(pending)-1]
		for cut := 1; cut < ops[last].Bytes(); cut += 1 + w.Rand.IntN(24) {
			try(fmt.Sprintf("the last torn at %d", cut), func(i int) int {
				if i == last {
					return cut
				}
				return faultfs.Kept
			})
		}
		for range random {
			try("some kept", func(i int) int {
				switch k := w.Rand.IntN(3); {
				case k == 0 && ops[i].Bytes() > 1:
					return 1 + w.Rand.IntN(ops[i].Bytes()-1)
				case k == 1:
					return faultfs.Lost
				}
				return faultfs.Kept
			})
		}
	}
	return t, ctx.Err()
}

// Damage truncates every file of a store at every byte and changes every byte, one at a time. It
// opens each result twice: with all bytes verified at once, and with bytes read as they are needed.
func Damage(ctx context.Context, seed uint64, batches int) (*Tally, error) {
	w, f, t := NewWorkload(seed), faultfs.New(), &Tally{}
	var err error
	if w.Store, err = store.Open("", Small(f)); err != nil {
		return nil, err
	}
	// The newest segment must have a promised batch.
	for w.Last() < batches || w.Store.Stats().OverlayKeys < 5 {
		if err := w.Commit(store.Durable); err != nil {
			return nil, err
		}
	}
	if st := w.Store.Stats(); st.Runs == 0 || st.Segments < 2 {
		return nil, fmt.Errorf("%d batches are too few for a run and two segments: %+v",
			batches, st)
	}
	whole := f.Copy()
	judge := func(name string, data []byte, what string, at int) {
		for _, verify := range []bool{true, false} {
			c := whole.Copy()
			c.Replace(name, data)
			o := Small(c)
			o.Verify = verify
			t.judge(w, o, w.Last(), true, fmt.Sprintf("seed %d, %s %s at %d", seed, name, what, at))
		}
	}
	for _, name := range whole.Names() {
		data := whole.Read(name)
		for at := range data {
			if ctx.Err() != nil {
				return t, ctx.Err()
			}
			judge(name, data[:at], "cut", at)
			flipped := slices.Clone(data)
			flipped[at] ^= 1 << (at % 8)
			judge(name, flipped, "changed", at)
		}
	}
	return t, nil
}
