package auditrecorder

import (
	"encoding/binary"
	"encoding/json"
	"math"
	"sync/atomic"
	"unsafe"

	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/mustjson"
	"mothcleat/internal/storage/mmapfile"
)

// counterFile is a memory-mapped file in which one goroutine counts operations, in one cell after
// another: each set of versions has its own cell. The counts survive an exit of the process at any
// instruction, but not always a power failure.
//
// The file has 8 bytes of magic number, the incarnation, the number of the last cell, and then the
// cells, each with its counts and the versions in force as JSON. Numbers are in native byte order.
type counterFile struct {
	memory      []byte
	incarnation *uint64
	lastCell    *atomic.Uint64 // its number, counting from 1
}

// counterCell is one cell, with the layout that it has in the file.
type counterCell struct {
	forwarded, retries, units, rejected, rejectedFenced atomic.Uint64

	length uint64 // bytes of text
	text   [cellTextBytes]byte
}

const (
	fileMagic     = 0x6d6f746861756431
	headerBytes   = 32
	cellCount     = 64
	cellBytes     = 512
	cellTextBytes = cellBytes - 6*8
	fileBytes     = headerBytes + cellCount*cellBytes
)

// openCounterFile opens a file, and creates it if it does not exist. previous is the incarnation
// that counted in it, 0 if none did.
func openCounterFile(path string) (c *counterFile, previous uint64, err error) {
	memory, created, err := mmapfile.Open(path, fileBytes)
	if err != nil {
		return nil, 0, err
	}
	c = &counterFile{
		memory:      memory,
		incarnation: (*uint64)(unsafe.Pointer(&memory[8])),
		lastCell:    (*atomic.Uint64)(unsafe.Pointer(&memory[16])),
	}
	if !created && binary.NativeEndian.Uint64(memory) == fileMagic {
		previous = *c.incarnation
	}
	return c, previous, nil
}

// begin clears the cells for a new incarnation and starts the first cell. It writes the magic
// number last, so that a partly initialised file counts as empty.
func (c *counterFile) begin(incarnation uint64, inForce map[string]uint64) *counterCell {
	binary.NativeEndian.PutUint64(c.memory, 0)
	clear(c.memory[headerBytes:])
	c.lastCell.Store(0)
	*c.incarnation = incarnation
	first := c.next(inForce)
	binary.NativeEndian.PutUint64(c.memory, fileMagic)
	return first
}

// cell returns a cell by its number, counting from 1. Cells are reused after cellCount numbers.
func (c *counterFile) cell(number uint64) *counterCell {
	offset := headerBytes + (number-1)%cellCount*cellBytes
	return (*counterCell)(unsafe.Pointer(&c.memory[offset]))
}

// next starts another cell, for the versions in force from now on.
func (c *counterFile) next(inForce map[string]uint64) *counterCell {
	number := c.lastCell.Load() + 1
	cell := c.cell(number)
	*cell = counterCell{}
	cell.length = uint64(copy(cell.text[:], mustjson.Marshal(inForce)))
	c.lastCell.Store(number)
	return cell
}

func (c *counterFile) close() error { return mmapfile.Close(c.memory) }

// addUnits adds to the units of a cell. Only one goroutine may call it.
func (c *counterCell) addUnits(units float64) {
	sum := math.Float64frombits(c.units.Load()) + units
	c.units.Store(math.Float64bits(sum))
}

// counts returns the counts of a cell.
func (c *counterCell) counts() auditlog.Counts {
	return auditlog.Counts{
		Forwarded:      c.forwarded.Load(),
		Retries:        c.retries.Load(),
		Units:          math.Float64frombits(c.units.Load()),
		Rejected:       c.rejected.Load(),
		RejectedFenced: c.rejectedFenced.Load(),
	}
}

// inForce returns the versions that a cell counts under, nil if their JSON is longer than a cell
// can hold.
func (c *counterCell) inForce() (versions map[string]uint64) {
	if json.Unmarshal(c.text[:min(c.length, cellTextBytes)], &versions) != nil {
		return nil
	}
	return versions
}
