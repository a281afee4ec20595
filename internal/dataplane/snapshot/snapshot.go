// Package snapshot keeps what a gateway knows in an embedded store, so that its next process
// can go on from there.
//
// The store holds, as JSON, the snapshot without its customers and backends under the key "head", and each of those
// under its own key: "c" or "b" and its id in big-endian. A state is one batch with what has changed since the one before:
// it replaces that one whole or not at all. A store that is cut, damaged or foreign is refused as a whole.
package snapshot

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/storage/store"
)

const (
	magic         = "mothcleat-state"
	version       = 1
	maxStateBytes = 64 << 20 // of a state that is read
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// storeOptions are those of a store that is small, read whole, and shares a gateway's memory.
var storeOptions = store.Options{SegmentBytes: 1 << 20, MaxOverlayKeys: 4 << 10, Verify: true}

// File keeps the newest state given to it. Its methods may be called concurrently. The store is held from the first state
// stored to the last one, so a process that takes over reads it when the one before has stored its last.
type File struct {
	path string

	mu        sync.Mutex
	store     *store.Store                    // nil: not held
	customers map[uint64]policy.CustomerState // as the store has them
	backends  map[uint32]policy.BackendState
	storedAt  policy.Time // of the state that the store holds
	final     bool        // the last state of an orderly end is written
}

// Open makes a File at a path. The folder above must exist and be writable, which is
// tried at once: a state that can't be kept must not be found out in a crash.
func Open(path string) (*File, error) {
	probe, err := os.CreateTemp(filepath.Dir(path), ".mothcleat-")
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	probe.Close()
	if err := os.Remove(probe.Name()); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return &File{path: path}, nil
}

// Store replaces the state. A state older than the one stored last is passed
// over, and so is all that comes after one marked as the last. Durable has it
// survive a power cut, too; else it survives the end of the process. After an
// error there is no state: an old one would grant again what was taken since.
func (f *File) Store(s policy.Snapshot, durable bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.final || s.At < f.storedAt {
		return nil
	}
	err := f.write(s, durable)
	if err == nil && s.Last {
		err = f.closeStore()
	}
	if err != nil {
		return errors.Join(fmt.Errorf("state: %w", err), f.closeStore(), f.remove())
	}
	f.storedAt, f.final = s.At, s.Last
	return nil
}

// closeStore gives the store to whoever comes next.
func (f *File) closeStore() error {
	held := f.store
	f.store, f.customers, f.backends = nil, nil, nil
	if held == nil {
		return nil
	}
	return held.Close()
}

// isLegacyFile tells whether an earlier version's file stands at the path.
func (f *File) isLegacyFile() bool {
	info, err := os.Stat(f.path)
	return err == nil && info.Mode().IsRegular()
}

// remove takes the state away, and nothing else that may stand in its folder.
func (f *File) remove() error {
	if f.isLegacyFile() {
		return os.Remove(f.path)
	}
	return store.Remove(f.path)
}

// write puts what has changed into the store.
func (f *File) write(s policy.Snapshot, durable bool) error {
	var b store.Batch
	if f.store == nil {
		if err := f.openStore(&b); err != nil {
			return err
		}
	}
	customers, backends := s.Customers, s.Backends
	s.Customers, s.Backends = nil, nil
	if err := putJSON(&b, headKey, s); err != nil {
		return err
	}
	nextC := make(map[uint64]policy.CustomerState, len(customers))
	for _, c := range customers {
		nextC[c.ID] = c
	}
	nextB := make(map[uint32]policy.BackendState, len(backends))
	for _, v := range backends {
		nextB[v.Backend] = v
	}
	if err := errors.Join(putChanged(&b, 'c', f.customers, nextC), putChanged(&b, 'b', f.backends, nextB)); err != nil {
		return err
	}
	f.customers, f.backends = nextC, nextB
	return f.store.Commit(&b, store.Durability(durable))
}

// openStore opens the store to write to it, and has a batch take out what is in it. A file of an earlier version makes room.
func (f *File) openStore(b *store.Batch) error {
	if f.isLegacyFile() {
		if err := f.remove(); err != nil {
			return err
		}
	}
	s, err := store.Open(f.path, storeOptions)
	var damage *store.DamageError
	if errors.As(err, &damage) { // it was refused, and told, when it was read
		if err := f.remove(); err != nil {
			return err
		}
		s, err = store.Open(f.path, storeOptions)
	}
	if err != nil {
		return err
	}
	f.store = s
	view, err := s.Snapshot()
	if err != nil {
		return err
	}
	defer view.Close()
	for key, err := range view.Keys(nil, nil) {
		if err != nil {
			return err
		}
		b.Delete(key)
	}
	return nil
}

var headKey = []byte("head")

func putJSON(b *store.Batch, key []byte, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	b.Put(key, text)
	return nil
}

// putChanged puts what differs from before and takes out what is gone.
func putChanged[K uint64 | uint32, V comparable](b *store.Batch, kind byte, before, now map[K]V) error {
	for id, v := range now {
		if old, ok := before[id]; ok && old == v {
			continue
		}
		if err := putJSON(b, idKey(kind, uint64(id)), v); err != nil {
			return err
		}
	}
	for id := range before {
		if _, ok := now[id]; !ok {
			b.Delete(idKey(kind, uint64(id)))
		}
	}
	return nil
}

func idKey(kind byte, id uint64) []byte { return binary.BigEndian.AppendUint64([]byte{kind}, id) }

// Load reads the state. The error is fs.ErrNotExist if there is none, and store.ErrLocked
// while another process keeps its own there.
func (f *File) Load() (s policy.Snapshot, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isLegacyFile() {
		return f.loadLegacyFile()
	}
	from := f.store
	if from == nil {
		o := storeOptions
		o.ReadOnly = true
		if from, err = store.Open(f.path, o); err != nil {
			return s, fmt.Errorf("state: %s: %w", f.path, err)
		}
		defer from.Close()
	}
	if s, err = loadFrom(from); err != nil {
		return policy.Snapshot{}, fmt.Errorf("state: %s: %w", f.path, err)
	}
	return s, nil
}

func loadFrom(from *store.Store) (s policy.Snapshot, err error) {
	view, err := from.Snapshot()
	if err != nil {
		return s, err
	}
	defer view.Close()
	head, err := view.Get(headKey)
	if errors.Is(err, store.ErrNotFound) {
		return s, fs.ErrNotExist
	}
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(head, &s); err != nil {
		return s, err
	}
	for item, err := range view.Range(nil, nil) {
		if err != nil {
			return s, err
		}
		switch {
		case bytes.Equal(item.Key, headKey):
		case len(item.Key) == 9 && item.Key[0] == 'c':
			s.Customers, err = appendJSON(s.Customers, item.Value)
		case len(item.Key) == 9 && item.Key[0] == 'b':
			s.Backends, err = appendJSON(s.Backends, item.Value)
		default:
			err = fmt.Errorf("key %q is no part of a state", item.Key)
		}
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

func appendJSON[V any](to []V, text []byte) ([]V, error) {
	var v V
	err := json.Unmarshal(text, &v)
	return append(to, v), err
}

// loadLegacyFile reads what versions before the store wrote: the bytes that Encode gives.
func (f *File) loadLegacyFile() (policy.Snapshot, error) {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		return policy.Snapshot{}, fmt.Errorf("state: %w", err)
	}
	s, err := Decode(raw)
	if err != nil {
		return s, fmt.Errorf("state: %s: %w", f.path, err)
	}
	return s, nil
}

// Encode gives a state as one text, for a process that takes over: a line with the length of what follows in bytes and
// its CRC-32C as eight hex digits,
//
//	mothcleat-state 1 LENGTH CHECKSUM
//
// and a decide.Snapshot as JSON.
func Encode(s policy.Snapshot) ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	head := fmt.Appendf(nil, "%s %d %d %08x\n", magic, version, len(text), crc32.Checksum(text, castagnoli))
	return append(head, text...), nil
}

// Decode reads the bytes of a file, or tells why they can't be used.
func Decode(raw []byte) (s policy.Snapshot, err error) {
	line, text, ok := bytes.Cut(raw[:min(len(raw), maxStateBytes)], []byte("\n"))
	if !ok || !bytes.HasPrefix(line, []byte(magic+" ")) {
		return s, errors.New("no state of this program")
	}
	var format, length int
	var sum uint32
	if n, err := fmt.Sscanf(string(line), magic+" %d %d %08x", &format, &length, &sum); n < 1 || format != version {
		return s, fmt.Errorf("format %d, %d wanted", format, version)
	} else if err != nil {
		return s, errors.New("head can't be read")
	}
	switch {
	case len(text) < length:
		return s, fmt.Errorf("cut after %d of %d bytes", len(text), length)
	case len(text) > length:
		return s, fmt.Errorf("%d bytes too many", len(text)-length)
	case crc32.Checksum(text, castagnoli) != sum:
		return s, errors.New("checksum differs: damaged")
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return policy.Snapshot{}, err
	}
	return s, nil
}
