// Package auditrecorder writes the audit log of a gateway (package auditlog) to a store. The gateway's loop counts
// operations in a memory-mapped file, which takes some nanoseconds and never blocks; another goroutine writes the
// entries. The next process writes what its predecessor had counted and not yet written.
package auditrecorder

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

	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/failpoint"
	"mothcleat/internal/storage/store"
)

const (
	writeInterval = time.Second
	idleInterval  = 5 * time.Second // between entries while nothing is done: the log goes on

	// MaxEntries is how many entries are kept, of all incarnations together: those of a busy day. Older entries are
	// folded into sums.
	MaxEntries = 100_000
)

// Recorder writes the audit log of one process. Sent, Refused and Change may be called from the loop's goroutine
// alone; the other methods may be called from any.
type Recorder struct {
	id          string
	incarnation uint64
	log         *slog.Logger
	counters    *counterFile
	current     *counterCell // the loop's

	mu             sync.Mutex
	store          *store.Store
	state          state
	writeFailed    bool
	maxEntries     int                   // entries kept
	checkpoints    []auditlog.Checkpoint // go into the next entry,
	deletions      store.Batch           // in one batch with the removal of what they stand for
	deletedEntries int
	head           atomic.Pointer[auditlog.Head]
}

// state is the progress of the log. It is stored in one batch with the entries.
type state struct {
	Incarnation uint64          `json:"boot"`
	Seq         uint64          `json:"seq"`
	Hash        string          `json:"hash"`
	Cell        uint64          `json:"cell"`    // the one that is written from
	Written     auditlog.Counts `json:"written"` // of it
	EndedAt     int64           `json:"ended"`   // of the last entry
	Closed      bool            `json:"over"`
	Entries     int             `json:"kept"` // entries, of all processes
}

var keyState = []byte("state")

func entryKey(boot, seq uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64([]byte{'e'}, boot), seq)
}

func incarnationText(boot uint64) string { return strconv.FormatUint(boot, 16) }

// Open opens the audit log in a folder, creates it where there is none, and ends the chain that the process before
// left open. Its errors wrap store.ErrLocked where another process writes there.
func Open(dir, id string, boot uint64, log *slog.Logger) (_ *Recorder, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	r := &Recorder{id: id, incarnation: boot, log: log, maxEntries: MaxEntries}
	if r.store, err = store.Open(filepath.Join(dir, "entries"), store.Options{}); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, r.store.Close())
		}
	}()
	var before uint64
	if r.counters, before, err = openCounterFile(filepath.Join(dir, "cells")); err != nil {
		return nil, err
	}
	raw, err := r.store.Get(keyState)
	if err == nil {
		err = json.Unmarshal(raw, &r.state)
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil, errors.Join(err, r.counters.close())
	}
	if before != 0 && before == r.state.Incarnation && !r.state.Closed {
		if err := r.write(r.state.EndedAt, true); err != nil {
			return nil, errors.Join(err, r.counters.close())
		}
	}
	r.state = state{Incarnation: boot, Hash: auditlog.Root(id, incarnationText(boot)), Cell: 1, EndedAt: time.Now().UnixMicro(), Entries: r.state.Entries}
	r.current = r.counters.begin(boot, map[string]uint64{})
	return r, r.put(nil)
}

// Sent counts an attempt that was sent on.
func (r *Recorder) Sent(first bool, units float64) {
	if !first {
		r.current.retries.Add(1)
		return
	}
	r.current.units.Store(math.Float64bits(math.Float64frombits(r.current.units.Load()) + units)) // one goroutine writes
	r.current.forwarded.Add(1)
}

// Rejected counts a request that was refused. With turned it was refused because this gateway is fenced.
func (r *Recorder) Rejected(turned bool) {
	if turned {
		r.current.rejectedFenced.Add(1)
	} else {
		r.current.rejected.Add(1)
	}
}

// Change sets the versions that are in force from now on.
func (r *Recorder) Change(inForce map[string]uint64) { r.current = r.counters.next(inForce) }

// Run writes entries until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	tick := time.NewTicker(writeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.mu.Lock()
		if err := r.write(time.Now().UnixMicro(), false); err != nil && !r.writeFailed {
			r.writeFailed = true
			r.log.Error("fleet: the record can't be written; what is done is counted on", "error", err)
		} else if err == nil {
			r.writeFailed = false
		}
		r.mu.Unlock()
	}
}

// write adds what was counted since the last call, in an entry for each set of versions. With last the incarnation
// does nothing more. The caller holds r.mu, or no other goroutine has the Recorder yet.
func (r *Recorder) write(now int64, last bool) error {
	was := r.state
	var entries []auditlog.Entry
	newest := r.counters.lastCell.Load()
	if newest-r.state.Cell >= cellCount {
		r.log.Error("fleet: versions changed faster than they can be recorded: acts are missing from the record", "cells", newest-r.state.Cell)
		r.state.Cell, r.state.Written = newest-cellCount+1, auditlog.Counts{}
	}
	for {
		c := r.counters.cell(r.state.Cell)
		counts := c.counts()
		did := counts.Minus(r.state.Written)
		ends := r.state.Cell < newest
		if did != (auditlog.Counts{}) || last && !ends || !ends && time.Duration(now-r.state.EndedAt)*time.Microsecond >= idleInterval {
			r.state.Seq++
			e := auditlog.Entry{ID: r.id, Incarnation: incarnationText(r.state.Incarnation), Seq: r.state.Seq, StartedAt: r.state.EndedAt, EndedAt: now, InForce: c.inForce(),
				Counts: did, Last: last && !ends, Prev: r.state.Hash}
			if len(entries) == 0 {
				e.Checkpoints = r.checkpoints
				r.state.Entries -= r.deletedEntries
			}
			r.state.Entries++
			r.state.Hash, r.state.EndedAt, r.state.Written = e.Hash(), now, counts
			entries = append(entries, e)
		}
		if !ends {
			break
		}
		r.state.Cell++
		r.state.Written = auditlog.Counts{}
	}
	if len(entries) == 0 {
		return nil
	}
	r.state.Closed = last
	if err := r.put(entries); err != nil {
		r.state = was
		return err
	}
	r.checkpoints, r.deletedEntries = nil, 0
	r.deletions.Reset()
	if r.state.Entries > r.maxEntries {
		return r.compact()
	}
	return nil
}

// compact prepares the next entry to hold a summary of the older half of the entries: those of the incarnations that
// ended first, and the first ones of this incarnation. They are removed in the batch that writes that entry. The caller
// holds r.mu.
func (r *Recorder) compact() error {
	all, err := entries(r.store, 0)
	if err != nil {
		return err
	}
	byBoot := map[string][]auditlog.Entry{}
	for _, e := range all { // by boot, in their order
		byBoot[e.Incarnation] = append(byBoot[e.Incarnation], e)
	}
	own := incarnationText(r.state.Incarnation)
	boots := slices.SortedFunc(maps.Keys(byBoot), func(a, b string) int {
		last := func(boot string) int64 { l := byBoot[boot]; return l[len(l)-1].EndedAt }
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
		r.checkpoints = auditlog.Compact(list, r.checkpoints)
		number, err := strconv.ParseUint(boot, 16, 64)
		if err != nil {
			return err
		}
		for _, e := range list {
			r.deletions.Delete(entryKey(number, e.Seq))
		}
		gone += len(list)
	}
	r.deletedEntries = gone
	return nil
}

// put stores entries and the state in one batch.
func (r *Recorder) put(entries []auditlog.Entry) error {
	b := r.deletions
	for i := range entries {
		raw, err := json.Marshal(&entries[i])
		if err != nil {
			return err
		}
		b.Put(entryKey(r.state.Incarnation, entries[i].Seq), raw)
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
		r.head.Store(&auditlog.Head{ID: r.id, Incarnation: incarnationText(r.state.Incarnation), Seq: r.state.Seq, Hash: r.state.Hash})
	}
	return nil
}

// Head returns the newest entry on disk of this process, or nil where it has none yet.
func (r *Recorder) Head() *auditlog.Head {
	if h := r.head.Load(); h != nil && h.Incarnation == incarnationText(r.incarnation) {
		return h
	}
	return nil
}

// Entries returns the entries of all incarnations of this gateway that ended at from or later, in microseconds since
// 1970.
func (r *Recorder) Entries(from int64) ([]auditlog.Entry, error) { return entries(r.store, from) }

// Close writes the last entry and closes the store. Nothing may be counted after it.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.write(time.Now().UnixMicro(), true), r.store.Close(), r.counters.close())
}

// Read returns all entries of the audit log in a folder to which no process writes now.
func Read(dir string) (all []auditlog.Entry, err error) {
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

func entries(s *store.Store, from int64) (all []auditlog.Entry, err error) {
	v, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	defer v.Close()
	for item, err := range v.Range([]byte{'e'}, []byte{'f'}) {
		if err != nil {
			return all, err
		}
		var e auditlog.Entry
		if err := json.Unmarshal(item.Value, &e); err != nil {
			return all, fmt.Errorf("an entry that can't be read: %w", err)
		}
		if e.EndedAt >= from {
			all = append(all, e)
		}
	}
	return all, nil
}
