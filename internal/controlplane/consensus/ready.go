package consensus

import (
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Ready is the state that has to be stored, atomically, before Node.Advance is called.
type Ready struct {
	HardState *raftpb.HardState // nil: unchanged
	// Entries replace stored entries with the same index. All stored entries after the last of them
	// are deleted.
	Entries  []*raftpb.Entry
	Snapshot *raftpb.Snapshot // nil: unchanged
	// ReplaceLog means that all entries stored earlier are deleted, whatever their index.
	ReplaceLog bool
	FirstIndex uint64 // entries below it are not needed any more
	Promises   map[uint64]Promise
	// MustSync means that this Ready has to be durable on disk before Advance is called. Otherwise
	// it may become durable together with the next Ready that has MustSync set.
	MustSync bool
}

// Ready returns the state to store next. The result ok is false if there is nothing to store or
// send. Once the state is stored, Advance has to be called before any other method.
func (n *Node) Ready(now time.Duration) (ready Ready, ok bool) {
	if n.rawNode == nil || !n.rawNode.HasReady() {
		return ready, false
	}
	rd := n.rawNode.Ready()
	n.currentReady = &rd
	ready.Entries = rd.Entries
	ready.MustSync = rd.MustSync
	if hasHardState(&rd) {
		ready.HardState = rd.HardState
	}
	if hasSnapshot(&rd) {
		ready.Snapshot = rd.Snapshot
		ready.ReplaceLog = true
		ready.FirstIndex = rd.Snapshot.Metadata.GetIndex() + 1
		ready.MustSync = true
	}
	if len(n.newPromises) > 0 {
		ready.Promises = n.newPromises
		n.newPromises = map[uint64]Promise{}
	}
	return ready, true
}

func hasHardState(rd *raft.Ready) bool {
	return rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState)
}

func hasSnapshot(rd *raft.Ready) bool {
	return rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot)
}

// Advance is called when the last Ready is stored. It applies the committed entries and returns the
// messages that may be sent now. Completions returns the requests that were completed by this.
// After an error the node must not be used any more.
func (n *Node) Advance(now time.Duration) ([]*raftpb.Message, error) {
	rd := n.currentReady
	n.currentReady = nil
	if err := n.updateStorage(now, rd); err != nil {
		return nil, err
	}
	for _, e := range rd.CommittedEntries {
		if err := n.applyEntry(now, e); err != nil {
			return nil, err
		}
	}
	n.confirmReads(rd.ReadStates)
	n.answerReads(now)
	n.rawNode.Advance(*rd)
	if n.rawNode.BasicStatus().RaftState == raft.StateLeader {
		n.startReadRound()
	} else {
		n.rejectPending()
	}
	return rd.Messages, nil
}

// updateStorage updates the log in memory with the state of a Ready that is stored.
func (n *Node) updateStorage(now time.Duration, rd *raft.Ready) error {
	if hasHardState(rd) {
		n.hardState = rd.HardState
		if err := n.storage.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	if hasSnapshot(rd) {
		if err := n.storage.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
		if err := n.restoreSnapshot(now, rd.Snapshot); err != nil {
			return err
		}
		n.lastSavedIndex = rd.Snapshot.Metadata.GetIndex()
	}
	if err := n.storage.Append(rd.Entries); err != nil {
		return err
	}
	if count := len(rd.Entries); count > 0 {
		n.lastSavedIndex = rd.Entries[count-1].GetIndex()
	}
	return nil
}
