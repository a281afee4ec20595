// Package mapped gives files that lie in memory: what a process writes there is there after it was killed at any instruction, as the file
// belongs to the system then. A power cut may take it.
package mapped

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"golang.org/x/sys/unix"
)

// Open maps a file of a size, made where there is none. fresh tells that it is empty: it was made, or had another size.
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
		// All of it is written now: a full disk must not show when something is counted.
		if err = f.Truncate(0); err == nil {
			_, err = f.WriteAt(make([]byte, size), 0)
		}
		if err != nil {
			return nil, false, fmt.Errorf("%s: %w", path, err)
		}
	}
	if memory, err = unix.Mmap(int(f.Fd()), 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED); err != nil {
		return nil, false, fmt.Errorf("%s: %w", path, err)
	}
	return memory, fresh, nil
}

// Close unmaps it.
func Close(memory []byte) error { return unix.Munmap(memory) }
