package replica

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/storage/store"
)

// Keys in the store. The keys of entries and promises are a letter and a number in big-endian
// order, so that a range of keys is a range of numbers.
var (
	keyIdentity  = []byte("identity")
	keyHardState = []byte("hard")
	keySnapshot  = []byte("snapshot")
	keyPlace     = []byte("place")
)

const (
	entryPrefix   = 'e'
	promisePrefix = 'w'
)

func numberedKey(prefix byte, number uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{prefix}, number)
}

// numberOfKey returns the number in a key. ok is false if the key has none.
func numberOfKey(key []byte) (number uint64, ok bool) {
	if len(key) != 1+8 {
		return 0, false
	}
	return binary.BigEndian.Uint64(key[1:]), true
}

// Storage holds the state of a replica on disk: its log, its votes, its snapshot, and the promises
// that other voters have made to it. It is not safe for concurrent use.
type Storage struct {
	store    *store.Store
	identity Identity
	// Indexes of the first and the last stored entry; 0: there are none.
	firstIndex uint64
	lastIndex  uint64
}

// OpenStorage opens a replica's storage. Its errors wrap store.ErrLocked if another process has the
// storage open, ErrNotInitialized if the directory holds none, and ErrCopied if the directory is a
// copy.
func OpenStorage(dir string, options store.Options) (*Storage, error) {
	opened, err := store.Open(dir, options)
	if err != nil {
		return nil, err
	}
	s := &Storage{store: opened}
	err = s.readIdentity()
	if err == nil {
		err = s.checkPlace(dir)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", dir, err), opened.Close())
	}
	return s, nil
}

func (s *Storage) readIdentity() error {
	raw, err := s.store.Get(keyIdentity)
	if errors.Is(err, store.ErrNotFound) {
		return ErrNotInitialized
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, &s.identity)
}

// Identity returns the identity of the voter that the storage belongs to.
func (s *Storage) Identity() Identity { return s.identity }

// Close closes the storage.
func (s *Storage) Close() error { return s.store.Close() }

// Load reads the stored state.
func (s *Storage) Load() (consensus.StoredState, error) {
	stored := consensus.StoredState{
		HardState: &raftpb.HardState{},
		Snapshot:  &raftpb.Snapshot{},
		Promises:  map[uint64]consensus.Promise{},
	}
	if err := s.loadMessage(keyHardState, stored.HardState); err != nil {
		return stored, err
	}
	if err := s.loadMessage(keySnapshot, stored.Snapshot); err != nil {
		return stored, err
	}
	stored.Snapshot = raftpb.EnsureSnapshot(stored.Snapshot)
	view, err := s.store.Snapshot()
	if err != nil {
		return stored, err
	}
	defer view.Close()
	if stored.Entries, err = loadEntries(view); err != nil {
		return stored, err
	}
	s.firstIndex = 0
	s.lastIndex = 0
	if count := len(stored.Entries); count > 0 {
		s.firstIndex = stored.Entries[0].GetIndex()
		s.lastIndex = stored.Entries[count-1].GetIndex()
	}
	return stored, loadPromises(view, stored.Promises)
}

func (s *Storage) loadMessage(key []byte, into proto.Message) error {
	raw, err := s.store.Get(key)
	if err == nil {
		err = proto.Unmarshal(raw, into)
	}
	if err != nil {
		return fmt.Errorf("replica: %s: %w", key, err)
	}
	return nil
}

// loadEntries reads all entries of the log, sorted by index.
func loadEntries(view *store.Snapshot) (entries []*raftpb.Entry, err error) {
	for item, err := range view.Range([]byte{entryPrefix, 0}, []byte{entryPrefix + 1}) {
		if err != nil {
			return nil, err
		}
		if _, ok := numberOfKey(item.Key); !ok {
			continue
		}
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(item.Value, e); err != nil {
			return nil, fmt.Errorf("replica: entry %x: %w", item.Key, err)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// loadPromises reads the promises of other voters into a map by voter.
func loadPromises(view *store.Snapshot, into map[uint64]consensus.Promise) error {
	for item, err := range view.Range([]byte{promisePrefix, 0}, []byte{promisePrefix + 1}) {
		if err != nil {
			return err
		}
		voter, ok := numberOfKey(item.Key)
		if ok && len(item.Value) == 2*8 {
			into[voter] = consensus.Promise{
				Term:  binary.BigEndian.Uint64(item.Value),
				Index: binary.BigEndian.Uint64(item.Value[8:]),
			}
		}
	}
	return nil
}

// Save stores a Ready atomically. If it has MustSync set, it is durable on disk when Save returns
// nil. After an error the storage must not be used any more: it has to be opened again.
func (s *Storage) Save(ready consensus.Ready) error {
	var batch store.Batch
	if err := putState(&batch, ready); err != nil {
		return err
	}
	log := logBounds{s.firstIndex, s.lastIndex}
	if ready.ReplaceLog {
		log.deleteAll(&batch)
	}
	if err := log.put(&batch, ready.Entries); err != nil {
		return err
	}
	log.deleteBelow(&batch, ready.FirstIndex)
	durability := store.Buffered
	if ready.MustSync {
		durability = store.Durable
	}
	if err := s.store.Commit(&batch, durability); err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	s.firstIndex = log.first
	s.lastIndex = log.last
	return nil
}

// putState adds a Ready, except for its entries, to a batch.
func putState(batch *store.Batch, ready consensus.Ready) error {
	if ready.HardState != nil {
		if err := putMessage(batch, keyHardState, ready.HardState); err != nil {
			return err
		}
	}
	if ready.Snapshot != nil {
		if err := putMessage(batch, keySnapshot, ready.Snapshot); err != nil {
			return err
		}
	}
	for voter, promise := range ready.Promises {
		value := binary.BigEndian.AppendUint64(nil, promise.Term)
		value = binary.BigEndian.AppendUint64(value, promise.Index)
		batch.Put(numberedKey(promisePrefix, voter), value)
	}
	return nil
}

func putMessage(batch *store.Batch, key []byte, m proto.Message) error {
	raw, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	batch.Put(key, raw)
	return nil
}

// logBounds are the indexes of the first and the last stored entry; first is 0 if there are none.
type logBounds struct {
	first uint64
	last  uint64
}

// put adds entries to a batch. They replace stored entries with the same index. Stored entries
// after the last new one come from another leader and are deleted.
func (b *logBounds) put(batch *store.Batch, entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	for _, e := range entries {
		if err := putMessage(batch, numberedKey(entryPrefix, e.GetIndex()), e); err != nil {
			return err
		}
	}
	newLast := entries[len(entries)-1].GetIndex()
	for i := newLast + 1; i <= b.last; i++ {
		batch.Delete(numberedKey(entryPrefix, i))
	}
	b.last = newLast
	if b.first == 0 {
		b.first = entries[0].GetIndex()
	}
	return nil
}

// deleteAll deletes all entries.
func (b *logBounds) deleteAll(batch *store.Batch) {
	b.deleteBelow(batch, b.last+1)
	*b = logBounds{}
}

// deleteBelow deletes the entries below an index.
func (b *logBounds) deleteBelow(batch *store.Batch, index uint64) {
	for b.first != 0 && b.first < index && b.first <= b.last {
		batch.Delete(numberedKey(entryPrefix, b.first))
		b.first++
	}
	if b.first > b.last {
		b.first = 0
	}
}
