// Package snapshot stores snapshots of a gateway's balancer in an embedded store, so that the next
// process can continue from there.
//
// The store holds, as JSON, the snapshot without its customers and backends under the key "head",
// and each of those under a key of its own: "c" or "b" and its id in big-endian. A snapshot is
// stored as one batch of what has changed since the one before, so it is stored completely or not
// at all. A store that is cut off, damaged or foreign is rejected as a whole.
package snapshot

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/storage/store"
)

// storeOptions are for a store that is small, read completely, and shares a gateway's memory.
var storeOptions = store.Options{SegmentBytes: 1 << 20, MaxOverlayKeys: 4 << 10, Verify: true}

// File stores the newest snapshot given to it. It is safe for concurrent use. The store is open
// from the first snapshot stored to the last one, so a successor can read it once this process has
// stored its last.
type File struct {
	path string

	mu        sync.Mutex
	store     *store.Store                    // nil: it is not open
	customers map[uint64]policy.CustomerState // as the store has them
	backends  map[uint32]policy.BackendState
	storedAt  policy.Time // the time of the snapshot in the store
	final     bool        // the last snapshot of an orderly shutdown is stored
}

// Open makes a File at a path. The directory above must exist and be writable, which is tried at
// once: that nothing can be stored must not be found out in a crash.
func Open(path string) (*File, error) {
	probe, err := os.CreateTemp(filepath.Dir(path), ".mothcleat-")
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	probe.Close()
	if err := os.Remove(probe.Name()); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return &File{path: path}, nil
}

// Store replaces the snapshot. One that is older than the one stored before is ignored, and so is
// all that comes after one marked as the last. A durable snapshot survives a power failure; another
// one survives the end of the process. After an error there is no snapshot: an old one would grant
// again what has been taken since.
func (f *File) Store(s policy.Snapshot, durable bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.final || s.At < f.storedAt {
		return nil
	}
	err := f.write(s, durable)
	if err == nil && s.Last {
		err = f.closeStore()
	}
	if err != nil {
		return errors.Join(fmt.Errorf("state: %w", err), f.closeStore(), f.remove())
	}
	f.storedAt = s.At
	f.final = s.Last
	return nil
}

// closeStore closes the store, which another process can open then.
func (f *File) closeStore() error {
	open := f.store
	f.store = nil
	f.customers = nil
	f.backends = nil
	if open == nil {
		return nil
	}
	return open.Close()
}

// isLegacyFile reports whether a single file of an earlier version is at the path.
func (f *File) isLegacyFile() bool {
	info, err := os.Stat(f.path)
	return err == nil && info.Mode().IsRegular()
}

// remove removes the snapshot, and nothing else that may be in its directory.
func (f *File) remove() error {
	if f.isLegacyFile() {
		return os.Remove(f.path)
	}
	return store.Remove(f.path)
}

// write stores what has changed since the snapshot before.
func (f *File) write(s policy.Snapshot, durable bool) error {
	var batch store.Batch
	if f.store == nil {
		if err := f.openStore(&batch); err != nil {
			return err
		}
	}
	customers := make(map[uint64]policy.CustomerState, len(s.Customers))
	for _, c := range s.Customers {
		customers[c.ID] = c
	}
	backends := make(map[uint32]policy.BackendState, len(s.Backends))
	for _, b := range s.Backends {
		backends[b.Backend] = b
	}
	s.Customers = nil
	s.Backends = nil
	if err := putJSON(&batch, headKey, s); err != nil {
		return err
	}
	if err := errors.Join(
		putChanged(&batch, customerKind, f.customers, customers),
		putChanged(&batch, backendKind, f.backends, backends),
	); err != nil {
		return err
	}
	f.customers = customers
	f.backends = backends
	return f.store.Commit(&batch, store.Durability(durable))
}

// openStore opens the store for writing, and has a batch delete what is in it. A file of an earlier
// version is removed.
func (f *File) openStore(batch *store.Batch) error {
	if f.isLegacyFile() {
		if err := f.remove(); err != nil {
			return err
		}
	}
	s, err := store.Open(f.path, storeOptions)
	var damage *store.DamageError
	if errors.As(err, &damage) { // it was rejected and logged when it was read
		if err := f.remove(); err != nil {
			return err
		}
		s, err = store.Open(f.path, storeOptions)
	}
	if err != nil {
		return err
	}
	f.store = s
	view, err := s.Snapshot()
	if err != nil {
		return err
	}
	defer view.Close()
	for key, err := range view.Keys(nil, nil) {
		if err != nil {
			return err
		}
		batch.Delete(key)
	}
	return nil
}

// Load reads the snapshot. Its error is fs.ErrNotExist if there is none, and store.ErrLocked while
// another process has the store open for writing.
func (f *File) Load() (policy.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, err := f.load()
	if err != nil {
		return policy.Snapshot{}, fmt.Errorf("state: %s: %w", f.path, err)
	}
	return s, nil
}

func (f *File) load() (policy.Snapshot, error) {
	if f.isLegacyFile() {
		return loadLegacyFile(f.path)
	}
	if f.store != nil {
		return loadFrom(f.store)
	}
	readOnly := storeOptions
	readOnly.ReadOnly = true
	s, err := store.Open(f.path, readOnly)
	if err != nil {
		return policy.Snapshot{}, err
	}
	defer s.Close()
	return loadFrom(s)
}
