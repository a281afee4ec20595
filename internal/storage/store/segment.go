package store

import (
	"bufio"
	"fmt"
	"io"
)

// file is an open file of the store. All file sets that contain it share it.
type file struct {
	f    File
	name string
	refs int // guarded by Store.mu
}

// segment is one file of the log.
type segment struct {
	file
	id uint64
	// length is the length of a sealed segment in bytes.
	length int64
	// live is the total size in bytes of the records that are the newest of their keys.
	live int64
	// liveAtSeal is the value of live when the active segment was started, as in the manifest.
	liveAtSeal int64
}

func openSegment(f File, store uint64, m sealedSegment) (*segment, error) {
	s := &segment{
		file:       file{f: f, name: segmentName(m.id)},
		id:         m.id,
		length:     m.length,
		live:       m.live,
		liveAtSeal: m.live,
	}
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if size != m.length {
		return nil, &DamageError{
			s.name, size, fmt.Sprintf("ends here; the manifest has %d bytes", m.length),
		}
	}
	_, err = readHeader(f, s.name, kindSegment, store, m.id)
	return s, err
}

// liveFraction returns the fraction of a sealed segment's bytes that are live.
func (s *segment) liveFraction() float64 { return float64(s.live) / float64(s.length) }

const (
	checksumChunkBytes = 256 << 10 // size of the reads that check a batch
	readBufferBytes    = 64 << 10
)

// readBatch checks the batch at an offset, which must not extend beyond end. It returns the batch's
// size in bytes, with its header, and the record count and sequence number of the header. It does
// not parse the records.
func (s *segment) readBatch(at, end int64) (size int64, count uint32, seq uint64, err error) {
	b := make([]byte, batchHeaderBytes)
	if at+batchHeaderBytes > end {
		return 0, 0, 0, &DamageError{s.name, at, "ends within a batch header"}
	}
	if _, err := s.f.ReadAt(b, at); err != nil {
		return 0, 0, 0, readError(err, s.name, at, "ends within a batch header")
	}
	if littleEndian.Uint32(b[20:]) != batchHeaderChecksum(s.id, b) {
		return 0, 0, 0, &DamageError{s.name, at, "batch header checksum mismatch"}
	}
	body := int64(littleEndian.Uint32(b))
	if at+batchHeaderBytes+body > end {
		return 0, 0, 0, &DamageError{s.name, at, "ends within a batch"}
	}
	crc := uint32(0)
	chunk := make([]byte, min(body, checksumChunkBytes))
	for from := at + batchHeaderBytes; from < at+batchHeaderBytes+body; {
		part := chunk[:min(int64(len(chunk)), at+batchHeaderBytes+body-from)]
		if _, err := s.f.ReadAt(part, from); err != nil {
			return 0, 0, 0, readError(err, s.name, from, "ends within a batch")
		}
		crc = updateChecksum(crc, part)
		from += int64(len(part))
	}
	if crc != littleEndian.Uint32(b[16:]) {
		return 0, 0, 0, &DamageError{s.name, at, "batch checksum mismatch"}
	}
	return batchHeaderBytes + body, littleEndian.Uint32(b[4:]), littleEndian.Uint64(b[8:]), nil
}

// records calls visit for each record between two offsets and stops at the first error. The key is
// valid until visit returns.
func (s *segment) records(from, to int64, visit func(r record, key []byte, at int64) error) error {
	in := bufio.NewReaderSize(io.NewSectionReader(s.f, from, to-from), readBufferBytes)
	header := make([]byte, recordHeaderBytes)
	var key []byte
	for at := from; at < to; {
		if _, err := io.ReadFull(in, header); err != nil {
			return readError(err, s.name, at, "ends within a record")
		}
		r, ok := parseRecord(header)
		if !ok || at+r.size() > to {
			return &DamageError{s.name, at, "invalid record header"}
		}
		if cap(key) < int(r.keyBytes) {
			key = make([]byte, r.keyBytes)
		}
		key = key[:r.keyBytes]
		if _, err := io.ReadFull(in, key); err != nil {
			return readError(err, s.name, at, "ends within a key")
		}
		if _, err := in.Discard(int(r.valueBytes)); err != nil {
			return readError(err, s.name, at, "ends within a value")
		}
		if err := visit(r, key, at); err != nil {
			return err
		}
		at += r.size()
	}
	return nil
}

// read reads the record at a location, checks it, and returns its bytes and its header.
func (s *segment) read(at location) (b []byte, r record, err error) {
	b = make([]byte, at.size)
	if _, err := s.f.ReadAt(b, at.offset); err != nil {
		return nil, r, readError(err, s.name, at.offset, "ends within a record")
	}
	r, ok := parseRecord(b)
	if !ok || r.size() != int64(len(b)) || checksum(b[4:]) != r.checksum {
		return nil, r, &DamageError{s.name, at.offset, "invalid record header or checksum mismatch"}
	}
	return b, r, nil
}
