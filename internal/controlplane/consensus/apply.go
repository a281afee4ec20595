package consensus

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// applyEntry applies a committed entry.
func (n *Node) applyEntry(now time.Duration, e *raftpb.Entry) error {
	n.appliedIndex = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		var change raftpb.ConfChangeV2
		if err := proto.Unmarshal(e.Data, &change); err != nil {
			return fmt.Errorf("consensus: entry %d: %w", n.appliedIndex, err)
		}
		if err := n.applyVoterChange(&change); err != nil {
			return err
		}
	case raftpb.EntryConfChange:
		return fmt.Errorf("consensus: entry %d: a voter change in the ConfChange format, "+
			"which this program never writes", n.appliedIndex)
	default:
		if len(e.Data) == 0 {
			break // a new leader's first entry
		}
		var entry controlpb.Entry
		if err := proto.Unmarshal(e.Data, &entry); err != nil {
			return fmt.Errorf("consensus: entry %d: %w", n.appliedIndex, err)
		}
		if err := n.applyCommand(now, &entry); err != nil {
			return err
		}
	}
	n.sessions.log.commit(n.appliedIndex)
	if n.appliedTerm != e.GetTerm() {
		n.appliedTerm = e.GetTerm()
		// The leader of this term gives timestamps from here on, and counts from the newest
		// timestamp that it has applied.
		n.clock.resetTo(n.lastTimestamp, n.lastAppliedAt)
	}
	if n.appliedIndex-n.snapshotIndex >= 2*n.config.KeepEntries {
		return n.CreateSnapshot()
	}
	return nil
}

// applyCommand applies a command if it was not applied before, and completes the requests that wait
// for it.
func (n *Node) applyCommand(now time.Duration, e *controlpb.Entry) error {
	timestamp := max(time.Duration(e.At), n.lastTimestamp)
	n.lastTimestamp = timestamp
	n.lastAppliedAt = now
	n.clock.observe(timestamp, now)
	if e.Session == 0 {
		n.applyOpen(timestamp, e.Member)
		return nil
	}
	s, answer, wasApplied, code := n.sessions.lookup(e.Session, e.Seq)
	if s != nil {
		s.lastSeen = timestamp
		s.acknowledge(e.AckedSeq)
	}
	if code == controlpb.Code_OK && !wasApplied {
		if e.Machine != "" { // a command for no machine only keeps the session alive
			machine := n.config.StateMachines[e.Machine]
			if machine == nil {
				return fmt.Errorf("consensus: entry %d is for state machine %q, which this "+
					"program does not know; a newer version wrote it", n.appliedIndex, e.Machine)
			}
			answer = machine.Apply(timestamp, n.appliedIndex, s.member, e.Body)
		}
		s.answers[e.Seq] = answer
	}
	for _, tag := range n.pendingCommands[e.Session][e.Seq] {
		n.addCompletion(tag, &controlpb.Answer{Code: code, Body: answer})
	}
	delete(n.pendingCommands[e.Session], e.Seq)
	if len(n.pendingCommands[e.Session]) == 0 {
		delete(n.pendingCommands, e.Session)
	}
	return nil
}

// applyOpen ends the sessions that have expired, and opens a session for a member.
func (n *Node) applyOpen(timestamp time.Duration, of *controlpb.Member) {
	n.sessions.expire(timestamp)
	member := lease.Member{ID: of.GetId(), Incarnation: of.GetIncarnation()}
	number, code := n.sessions.open(n.appliedIndex, member, of.GetAddress(), timestamp)
	answer := &controlpb.Answer{Code: code, Session: number}
	if code == controlpb.Code_SUPERSEDED {
		answer.Reason = supersededReason(member)
	}
	for _, tag := range n.pendingOpens[member] {
		n.addCompletion(tag, answer)
	}
	delete(n.pendingOpens, member)
}

// applyVoterChange applies a committed change of voters. A change without content ends a joint
// configuration.
func (n *Node) applyVoterChange(change *raftpb.ConfChangeV2) error {
	if len(change.Changes) == 0 {
		n.confState = n.rawNode.ApplyConfChange(change)
		return nil
	}
	removes := change.Changes[0].GetType() == raftpb.ConfChangeRemoveNode
	v := &controlpb.Voter{}
	if err := proto.Unmarshal(change.Context, v); err != nil {
		return fmt.Errorf("consensus: entry %d: %w", n.appliedIndex, err)
	}
	if removes {
		delete(n.voters, v.Number)
	} else {
		n.voters[v.Number] = v
	}
	for _, tag := range n.pendingVoterChanges {
		n.addCompletion(tag, &controlpb.Answer{})
	}
	n.pendingVoterChanges = nil
	n.confState = n.rawNode.ApplyConfChange(change)
	if removes {
		return nil
	}
	// The new voter starts from a snapshot, and rejects a snapshot that does not list it as a
	// voter.
	return n.CreateSnapshot()
}
