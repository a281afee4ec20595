// Package auditrecorder writes the audit log of a gateway (package auditlog) to a store. The
// gateway's event loop counts operations in a memory-mapped file, which takes some nanoseconds and
// never blocks; another goroutine writes the entries. The next process writes what its predecessor
// had counted and not yet written.
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
	idleInterval  = 5 * time.Second // between entries while nothing is counted: the log goes on

	// MaxEntries is how many entries are kept, of all incarnations together: those of a busy day. A
	// checkpoint stands for older ones.
	MaxEntries = 100_000
)

// Recorder writes the audit log of one process. Sent, Rejected and Change may be called from the
// event loop's goroutine alone; the other methods may be called from any.
type Recorder struct {
	id          string
	incarnation uint64
	log         *slog.Logger
	counters    *counterFile
	current     *counterCell // the event loop's
	head        atomic.Pointer[auditlog.Head]

	mu          sync.Mutex // guards what follows
	store       *store.Store
	state       state
	writeFailed bool
	maxEntries  int

	// The next entry holds the checkpoints, and is written in one batch with the deletions of the
	// entries that these stand for.
	checkpoints    []auditlog.Checkpoint
	deletions      store.Batch
	deletedEntries int
}

// state is the progress of the log. It is stored in one batch with the entries.
type state struct {
	Incarnation uint64          `json:"boot"`
	Seq         uint64          `json:"seq"`  // of the last entry
	Hash        string          `json:"hash"` // of the last entry
	Cell        uint64          `json:"cell"` // number of the cell that is written next
	Written     auditlog.Counts `json:"written"`
	EndedAt     int64           `json:"ended"` // of the last entry, in microseconds since 1970
	Closed      bool            `json:"over"`  // the incarnation does nothing more
	Entries     int             `json:"kept"`  // of all incarnations
}

func incarnationText(incarnation uint64) string { return strconv.FormatUint(incarnation, 16) }

// Open opens the audit log in a folder, creates it where there is none, and ends the chain that the
// process before left open. The error wraps store.ErrLocked where another process writes there.
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
	var before uint64
	r.counters, before, err = openCounterFile(filepath.Join(dir, countersName))
	if err != nil {
		return nil, err
	}
	if err := r.endPredecessor(before); err != nil {
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

// endPredecessor reads the state and writes what the incarnation before has counted and not
// written.
func (r *Recorder) endPredecessor(before uint64) error {
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
	if before == 0 || before != r.state.Incarnation || r.state.Closed {
		return nil
	}
	return r.write(r.state.EndedAt, true)
}

// Sent counts an attempt that was forwarded: the first one of a request with its units, or a retry.
func (r *Recorder) Sent(first bool, units float64) {
	if !first {
		r.current.retries.Add(1)
		return
	}
	r.current.addUnits(units)
	r.current.forwarded.Add(1)
}

// Rejected counts a request that was rejected, because this gateway is fenced or for another
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

// Run writes entries until the context ends.
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

// writeAndLog writes entries, and logs the first of several errors in a row.
func (r *Recorder) writeAndLog() {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.write(time.Now().UnixMicro(), false)
	if err != nil && !r.writeFailed {
		r.log.Error("fleet: the audit log can't be written; counting goes on", "error", err)
	}
	r.writeFailed = err != nil
}

// write writes what was counted since the last call, in an entry for each set of versions. With
// last, the incarnation does nothing more. now is in microseconds since 1970. The caller holds
// r.mu, or no other goroutine has the Recorder yet.
func (r *Recorder) write(now int64, last bool) error {
	before := r.state
	entries := r.newEntries(now, last)
	if len(entries) == 0 {
		return nil
	}
	r.state.Closed = last
	if err := r.put(entries); err != nil {
		r.state = before
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

// newEntries returns the entries to write, and advances the state behind them.
func (r *Recorder) newEntries(now int64, last bool) (entries []auditlog.Entry) {
	lastCell := r.counters.lastCell.Load()
	if lastCell-r.state.Cell >= cellCount {
		r.log.Error("fleet: versions changed faster than the audit log is written; counts are lost",
			"cells", lastCell-r.state.Cell)
		r.state.Cell = lastCell - cellCount + 1
		r.state.Written = auditlog.Counts{}
	}
	for {
		cell := r.counters.cell(r.state.Cell)
		counts := cell.counts()
		counted := counts.Minus(r.state.Written)
		open := r.state.Cell == lastCell // the event loop counts in it
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

// newEntry returns the next entry, and counts it in the state. The caller completes and hashes it.
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

// Head returns the newest entry on the disk of this process, or nil where it has none yet.
func (r *Recorder) Head() *auditlog.Head {
	head := r.head.Load()
	if head == nil || head.Incarnation != incarnationText(r.incarnation) {
		return nil
	}
	return head
}

// Entries returns the entries of all incarnations of this gateway that ended at from or later, in
// microseconds since 1970.
func (r *Recorder) Entries(from int64) ([]auditlog.Entry,
	error) {
	return readEntries(r.store, from)
}

// Close writes the last entry and closes the store. Nothing may be counted after it.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.write(time.Now().UnixMicro(), true)
	return errors.Join(err, r.store.Close(), r.counters.close())
}
