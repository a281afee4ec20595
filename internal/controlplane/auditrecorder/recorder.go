// Package auditrecorder writes the audit log of a gateway (package auditlog) to a store. The
// gateway's event loop counts operations in a memory-mapped file, which takes a few nanoseconds and
// never blocks. Another goroutine writes the entries. The next process writes what its predecessor
// had counted but not yet written.
package auditrecorder

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/storage/store"
)

const (
	writeInterval = time.Second
	// idleInterval is the interval between entries while nothing is counted. They keep the log free
	// of gaps.
	idleInterval = 5 * time.Second

	// MaxEntries is the number of entries that are kept, of all incarnations together. It suffices
	// for a busy day. Checkpoints replace older entries.
	MaxEntries = 100_000
)

// Recorder writes the audit log of one process. Sent, Rejected and Change may be called only from
// the event loop's goroutine; the other methods may be called from any goroutine.
type Recorder struct {
	id          string
	incarnation uint64
	log         *slog.Logger
	counters    *counterFile
	current     *counterCell // used by the event loop only
	head        atomic.Pointer[auditlog.Head]

	mu          sync.Mutex // guards the fields below
	store       *store.Store
	state       state
	writeFailed bool
	maxEntries  int

	// checkpoints are part of the next entry. One batch writes that entry and performs the
	// deletions of the entries that the checkpoints replace.
	checkpoints    []auditlog.Checkpoint
	deletions      store.Batch
	deletedEntries int
}

// state is the progress of the log. It is stored in one batch with the entries.
type state struct {
	Incarnation uint64          `json:"boot"`
	Seq         uint64          `json:"seq"`  // of the last entry
	Hash        string          `json:"hash"` // of the last entry
	Cell        uint64          `json:"cell"` // number of the next cell to write
	Written     auditlog.Counts `json:"written"`
	EndedAt     int64           `json:"ended"` // of the last entry, in microseconds since 1970
	Closed      bool            `json:"over"`  // the incarnation has ended
	Entries     int             `json:"kept"`  // of all incarnations
}

func incarnationText(incarnation uint64) string { return strconv.FormatUint(incarnation, 16) }

// Open opens the audit log in a folder, creates it if it does not exist, and ends the chain that
// the previous process left open. The error wraps store.ErrLocked if another process has the log
// open.
func Open(dir, id string, incarnation uint64, log *slog.Logger) (_ *Recorder, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	r := &Recorder{id: id, incarnation: incarnation, log: log, maxEntries: MaxEntries}
	r.store, err = store.Open(filepath.Join(dir, entriesName), store.Options{})
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, r.store.Close())
		}
	}()
	var previous uint64
	r.counters, previous, err = openCounterFile(filepath.Join(dir, countersName))
	if err != nil {
		return nil, err
	}
	if err := r.endPredecessor(previous); err != nil {
		return nil, errors.Join(err, r.counters.close())
	}
	r.state = state{
		Incarnation: incarnation,
		Hash:        auditlog.Root(id, incarnationText(incarnation)),
		Cell:        1,
		EndedAt:     time.Now().UnixMicro(),
		Entries:     r.state.Entries,
	}
	r.current = r.counters.begin(incarnation, map[string]uint64{})
	return r, r.put(nil)
}

// endPredecessor reads the state and writes what the previous incarnation counted but did not
// write.
func (r *Recorder) endPredecessor(previous uint64) error {
	raw, err := r.store.Get(stateKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, &r.state); err != nil {
		return err
	}
	if previous == 0 || previous != r.state.Incarnation || r.state.Closed {
		return nil
	}
	return r.write(r.state.EndedAt, true)
}

// Sent counts an attempt that was forwarded: the first attempt of a request with its units, or a
// retry.
func (r *Recorder) Sent(first bool, units float64) {
	if !first {
		r.current.retries.Add(1)
		return
	}
	r.current.addUnits(units)
	r.current.forwarded.Add(1)
}

// Rejected counts a request that was rejected because this gateway is fenced, or for another
// reason.
func (r *Recorder) Rejected(fenced bool) {
	if fenced {
		r.current.rejectedFenced.Add(1)
	} else {
		r.current.rejected.Add(1)
	}
}

// Change sets the versions that are in force from now on.
func (r *Recorder) Change(inForce map[string]uint64) { r.current = r.counters.next(inForce) }

// Run periodically writes entries until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.writeAndLog()
		}
	}
}

// writeAndLog writes entries. Of several consecutive errors it logs only the first.
func (r *Recorder) writeAndLog() {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.write(time.Now().UnixMicro(), false)
	if err != nil && !r.writeFailed {
		r.log.Error("fleet: failed to write the audit log; counting continues", "error", err)
	}
	r.writeFailed = err != nil
}

// write writes what was counted since the last call, with one entry for each set of versions. last
// says that the incarnation has ended. now is in microseconds since 1970. The caller holds r.mu, or
// no other goroutine has access to the Recorder yet.
func (r *Recorder) write(now int64, last bool) error {
	previous := r.state
	entries := r.newEntries(now, last)
	if len(entries) == 0 {
		return nil
	}
	r.state.Closed = last
	if err := r.put(entries); err != nil {
		r.state = previous
		return err
	}
	r.checkpoints = nil
	r.deletedEntries = 0
	r.deletions.Reset()
	if r.state.Entries > r.maxEntries {
		return r.compact()
	}
	return nil
}

// newEntries returns the entries to write, and advances the state past them.
func (r *Recorder) newEntries(now int64, last bool) (entries []auditlog.Entry) {
	lastCell := r.counters.lastCell.Load()
	if lastCell-r.state.Cell >= cellCount {
		r.log.Error("fleet: versions changed faster than the audit log was written; counts lost",
			"cells", lastCell-r.state.Cell)
		r.state.Cell = lastCell - cellCount + 1
		r.state.Written = auditlog.Counts{}
	}
	for {
		cell := r.counters.cell(r.state.Cell)
		counts := cell.counts()
		counted := counts.Minus(r.state.Written)
		open := r.state.Cell == lastCell // the event loop still counts in it
		idle := time.Duration(now-r.state.EndedAt) * time.Microsecond
		if counted != (auditlog.Counts{}) || open && (last || idle >= idleInterval) {
			e := r.newEntry(now, cell.inForce(), counted)
			e.Last = last && open
			if len(entries) == 0 {
				e.Checkpoints = r.checkpoints
				r.state.Entries -= r.deletedEntries
			}
			r.state.Hash = e.Hash()
			r.state.Written = counts
			entries = append(entries, e)
		}
		if open {
			return entries
		}
		r.state.Cell++
		r.state.Written = auditlog.Counts{}
	}
}

// newEntry returns the next entry and counts it in the state. The caller completes and hashes the
// entry.
func (r *Recorder) newEntry(now int64, inForce map[string]uint64,
	counted auditlog.Counts) auditlog.Entry {
	r.state.Seq++
	e := auditlog.Entry{
		ID:          r.id,
		Incarnation: incarnationText(r.state.Incarnation),
		Seq:         r.state.Seq,
		StartedAt:   r.state.EndedAt,
		EndedAt:     now,
		InForce:     inForce,
		Counts:      counted,
		Prev:        r.state.Hash,
	}
	r.state.EndedAt = now
	r.state.Entries++
	return e
}

// Head returns the head of this process's chain: its newest entry on the disk, nil if there is none
// yet.
func (r *Recorder) Head() *auditlog.Head {
	head := r.head.Load()
	if head == nil || head.Incarnation != incarnationText(r.incarnation) {
		return nil
	}
	return head
}

// Entries returns the entries of all incarnations of this gateway that ended at from or later, in
// microseconds since 1970.
func (r *Recorder) Entries(from int64) ([]auditlog.Entry, error) {
	return readEntries(r.store, from)
}

// Close writes the last entry and closes the store. Nothing may be counted afterwards.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.write(time.Now().UnixMicro(), true)
	return errors.Join(err, r.store.Close(), r.counters.close())
}
