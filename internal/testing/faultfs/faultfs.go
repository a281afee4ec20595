// Package faultfs is a folder in memory for a store, which records all that is done to
// it and can be brought to every state that a crash might have left.
//
// The model: what was written to a file before its last sync is there after a crash. Each write
// and truncation since is there, lost or (a write) there in part, each by itself, in any
// combination. The same holds for names: created, renamed and removed ones are sure once the folder was
// synced, and not before, whatever was synced in the files. A file system may promise more than that.
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

// Kind is what an Op does.
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
	Note // of the caller's own; it changes nothing
)

// Op is one recorded operation.
type Op struct {
	Kind Kind
	Name string // of the file, as it was when opened; the new one for Rename
	From string // Rename: the old name
	file int
	at   int64 // Write: where; Truncate: the size
	data []byte
	Note int
}

// Bytes is the length of a write.
func (o *Op) Bytes() int { return len(o.data) }

// FS is the folder. Its methods may be called concurrently.
type FS struct {
	// Fail, if set, is asked before each operation; an error is returned in its place. For a write it
	// may say how many bytes are written all the same.
	Fail func(op *Op) (written int, err error)

	mu     sync.Mutex
	names  map[string]int
	files  map[int][]byte
	ops    []Op
	base   *FS // where the recording began
	locked bool
	next   int
}

// New is an empty folder.
func New() *FS { return &FS{names: map[string]int{}, files: map[int][]byte{}} }

// Copy gives the folder as it stands, with nothing recorded and nobody's lock.
func (f *FS) Copy() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy()
}

func (f *FS) copy() *FS {
	c := New()
	c.next, c.names = f.next, maps.Clone(f.names)
	for _, id := range c.names {
		c.files[id] = slices.Clone(f.files[id])
	}
	return c
}

// Record begins a record here: what stands now is taken for synced.
func (f *FS) Record() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops, f.base = nil, f.copy()
	for id, data := range f.files { // open files without a name
		f.base.files[id] = slices.Clone(data)
	}
}

// Ops are what was done since Record.
func (f *FS) Ops() []Op {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.ops)
}

// Mark records a note of the caller's.
func (f *FS) Mark(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops = append(f.ops, Op{Kind: Note, Note: n})
}

// Names lists the files.
func (f *FS) Names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.names))
}

// Read gives a file's content.
func (f *FS) Read(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.files[f.names[name]])
}

// Replace changes a file's content behind the store's back.
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

// do asks Fail, records, and gives how much of a write is carried out.
func (f *FS) do(op Op) (int, error) {
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
	if f.base != nil {
		f.ops = append(f.ops, op)
	}
	return n, nil
}

// Create makes a file or empties one: as the same file, whose old content goes as by a truncation.
func (f *FS) Create(name string) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id, ok := f.names[name]; ok {
		if _, err := f.do(Op{Kind: Truncate, Name: name, file: id}); err != nil {
			return nil, err
		}
		f.truncate(id, 0)
		return &file{f, id, name, true}, nil
	}
	id := f.next
	if _, err := f.do(Op{Kind: Create, Name: name, file: id}); err != nil {
		return nil, err
	}
	f.next++
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

// Rename gives a file another name.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok := f.names[from]
	if !ok {
		return fmt.Errorf("%s: %w", from, fs.ErrNotExist)
	}
	if _, err := f.do(Op{Kind: Rename, Name: to, From: from, file: id}); err != nil {
		return err
	}
	delete(f.names, from)
	f.names[to] = id
	return nil
}

// Remove takes a name away; open files stay.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok := f.names[name]
	if !ok {
		return fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	if _, err := f.do(Op{Kind: Remove, Name: name, file: id}); err != nil {
		return err
	}
	delete(f.names, name)
	return nil
}

// List gives all names.
func (f *FS) List() ([]string, error) { return f.Names(), nil }

// Sync has the names on disk.
func (f *FS) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.do(Op{Kind: SyncDir})
	return err
}

// Lock is one for all.
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
	fs    *FS
	id    int
	name  string
	write bool
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
	if !f.write {
		return 0, fmt.Errorf("%s: %w", f.name, fs.ErrPermission)
	}
	n, err := f.fs.do(Op{Kind: Write, Name: f.name, file: f.id, at: at, data: slices.Clone(p)})
	f.fs.write(f.id, at, p[:n])
	return n, err
}

func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if _, err := f.fs.do(Op{Kind: Truncate, Name: f.name, file: f.id, at: size}); err != nil {
		return err
	}
	f.fs.truncate(f.id, size)
	return nil
}

func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	_, err := f.fs.do(Op{Kind: SyncFile, Name: f.name, file: f.id})
	return err
}

func (f *file) Size() (int64, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	return int64(len(f.fs.files[f.id])), nil
}

func (f *file) Close() error { return nil }

// Kill frees the lock, as the end of its holder does.
func (f *FS) Kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.locked = false
}
