package replica

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"golang.org/x/sys/unix"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/storage/store"
)

// Errors of a replica's storage, to be tested with errors.Is.
var (
	// ErrInitialized means that a directory already holds a replica's storage.
	ErrInitialized = errors.New("the folder is a voter's already")
	// ErrNotInitialized means that a directory holds no replica's storage.
	ErrNotInitialized = errors.New("the folder is no voter's yet")
	// ErrCopied means that the directory is a copy of the one in which the storage was created. The
	// copy may be older than the promises made from the original, or the original may be in use
	// too.
	ErrCopied = errors.New("the folder was copied from where it was made")
)

// Identity identifies the voter that a storage belongs to. A voter whose storage is lost rejoins as
// another voter, with another number.
type Identity struct {
	Fleet  string `json:"fleet"`
	Name   string `json:"name"`
	Number uint64 `json:"number"`
}

// BootstrapNumber returns the number of a voter of a new fleet. It is never 0.
func BootstrapNumber(fleet, name string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s", fleet, name)
	return h.Sum64() | 1
}

// Bootstrap creates the storage of a voter of a new fleet. It returns ErrInitialized if the
// directory holds one.
func Bootstrap(dir, fleet, name string, voters []*controlpb.Voter) error {
	state, err := consensus.BootstrapState(fleet, voters)
	if err != nil {
		return err
	}
	return initialize(dir, Identity{fleet, name, BootstrapNumber(fleet, name)}, state)
}

// Join creates the storage of a voter that will be added to a fleet. It returns ErrInitialized if
// the directory holds one.
func Join(dir, fleet, name string) error {
	const neverZero = 1
	number := rand.Uint64() | neverZero
	return initialize(dir, Identity{fleet, name, number}, consensus.JoinState())
}

func initialize(dir string, identity Identity, state consensus.StoredState) (err error) {
	s, err := store.Open(dir, store.Options{})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	present, err := s.Get(keyIdentity)
	if err == nil {
		return fmt.Errorf("%s: %w: %s", dir, ErrInitialized, present)
	}
	if !errors.Is(err, store.ErrNotFound) {
		return err
	}
	raw, err := json.Marshal(identity)
	if err != nil {
		return err
	}
	place, err := placeOf(dir)
	if err != nil {
		return err
	}
	var batch store.Batch
	batch.Put(keyIdentity, raw)
	batch.Put(keyPlace, place)
	ready := consensus.Ready{HardState: state.HardState, Snapshot: state.Snapshot}
	if err := putState(&batch, ready); err != nil {
		return err
	}
	return s.Commit(&batch, store.Durable)
}

// placeOf returns what distinguishes a directory from its copies: its inode number and creation
// time.
func placeOf(dir string) ([]byte, error) {
	var st unix.Statx_t
	err := unix.Statx(unix.AT_FDCWD, dir, 0, unix.STATX_INO|unix.STATX_BTIME, &st)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return fmt.Appendf(nil, "%d %d.%09d", st.Ino, st.Btime.Sec, st.Btime.Nsec), nil
}

// checkPlace returns ErrCopied if the storage was not created in this directory.
func (s *Storage) checkPlace(dir string) error {
	stored, err := s.store.Get(keyPlace)
	if errors.Is(err, store.ErrNotFound) {
		return ErrCopied
	}
	if err != nil {
		return err
	}
	place, err := placeOf(dir)
	if err != nil {
		return err
	}
	if !bytes.Equal(stored, place) {
		return ErrCopied
	}
	return nil
}
