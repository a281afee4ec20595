package policy

import (
	"encoding/binary"
	"math"
)

// A note is a version, the sender's boot, its view of the back end, and items,
// each of which begins with its kind.
const (
	peerMessageVersion = 2
	headerSize         = 9
	entrySize          = 19
	grantSize          = 9
	faultReportSize    = 6
	maxFaultReports    = 3 // a note's words of trouble, the latest
	maxMessageSize     = 256
	wireUnitsPerUnit   = 8.0 // units are told in eighths, a total of them wraps
)

// wantMost is what an entry can ask for, in halves of units; its highest bit is another's.
const (
	maxWantedHalves = 127
	ceilingFlag     = 128
)

const (
	usageItem = iota
	grantItem
	faultItem
)

// usageEntry is what a note tells of one customer.
type usageEntry struct {
	id                  uint64
	plan, first, spread int
	consumed, requested uint16  // units since the boot, counted
	newlyRequested      uint16  // of those asked: since the last note, at most 255 eighths
	wanted, queryNumber byte    // halves of units wanted now, and the number of that ask; 0: none
	wantsCeiling        bool    // and they are wanted of the ceiling too
	remaining           float64 // of the store, as a part of the burst; of a wide set the grant
}

// grantEntry is what a home tells its set of one customer.
type grantEntry struct {
	id          uint64
	fraction    float64
	queryNumber byte // the ask that this answers; 0: none
	granted     bool
}

// faultReport tells of trouble at a backend for a class or, after all classes, for a plan.
type faultReport struct {
	backend uint32
	subject byte
}

func (w faultReport) appendTo(n []byte) []byte {
	return append(binary.LittleEndian.AppendUint32(append(n, faultItem), w.backend), w.subject)
}

// peerMessage is a note taken apart.
type peerMessage struct {
	incarnation      uint32
	inFlight, onTime float64
	entries          []usageEntry
	grants           []grantEntry
	faults           []faultReport
}

func toWireUnits(units float64) uint16 { return uint16(int64(units * wireUnitsPerUnit)) }

func fromWireUnits(counted uint16) float64 { return float64(counted) / wireUnitsPerUnit }

// messageHeader begins a note.
func messageHeader(boot uint32, held, inTime float64) []byte {
	n := binary.LittleEndian.AppendUint32([]byte{peerMessageVersion}, boot)
	n = binary.LittleEndian.AppendUint16(n, uint16(math.Min(math.MaxUint16, held*wireUnitsPerUnit)))
	return binary.LittleEndian.AppendUint16(n, uint16(math.Min(math.MaxUint16, inTime*wireUnitsPerUnit)))
}

func appendID(n []byte, kind byte, id uint64) []byte {
	return append(binary.LittleEndian.AppendUint32(append(n, kind), uint32(id)), byte(id>>32))
}

func readID(b []byte) uint64 { return uint64(binary.LittleEndian.Uint32(b)) | uint64(b[4])<<32 }

// appendTo adds an entry to a note.
func (e *usageEntry) appendTo(n []byte) []byte {
	n = append(appendID(n, usageItem, e.id), byte(e.plan))
	n = binary.LittleEndian.AppendUint16(n, uint16(e.first))
	n = binary.LittleEndian.AppendUint16(n, uint16(e.spread))
	n = binary.LittleEndian.AppendUint16(n, e.consumed)
	n = binary.LittleEndian.AppendUint16(n, e.requested)
	want := e.wanted
	if e.wantsCeiling {
		want |= ceilingFlag
	}
	return append(n, byte(min(e.newlyRequested, math.MaxUint8)), want, e.queryNumber, packFraction(e.remaining))
}

// appendTo adds a grant to a note.
func (r grantEntry) appendTo(n []byte) []byte {
	yes := byte(0)
	if r.granted {
		yes = 1
	}
	return append(appendID(n, grantItem, r.id), packFraction(r.fraction), r.queryNumber, yes)
}

// packFraction packs a part of one, finer near nothing, and never as more than it is: by what
// is told as left another gateway may send on.
func packFraction(x float64) byte { return byte(255 * math.Sqrt(math.Min(1, math.Max(0, x)))) }

func unpackFraction(b byte) float64 { return float64(b) / 255 * float64(b) / 255 }

// parsePeerMessage takes a note apart; one of another version or a wrong length is not ok.
func parsePeerMessage(b []byte) (n peerMessage, ok bool) {
	if len(b) < headerSize || b[0] != peerMessageVersion {
		return n, false
	}
	n.incarnation = binary.LittleEndian.Uint32(b[1:])
	n.inFlight, n.onTime = fromWireUnits(binary.LittleEndian.Uint16(b[5:])), fromWireUnits(binary.LittleEndian.Uint16(b[7:]))
	for b = b[headerSize:]; len(b) > 0; {
		switch {
		case b[0] == usageItem && len(b) >= entrySize:
			n.entries = append(n.entries, usageEntry{
				id: readID(b[1:]), plan: int(b[6]),
				first: int(binary.LittleEndian.Uint16(b[7:])), spread: int(binary.LittleEndian.Uint16(b[9:])),
				consumed: binary.LittleEndian.Uint16(b[11:]), requested: binary.LittleEndian.Uint16(b[13:]),
				newlyRequested: uint16(b[15]), wanted: b[16] &^ ceilingFlag, wantsCeiling: b[16]&ceilingFlag > 0, queryNumber: b[17], remaining: unpackFraction(b[18]),
			})
			b = b[entrySize:]
		case b[0] == grantItem && len(b) >= grantSize:
			n.grants = append(n.grants, grantEntry{readID(b[1:]), unpackFraction(b[6]), b[7], b[8] == 1})
			b = b[grantSize:]
		case b[0] == faultItem && len(b) >= faultReportSize:
			n.faults = append(n.faults, faultReport{binary.LittleEndian.Uint32(b[1:]), b[5]})
			b = b[faultReportSize:]
		default:
			return n, false
		}
	}
	return n, true
}
