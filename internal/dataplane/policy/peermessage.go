package policy

import (
	"encoding/binary"
	"math"
)

// The format of a peer message: a header with the version, the sender's incarnation and its load
// view, then items, each of which begins with its kind. Numbers are little-endian.
const (
	peerMessageVersion = 2
	maxMessageSize     = 256 // bytes

	headerSize      = 9 // bytes, as are the following
	entrySize       = 19
	grantSize       = 9
	faultReportSize = 6

	wireUnitsPerUnit = 8.0 // units are sent in eighths; totals wrap around
)

// The units that an entry queries are sent in halves; the highest bit tells that units of the
// ceiling are queried, too.
const (
	maxQueryHalves = 127
	ceilingFlag    = 128
)

// The kinds of items.
const (
	usageItem = iota
	grantItem
	faultItem
)

// peerMessage is a decoded message.
type peerMessage struct {
	incarnation uint32
	inFlight    float64 // attempts
	onTime      float64 // answers a second
	entries     []usageEntry
	grants      []grantEntry
	faults      []faultReport
}

// usageEntry reports one customer's use. Totals and differences are in wire units.
type usageEntry struct {
	id             uint64
	plan           int
	first          int
	spread         int
	consumed       uint16 // in this incarnation
	requested      uint16 // in this incarnation
	newlyRequested uint16 // part of requested since the last message; at most 255
	queryHalves    byte   // queried units, in halves
	queryNumber    byte   // 0: no query
	queriesCeiling bool
	remaining      float64 // level of the bucket as a fraction of the burst; with a home, the grant
}

// grantEntry is what a home sends to its set about one customer.
type grantEntry struct {
	id          uint64
	fraction    float64
	queryNumber byte // of the query that this answers; 0: none
	granted     bool
}

// faultReport reports a fault at a backend for a class or a plan. Plans are numbered after all
// classes.
type faultReport struct {
	backend uint32
	subject byte
}

// messageHeader returns the header of a message.
func messageHeader(incarnation uint32, inFlight, onTime float64) []byte {
	message := binary.LittleEndian.AppendUint32([]byte{peerMessageVersion}, incarnation)
	message = binary.LittleEndian.AppendUint16(message, saturatedWireUnits(inFlight))
	return binary.LittleEndian.AppendUint16(message, saturatedWireUnits(onTime))
}

// appendTo appends an entry to a message.
func (e *usageEntry) appendTo(message []byte) []byte {
	message = append(appendID(message, usageItem, e.id), byte(e.plan))
	message = binary.LittleEndian.AppendUint16(message, uint16(e.first))
	message = binary.LittleEndian.AppendUint16(message, uint16(e.spread))
	message = binary.LittleEndian.AppendUint16(message, e.consumed)
	message = binary.LittleEndian.AppendUint16(message, e.requested)
	newly := byte(min(e.newlyRequested, math.MaxUint8))
	queryHalves := e.queryHalves
	if e.queriesCeiling {
		queryHalves |= ceilingFlag
	}
	return append(message, newly, queryHalves, e.queryNumber, packFraction(e.remaining))
}

// appendTo appends a grant to a message.
func (g grantEntry) appendTo(message []byte) []byte {
	granted := byte(0)
	if g.granted {
		granted = 1
	}
	message = appendID(message, grantItem, g.id)
	return append(message, packFraction(g.fraction), g.queryNumber, granted)
}

// appendTo appends a fault report to a message.
func (r faultReport) appendTo(message []byte) []byte {
	message = append(message, faultItem)
	return append(binary.LittleEndian.AppendUint32(message, r.backend), r.subject)
}

// parsePeerMessage decodes a message. It returns false for another version or a wrong length.
func parsePeerMessage(raw []byte) (m peerMessage, ok bool) {
	if len(raw) < headerSize || raw[0] != peerMessageVersion {
		return m, false
	}
	m.incarnation = binary.LittleEndian.Uint32(raw[1:])
	m.inFlight = fromWireUnits(binary.LittleEndian.Uint16(raw[5:]))
	m.onTime = fromWireUnits(binary.LittleEndian.Uint16(raw[7:]))
	raw = raw[headerSize:]
	for len(raw) > 0 {
		size := m.parseItem(raw)
		if size == 0 {
			return m, false
		}
		raw = raw[size:]
	}
	return m, true
}

// parseItem decodes the first item and returns its size in bytes, or 0 if it is malformed.
func (m *peerMessage) parseItem(raw []byte) int {
	switch {
	case raw[0] == usageItem && len(raw) >= entrySize:
		m.entries = append(m.entries, parseUsageEntry(raw))
		return entrySize
	case raw[0] == grantItem && len(raw) >= grantSize:
		m.grants = append(m.grants, grantEntry{
			id:          parseID(raw[1:]),
			fraction:    unpackFraction(raw[6]),
			queryNumber: raw[7],
			granted:     raw[8] == 1,
		})
		return grantSize
	case raw[0] == faultItem && len(raw) >= faultReportSize:
		report := faultReport{backend: binary.LittleEndian.Uint32(raw[1:]), subject: raw[5]}
		m.faults = append(m.faults, report)
		return faultReportSize
	}
	return 0
}

func parseUsageEntry(raw []byte) usageEntry {
	return usageEntry{
		id:             parseID(raw[1:]),
		plan:           int(raw[6]),
		first:          int(binary.LittleEndian.Uint16(raw[7:])),
		spread:         int(binary.LittleEndian.Uint16(raw[9:])),
		consumed:       binary.LittleEndian.Uint16(raw[11:]),
		requested:      binary.LittleEndian.Uint16(raw[13:]),
		newlyRequested: uint16(raw[15]),
		queryHalves:    raw[16] &^ ceilingFlag,
		queriesCeiling: raw[16]&ceilingFlag > 0,
		queryNumber:    raw[17],
		remaining:      unpackFraction(raw[18]),
	}
}

// appendID appends an item's kind and a customer's id, of which 40 bits are sent.
func appendID(message []byte, kind byte, id uint64) []byte {
	message = append(message, kind)
	return append(binary.LittleEndian.AppendUint32(message, uint32(id)), byte(id>>32))
}

func parseID(raw []byte) uint64 {
	return uint64(binary.LittleEndian.Uint32(raw)) | uint64(raw[4])<<32
}

// toWireUnits returns units in wire units, modulo 65536.
func toWireUnits(units float64) uint16 { return uint16(int64(units * wireUnitsPerUnit)) }

// saturatedWireUnits returns units in wire units, at most 65535.
func saturatedWireUnits(units float64) uint16 {
	return uint16(math.Min(math.MaxUint16, units*wireUnitsPerUnit))
}

func fromWireUnits(units uint16) float64 { return float64(units) / wireUnitsPerUnit }

// packFraction encodes a fraction in a byte, with more precision near 0. It rounds down, since
// another gateway may grant requests by what is reported to remain.
func packFraction(x float64) byte {
	return byte(math.MaxUint8 * math.Sqrt(math.Min(1, math.Max(0, x))))
}

func unpackFraction(b byte) float64 {
	return float64(b) / math.MaxUint8 * float64(b) / math.MaxUint8
}
