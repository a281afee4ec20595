package replica

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/storage/store"
)

// Identity says whose folder it is. A voter is its folder: one that was lost comes back as another.
type Identity struct {
	Fleet  string `json:"fleet"`
	Name   string `json:"name"`
	Number uint64 `json:"number"`
}

// Storage is what a voter has on disk: its part of the log, its votes, its snapshot, and what others
// have promised it.
type Storage struct {
	store *store.Store
	id    Identity
	last  uint64 // entry in the store; 0: none
	first uint64
}

// Keys in the store. Entries and witnesses have a number behind their letter, in the order of its size.
var (
	keyIdentity = []byte("identity")
	keyHard     = []byte("hard")
	keySnapshot = []byte("snapshot")
	keyPlace    = []byte("place")
)

func numbered(letter byte, n uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{letter}, n)
}

// BootstrapNumber is the number of a founding voter.
func BootstrapNumber(fleet, name string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s", fleet, name)
	return h.Sum64() | 1 // never 0
}

// ErrInitialized tells that a folder belongs to a fleet already.
var ErrInitialized = errors.New("the folder is a voter's already")

// Bootstrap makes the folder of a voter of a new fleet.
func Bootstrap(dir, fleet, name string, voters []*controlpb.Voter) error {
	saved, err := consensus.BootstrapState(fleet, voters)
	if err != nil {
		return err
	}
	return begin(dir, Identity{fleet, name, BootstrapNumber(fleet, name)}, saved)
}

// Join makes the folder of a voter that is to be added to a fleet.
func Join(dir, fleet, name string) error {
	return begin(dir, Identity{fleet, name, rand.Uint64() | 1}, consensus.JoinState())
}

func begin(dir string, id Identity, saved consensus.StoredState) (err error) {
	s, err := store.Open(dir, store.Options{})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	if raw, err := s.Get(keyIdentity); err == nil {
		return fmt.Errorf("%s: %w: %s", dir, ErrInitialized, raw)
	} else if !errors.Is(err, store.ErrNotFound) {
		return err
	}
	raw, err := json.Marshal(id)
	if err != nil {
		return err
	}
	where, err := place(dir)
	if err != nil {
		return err
	}
	var b store.Batch
	b.Put(keyIdentity, raw)
	b.Put(keyPlace, where)
	if err := put(&b, consensus.Ready{HardState: saved.HardState, Snapshot: saved.Snapshot}); err != nil {
		return err
	}
	return s.Commit(&b, store.Durable)
}

// put writes all of a work but its entries into a batch.
func put(b *store.Batch, w consensus.Ready) error {
	if w.HardState != nil {
		raw, err := proto.Marshal(w.HardState)
		if err != nil {
			return err
		}
		b.Put(keyHard, raw)
	}
	if w.Snapshot != nil {
		raw, err := proto.Marshal(w.Snapshot)
		if err != nil {
			return err
		}
		b.Put(keySnapshot, raw)
	}
	for of, p := range w.Promises {
		b.Put(numbered('w', of), binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, p.Term), p.Index))
	}
	return nil
}

// OpenStorage opens a voter's folder. Its errors wrap store.ErrLocked where another process has it open, and
// ErrNone where nobody founded it.
func OpenStorage(dir string, opt store.Options) (*Storage, error) {
	s, err := store.Open(dir, opt)
	if err != nil {
		return nil, err
	}
	f := &Storage{store: s}
	raw, err := s.Get(keyIdentity)
	if errors.Is(err, store.ErrNotFound) {
		err = ErrNotInitialized
	} else if err == nil {
		err = json.Unmarshal(raw, &f.id)
	}
	if err == nil {
		err = f.inPlace(dir)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", dir, err), s.Close())
	}
	return f, nil
}

// ErrCopied tells that a folder is not the one that was made: a copy may be older than what was promised from the
// other, or be in use beside it.
var ErrCopied = errors.New("the folder was copied from where it was made")

// place tells a folder from every copy of it: its number on its disk, and when it was made there.
func place(dir string) ([]byte, error) {
	var st unix.Statx_t
	if err := unix.Statx(unix.AT_FDCWD, dir, 0, unix.STATX_INO|unix.STATX_BTIME, &st); err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return fmt.Appendf(nil, "%d %d.%09d", st.Ino, st.Btime.Sec, st.Btime.Nsec), nil
}

func (f *Storage) inPlace(dir string) error {
	made, err := f.store.Get(keyPlace)
	if errors.Is(err, store.ErrNotFound) {
		return ErrCopied
	}
	if err != nil {
		return err
	}
	now, err := place(dir)
	if err == nil && !bytes.Equal(made, now) {
		err = ErrCopied
	}
	return err
}

// ErrNotInitialized tells that a folder is no voter's.
var ErrNotInitialized = errors.New("the folder is no voter's yet")

// Identity says whose folder it is.
func (f *Storage) Identity() Identity { return f.id }

// Close ends the use of the folder.
func (f *Storage) Close() error { return f.store.Close() }

// Load reads what the folder holds.
func (f *Storage) Load() (saved consensus.StoredState, err error) {
	saved.HardState, saved.Snapshot, saved.Promises = &raftpb.HardState{}, &raftpb.Snapshot{}, map[uint64]consensus.Promise{}
	for key, into := range map[string]proto.Message{string(keyHard): saved.HardState, string(keySnapshot): saved.Snapshot} {
		raw, err := f.store.Get([]byte(key))
		if err == nil {
			err = proto.Unmarshal(raw, into)
		}
		if err != nil {
			return saved, fmt.Errorf("voter: %s: %w", key, err)
		}
	}
	saved.Snapshot = raftpb.EnsureSnapshot(saved.Snapshot)
	view, err := f.store.Snapshot()
	if err != nil {
		return saved, err
	}
	defer view.Close()
	f.first, f.last = 0, 0
	for item, err := range view.Range([]byte{'e', 0}, []byte{'f'}) {
		if err != nil {
			return saved, err
		}
		if len(item.Key) != 9 {
			continue
		}
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(item.Value, e); err != nil {
			return saved, fmt.Errorf("voter: entry %x: %w", item.Key, err)
		}
		saved.Entries = append(saved.Entries, e)
		if f.last = e.GetIndex(); f.first == 0 {
			f.first = f.last
		}
	}
	for item, err := range view.Range([]byte{'w', 0}, []byte{'x'}) {
		if err != nil {
			return saved, err
		}
		if len(item.Key) == 9 && len(item.Value) == 16 {
			saved.Promises[binary.BigEndian.Uint64(item.Key[1:])] = consensus.Promise{
				Term: binary.BigEndian.Uint64(item.Value), Index: binary.BigEndian.Uint64(item.Value[8:])}
		}
	}
	return saved, nil
}

// Save writes a work, whole or not at all. With Sync it is on disk when Save returns nil. After an error the
// folder takes nothing any more: it has to be opened anew.
func (f *Storage) Save(w consensus.Ready) error {
	var b store.Batch
	if err := put(&b, w); err != nil {
		return err
	}
	first, last := f.first, f.last
	if w.ReplaceLog {
		for ; first != 0 && first <= last; first++ {
			b.Delete(numbered('e', first))
		}
		first, last = 0, 0
	}
	if l := len(w.Entries); l > 0 {
		for _, e := range w.Entries {
			raw, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			b.Put(numbered('e', e.GetIndex()), raw)
		}
		// What another leader's entries replace goes whole: nothing may stay behind the last.
		end := w.Entries[l-1].GetIndex()
		for i := end + 1; i <= last; i++ {
			b.Delete(numbered('e', i))
		}
		if last = end; first == 0 {
			first = w.Entries[0].GetIndex()
		}
	}
	for first != 0 && first < w.FirstIndex && first <= last {
		b.Delete(numbered('e', first))
		first++
	}
	if first > last {
		first = 0
	}
	how := store.Buffered
	if w.MustSync {
		how = store.Durable
	}
	if err := f.store.Commit(&b, how); err != nil {
		return fmt.Errorf("voter: %w", err)
	}
	f.first, f.last = first, last
	return nil
}
