// Package faultfs is an in-memory file system for a store. It records all operations and can
// produce every state that a crash might have left.
//
// The model: data written to a file before its last sync survives a crash. Each later write or
// truncation survives, is lost or, for a write, survives in part, independently of the others. The
// same holds for names: creations, renames and removals are durable once the directory was synced,
// whatever was synced in the files. A real file system may promise more.
package faultfs

import (
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
	"sync"

	"mothcleat/internal/storage/store"
)

// Kind is the kind of an Op.
type Kind int

// The kinds of operations.
const (
	Write Kind = iota
	Truncate
	SyncFile
	Create
	Rename
	Remove
	SyncDir
	Marker // set by the caller with Mark; it changes nothing
)

// Op is one recorded operation.
type Op struct {
	Kind   Kind
	Name   string // of the file when it was opened; for Rename the new name
	From   string // the old name, for Rename only
	fileID int
	offset int64 // for Write; for Truncate the new size in bytes
	data   []byte
	Marker int
}

// Bytes returns the length of a write.
func (o *Op) Bytes() int { return len(o.data) }

// FS is the file system. Its methods may be called concurrently.
type FS struct {
	// Fail, if set, is called before each operation. If it returns an error, the operation fails
	// with it. For a write Fail also returns how many bytes are written nevertheless.
	Fail func(op *Op) (written int, err error)

	mu           sync.Mutex
	names        map[string]int
	files        map[int][]byte
	ops          []Op
	recordedFrom *FS // content when the recording began
	locked       bool
	nextID       int
}

// New returns an empty file system.
func New() *FS { return &FS{names: map[string]int{}, files: map[int][]byte{}} }

// Copy returns a copy of the current content, without a record and unlocked.
func (f *FS) Copy() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy()
}

func (f *FS) copy() *FS {
	c := New()
	c.nextID, c.names = f.nextID, maps.Clone(f.names)
	for _, id := range c.names {
		c.files[id] = slices.Clone(f.files[id])
	}
	return c
}

// Record starts a new record. The current content counts as synced.
func (f *FS) Record() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops, f.recordedFrom = nil, f.copy()
	for id, data := range f.files { // includes open files whose name was removed
		f.recordedFrom.files[id] = slices.Clone(data)
	}
}

// Ops returns the operations since Record.
func (f *FS) Ops() []Op {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.ops)
}

// Mark adds a marker to the record.
func (f *FS) Mark(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops = append(f.ops, Op{Kind: Marker, Marker: n})
}

// Names returns the names of all files in order.
func (f *FS) Names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.names))
}

// Read returns a copy of a file's content.
func (f *FS) Read(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.files[f.names[name]])
}

// Replace changes a file's content without the store's knowledge, and is not recorded.
func (f *FS) Replace(name string, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[f.names[name]] = slices.Clone(data)
}

func (f *FS) write(id int, at int64, data []byte) {
	b := f.files[id]
	if need := at + int64(len(data)); int64(len(b)) < need {
		b = append(b, make([]byte, need-int64(len(b)))...)
	}
	copy(b[at:], data)
	f.files[id] = b
}

func (f *FS) truncate(id int, size int64) {
	b := f.files[id]
	if int64(len(b)) < size {
		b = append(b, make([]byte, size-int64(len(b)))...)
	}
	f.files[id] = b[:size:size]
}

// record calls Fail, records the operation, and returns how many bytes of a write are to be
// written.
func (f *FS) record(op Op) (int, error) {
	n := len(op.data)
	if f.Fail != nil {
		written, err := f.Fail(&op)
		if err != nil {
			n = min(written, n)
			if op.Kind == Write && n > 0 {
				op.data = op.data[:n]
				f.ops = append(f.ops, op)
			}
			return n, err
		}
	}
	if f.recordedFrom != nil {
		f.ops = append(f.ops, op)
	}
	return n, nil
}

// Create creates a file or truncates an existing one.
func (f *FS) Create(name string) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id, ok := f.names[name]; ok {
		if _, err := f.record(Op{Kind: Truncate, Name: name, fileID: id}); err != nil {
			return nil, err
		}
		f.truncate(id, 0)
		return &file{f, id, name, true}, nil
	}
	id := f.nextID
	if _, err := f.record(Op{Kind: Create, Name: name, fileID: id}); err != nil {
		return nil, err
	}
	f.nextID++
	f.names[name], f.files[id] = id, nil
	return &file{f, id, name, true}, nil
}

// Open opens a file.
func (f *FS) Open(name string, write bool) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok := f.names[name]
	if !ok {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	return &file{f, id, name, write}, nil
}

// Rename renames a file.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok := f.names[from]
	if !ok {
		return fmt.Errorf("%s: %w", from, fs.ErrNotExist)
	}
	if _, err := f.record(Op{Kind: Rename, Name: to, From: from, fileID: id}); err != nil {
		return err
	}
	delete(f.names, from)
	f.names[to] = id
	return nil
}

// Remove removes a name. Open files stay readable.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok := f.names[name]
	if !ok {
		return fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	if _, err := f.record(Op{Kind: Remove, Name: name, fileID: id}); err != nil {
		return err
	}
	delete(f.names, name)
	return nil
}

// List returns the names of all files in order.
func (f *FS) List() ([]string, error) { return f.Names(), nil }

// Sync makes all names durable.
func (f *FS) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.record(Op{Kind: SyncDir})
	return err
}

// Lock takes the lock of the directory, of which there is one. The error is store.ErrLocked if it
// is held.
func (f *FS) Lock(bool) (func() error, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked {
		return nil, store.ErrLocked
	}
	f.locked = true
	return func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.locked = false
		return nil
	}, nil
}

type file struct {
	fs       *FS
	id       int
	name     string
	writable bool
}

func (f *file) ReadAt(p []byte, at int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	data := f.fs.files[f.id]
	if at >= int64(len(data)) {
		return 0, io.EOF
	}
	n := copy(p, data[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) WriteAt(p []byte, at int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if !f.writable {
		return 0, fmt.Errorf("%s: %w", f.name, fs.ErrPermission)
	}
	n, err := f.fs.record(
		Op{Kind: Write, Name: f.name, fileID: f.id, offset: at, data: slices.Clone(p)},
	)
	f.fs.write(f.id, at, p[:n])
	return n, err
}

func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if _, err := f.fs.record(
		Op{Kind: Truncate, Name: f.name, fileID: f.id, offset: size},
	); err != nil {
		return err
	}
	f.fs.truncate(f.id, size)
	return nil
}

func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	_, err := f.fs.record(Op{Kind: SyncFile, Name: f.name, fileID: f.id})
	return err
}

func (f *file) Size() (int64, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	return int64(len(f.fs.files[f.id])), nil
}

func (f *file) Close() error { return nil }

// Kill releases the lock, as the exit of the process that holds it would.
func (f *FS) Kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.locked = false
}
