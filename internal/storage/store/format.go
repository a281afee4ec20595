package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// Sizes are in bytes. docs/store-format.md describes the format. All numbers are little-endian.
const (
	formatVersion = 1

	fileHeaderBytes   = 32 // at the start of every file
	batchHeaderBytes  = 24
	recordHeaderBytes = 13
	blockHeaderBytes  = 8 // length and checksum before a block

	kindSegment  = 'L'
	kindRun      = 'I'
	kindManifest = 'M'
	kindMark     = 'S'

	manifestName     = "MANIFEST"
	manifestTempName = "MANIFEST.new"
	markName         = "MARK"

	opPut    = 1
	opDelete = 2
)

// Limits of a batch, in bytes.
const (
	// MaxKey is the maximum length of a key.
	MaxKey = 64 << 10
	// MaxValue is the maximum length of a value.
	MaxValue = 256 << 20
	// MaxBatch is the maximum size of a batch.
	MaxBatch = 1 << 30
)

var (
	// ErrLocked is returned if another process, or another Store in this process, has the
	// directory open.
	ErrLocked = errors.New("store: in use")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("store: closed")
	// ErrNotFound is returned for a key that does not exist.
	ErrNotFound = errors.New("store: no such key")
	// ErrReadOnly is returned if the store accepts no commits. The error also wraps the cause.
	ErrReadOnly = errors.New("store: read-only")
)

// TooLargeError is returned by Commit for a batch with a key or value that is too long, or for a
// batch that is too large. Sizes are in bytes.
type TooLargeError struct {
	What  string // key, value or batch
	Size  int
	Limit int
}

// Error returns the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("store: %s of %d bytes exceeds the limit of %d", e.What, e.Size, e.Limit)
}

// DamageError reports data that is missing, can't be read or differs from what was written. Offset
// is in bytes.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns file, offset and reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("store: %s: offset %d: %s", e.File, e.Offset, e.Reason)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// updateChecksum returns a CRC-32C checksum extended by part.
func updateChecksum(crc uint32, part []byte) uint32 { return crc32.Update(crc, castagnoli, part) }

func checksum(parts ...[]byte) (crc uint32) {
	for _, p := range parts {
		crc = updateChecksum(crc, p)
	}
	return crc
}

var littleEndian = binary.LittleEndian

func segmentName(id uint64) string { return fmt.Sprintf("%016x.log", id) }
func runName(id uint64) string     { return fmt.Sprintf("%016x.idx", id) }

// isStoreFile reports whether name is one that a store gives to its files.
func isStoreFile(name string) bool {
	var id uint64
	var ext string
	n, _ := fmt.Sscanf(name, "%016x.%s", &id, &ext)
	return n == 2 && len(name) == 20 && (ext == "log" || ext == "idx") || name == manifestName ||
		name == manifestTempName || name == markName
}

// encodeHeader returns the header of a file.
func encodeHeader(kind byte, store, file uint64) []byte {
	b := append(make([]byte, 0, fileHeaderBytes), "mcstore"...)
	b = append(b, kind)
	b = littleEndian.AppendUint32(b, formatVersion)
	b = littleEndian.AppendUint64(b, store)
	b = littleEndian.AppendUint64(b, file)
	return littleEndian.AppendUint32(b, checksum(b))
}

// readHeader reads and checks the header of a file and returns the id of its store. If store is 0,
// any store id is accepted.
func readHeader(f File, name string, kind byte, store, file uint64) (uint64, error) {
	b := make([]byte, fileHeaderBytes)
	if _, err := f.ReadAt(b, 0); err != nil {
		return 0, readError(err, name, 0, "ends within the file header")
	}
	switch {
	case string(b[:7]) != "mcstore" || b[7] != kind:
		return 0, &DamageError{name, 0, "not a file of the expected kind"}
	case littleEndian.Uint32(b[28:]) != checksum(b[:28]):
		return 0, &DamageError{name, 0, "file header checksum mismatch"}
	case littleEndian.Uint32(b[8:]) != formatVersion:
		return 0, &DamageError{
			name,
			8,
			fmt.Sprintf("format %d, this program knows %d",
				littleEndian.Uint32(b[8:]), formatVersion),
		}
	case store != 0 && littleEndian.Uint64(b[12:]) != store:
		return 0, &DamageError{name, 12, "the file belongs to another store"}
	case littleEndian.Uint64(b[20:]) != file:
		return 0, &DamageError{name, 20, fmt.Sprintf("has file id %x", littleEndian.Uint64(b[20:]))}
	}
	return littleEndian.Uint64(b[12:]), nil
}

// readError converts an end-of-file error into a DamageError and wraps any other error.
func readError(err error, name string, at int64, reason string) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &DamageError{name, at, reason}
	}
	return fmt.Errorf("store: %s: offset %d: %w", name, at, err)
}

// appendBlock appends a block, preceded by its length and checksum.
func appendBlock(dst, block []byte) []byte {
	dst = littleEndian.AppendUint32(dst, uint32(len(block)))
	dst = littleEndian.AppendUint32(dst, checksum(dst[len(dst)-4:], block))
	return append(dst, block...)
}

// readBlock reads the block at an offset. The block must not extend beyond limit.
func readBlock(f io.ReaderAt, name string, at, limit int64) ([]byte, error) {
	var pre [blockHeaderBytes]byte
	if at+blockHeaderBytes > limit {
		return nil, &DamageError{name, at, "no space for a block header"}
	}
	if _, err := f.ReadAt(pre[:], at); err != nil {
		return nil, readError(err, name, at, "ends within a block header")
	}
	n := int64(littleEndian.Uint32(pre[:]))
	if at+blockHeaderBytes+n > limit {
		return nil, &DamageError{name, at, "block length exceeds the available space"}
	}
	b := make([]byte, blockHeaderBytes+n)
	if _, err := f.ReadAt(b, at); err != nil {
		return nil, readError(err, name, at, "ends within a block")
	}
	return verifyBlock(name, at, b)
}

// verifyBlock checks the length and checksum of a complete block and returns its content.
func verifyBlock(name string, at int64, b []byte) ([]byte, error) {
	content := b[blockHeaderBytes:]
	if littleEndian.Uint32(b) != uint32(len(content)) ||
		checksum(b[:4], content) != littleEndian.Uint32(b[4:]) {
		return nil, &DamageError{name, at, "block checksum mismatch"}
	}
	return content, nil
}

// location is the position of a key's record in the log.
type location struct {
	segment uint64
	offset  int64
	// size is the record's length in bytes, 0 if the key is deleted.
	size uint32
}

func (l location) deleted() bool { return l.size == 0 }

// appendRecord appends one operation in the format of the log.
func appendRecord(dst []byte, op byte, key, value []byte) []byte {
	at := len(dst)
	dst = append(dst, 0, 0, 0, 0, op)
	dst = littleEndian.AppendUint32(dst, uint32(len(key)))
	dst = littleEndian.AppendUint32(dst, uint32(len(value)))
	dst = append(append(dst, key...), value...)
	littleEndian.PutUint32(dst[at:], checksum(dst[at+4:]))
	return dst
}

// record is the header of one operation.
type record struct {
	checksum uint32
	op       byte
	// keyBytes and valueBytes are the lengths of key and value.
	keyBytes, valueBytes uint32
}

// parseRecord reads the header of a record; ok is false if it is invalid.
func parseRecord(b []byte) (r record, ok bool) {
	r = record{littleEndian.Uint32(b), b[4], littleEndian.Uint32(b[5:]), littleEndian.Uint32(b[9:])}
	return r, (r.op == opPut || r.op == opDelete && r.valueBytes == 0) && r.keyBytes <= MaxKey &&
		r.valueBytes <= MaxValue
}

// size returns the length of the complete record.
func (r record) size() int64 { return recordHeaderBytes + int64(r.keyBytes) + int64(r.valueBytes) }

// batchHeader returns the header of a batch. Its checksum covers the segment's id, so that a batch
// from another segment is rejected.
func batchHeader(segment, seq uint64, count uint32, body []byte) []byte {
	b := make([]byte, 0, batchHeaderBytes)
	b = littleEndian.AppendUint32(b, uint32(len(body)))
	b = littleEndian.AppendUint32(b, count)
	b = littleEndian.AppendUint64(b, seq)
	b = littleEndian.AppendUint32(b, checksum(body))
	return littleEndian.AppendUint32(b, batchHeaderChecksum(segment, b))
}

func batchHeaderChecksum(segment uint64, b []byte) uint32 {
	return checksum(littleEndian.AppendUint64(nil, segment), b[:20])
}

// manifest lists the files in use.
type manifest struct {
	store uint64
	// nextFileID is the id for the next file to be created.
	nextFileID uint64
	// active is the id of the segment that batches are appended to.
	active uint64
	// seq is the sequence number of the active segment's first batch.
	seq uint64
	// keys is the number of live keys before that batch.
	keys     uint64
	segments []sealedSegment
	// runs is ordered from the newest to the oldest.
	runs []sealedRun
}

type sealedSegment struct {
	id uint64
	// length and live are in bytes. live is the value before the active segment's first batch.
	length, live int64
}

type sealedRun struct {
	id     uint64
	length int64
}

func (m *manifest) encode() []byte {
	var b []byte
	for _, n := range []uint64{
		m.nextFileID, m.active, m.seq, m.keys, uint64(len(m.segments)), uint64(len(m.runs)),
	} {
		b = littleEndian.AppendUint64(b, n)
	}
	for _, s := range m.segments {
		b = littleEndian.AppendUint64(littleEndian.AppendUint64(littleEndian.AppendUint64(b, s.id),
			uint64(s.length)),
			uint64(s.live))
	}
	for _, r := range m.runs {
		b = littleEndian.AppendUint64(littleEndian.AppendUint64(b, r.id), uint64(r.length))
	}
	return appendBlock(encodeHeader(kindManifest, m.store, 0), b)
}

func readManifest(f File) (*manifest, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	store, err := readHeader(f, manifestName, kindManifest, 0, 0)
	if err != nil {
		return nil, err
	}
	b, err := readBlock(f, manifestName, fileHeaderBytes, size)
	if err != nil {
		return nil, err
	}
	bad := &DamageError{manifestName, fileHeaderBytes, "file lists do not match the length"}
	if size != fileHeaderBytes+blockHeaderBytes+int64(len(b)) || len(b) < 48 {
		return nil, bad
	}
	readUint64 := func() uint64 {
		v := littleEndian.Uint64(b)
		b = b[8:]
		return v
	}
	m := &manifest{
		store:      store,
		nextFileID: readUint64(),
		active:     readUint64(),
		seq:        readUint64(),
		keys:       readUint64(),
	}
	segments, runs := readUint64(), readUint64()
	if room := uint64(len(b)); segments > room || runs > room || 24*segments+16*runs != room {
		return nil, bad
	}
	for range segments {
		m.segments = append(m.segments,
			sealedSegment{readUint64(), int64(readUint64()), int64(readUint64())})
	}
	for range runs {
		m.runs = append(m.runs, sealedRun{readUint64(), int64(readUint64())})
	}
	return m, nil
}

// syncMark records up to where the log was synced.
type syncMark struct {
	segment uint64
	end     int64
	// seq is the sequence number of the last batch before end.
	seq uint64
}

// The mark's file has two slots in separate sectors, which are written alternately. If a write is
// torn, the other slot remains valid.
const (
	markSlotBytes = 512
	markBytes     = 28
)

func (m syncMark) encode(store uint64) []byte {
	b := littleEndian.AppendUint64(
		littleEndian.AppendUint64(littleEndian.AppendUint64(nil, m.segment), uint64(m.end)), m.seq,
	)
	return littleEndian.AppendUint32(b, checksum(littleEndian.AppendUint64(nil, store), b))
}

// readMark returns the later of the valid slots. ok is false if neither slot is valid.
func readMark(f File, store uint64) (m syncMark, ok bool) {
	if _, err := readHeader(f, markName, kindMark, store, 0); err != nil {
		return m, false
	}
	for slot := int64(1); slot <= 2; slot++ {
		b := make([]byte, markBytes)
		if _, err := f.ReadAt(b, slot*markSlotBytes); err != nil {
			continue
		}
		s := syncMark{
			littleEndian.Uint64(b), int64(littleEndian.Uint64(b[8:])), littleEndian.Uint64(b[16:]),
		}
		valid := bytes.Equal(b, s.encode(store))
		later := s.seq >= m.seq && s.segment >= m.segment
		if valid && (!ok || later) {
			m = s
			ok = true
		}
	}
	return m, ok
}
