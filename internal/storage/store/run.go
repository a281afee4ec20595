package store

import (
	"bytes"
	"encoding/binary"
	"math"
	"sort"
)

// run is an immutable index file: entries sorted by key, in blocks of about 4 KiB. The first key of
// each block and the filter are held in memory.
type run struct {
	file
	id         uint64
	length     int64
	entries    int
	tombstones int
	// blocksEnd is the offset of the end of the blocks.
	blocksEnd int64
	// directory has the offset and the first key of each block, encoded as in the file.
	directory []byte
	// fenceOffsets are the offsets of the entries within directory.
	fenceOffsets []uint32
	filter       filter
}

const (
	targetBlockBytes = 4 << 10
	footerBytes      = 48
)

// runWriter writes a run. Keys must be added in ascending order.
type runWriter struct {
	f    File
	name string
	id   uint64
	// at is the file offset at which buf will be written.
	at         int64
	buf        []byte
	block      []byte
	directory  []byte
	filter     filter
	entries    int
	tombstones int
}

func (s *Store) newRunWriter(maxKeys int) (*runWriter, error) {
	id := s.allocateFileID()
	w := &runWriter{
		name:   runName(id),
		id:     id,
		filter: newFilter(maxKeys),
		buf:    encodeHeader(kindRun, s.id, id),
	}
	var err error
	w.f, err = s.fs.Create(w.name)
	return w, err
}

func (w *runWriter) add(key []byte, at location) error {
	if len(w.block) == 0 {
		w.directory = binary.AppendUvarint(w.directory, uint64(w.at)+uint64(len(w.buf)))
		w.directory = binary.AppendUvarint(w.directory, uint64(len(key)))
		w.directory = append(w.directory, key...)
	}
	w.block = binary.AppendUvarint(w.block, uint64(len(key)))
	w.block = append(w.block, key...)
	w.block = binary.AppendUvarint(w.block, uint64(at.size))
	if at.deleted() {
		w.tombstones++
	} else {
		w.block = binary.AppendUvarint(w.block, at.segment)
		w.block = binary.AppendUvarint(w.block, uint64(at.offset))
	}
	w.filter.add(hash(key))
	w.entries++
	if len(w.block) >= targetBlockBytes {
		return w.endBlock()
	}
	return nil
}

func (w *runWriter) endBlock() error {
	if len(w.block) == 0 {
		return nil
	}
	w.buf = appendBlock(w.buf, w.block)
	w.block = w.block[:0]
	if len(w.buf) >= 64<<10 {
		return w.flush()
	}
	return nil
}

func (w *runWriter) flush() error {
	_, err := w.f.WriteAt(w.buf, w.at)
	w.at += int64(len(w.buf))
	w.buf = w.buf[:0]
	return err
}

// finish writes the directory, the filter and the footer, and syncs the run.
func (w *runWriter) finish() (*run, error) {
	if err := w.endBlock(); err != nil {
		return nil, err
	}
	end := w.at + int64(len(w.buf))
	w.buf = appendBlock(w.buf, w.directory)
	filterAt := w.at + int64(len(w.buf))
	w.buf = appendBlock(w.buf, w.filter)
	footer := make([]byte, 0, footerBytes)
	for _, n := range []uint64{
		uint64(end), uint64(filterAt), uint64(w.entries), uint64(w.tombstones), w.id,
	} {
		footer = littleEndian.AppendUint64(footer, n)
	}
	footer = append(footer, "run\n"...)
	w.buf = littleEndian.AppendUint32(append(w.buf, footer...), checksum(footer))
	if err := w.flush(); err != nil {
		return nil, err
	}
	if err := w.f.Sync(); err != nil {
		return nil, err
	}
	r := &run{file: file{
		f:    w.f,
		name: w.name,
	}, id: w.id, length: w.at, entries: w.entries, tombstones: w.tombstones,
		blocksEnd: end, directory: w.directory, filter: w.filter}
	return r, r.indexFences()
}

// openRun opens a run and reads its directory and its filter.
func openRun(f File, store uint64, m sealedRun) (*run, error) {
	name := runName(m.id)
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if size != m.length {
		return nil, &DamageError{name, size, "ends here; the manifest has another length"}
	}
	if _, err := readHeader(f, name, kindRun, store, m.id); err != nil {
		return nil, err
	}
	footer := make([]byte, footerBytes)
	at := size - footerBytes
	if at < fileHeaderBytes {
		return nil, &DamageError{name, size, "too short for a footer"}
	}
	if _, err := f.ReadAt(footer, at); err != nil {
		return nil, readError(err, name, at, "ends within the footer")
	}
	if string(footer[40:44]) != "run\n" ||
		littleEndian.Uint32(footer[44:]) != checksum(footer[:44]) ||
		littleEndian.Uint64(footer[32:]) != m.id {
		return nil, &DamageError{name, at, "invalid footer"}
	}
	r := &run{file: file{
		f:    f,
		name: name,
	},
		id:         m.id,
		length:     size,
		blocksEnd:  int64(littleEndian.Uint64(footer)),
		entries:    int(littleEndian.Uint64(footer[16:])),
		tombstones: int(littleEndian.Uint64(footer[24:]))}
	filterAt := int64(littleEndian.Uint64(footer[8:]))
	if r.directory, err = readBlock(f, name, r.blocksEnd, filterAt); err != nil {
		return nil, err
	}
	bits, err := readBlock(f, name, filterAt, at)
	if err != nil {
		return nil, err
	}
	r.filter = bits
	return r, r.indexFences()
}

// indexFences sets fenceOffsets by parsing the directory.
func (r *run) indexFences() error {
	for at := 0; at < len(r.directory); {
		r.fenceOffsets = append(r.fenceOffsets, uint32(at))
		_, key, n := r.fenceAt(at)
		if n <= 0 || at+n > len(r.directory) || key == nil {
			return &DamageError{r.name, r.blocksEnd, "invalid block directory"}
		}
		at += n
	}
	return nil
}

// fenceAt parses the entry at an offset within the directory. It returns the block's file offset
// and first key, and the length n of the entry, 0 if the entry is invalid.
func (r *run) fenceAt(at int) (offset int64, key []byte, n int) {
	b := r.directory[at:]
	o, k := binary.Uvarint(b)
	if k <= 0 {
		return 0, nil, 0
	}
	size, l := binary.Uvarint(b[k:])
	if l <= 0 || size > uint64(len(b)-k-l) {
		return 0, nil, 0
	}
	return int64(o), b[k+l : k+l+int(size)], k + l + int(size)
}

// blockFor returns the index of the block that would hold a key, -1 if the key is before all
// blocks.
func (r *run) blockFor(key []byte) int {
	return sort.Search(len(r.fenceOffsets), func(i int) bool {
		_, first, _ := r.fenceAt(int(r.fenceOffsets[i]))
		return bytes.Compare(first, key) > 0
	}) - 1
}

// block reads block i into buf and checks it. One read suffices, because a block ends where the
// next one begins.
func (r *run) block(i int, buf *[]byte) ([]byte, error) {
	offset, _, _ := r.fenceAt(int(r.fenceOffsets[i]))
	end := r.blocksEnd
	if i+1 < len(r.fenceOffsets) {
		end, _, _ = r.fenceAt(int(r.fenceOffsets[i+1]))
	}
	n := end - offset
	if offset < fileHeaderBytes || end > r.blocksEnd || n < blockHeaderBytes {
		return nil, &DamageError{r.name, r.blocksEnd, "invalid block directory"}
	}
	if int64(cap(*buf)) < n {
		*buf = make([]byte, n)
	}
	b := (*buf)[:n]
	if _, err := r.f.ReadAt(b, offset); err != nil {
		return nil, readError(err, r.name, offset, "ends within a block")
	}
	return verifyBlock(r.name, offset, b)
}

// entry parses the first entry of b, the unread part of a block, and returns the rest of b.
func (r *run) entry(b []byte) (key []byte, at location, rest []byte, err error) {
	keyBytes, n := binary.Uvarint(b)
	if n <= 0 || keyBytes > uint64(len(b)-n) {
		return nil, at, nil, r.entryDamage()
	}
	b = b[n:]
	key, b = b[:keyBytes], b[keyBytes:]
	size, n := binary.Uvarint(b)
	if n <= 0 || size > math.MaxUint32 {
		return nil, at, nil, r.entryDamage()
	}
	b = b[n:]
	if size == 0 {
		return key, at, b, nil
	}
	segment, n := binary.Uvarint(b)
	if n <= 0 {
		return nil, at, nil, r.entryDamage()
	}
	b = b[n:]
	offset, n := binary.Uvarint(b)
	if n <= 0 {
		return nil, at, nil, r.entryDamage()
	}
	return key, location{segment, int64(offset), uint32(size)}, b[n:], nil
}

func (r *run) entryDamage() error { return &DamageError{r.name, 0, "invalid index entry"} }

// get returns the location of a key and whether the run has an entry for it. h is the key's hash,
// and buf is reused between calls.
func (r *run) get(key []byte, h uint64, buf *[]byte) (location, bool, error) {
	if !r.filter.has(h) {
		return location{}, false, nil
	}
	i := r.blockFor(key)
	if i < 0 {
		return location{}, false, nil
	}
	b, err := r.block(i, buf)
	if err != nil {
		return location{}, false, err
	}
	for len(b) > 0 {
		k, at, rest, err := r.entry(b)
		if err != nil {
			return at, false, err
		}
		switch c := bytes.Compare(k, key); {
		case c == 0:
			return at, true, nil
		case c > 0:
			return location{}, false, nil
		}
		b = rest
	}
	return location{}, false, nil
}

// runIterator iterates over a run in key order. Keys are valid until the next call of next.
type runIterator struct {
	r     *run
	block int
	buf   []byte
	rest  []byte
	// first is the lower bound of the keys to return.
	first []byte
}

func (r *run) from(key []byte) *runIterator {
	return &runIterator{r: r, block: max(r.blockFor(key), 0), first: key}
}

func (w *runIterator) next() (key []byte, at location, ok bool, err error) {
	for {
		if len(w.rest) == 0 {
			if w.block >= len(w.r.fenceOffsets) {
				return nil, at, false, nil
			}
			if w.rest, err = w.r.block(w.block, &w.buf); err != nil {
				return nil, at, false, err
			}
			w.block++
		}
		if key, at, w.rest, err = w.r.entry(w.rest); err != nil {
			return nil, at, false, err
		}
		if bytes.Compare(key, w.first) >= 0 {
			w.first = nil
			return key, at, true, nil
		}
	}
}

// iterator iterates over entries in key order. ok is false after the last entry.
type iterator interface {
	next() (key []byte, at location, ok bool, err error)
}

// mergeIterator merges several iterators, the newest first. Of entries with the same key it returns
// the one of the first iterator.
type mergeIterator struct {
	from  []iterator
	heads []mergeHead
	// key is the key that was returned last.
	key []byte
	// source is the index of the iterator that the last entry came from.
	source int
}

type mergeHead struct {
	key []byte
	at  location
	ok  bool
	// read is set if the iterator's next entry must be read.
	read bool
}

func merge(from ...iterator) *mergeIterator {
	m := &mergeIterator{from: from, heads: make([]mergeHead, len(from))}
	for i := range m.heads {
		m.heads[i].read = true
	}
	return m
}

func (m *mergeIterator) next() (key []byte, at location, ok bool, err error) {
	first := -1 // the iterator with the smallest key
	for i := range m.heads {
		h := &m.heads[i]
		if h.read {
			if h.key, h.at, h.ok, err = m.from[i].next(); err != nil {
				return nil, at, false, err
			}
			h.read = false
		}
		if h.ok && (first < 0 || bytes.Compare(h.key, m.heads[first].key) < 0) {
			first = i
		}
	}
	if first < 0 {
		return nil, at, false, nil
	}
	// The key is in a buffer that its iterator may overwrite when it reads the next entry.
	m.key = append(m.key[:0], m.heads[first].key...)
	m.source = first
	at = m.heads[first].at
	for i := first; i < len(m.heads); i++ {
		if h := &m.heads[i]; h.ok && bytes.Equal(h.key, m.key) {
			h.read = true
		}
	}
	return m.key, at, true, nil
}
