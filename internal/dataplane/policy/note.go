package policy

import (
	"encoding/binary"
	"math"
)

// A note is a version, the sender's boot, its view of the back end, and items,
// each of which begins with its kind.
const (
	noteVersion = 2
	headSize    = 9
	entrySize   = 19
	grantSize   = 9
	wordSize    = 6
	wordsMost   = 3 // a note's words of trouble, the latest
	noteMost    = 256
	eighths     = 8.0 // units are told in eighths, a total of them wraps
)

// wantMost is what an entry can ask for, in halves of units; its highest bit is another's.
const (
	wantMost    = 127
	ceilingFlag = 128
)

const (
	entryItem = iota
	grantItem
	wordItem
)

// entry is what a note tells of one customer.
type entry struct {
	id                  uint64
	plan, first, spread int
	taken, asked        uint16  // units since the boot, counted
	fresh               uint16  // of those asked: since the last note, at most 255 eighths
	want, ask           byte    // halves of units wanted now, and the number of that ask; 0: none
	ceiling             bool    // and they are wanted of the ceiling too
	left                float64 // of the store, as a part of the burst; of a wide set the grant
}

// grant is what a home tells its set of one customer.
type grant struct {
	id   uint64
	part float64
	ask  byte // the ask that this answers; 0: none
	yes  bool
}

// word tells of trouble at a backend for a class or, after all classes, for a plan.
type word struct {
	backend uint32
	about   byte
}

func (w word) put(n []byte) []byte {
	return append(binary.LittleEndian.AppendUint32(append(n, wordItem), w.backend), w.about)
}

// note is a note taken apart.
type note struct {
	boot         uint32
	held, inTime float64
	entries      []entry
	grants       []grant
	words        []word
}

func counted(units float64) uint16 { return uint16(int64(units * eighths)) }

func units(counted uint16) float64 { return float64(counted) / eighths }

// noteHead begins a note.
func noteHead(boot uint32, held, inTime float64) []byte {
	n := binary.LittleEndian.AppendUint32([]byte{noteVersion}, boot)
	n = binary.LittleEndian.AppendUint16(n, uint16(math.Min(math.MaxUint16, held*eighths)))
	return binary.LittleEndian.AppendUint16(n, uint16(math.Min(math.MaxUint16, inTime*eighths)))
}

func putID(n []byte, kind byte, id uint64) []byte {
	return append(binary.LittleEndian.AppendUint32(append(n, kind), uint32(id)), byte(id>>32))
}

func readID(b []byte) uint64 { return uint64(binary.LittleEndian.Uint32(b)) | uint64(b[4])<<32 }

// put adds an entry to a note.
func (e *entry) put(n []byte) []byte {
	n = append(putID(n, entryItem, e.id), byte(e.plan))
	n = binary.LittleEndian.AppendUint16(n, uint16(e.first))
	n = binary.LittleEndian.AppendUint16(n, uint16(e.spread))
	n = binary.LittleEndian.AppendUint16(n, e.taken)
	n = binary.LittleEndian.AppendUint16(n, e.asked)
	want := e.want
	if e.ceiling {
		want |= ceilingFlag
	}
	return append(n, byte(min(e.fresh, math.MaxUint8)), want, e.ask, packPart(e.left))
}

// put adds a grant to a note.
func (r grant) put(n []byte) []byte {
	yes := byte(0)
	if r.yes {
		yes = 1
	}
	return append(putID(n, grantItem, r.id), packPart(r.part), r.ask, yes)
}

// packPart packs a part of one, finer near nothing, and never as more than it is: by what
// is told as left another gateway may send on.
func packPart(x float64) byte { return byte(255 * math.Sqrt(math.Min(1, math.Max(0, x)))) }

func unpackPart(b byte) float64 { return float64(b) / 255 * float64(b) / 255 }

// readNote takes a note apart; one of another version or a wrong length is not ok.
func readNote(b []byte) (n note, ok bool) {
	if len(b) < headSize || b[0] != noteVersion {
		return n, false
	}
	n.boot = binary.LittleEndian.Uint32(b[1:])
	n.held, n.inTime = units(binary.LittleEndian.Uint16(b[5:])), units(binary.LittleEndian.Uint16(b[7:]))
	for b = b[headSize:]; len(b) > 0; {
		switch {
		case b[0] == entryItem && len(b) >= entrySize:
			n.entries = append(n.entries, entry{
				id: readID(b[1:]), plan: int(b[6]),
				first: int(binary.LittleEndian.Uint16(b[7:])), spread: int(binary.LittleEndian.Uint16(b[9:])),
				taken: binary.LittleEndian.Uint16(b[11:]), asked: binary.LittleEndian.Uint16(b[13:]),
				fresh: uint16(b[15]), want: b[16] &^ ceilingFlag, ceiling: b[16]&ceilingFlag > 0, ask: b[17], left: unpackPart(b[18]),
			})
			b = b[entrySize:]
		case b[0] == grantItem && len(b) >= grantSize:
			n.grants = append(n.grants, grant{readID(b[1:]), unpackPart(b[6]), b[7], b[8] == 1})
			b = b[grantSize:]
		case b[0] == wordItem && len(b) >= wordSize:
			n.words = append(n.words, word{binary.LittleEndian.Uint32(b[1:]), b[5]})
			b = b[wordSize:]
		default:
			return n, false
		}
	}
	return n, true
}
