package election

import (
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/consensus"
)

// disk is the stored state of a voter, and the writes that a power cut would lose.
type disk struct {
	synced   consensus.StoredState
	unsynced []consensus.Ready // in the order of the writes
}

// write writes what a node has ready, and syncs if the node requires it.
func (d *disk) write(ready consensus.Ready) {
	d.unsynced = append(d.unsynced, ready)
	if ready.MustSync {
		d.sync()
	}
}

// sync makes all writes durable.
func (d *disk) sync() {
	for _, ready := range d.unsynced {
		d.apply(ready)
	}
	d.unsynced = nil
}

func (d *disk) apply(ready consensus.Ready) {
	if ready.HardState != nil {
		d.synced.HardState = ready.HardState
	}
	if ready.Snapshot != nil {
		d.synced.Snapshot = ready.Snapshot
	}
	if ready.ReplaceLog {
		d.synced.Entries = nil
	}
	for _, e := range ready.Entries {
		d.synced.Entries = appendEntry(d.synced.Entries, e)
	}
	for len(d.synced.Entries) > 0 && d.synced.Entries[0].GetIndex() < ready.FirstIndex {
		d.synced.Entries = d.synced.Entries[1:]
	}
	promises := maps.Clone(d.synced.Promises) // older copies share the map
	if promises == nil {
		promises = map[uint64]consensus.Promise{}
	}
	maps.Copy(promises, ready.Promises)
	d.synced.Promises = promises
}

// appendEntry appends an entry and drops the entries from its index on. It does not change the
// array of the entries, which older copies share.
func appendEntry(entries []*raftpb.Entry, e *raftpb.Entry) []*raftpb.Entry {
	for len(entries) > 0 && entries[len(entries)-1].GetIndex() >= e.GetIndex() {
		entries = entries[:len(entries)-1]
	}
	return append(slices.Clip(entries), e)
}

// cloneState returns a copy of a stored state that later writes do not change.
func cloneState(s consensus.StoredState) consensus.StoredState {
	clone := s
	clone.HardState = proto.Clone(s.HardState).(*raftpb.HardState)
	clone.Entries = slices.Clone(s.Entries)
	return clone
}
