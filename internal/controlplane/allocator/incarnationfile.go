package allocator

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

const (
	incarnationFileName = "boots.json" // part of stored data

	// maxEndedIncarnations bounds the record. Earlier incarnations have been reported, or their
	// allocations have expired.
	maxEndedIncarnations = 16
)

// IncarnationFile is a gateway's record of the processes that ran in its folder. The process that
// holds the lock on the file knows that all earlier ones have exited, and can report that their
// allocations are free.
type IncarnationFile struct {
	file  *os.File
	Ended []uint64 // incarnations of earlier processes, the newest last
}

// OpenIncarnationFile locks the file in dir and adds an incarnation to the record. The error wraps
// unix.EWOULDBLOCK while another process holds the lock.
func OpenIncarnationFile(dir string, incarnation uint64) (_ *IncarnationFile, err error) {
	path := filepath.Join(dir, incarnationFileName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("allocation: %s: %w", path, err), file.Close())
		}
	}()
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, err
	}
	f := &IncarnationFile{file: file}
	if err := json.NewDecoder(file).Decode(&f.Ended); err != nil {
		// The file is new, or a crash truncated it: the allocations of its processes will expire.
		f.Ended = nil
	}
	f.Ended = f.Ended[max(0, len(f.Ended)-maxEndedIncarnations):]
	return f, f.write(incarnation)
}

// write replaces the record by the ended incarnations and a new one.
func (f *IncarnationFile) write(incarnation uint64) error {
	all := append(f.Ended[:len(f.Ended):len(f.Ended)], incarnation)
	raw, err := json.Marshal(all)
	if err != nil {
		return err
	}
	if err := f.file.Truncate(0); err != nil {
		return err
	}
	_, err = f.file.WriteAt(raw, 0)
	return err
}

// Close releases the lock.
func (f *IncarnationFile) Close() error { return f.file.Close() }
