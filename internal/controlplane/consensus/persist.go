package consensus

import (
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// StoredState is what a voter has on disk.
type StoredState struct {
	HardState *raftpb.HardState // nil: nothing was saved
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
	Promises  map[uint64]Promise
}

// Ready is what has to be on disk before Node.Saved is called. It is written completely or not at all.
type Ready struct {
	HardState  *raftpb.HardState // nil: as it was
	Entries    []*raftpb.Entry   // replace those of the same index; all behind the last one go
	Snapshot   *raftpb.Snapshot  // nil: as it was
	ReplaceLog bool              // all entries saved before go, whatever their index
	FirstIndex uint64            // entries below it are of no more use
	Promises   map[uint64]Promise
	MustSync   bool // it has to be on disk; otherwise it may come with the next that has to
}

// Ready returns what has to be saved next; ok is false if there is nothing to save or to send. Call Saved
// once it is on disk, before any other method.
func (n *Node) Ready(now time.Duration) (w Ready, ok bool) {
	if n.rn == nil || !n.rn.HasReady() {
		return w, false
	}
	rd := n.rn.Ready()
	n.ready = &rd
	w.HardState, w.Entries, w.MustSync = rd.HardState, rd.Entries, rd.MustSync
	if rd.HardState != nil && raft.IsEmptyHardState(rd.HardState) {
		w.HardState = nil
	}
	if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
		w.Snapshot, w.MustSync, w.ReplaceLog = rd.Snapshot, true, true
		w.FirstIndex = rd.Snapshot.Metadata.GetIndex() + 1
	}
	if len(n.newer) > 0 {
		w.Promises, n.newer = n.newer, map[uint64]Promise{}
	}
	return w, true
}

// Advance takes in that the work is on disk. It returns the messages that may be sent now. See Ended for the
// requests that it has ended.
func (n *Node) Advance(now time.Duration) ([]*raftpb.Message, error) {
	rd := n.ready
	n.ready = nil
	if err := n.takeSaved(now, rd); err != nil {
		return nil, err
	}
	for _, e := range rd.CommittedEntries {
		if err := n.apply(now, e); err != nil {
			return nil, err
		}
	}
	n.confirmReads(rd.ReadStates)
	n.answerReads(now)
	n.rn.Advance(*rd)
	if n.rn.BasicStatus().RaftState != raft.StateLeader {
		n.stepDown()
	} else {
		n.startReadRound()
	}
	return rd.Messages, nil
}

// takeSaved brings the log in memory up to what was written.
func (n *Node) takeSaved(now time.Duration, rd *raft.Ready) error {
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		n.hard = rd.HardState
		if err := n.log.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
		if err := n.log.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
		if err := n.restore(now, rd.Snapshot); err != nil {
			return err
		}
		n.saved = rd.Snapshot.Metadata.GetIndex()
	}
	if err := n.log.Append(rd.Entries); err != nil {
		return err
	}
	if l := len(rd.Entries); l > 0 {
		n.saved = rd.Entries[l-1].GetIndex()
	}
	return nil
}
