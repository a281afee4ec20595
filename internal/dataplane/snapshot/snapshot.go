// Package snapshot stores snapshots of a gateway's balancer in an embedded store, so that the next
// process can continue from there.
//
// All values in the store are JSON. The key "head" holds the snapshot without its customers and
// backends. Each customer and each backend has its own key: "c" or "b", followed by its ID in
// big-endian. A snapshot is stored as one batch of the changes since the previous snapshot, so it
// is stored completely or not at all. A store that is truncated, damaged or not a snapshot is
// rejected as a whole.
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

// storeOptions suit a store that is small, is read completely, and shares the memory of a gateway.
var storeOptions = store.Options{SegmentBytes: 1 << 20, MaxOverlayKeys: 4 << 10, Verify: true}

// File stores the newest snapshot given to it. The store is open from the first call of Store until
// the last snapshot is stored, so a successor can read the store once this process has stored its
// last snapshot. File is safe for concurrent use.
type File struct {
	path string

	mu        sync.Mutex
	store     *store.Store                    // nil: not open
	customers map[uint64]policy.CustomerState // contents of the store
	backends  map[uint32]policy.BackendState  // contents of the store
	storedAt  policy.Time                     // the time of the snapshot in the store
	final     bool                            // the last snapshot of an orderly shutdown is stored
}

// Open returns a File for a path. The parent directory must exist and be writable. Open tests this
// by creating a file, so that the error shows at the start and not when state is lost in a crash.
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

// Store replaces the stored snapshot by s. It ignores a snapshot that is older than the stored one,
// and any snapshot after one marked as the last. A durable snapshot survives a power failure; other
// snapshots survive only the end of the process. After an error no snapshot is left: an old one
// would grant again what has been used since.
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

// closeStore closes the store, so that another process can open it.
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

// remove removes the snapshot, but no other files in its directory.
func (f *File) remove() error {
	if f.isLegacyFile() {
		return os.Remove(f.path)
	}
	return store.Remove(f.path)
}

// write stores the changes since the previous snapshot.
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

// openStore opens the store for writing, and adds deletions of its contents to the batch. It
// removes a file of an earlier version and a damaged store.
func (f *File) openStore(batch *store.Batch) error {
	if f.isLegacyFile() {
		if err := f.remove(); err != nil {
			return err
		}
	}
	s, err := store.Open(f.path, storeOptions)
	var damage *store.DamageError
	if errors.As(err, &damage) { // the store was rejected and the damage logged when it was read
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

// Load reads the snapshot. Its error wraps fs.ErrNotExist if there is none, and store.ErrLocked
// while another process has the store open for writing.
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
