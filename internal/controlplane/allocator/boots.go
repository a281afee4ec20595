package allocator

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// IncarnationFile is a gateway's record of the processes that ran in its folder. Whoever has its lock knows that all before it run
// no more, so that what they held is free at once.
type IncarnationFile struct {
	f     *os.File
	Ended []uint64 // the newest last
}

const (
	bootsName = "boots.json"
	bootsMost = 16 // older ones were told of long ago, or their rights have run out
)

// OpenIncarnationFile takes the lock and adds this process. While another has it, the error is unix.EWOULDBLOCK.
func OpenIncarnationFile(dir string, boot uint64) (b *IncarnationFile, err error) {
	f, err := os.OpenFile(filepath.Join(dir, bootsName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("budgets: %s: %w", f.Name(), err), f.Close())
		}
	}()
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, err
	}
	b = &IncarnationFile{f: f}
	if err := json.NewDecoder(f).Decode(&b.Ended); err != nil {
		b.Ended = nil // it is new, or a crash cut it: what those processes held runs out by itself
	}
	b.Ended = b.Ended[max(0, len(b.Ended)-bootsMost):]
	raw, err := json.Marshal(append(b.Ended[:len(b.Ended):len(b.Ended)], boot))
	if err != nil {
		return nil, err
	}
	if err := f.Truncate(0); err != nil {
		return nil, err
	}
	_, err = f.WriteAt(raw, 0)
	return b, err
}

// Close gives the lock up.
func (b *IncarnationFile) Close() error { return b.f.Close() }
