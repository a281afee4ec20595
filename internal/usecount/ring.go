package usecount

import (
	"encoding/binary"
	"math"
	"sync/atomic"
	"unsafe"

	"mothcleat/internal/mmapfile"
)

// ring is a file mapped into memory to which one goroutine adds what is sent on, and from which another
// takes it. What was added is there after the process was killed, at any instruction: the file belongs to the system
// then. A power cut may take it.
//
// The file: 8 bytes of magic, the boot that adds, how many records were ever added, and then the records, each a
// customer and the bits of a float64; all in the machine's order of bytes.
type ring struct {
	memory []byte
	added  *atomic.Uint64
	boot   *uint64
	size   uint64 // records
}

const (
	ringMagic   = 0x6d6f746875736531
	ringHead    = 32
	ringRecords = 1 << 15 // half a MiB
	recordBytes = 16
)

// openRing maps a ring's file, made where there is none. before is the boot that added to it last, and how many.
func openRing(path string) (r *ring, before uint64, added uint64, err error) {
	memory, fresh, err := mmapfile.Open(path, ringHead+ringRecords*recordBytes)
	if err != nil {
		return nil, 0, 0, err
	}
	r = &ring{memory: memory, size: ringRecords}
	r.boot = (*uint64)(unsafe.Pointer(&memory[8]))
	r.added = (*atomic.Uint64)(unsafe.Pointer(&memory[16]))
	if !fresh && binary.NativeEndian.Uint64(memory) == ringMagic {
		before, added = *r.boot, r.added.Load()
	}
	return r, before, added, nil
}

// begin empties the ring for a new boot.
func (r *ring) begin(boot uint64) {
	binary.NativeEndian.PutUint64(r.memory, 0) // whoever finds it half begun finds nothing
	r.added.Store(0)
	*r.boot = boot
	binary.NativeEndian.PutUint64(r.memory, ringMagic)
}

// add adds a record; taken is how many were taken. It returns false if there is no room.
func (r *ring) add(customer uint64, units float64, taken uint64) bool {
	n := r.added.Load()
	if n-taken >= r.size {
		return false
	}
	at := r.memory[ringHead+n%r.size*recordBytes:]
	binary.NativeEndian.PutUint64(at, customer)
	binary.NativeEndian.PutUint64(at[8:], math.Float64bits(units))
	r.added.Store(n + 1)
	return true
}

// record reads one that is there.
func (r *ring) record(n uint64) (customer uint64, units float64) {
	at := r.memory[ringHead+n%r.size*recordBytes:]
	return binary.NativeEndian.Uint64(at), math.Float64frombits(binary.NativeEndian.Uint64(at[8:]))
}

func (r *ring) close() error { return mmapfile.Close(r.memory) }
