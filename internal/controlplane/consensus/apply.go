package consensus

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// apply carries out an agreed entry.
func (n *Node) apply(now time.Duration, e *raftpb.Entry) error {
	n.applied = e.GetIndex()
	switch {
	case e.GetType() == raftpb.EntryConfChangeV2:
		var cc raftpb.ConfChangeV2
		if err := proto.Unmarshal(e.Data, &cc); err != nil {
			return fmt.Errorf("agree: entry %d: %w", n.applied, err)
		}
		if err := n.alter(&cc); err != nil {
			return err
		}
	case e.GetType() == raftpb.EntryConfChange:
		return fmt.Errorf("agree: entry %d: a change of voters in a form that this program does not write", n.applied)
	case len(e.Data) > 0:
		var in controlpb.Entry
		if err := proto.Unmarshal(e.Data, &in); err != nil {
			return fmt.Errorf("agree: entry %d: %w", n.applied, err)
		}
		if err := n.command(now, &in); err != nil {
			return err
		}
	}
	n.sessions.log.commit(n.applied)
	if n.termSeen != e.GetTerm() {
		n.termSeen = e.GetTerm()
		// From here on a leader of this term stamps: it counts from the newest stamp that it has applied.
		n.clock.lead(n.lastAt, n.lastLocal)
	}
	if n.applied-n.snapshot >= 2*n.cfg.KeepEntries {
		return n.CreateSnapshot()
	}
	return nil
}

// command applies a command, once.
func (n *Node) command(now time.Duration, e *controlpb.Entry) error {
	at := max(time.Duration(e.At), n.lastAt)
	n.lastAt, n.lastLocal = at, now
	n.clock.saw(at, now)
	if e.Session == 0 {
		n.sessions.expire(at)
		who := lease.Member{ID: e.Member.GetId(), Incarnation: e.Member.GetIncarnation()}
		number, code := n.sessions.open(n.applied, who, e.Member.GetAddress(), at)
		a := &controlpb.Answer{Code: code, Session: number}
		if code == controlpb.Code_SUPERSEDED {
			a.Reason = superseded(who)
		}
		for _, tag := range n.opens[who] {
			n.done = append(n.done, Completion{tag, a})
		}
		delete(n.opens, who)
		return nil
	}
	in, answer, had, code := n.sessions.known(e.Session, e.Seq)
	if in != nil {
		in.seen = at
		in.settle(e.AckedSeq)
	}
	if code == controlpb.Code_OK && !had {
		if e.Machine != "" { // else it only says that the process is there
			m := n.cfg.StateMachines[e.Machine]
			if m == nil {
				return fmt.Errorf("agree: entry %d is for %q, which this program does not know: a newer version's", n.applied, e.Machine)
			}
			answer = m.Apply(at, n.applied, in.member, e.Body)
		}
		in.answers[e.Seq] = answer
	}
	for _, tag := range n.pending[e.Session][e.Seq] {
		n.done = append(n.done, Completion{tag, &controlpb.Answer{Code: code, Body: answer}})
	}
	delete(n.pending[e.Session], e.Seq)
	if len(n.pending[e.Session]) == 0 {
		delete(n.pending, e.Session)
	}
	return nil
}

// alter takes in an agreed change of voters.
func (n *Node) alter(cc *raftpb.ConfChangeV2) error {
	if len(cc.Changes) > 0 {
		v := &controlpb.Voter{}
		if err := proto.Unmarshal(cc.Context, v); err != nil {
			return fmt.Errorf("agree: entry %d: %w", n.applied, err)
		}
		if cc.Changes[0].GetType() == raftpb.ConfChangeRemoveNode {
			delete(n.voters, v.Number)
		} else {
			n.voters[v.Number] = v
		}
		for _, tag := range n.changes {
			n.done = append(n.done, Completion{tag, &controlpb.Answer{}})
		}
		n.changes = nil
	}
	n.conf = n.rn.ApplyConfChange(cc)
	if len(cc.Changes) > 0 && cc.Changes[0].GetType() != raftpb.ConfChangeRemoveNode {
		// The new voter begins from a snapshot, and takes none by which it is no voter.
		return n.CreateSnapshot()
	}
	return nil
}

// CreateSnapshot makes a snapshot of the state and drops old entries. Compacted tells what to save of it.
func (n *Node) CreateSnapshot() error {
	s := &controlpb.Snapshot{At: uint64(n.lastAt), Fleet: n.fleet, Voters: n.Voters()}
	n.sessions.write(s)
	for _, name := range slices.Sorted(maps.Keys(n.cfg.StateMachines)) {
		s.Machines = append(s.Machines, &controlpb.MachineState{Name: name, State: n.cfg.StateMachines[name].Snapshot()})
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return fmt.Errorf("agree: snapshot: %w", err)
	}
	if _, err := n.log.CreateSnapshot(n.applied, n.conf, data); err != nil {
		return fmt.Errorf("agree: snapshot: %w", err)
	}
	n.snapshot = n.applied
	if first, _ := n.log.FirstIndex(); n.applied > n.cfg.KeepEntries && n.applied-n.cfg.KeepEntries > first {
		if err := n.log.Compact(n.applied - n.cfg.KeepEntries); err != nil {
			return fmt.Errorf("agree: snapshot: %w", err)
		}
	}
	return nil
}

// SnapshotSince is a snapshot made since the last call, and the first entry that is still of use; it may be
// saved at any later time. ok is false if there is none.
func (n *Node) SnapshotSince(since uint64) (w Ready, ok bool) {
	if n.snapshot <= since {
		return w, false
	}
	s, err := n.log.Snapshot()
	if err != nil {
		return w, false
	}
	return Ready{Snapshot: s, FirstIndex: n.FirstIndex(), HardState: n.hard}, true
}

// restore takes the state from a snapshot.
func (n *Node) restore(now time.Duration, from *raftpb.Snapshot) error {
	var s controlpb.Snapshot
	if err := proto.Unmarshal(from.Data, &s); err != nil {
		return fmt.Errorf("agree: snapshot: %w", err)
	}
	n.fleet, n.voters = s.Fleet, map[uint64]*controlpb.Voter{}
	for _, v := range s.Voters {
		n.voters[v.Number] = v
	}
	n.sessions = readSessions(&s)
	n.sessions.log.begin(from.Metadata.GetIndex())
	for _, m := range s.Machines {
		in := n.cfg.StateMachines[m.Name]
		if in == nil {
			return fmt.Errorf("agree: the snapshot has a part %q, which this program does not know: a newer version's", m.Name)
		}
		if err := in.Restore(m.State); err != nil {
			return err
		}
	}
	n.conf = from.Metadata.ConfState
	n.applied, n.snapshot, n.termSeen = from.Metadata.GetIndex(), from.Metadata.GetIndex(), from.Metadata.GetTerm()
	n.lastAt, n.lastLocal = time.Duration(s.At), now
	n.clock = fleetClock{n.lastAt, now}
	return nil
}
