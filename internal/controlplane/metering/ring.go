package metering

import (
	"encoding/binary"
	"math"
	"sync/atomic"
	"unsafe"

	"mothcleat/internal/storage/mmapfile"
)

// ring is a ring buffer in a memory-mapped file. One goroutine adds records and another one reads
// them. Records survive a kill of the process at any instruction, because the pages belong to the
// operating system. A power failure may lose them.
//
// The file consists of an 8-byte magic number, the incarnation that adds records, the number of
// records that it has added, padding up to ringHeaderBytes, and the records. Each record is a
// customer and the bits of a float64. All numbers are in the byte order of the machine.
type ring struct {
	memory      []byte
	added       *atomic.Uint64
	incarnation *uint64
	// size is the capacity in records.
	size uint64
}

const (
	ringMagic       = 0x6d6f746875736531
	ringHeaderBytes = 32
	ringRecords     = 1 << 15 // half a MiB
	recordBytes     = 16
)

// openRing maps the file of a ring and creates it if it does not exist. predecessor and added are
// the incarnation that used the ring last and the number of records that it has added.
func openRing(path string) (r *ring, predecessor uint64, added uint64, err error) {
	memory, created, err := mmapfile.Open(path, ringHeaderBytes+ringRecords*recordBytes)
	if err != nil {
		return nil, 0, 0, err
	}
	r = &ring{memory: memory, size: ringRecords}
	r.incarnation = (*uint64)(unsafe.Pointer(&memory[8]))
	r.added = (*atomic.Uint64)(unsafe.Pointer(&memory[16]))
	if !created && binary.NativeEndian.Uint64(memory) == ringMagic {
		predecessor, added = *r.incarnation, r.added.Load()
	}
	return r, predecessor, added, nil
}

// reset empties the ring for a new incarnation.
func (r *ring) reset(incarnation uint64) {
	binary.NativeEndian.PutUint64(r.memory, 0) // an interrupted reset leaves an empty ring
	r.added.Store(0)
	*r.incarnation = incarnation
	binary.NativeEndian.PutUint64(r.memory, ringMagic)
}

// add adds a record. consumed is the number of records that may be overwritten. It returns false if
// there is no room.
func (r *ring) add(customer uint64, units float64, consumed uint64) bool {
	n := r.added.Load()
	if n-consumed >= r.size {
		return false
	}
	at := r.memory[ringHeaderBytes+n%r.size*recordBytes:]
	binary.NativeEndian.PutUint64(at, customer)
	binary.NativeEndian.PutUint64(at[8:], math.Float64bits(units))
	r.added.Store(n + 1)
	return true
}

// record returns the record number n, which must be in the ring.
func (r *ring) record(n uint64) (customer uint64, units float64) {
	at := r.memory[ringHeaderBytes+n%r.size*recordBytes:]
	return binary.NativeEndian.Uint64(at), math.Float64frombits(binary.NativeEndian.Uint64(at[8:]))
}

func (r *ring) close() error { return mmapfile.Close(r.memory) }
