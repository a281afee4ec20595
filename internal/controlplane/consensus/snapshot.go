package consensus

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
)

// CreateSnapshot makes a snapshot of the state and drops old entries from the log in memory.
// SnapshotSince returns the snapshot for storing.
func (n *Node) CreateSnapshot() error {
	snapshot := &controlpb.Snapshot{
		At:     uint64(n.lastTimestamp),
		Fleet:  n.fleet,
		Voters: n.Voters(),
	}
	n.sessions.writeTo(snapshot)
	for _, name := range slices.Sorted(maps.Keys(n.config.StateMachines)) {
		state := n.config.StateMachines[name].Snapshot()
		snapshot.Machines = append(snapshot.Machines,
			&controlpb.MachineState{Name: name, State: state})
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	if _, err := n.storage.CreateSnapshot(n.appliedIndex, n.confState, data); err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	n.snapshotIndex = n.appliedIndex
	return n.compactLog()
}

// compactLog drops the entries before a snapshot, except for the last Config.KeepEntries of them.
func (n *Node) compactLog() error {
	if n.appliedIndex <= n.config.KeepEntries {
		return nil
	}
	compactIndex := n.appliedIndex - n.config.KeepEntries
	if compactIndex <= n.FirstIndex() {
		return nil
	}
	if err := n.storage.Compact(compactIndex); err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	return nil
}

// SnapshotSince returns the newest snapshot, with the index of the first entry that is still
// needed, if the snapshot was made after the given index; otherwise ok is false. It may be stored
// at any later time.
func (n *Node) SnapshotSince(index uint64) (ready Ready, ok bool) {
	if n.snapshotIndex <= index {
		return ready, false
	}
	snapshot, err := n.storage.Snapshot()
	if err != nil {
		return ready, false
	}
	return Ready{Snapshot: snapshot, FirstIndex: n.FirstIndex(), HardState: n.hardState}, true
}

// restoreSnapshot replaces the state with that of a snapshot. The time now is that of the voter's
// clock.
func (n *Node) restoreSnapshot(now time.Duration, from *raftpb.Snapshot) error {
	var snapshot controlpb.Snapshot
	if err := proto.Unmarshal(from.Data, &snapshot); err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	n.fleet = snapshot.Fleet
	n.voters = map[uint64]*controlpb.Voter{}
	for _, v := range snapshot.Voters {
		n.voters[v.Number] = v
	}
	n.sessions = readSessions(&snapshot)
	n.sessions.log.reset(from.Metadata.GetIndex())
	for _, stored := range snapshot.Machines {
		machine := n.config.StateMachines[stored.Name]
		if machine == nil {
			return fmt.Errorf("consensus: the snapshot contains state machine %q, which this "+
				"program does not know; a newer version wrote it", stored.Name)
		}
		if err := machine.Restore(stored.State); err != nil {
			return err
		}
	}
	n.confState = from.Metadata.ConfState
	n.appliedIndex = from.Metadata.GetIndex()
	n.appliedTerm = from.Metadata.GetTerm()
	n.snapshotIndex = n.appliedIndex
	n.lastTimestamp = time.Duration(snapshot.At)
	n.lastAppliedAt = now
	n.clock.resetTo(n.lastTimestamp, now)
	return nil
}
