// Package recorder keeps a gateway's record (package chronicle) in a store. The loop counts in mapped memory, which costs some
// nanoseconds and never waits; another goroutine writes entries. The next process writes down what the last one left.
package recorder

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mothcleat/chronicle"
	"mothcleat/internal/failpoint"
	"mothcleat/store"
)

const (
	writeEach = time.Second
	restEach  = 5 * time.Second // an entry though nothing was done: the record goes on

	// KeepMost is how many entries are kept, of all processes together: a day of the busiest. Older ones are folded into sums.
	KeepMost = 100_000
)

// Recorder records what one process does. Count and Change are for the loop's goroutine alone.
type Recorder struct {
	id    string
	boot  uint64
	log   *slog.Logger
	cells *cells
	now   *cell // the loop's

	mu     sync.Mutex
	store  *store.Store
	state  state
	failed bool
	most   int              // entries kept
	folds  []chronicle.Fold // go into the next entry,
	drop   store.Batch      // in one batch with the removal of what they stand for
	fewer  int
	head   atomic.Pointer[chronicle.Head]
}

// state is how far the record has come: kept in one batch with the entries.
type state struct {
	Boot    uint64           `json:"boot"`
	Seq     uint64           `json:"seq"`
	Hash    string           `json:"hash"`
	Cell    uint64           `json:"cell"`    // the one that is written from
	Written chronicle.Counts `json:"written"` // of it
	Ended   int64            `json:"ended"`   // of the last entry
	Over    bool             `json:"over"`
	Kept    int              `json:"kept"` // entries, of all processes
}

var keyState = []byte("state")

func entryKey(boot, seq uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64([]byte{'e'}, boot), seq)
}

func bootText(boot uint64) string { return strconv.FormatUint(boot, 16) }

// Open opens the record in a folder, makes it where there is none, and ends what the process before left open. Its errors
// wrap store.ErrLocked where another process records there.
func Open(dir, id string, boot uint64, log *slog.Logger) (_ *Recorder, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	r := &Recorder{id: id, boot: boot, log: log, most: KeepMost}
	if r.store, err = store.Open(filepath.Join(dir, "entries"), store.Options{}); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, r.store.Close())
		}
	}()
	var before uint64
	if r.cells, before, err = openCells(filepath.Join(dir, "cells")); err != nil {
		return nil, err
	}
	raw, err := r.store.Get(keyState)
	if err == nil {
		err = json.Unmarshal(raw, &r.state)
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil, errors.Join(err, r.cells.close())
	}
	if before != 0 && before == r.state.Boot && !r.state.Over {
		if err := r.write(r.state.Ended, true); err != nil {
			return nil, errors.Join(err, r.cells.close())
		}
	}
	r.state = state{Boot: boot, Hash: chronicle.Root(id, bootText(boot)), Cell: 1, Ended: time.Now().UnixMicro(), Kept: r.state.Kept}
	r.now = r.cells.begin(boot, map[string]uint64{})
	return r, r.put(nil)
}

// Sent counts an attempt that was sent on.
func (r *Recorder) Sent(first bool, units float64) {
	if !first {
		r.now.again.Add(1)
		return
	}
	r.now.units.Store(math.Float64bits(math.Float64frombits(r.now.units.Load()) + units)) // one goroutine writes
	r.now.sent.Add(1)
}

// Refused counts a request that was refused; turned: because this gateway was shut out.
func (r *Recorder) Refused(turned bool) {
	if turned {
		r.now.turned.Add(1)
	} else {
		r.now.refused.Add(1)
	}
}

// Change takes in what is in force from now on.
func (r *Recorder) Change(inForce map[string]uint64) { r.now = r.cells.next(inForce) }

// Run writes entries until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	tick := time.NewTicker(writeEach)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.mu.Lock()
		if err := r.write(time.Now().UnixMicro(), false); err != nil && !r.failed {
			r.failed = true
			r.log.Error("fleet: the record can't be written; what is done is counted on", "error", err)
		} else if err == nil {
			r.failed = false
		}
		r.mu.Unlock()
	}
}

// write adds what was counted since the last time, in an entry for each set of versions; last: the boot does nothing more. The lock is held,
// or nobody else is there yet.
func (r *Recorder) write(now int64, last bool) error {
	was := r.state
	var entries []chronicle.Entry
	newest := r.cells.begun.Load()
	if newest-r.state.Cell >= cellCount {
		r.log.Error("fleet: versions changed faster than they can be recorded: acts are missing from the record", "cells", newest-r.state.Cell)
		r.state.Cell, r.state.Written = newest-cellCount+1, chronicle.Counts{}
	}
	for {
		c := r.cells.at(r.state.Cell)
		counts := c.counts()
		did := counts.Minus(r.state.Written)
		ends := r.state.Cell < newest
		if did != (chronicle.Counts{}) || last && !ends || !ends && time.Duration(now-r.state.Ended)*time.Microsecond >= restEach {
			r.state.Seq++
			e := chronicle.Entry{ID: r.id, Boot: bootText(r.state.Boot), Seq: r.state.Seq, Begun: r.state.Ended, Ended: now, InForce: c.inForce(),
				Counts: did, Last: last && !ends, Prev: r.state.Hash}
			if len(entries) == 0 {
				e.Folds = r.folds
				r.state.Kept -= r.fewer
			}
			r.state.Kept++
			r.state.Hash, r.state.Ended, r.state.Written = e.Hash(), now, counts
			entries = append(entries, e)
		}
		if !ends {
			break
		}
		r.state.Cell++
		r.state.Written = chronicle.Counts{}
	}
	if len(entries) == 0 {
		return nil
	}
	r.state.Over = last
	if err := r.put(entries); err != nil {
		r.state = was
		return err
	}
	r.folds, r.fewer = nil, 0
	r.drop.Reset()
	if r.state.Kept > r.most {
		return r.fold()
	}
	return nil
}

// fold has the next entry stand for the older half of what is kept, too: for the entries of processes that ended first, and the first ones
// of this. They are removed with it, in one batch. The lock is held.
func (r *Recorder) fold() error {
	all, err := entries(r.store, 0)
	if err != nil {
		return err
	}
	byBoot := map[string][]chronicle.Entry{}
	for _, e := range all { // by boot, in their order
		byBoot[e.Boot] = append(byBoot[e.Boot], e)
	}
	own := bootText(r.state.Boot)
	boots := slices.SortedFunc(maps.Keys(byBoot), func(a, b string) int {
		last := func(boot string) int64 { l := byBoot[boot]; return l[len(l)-1].Ended }
		return cmp.Compare(last(a), last(b))
	})
	gone, want := 0, len(all)/2
	for _, boot := range boots {
		list := byBoot[boot]
		if left := want - gone; boot == own && len(list) > left {
			list = list[:max(0, left)]
		}
		if len(list) == 0 || gone >= want {
			break
		}
		r.folds = chronicle.Folded(list, r.folds)
		number, err := strconv.ParseUint(boot, 16, 64)
		if err != nil {
			return err
		}
		for _, e := range list {
			r.drop.Delete(entryKey(number, e.Seq))
		}
		gone += len(list)
	}
	r.fewer = gone
	return nil
}

// put keeps entries and the state, in one batch.
func (r *Recorder) put(entries []chronicle.Entry) error {
	b := r.drop
	for i := range entries {
		raw, err := json.Marshal(&entries[i])
		if err != nil {
			return err
		}
		b.Put(entryKey(r.state.Boot, entries[i].Seq), raw)
	}
	raw, err := json.Marshal(&r.state)
	if err != nil {
		return err
	}
	b.Put(keyState, raw)
	failpoint.At("record-before-write")
	if err := r.store.Commit(&b, store.Durable); err != nil {
		return err
	}
	if r.state.Seq > 0 {
		r.head.Store(&chronicle.Head{ID: r.id, Boot: bootText(r.state.Boot), Seq: r.state.Seq, Hash: r.state.Hash})
	}
	return nil
}

// Head is where the record of this process stands on disk; nil: it has no entry yet.
func (r *Recorder) Head() *chronicle.Head {
	if h := r.head.Load(); h != nil && h.Boot == bootText(r.boot) {
		return h
	}
	return nil
}

// Entries are those of this gateway that ended at a time or later, in microseconds since 1970, of all its processes.
func (r *Recorder) Entries(from int64) ([]chronicle.Entry, error) { return entries(r.store, from) }

// Close writes the last entry. Nothing may be counted any more.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.write(time.Now().UnixMicro(), true), r.store.Close(), r.cells.close())
}

// Read gives all entries of the record in a folder in which no process records now.
func Read(dir string) (all []chronicle.Entry, err error) {
	s, err := store.Open(filepath.Join(dir, "entries"), store.Options{ReadOnly: true})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	all, err = entries(s, 0)
	if err != nil {
		err = fmt.Errorf("recorder: %s: %w", dir, err)
	}
	return all, err
}

func entries(s *store.Store, from int64) (all []chronicle.Entry, err error) {
	v, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	defer v.Close()
	for item, err := range v.Range([]byte{'e'}, []byte{'f'}) {
		if err != nil {
			return all, err
		}
		var e chronicle.Entry
		if err := json.Unmarshal(item.Value, &e); err != nil {
			return all, fmt.Errorf("an entry that can't be read: %w", err)
		}
		if e.Ended >= from {
			all = append(all, e)
		}
	}
	return all, nil
}
