// Package mmapfile maps files into shared memory. Data that a process writes to the memory survives
// the process being killed at any instruction, because the pages belong to the operating system. A
// power failure may lose the data.
package mmapfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"golang.org/x/sys/unix"
)

// Open maps a file of the given size in bytes, and creates the file if it does not exist. The
// content of a file of another size is replaced with zeros. fresh reports whether the file was
// created or replaced. Close releases the memory.
func Open(path string, size int) (memory []byte, fresh bool, err error) {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		f, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	}
	if err != nil {
		return nil, false, err
	}
	defer f.Close() // the mapping stays valid
	info, err := f.Stat()
	if err != nil {
		return nil, false, err
	}
	if fresh = info.Size() != int64(size); fresh {
		// Every byte is written now, so that a full disk causes an error here and not a signal at a
		// later write to the memory.
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
