package consensus

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

var errDamagedLog = errors.New("consensus: the stored log is inconsistent")

// StoredState is the state that a voter has on disk.
type StoredState struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
	Promises  map[uint64]Promise // by the voter that made them
}

// BootstrapState returns the initial stored state of a voter of a new fleet. All voters of a fleet
// have to start from the same state.
func BootstrapState(fleet string, voters []*controlpb.Voter) (StoredState, error) {
	confState := &raftpb.ConfState{}
	for _, v := range voters {
		confState.Voters = append(confState.Voters, v.Number)
	}
	snapshot := &controlpb.Snapshot{Fleet: fleet, Voters: voters}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return StoredState{}, fmt.Errorf("consensus: bootstrap: %w", err)
	}
	const firstTerm, firstIndex = 1, 1
	return StoredState{
		HardState: &raftpb.HardState{
			Term:   new(uint64(firstTerm)),
			Vote:   new(uint64(raft.None)),
			Commit: new(uint64(firstIndex)),
		},
		Snapshot: &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{
			ConfState: confState,
			Index:     new(uint64(firstIndex)),
			Term:      new(uint64(firstTerm)),
		}},
	}, nil
}

// JoinState returns the initial stored state of a voter that will be added to a fleet: an empty
// log.
func JoinState() StoredState {
	return StoredState{HardState: &raftpb.HardState{}, Snapshot: raftpb.EnsureSnapshot(nil)}
}

// Open returns a voter with a stored state. The time now is that of the voter's clock. The voter
// takes no part before Start.
func Open(now time.Duration, config Config, stored StoredState) (*Node, error) {
	if config.KeepEntries == 0 {
		config.KeepEntries = defaultKeepEntries
	}
	if stored.Snapshot == nil || stored.HardState == nil {
		return nil, fmt.Errorf("%w: it has no snapshot or no hard state", errDamagedLog)
	}
	n := &Node{
		config:          config,
		storage:         raft.NewMemoryStorage(),
		pendingCommands: map[uint64]map[uint64][]any{},
		pendingOpens:    map[lease.Member][]any{},
		promises:        map[uint64]Promise{},
		newPromises:     map[uint64]Promise{},
	}
	maps.Copy(n.promises, stored.Promises)
	if err := n.loadLog(stored); err != nil {
		return nil, err
	}
	return n, n.restoreSnapshot(now, stored.Snapshot)
}

// loadLog loads the stored log into memory, and checks that it has no gaps.
func (n *Node) loadLog(stored StoredState) error {
	if err := n.storage.ApplySnapshot(stored.Snapshot); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	snapshotIndex := stored.Snapshot.Metadata.GetIndex()
	next := snapshotIndex + 1
	var entries []*raftpb.Entry
	for _, e := range stored.Entries {
		if e.GetIndex() < next {
			continue
		}
		if e.GetIndex() != next {
			return fmt.Errorf("%w: entry %d in place of %d", errDamagedLog, e.GetIndex(), next)
		}
		entries = append(entries, e)
		next++
	}
	if err := n.storage.Append(entries); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	committed := stored.HardState.GetCommit()
	if committed >= next {
		return fmt.Errorf("%w: entry %d is committed, but the last stored entry is %d",
			errDamagedLog, committed, next-1)
	}
	if committed < snapshotIndex {
		// A snapshot holds only committed entries.
		stored.HardState.Commit = new(snapshotIndex)
	}
	n.hardState = stored.HardState
	n.lastSavedIndex = next - 1
	if err := n.storage.SetHardState(n.hardState); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	return nil
}
