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

// counterFile are a file mapped into memory in which one goroutine counts: a cell for each set of versions, one after another. What was
// counted is there after the process was killed at any instruction; a power cut may take it.
//
// The file: 8 bytes of magic, the boot, how many cells were ever begun, and then the cells, each with its counts and the text of what
// was in force. All numbers are in the machine's order of bytes.
type counterFile struct {
	memory      []byte
	incarnation *uint64
	lastCell    *atomic.Uint64
}

// counterCell is one of them.
type counterCell struct {
	forwarded, retries, units, rejected, rejectedFenced atomic.Uint64
	length                                              uint64
	text                                                [cellTextBytes]byte
}

const (
	fileMagic     = 0x6d6f746861756431
	headerBytes   = 32
	cellCount     = 64
	cellBytes     = 512
	cellTextBytes = cellBytes - 6*8
	fileBytes     = headerBytes + cellCount*cellBytes
)

func openCounterFile(path string) (c *counterFile, before uint64, err error) {
	memory, fresh, err := mmapfile.Open(path, fileBytes)
	if err != nil {
		return nil, 0, err
	}
	c = &counterFile{memory: memory, incarnation: (*uint64)(unsafe.Pointer(&memory[8])), lastCell: (*atomic.Uint64)(unsafe.Pointer(&memory[16]))}
	if !fresh && binary.NativeEndian.Uint64(memory) == fileMagic {
		before = *c.incarnation
	}
	return c, before, nil
}

// begin empties the cells for a new boot and begins the first one.
func (c *counterFile) begin(boot uint64, inForce map[string]uint64) *counterCell {
	binary.NativeEndian.PutUint64(c.memory, 0) // whoever finds it half begun finds nothing
	clear(c.memory[headerBytes:])
	c.lastCell.Store(0)
	*c.incarnation = boot
	first := c.next(inForce)
	binary.NativeEndian.PutUint64(c.memory, fileMagic)
	return first
}

// cell is a cell by its number, from 1 on.
func (c *counterFile) cell(number uint64) *counterCell {
	return (*counterCell)(unsafe.Pointer(&c.memory[headerBytes+(number-1)%cellCount*cellBytes]))
}

// next begins another cell.
func (c *counterFile) next(inForce map[string]uint64) *counterCell {
	number := c.lastCell.Load() + 1
	n := c.cell(number)
	*n = counterCell{}
	n.length = uint64(copy(n.text[:], mustjson.Marshal(inForce)))
	c.lastCell.Store(number)
	return n
}

// counts are what a cell holds.
func (n *counterCell) counts() auditlog.Counts {
	return auditlog.Counts{Forwarded: n.forwarded.Load(), Retries: n.retries.Load(), Units: math.Float64frombits(n.units.Load()), Rejected: n.rejected.Load(), RejectedFenced: n.rejectedFenced.Load()}
}

// inForce is what was in force in it.
func (n *counterCell) inForce() (all map[string]uint64) {
	if json.Unmarshal(n.text[:min(n.length, cellTextBytes)], &all) != nil {
		return nil // more items than a cell has room to name
	}
	return all
}

func (c *counterFile) close() error { return mmapfile.Close(c.memory) }
