// Package storetest tests the embedded store: random batches against a plain map, crashes after
// every operation, files that are truncated or changed at every byte, and a process that is killed
// while it writes.
package storetest

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"

	"mothcleat/internal/storage/store"
)

// Small returns options with which all kinds of files and of work occur within a few dozen batches.
func Small(f store.FS) store.Options {
	return store.Options{SegmentBytes: 700, MaxOverlayKeys: 8, CompactionStepBytes: 64, FS: f}
}

// Content is the whole content of a store.
type Content = map[string]string

const counter = "#" // the key of the number of the last batch

// Workload commits random batches and stores the content after each.
type Workload struct {
	Rand   *rand.Rand
	Store  *store.Store
	States []Content // contents after 0, 1, ... batches
	Keys   int       // maximum number of keys, without the counter
}

// NewWorkload returns a workload for an empty store, which the caller sets.
func NewWorkload(seed uint64) *Workload {
	return &Workload{Rand: rand.New(rand.NewPCG(seed, 0)), States: []Content{{}}, Keys: 24}
}

// Last returns the number of committed batches.
func (w *Workload) Last() int { return len(w.States) - 1 }

// Commit commits one more batch.
func (w *Workload) Commit(d store.Durability) error {
	var b store.Batch
	now := maps.Clone(w.States[w.Last()])
	for range 1 + w.Rand.IntN(4) {
		key := fmt.Sprintf("k%03d", w.Rand.IntN(w.Keys))
		if w.Rand.IntN(4) == 0 {
			b.Delete([]byte(key))
			delete(now, key)
			continue
		}
		value := string(bytes.Repeat([]byte{byte(w.Rand.Uint32())}, w.Rand.IntN(60)))
		b.Put([]byte(key), []byte(value))
		now[key] = value
	}
	now[counter] = fmt.Sprint(len(w.States))
	b.Put([]byte(counter), []byte(now[counter]))
	if err := w.Store.Commit(&b, d); err != nil {
		return err
	}
	w.States = append(w.States, now)
	return nil
}

// After returns after how many batches the store had this content, or -1 if it never had.
func (w *Workload) After(got Content) int {
	n := 0
	fmt.Sscan(got[counter], &n)
	if n < len(w.States) && maps.Equal(got, w.States[n]) {
		return n
	}
	return -1
}

// ContentOf reads a whole snapshot. It reads each key both by a range and by a look-up, and returns
// an error if they differ.
func ContentOf(view *store.Snapshot) (Content, error) {
	got := Content{}
	for item, err := range view.Range(nil, nil) {
		if err != nil {
			return nil, err
		}
		got[string(item.Key)] = string(item.Value)
		if one, err := view.Get(item.Key); err != nil || !bytes.Equal(one, item.Value) {
			return nil, fmt.Errorf(
				"%q: a range returns %q, but a look-up returns %q: %w",
				item.Key,
				item.Value,
				one,
				err,
			)
		}
	}
	return got, nil
}

// Read returns the current content of an open store.
func Read(s *store.Store) (Content, error) {
	view, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	defer view.Close()
	return ContentOf(view)
}
