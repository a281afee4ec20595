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

// cells are a file mapped into memory in which one goroutine counts: a cell for each set of versions, one after another. What was
// counted is there after the process was killed at any instruction; a power cut may take it.
//
// The file: 8 bytes of magic, the boot, how many cells were ever begun, and then the cells, each with its counts and the text of what
// was in force. All numbers are in the machine's order of bytes.
type cells struct {
	memory []byte
	boot   *uint64
	begun  *atomic.Uint64
}

// cell is one of them.
type cell struct {
	sent, again, units, refused, turned atomic.Uint64
	length                              uint64
	text                                [cellText]byte
}

const (
	cellsMagic = 0x6d6f746861756431
	cellsHead  = 32
	cellCount  = 64
	cellBytes  = 512
	cellText   = cellBytes - 6*8
	cellsBytes = cellsHead + cellCount*cellBytes
)

func openCells(path string) (c *cells, before uint64, err error) {
	memory, fresh, err := mmapfile.Open(path, cellsBytes)
	if err != nil {
		return nil, 0, err
	}
	c = &cells{memory: memory, boot: (*uint64)(unsafe.Pointer(&memory[8])), begun: (*atomic.Uint64)(unsafe.Pointer(&memory[16]))}
	if !fresh && binary.NativeEndian.Uint64(memory) == cellsMagic {
		before = *c.boot
	}
	return c, before, nil
}

// begin empties the cells for a new boot and begins the first one.
func (c *cells) begin(boot uint64, inForce map[string]uint64) *cell {
	binary.NativeEndian.PutUint64(c.memory, 0) // whoever finds it half begun finds nothing
	clear(c.memory[cellsHead:])
	c.begun.Store(0)
	*c.boot = boot
	first := c.next(inForce)
	binary.NativeEndian.PutUint64(c.memory, cellsMagic)
	return first
}

// at is a cell by its number, from 1 on.
func (c *cells) at(number uint64) *cell {
	return (*cell)(unsafe.Pointer(&c.memory[cellsHead+(number-1)%cellCount*cellBytes]))
}

// next begins another cell.
func (c *cells) next(inForce map[string]uint64) *cell {
	number := c.begun.Load() + 1
	n := c.at(number)
	*n = cell{}
	n.length = uint64(copy(n.text[:], mustjson.Marshal(inForce)))
	c.begun.Store(number)
	return n
}

// counts are what a cell holds.
func (n *cell) counts() auditlog.Counts {
	return auditlog.Counts{Sent: n.sent.Load(), Again: n.again.Load(), Units: math.Float64frombits(n.units.Load()), Refused: n.refused.Load(), Turned: n.turned.Load()}
}

// inForce is what was in force in it.
func (n *cell) inForce() (all map[string]uint64) {
	if json.Unmarshal(n.text[:min(n.length, cellText)], &all) != nil {
		return nil // more items than a cell has room to name
	}
	return all
}

func (c *cells) close() error { return mmapfile.Close(c.memory) }
