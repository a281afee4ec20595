package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// The format, byte by byte, is docs/store-format.md's. All numbers are little-endian.

const (
	version = 1

	headSize   = 32 // of every file
	batchHead  = 24
	recordHead = 13
	sealSize   = 8 // length and checksum before a block

	kindSegment  = 'L'
	kindRun      = 'I'
	kindManifest = 'M'
	kindMark     = 'S'

	manifestName = "MANIFEST"
	manifestNew  = "MANIFEST.new"
	markName     = "MARK"

	opPut    = 1
	opDelete = 2
)

// MaxKey, MaxValue and MaxBatch are the most bytes of each that a store takes.
const (
	MaxKey   = 64 << 10
	MaxValue = 256 << 20
	MaxBatch = 1 << 30
)

var (
	// ErrLocked: another process, or another Store of this one, has the folder open.
	ErrLocked = errors.New("store: in use")
	// ErrClosed: the Store was closed.
	ErrClosed = errors.New("store: closed")
	// ErrNotFound: there is no such key.
	ErrNotFound = errors.New("store: no such key")
	// ErrReadOnly: the store takes no commits; the cause is wrapped beside it.
	ErrReadOnly = errors.New("store: read-only")
)

// DamageError tells what can't be read as it was written.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

func (e *DamageError) Error() string {
	return fmt.Sprintf("store: %s: offset %d: %s", e.File, e.Offset, e.Reason)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// sumOn goes on with a checksum.
func sumOn(crc uint32, part []byte) uint32 { return crc32.Update(crc, castagnoli, part) }

func sum(parts ...[]byte) (crc uint32) {
	for _, p := range parts {
		crc = sumOn(crc, p)
	}
	return crc
}

var le = binary.LittleEndian

func segmentName(id uint64) string { return fmt.Sprintf("%016x.log", id) }
func runName(id uint64) string     { return fmt.Sprintf("%016x.idx", id) }

// ours tells whether a store could have made a file of that name.
func ours(name string) bool {
	var id uint64
	var ext string
	n, _ := fmt.Sscanf(name, "%016x.%s", &id, &ext)
	return n == 2 && len(name) == 20 && (ext == "log" || ext == "idx") || name == manifestName ||
		name == manifestNew || name == markName
}

// head is the beginning of a file.
func head(kind byte, store, file uint64) []byte {
	b := append(make([]byte, 0, headSize), "mcstore"...)
	b = append(b, kind)
	b = le.AppendUint32(b, version)
	b = le.AppendUint64(b, store)
	b = le.AppendUint64(b, file)
	return le.AppendUint32(b, sum(b))
}

// readHead reads the beginning of a file; store 0 takes any store's.
func readHead(f File, name string, kind byte, store, file uint64) (uint64, error) {
	b := make([]byte, headSize)
	if _, err := f.ReadAt(b, 0); err != nil {
		return 0, cutOr(err, name, 0, "ends within its head")
	}
	switch {
	case string(b[:7]) != "mcstore" || b[7] != kind:
		return 0, &DamageError{name, 0, "no file of this kind"}
	case le.Uint32(b[28:]) != sum(b[:28]):
		return 0, &DamageError{name, 0, "head's checksum differs"}
	case le.Uint32(b[8:]) != version:
		return 0, &DamageError{
			name, 8, fmt.Sprintf("format %d, this program knows %d", le.Uint32(b[8:]), version),
		}
	case store != 0 && le.Uint64(b[12:]) != store:
		return 0, &DamageError{name, 12, "a file of another store"}
	case le.Uint64(b[20:]) != file:
		return 0, &DamageError{name, 20, fmt.Sprintf("holds file %x", le.Uint64(b[20:]))}
	}
	return le.Uint64(b[12:]), nil
}

// cutOr takes the end of a file for damage; any other error stays one of reading.
func cutOr(err error, name string, at int64, reason string) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &DamageError{name, at, reason}
	}
	return fmt.Errorf("store: %s: offset %d: %w", name, at, err)
}

// sealed puts length and checksum before a block.
func sealed(dst, block []byte) []byte {
	dst = le.AppendUint32(dst, uint32(len(block)))
	dst = le.AppendUint32(dst, sum(dst[len(dst)-4:], block))
	return append(dst, block...)
}

// readSealed reads a block that ends by limit.
func readSealed(f io.ReaderAt, name string, at, limit int64) ([]byte, error) {
	var pre [sealSize]byte
	if at+sealSize > limit {
		return nil, &DamageError{name, at, "no room for a block"}
	}
	if _, err := f.ReadAt(pre[:], at); err != nil {
		return nil, cutOr(err, name, at, "ends before a block")
	}
	n := int64(le.Uint32(pre[:]))
	if at+sealSize+n > limit {
		return nil, &DamageError{name, at, "block's length is beyond its place"}
	}
	b := make([]byte, sealSize+n)
	if _, err := f.ReadAt(b, at); err != nil {
		return nil, cutOr(err, name, at, "ends within a block")
	}
	return unseal(name, at, b)
}

// unseal checks a block that was read whole and gives its content.
func unseal(name string, at int64, b []byte) ([]byte, error) {
	content := b[sealSize:]
	if le.Uint32(b) != uint32(len(content)) || sum(b[:4], content) != le.Uint32(b[4:]) {
		return nil, &DamageError{name, at, "block's checksum differs"}
	}
	return content, nil
}

// location is where the record of a key stands.
type location struct {
	segment uint64
	offset  int64
	size    uint32 // 0: the key is deleted
}

func (l location) deleted() bool { return l.size == 0 }

// appendRecord adds one operation as it stands in the log.
func appendRecord(dst []byte, op byte, key, value []byte) []byte {
	at := len(dst)
	dst = append(dst, 0, 0, 0, 0, op)
	dst = le.AppendUint32(dst, uint32(len(key)))
	dst = le.AppendUint32(dst, uint32(len(value)))
	dst = append(append(dst, key...), value...)
	le.PutUint32(dst[at:], sum(dst[at+4:]))
	return dst
}

// record is the head of one operation.
type record struct {
	sum      uint32
	op       byte
	key, val uint32 // lengths
}

func parseRecord(b []byte) (r record, ok bool) {
	r = record{le.Uint32(b), b[4], le.Uint32(b[5:]), le.Uint32(b[9:])}
	return r, (r.op == opPut || r.op == opDelete && r.val == 0) && r.key <= MaxKey &&
		r.val <= MaxValue
}

func (r record) size() int64 { return recordHead + int64(r.key) + int64(r.val) }

// batchHeader gives the head of a batch; the segment is in its checksum, so that a
// batch of another segment is not taken for one of this.
func batchHeader(segment, seq uint64, count uint32, body []byte) []byte {
	b := make([]byte, 0, batchHead)
	b = le.AppendUint32(b, uint32(len(body)))
	b = le.AppendUint32(b, count)
	b = le.AppendUint64(b, seq)
	b = le.AppendUint32(b, sum(body))
	return le.AppendUint32(b, batchSum(segment, b))
}

func batchSum(segment uint64, b []byte) uint32 {
	return sum(le.AppendUint64(nil, segment), b[:20])
}

// manifest names what is live.
type manifest struct {
	store    uint64
	next     uint64 // id of the next file
	active   uint64 // segment that is appended to
	seq      uint64 // of its first batch
	keys     uint64 // live ones before it
	segments []sealedSegment
	runs     []sealedRun // the newest first
}

type sealedSegment struct {
	id           uint64
	length, live int64 // bytes; live before the active segment's first batch
}

type sealedRun struct {
	id     uint64
	length int64
}

func (m *manifest) encode() []byte {
	var b []byte
	for _, n := range []uint64{
		m.next, m.active, m.seq, m.keys, uint64(len(m.segments)), uint64(len(m.runs)),
	} {
		b = le.AppendUint64(b, n)
	}
	for _, s := range m.segments {
		b = le.AppendUint64(le.AppendUint64(le.AppendUint64(b, s.id), uint64(s.length)),
			uint64(s.live))
	}
	for _, r := range m.runs {
		b = le.AppendUint64(le.AppendUint64(b, r.id), uint64(r.length))
	}
	return sealed(head(kindManifest, m.store, 0), b)
}

func readManifest(f File) (*manifest, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	store, err := readHead(f, manifestName, kindManifest, 0, 0)
	if err != nil {
		return nil, err
	}
	b, err := readSealed(f, manifestName, headSize, size)
	if err != nil {
		return nil, err
	}
	bad := &DamageError{manifestName, headSize, "lists do not fill it"}
	if size != headSize+sealSize+int64(len(b)) || len(b) < 48 {
		return nil, bad
	}
	n := func() uint64 {
		v := le.Uint64(b)
		b = b[8:]
		return v
	}
	m := &manifest{store: store, next: n(), active: n(), seq: n(), keys: n()}
	segments, runs := n(), n()
	if room := uint64(len(b)); segments > room || runs > room || 24*segments+16*runs != room {
		return nil, bad
	}
	for range segments {
		m.segments = append(m.segments, sealedSegment{n(), int64(n()), int64(n())})
	}
	for range runs {
		m.runs = append(m.runs, sealedRun{n(), int64(n())})
	}
	return m, nil
}

// mark is how far the log was synced when it was written.
type mark struct {
	segment uint64
	end     int64
	seq     uint64 // of the last batch before the end
}

// The mark's file holds two slots that are written in turn, each in a sector of its own.
const (
	markSlot = 512
	markSize = 28
)

func (m mark) encode(store uint64) []byte {
	b := le.AppendUint64(le.AppendUint64(le.AppendUint64(nil, m.segment), uint64(m.end)), m.seq)
	return le.AppendUint32(b, sum(le.AppendUint64(nil, store), b))
}

// readMark gives the later slot that can be read; without one ok is false.
func readMark(f File, store uint64) (m mark, ok bool) {
	if _, err := readHead(f, markName, kindMark, store, 0); err != nil {
		return m, false
	}
	for slot := int64(1); slot <= 2; slot++ {
		b := make([]byte, markSize)
		if _, err := f.ReadAt(b, slot*markSlot); err != nil {
			continue
		}
		s := mark{le.Uint64(b), int64(le.Uint64(b[8:])), le.Uint64(b[16:])}
		if bytes.Equal(b, s.encode(store)) && (!ok || s.seq >= m.seq && s.segment >= m.segment) {
			m, ok = s, true
		}
	}
	return m, ok
}
