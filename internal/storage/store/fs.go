package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS gives access to the directory of a store. DirFS returns an FS for a directory of the operating
// system.
type FS interface {
	// Create opens a file for reading and writing. It truncates an existing file.
	Create(name string) (File, error)
	// Open opens an existing file. It returns fs.ErrNotExist if there is no such file.
	Open(name string, write bool) (File, error)
	// Rename renames a file and replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove deletes a file. Open files stay readable.
	Remove(name string) error
	// List returns the names of all files.
	List() ([]string, error)
	// Sync makes the creation, renaming and removal of files durable.
	Sync() error
	// Lock locks the directory. It returns ErrLocked if the lock is held elsewhere, unless both
	// locks are shared.
	Lock(shared bool) (unlock func() error, err error)
}

// File is an open file of an FS.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
}

type dirFS struct{ dir string }

// DirFS returns an FS for the directory at a path. If create is set, a missing directory is created
// and its parent, which must exist, is synced.
func DirFS(dir string, create bool) (FS, error) {
	if create {
		if err := os.Mkdir(dir, 0o700); err == nil {
			if err := syncDir(filepath.Dir(dir)); err != nil {
				return nil, err
			}
		} else if !errors.Is(err, os.ErrExist) {
			return nil, err
		}
	}
	info, err := os.Stat(dir)
	if err == nil && !info.IsDir() {
		err = fmt.Errorf("%s is not a directory", dir)
	}
	return dirFS{dir}, err
}

func (d dirFS) path(name string) string { return filepath.Join(d.dir, name) }

func (d dirFS) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (d dirFS) Open(name string, write bool) (File, error) {
	flags := os.O_RDONLY
	if write {
		flags = os.O_RDWR
	}
	f, err := os.OpenFile(d.path(name), flags, 0)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (d dirFS) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }
func (d dirFS) Remove(name string) error     { return os.Remove(d.path(name)) }
func (d dirFS) Sync() error                  { return syncDir(d.dir) }

func (d dirFS) List() (names []string, err error) {
	entries, err := os.ReadDir(d.dir)
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Lock locks the directory itself. The operating system releases the lock when the process ends.
func (d dirFS) Lock(shared bool) (func() error, error) {
	f, err := os.Open(d.dir)
	if err != nil {
		return nil, err
	}
	how := syscall.LOCK_EX
	if shared {
		how = syscall.LOCK_SH
	}
	err = syscall.Flock(int(f.Fd()), how|syscall.LOCK_NB)
	if err == nil {
		return f.Close, nil
	}
	f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, fmt.Errorf("%s: %w", d.dir, ErrLocked)
	}
	return nil, fmt.Errorf("%s: lock: %w", d.dir, err)
}

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
