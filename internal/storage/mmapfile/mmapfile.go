// Package mmapfile maps files into memory, shared with the operating system. What a process writes
// there outlives its death at any instruction, since the pages belong to the system. A power cut
// may lose it.
package mmapfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"golang.org/x/sys/unix"
)

// Open maps a file of the given size in bytes and creates it if it does not exist. A file of
// another size is replaced by one of zeros; fresh reports that the file was created or replaced.
// Release the memory with Close.
func Open(path string, size int) (memory []byte, fresh bool, err error) {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		f, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	}
	if err != nil {
		return nil, false, err
	}
	defer f.Close() // the mapping stays
	info, err := f.Stat()
	if err != nil {
		return nil, false, err
	}
	if fresh = info.Size() != int64(size); fresh {
		// Every byte is written now, so that a full disk fails here and not at a later write to the
		// memory, where it would be a signal.
		if err = f.Truncate(0); err == nil {
			_, err = f.WriteAt(make([]byte, size), 0)
		}
		if err != nil {
			return nil, false, fmt.Errorf("%s: %w", path, err)
		}
	}
	if memory, err = unix.Mmap(
		int(f.Fd()),
		0,
		size,
		unix.PROT_READ|unix.PROT_WRITE,
		unix.MAP_SHARED,
	); err != nil {
		return nil, false, fmt.Errorf("%s: %w", path, err)
	}
	return memory, fresh, nil
}

// Close unmaps what Open returned. The memory must not be used any more.
func Close(memory []byte) error { return unix.Munmap(memory) }
