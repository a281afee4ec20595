package distribution

import (
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustproto"
)

// Names in the replicated state.
const (
	// MachineName is the name of the state machine.
	MachineName = "distribution"
	// Role is the role whose leader watches the registry on behalf of the fleet.
	Role = "register"
)

// Fence rejects commands of former leaders.
type Fence interface {
	// Fence returns an error unless the member holds the role under the term, which is the fencing
	// token.
	Fence(role string, term uint64, member lease.Member) error
}

// Update describes what a command or a snapshot changed.
type Update struct {
	// State is the state after the change. It is never modified afterwards and may be read by other
	// goroutines.
	State *State
	// Delta is nil if the command changed nothing, as a heartbeat of the source does, and if
	// Restored is set.
	Delta *Delta
	// Term is the term of the source.
	Term uint64

	// Restored is set if a snapshot replaced the state. The changes since the last update are then
	// unknown.
	Restored bool
}

// Machine is the replicated state machine of the control state. It implements consensus.Machine and
// is not safe for concurrent use.
type Machine struct {
	// Updated is called by Apply after each accepted command, and by Restore after each restored
	// snapshot. It may be nil.
	Updated func(Update)

	fence Fence
	state *State
	// term is the term of the last accepted command.
	term uint64
	// owner is the member that proposed that command.
	owner   lease.Member
	changes uint64
}

// NewMachine returns a machine without records. The fence must be the lease table of the same
// replicated state.
func NewMachine(fence Fence) *Machine { return &Machine{fence: fence, state: NewState()} }

// State returns a copy of the machine's state.
func (m *Machine) State() *State { return m.state.Clone() }

// Apply applies an encoded Command. It returns nil if the command was accepted. Otherwise the
// command changes nothing, and Apply returns the text of the error. The text becomes part of the
// replicated state, so every version of the program must return the same.
func (m *Machine) Apply(_ time.Duration, _ uint64, member lease.Member, body []byte) []byte {
	delta, err := m.apply(member, body)
	if err != nil {
		return []byte(err.Error())
	}
	m.changes++
	m.notify(Update{Delta: delta})
	return nil
}

func (m *Machine) apply(member lease.Member, body []byte) (*Delta, error) {
	var command distributionpb.Command
	if err := proto.Unmarshal(body, &command); err != nil {
		return nil, &InvalidMessageError{"command", err.Error()}
	}
	if err := m.fence.Fence(Role, command.Term, member); err != nil {
		return nil, err
	}
	if command.Term != m.term && !command.Complete {
		if err := m.checkBase(command.Base); err != nil {
			return nil, err
		}
	}
	if m.state.Empty() && command.Epoch == 0 {
		return nil, &InvalidMessageError{"command", "the first of a lineage has to give its epoch"}
	}
	changes, err := commandChanges(&command)
	if err != nil {
		return nil, err
	}
	if command.Complete {
		changes = m.difference(changes)
	}
	m.term, m.owner = command.Term, member
	return m.state.advance(command.Epoch, changes), nil
}

// missingBaseReason is the reason for rejecting a term's first command if it has no base.
const missingBaseReason = "the first of a term has to be the complete state, " +
	"or to say what it is a difference to"

// checkBase rejects the first command of a term if its base is not the state's position. The last
// command of an earlier leader may have been committed after the new leader read the state.
func (m *Machine) checkBase(base *distributionpb.Position) error {
	if base.GetEpoch() == 0 {
		return &InvalidMessageError{"command", missingBaseReason}
	}
	position, err := PositionFromProto(base)
	if err != nil {
		return err
	}
	if current := m.state.Position(); position != current {
		return &WrongBaseError{Have: current, Got: position}
	}
	return nil
}

// commandChanges reads a command's changes and sorts them. It rejects invalid changes, two changes
// of one key, and deletions in a complete state.
func commandChanges(command *distributionpb.Command) ([]Change, error) {
	changes, err := ChangesFromProto(command.Changes)
	if err != nil {
		return nil, err
	}
	newest := mergeEntries([]logEntry{{changes: changes}})
	if len(newest) != len(changes) {
		return nil, &InvalidMessageError{"command", "it has two changes of one key"}
	}
	if command.Complete {
		for i := range newest {
			if newest[i].Deleted {
				return nil, &InvalidRecordError{
					newest[i].Kind, newest[i].ID, "it is deleted in a complete state",
				}
			}
		}
	}
	return newest, nil
}

// difference returns the changes that lead from the current state to the given complete state.
func (m *Machine) difference(complete []Change) []Change {
	next := NewState()
	next.commit(next.stage(complete), 0, 0)
	return m.state.Difference(next)
}

func (m *Machine) notify(u Update) {
	if m.Updated != nil {
		u.State, u.Term = m.state.Clone(), m.term
		m.Updated(u)
	}
}

// QuerySnapshot is the body of a Query for the complete state.
const QuerySnapshot = "whole"

// Query returns an encoded Snapshot if the body is QuerySnapshot, and otherwise an encoded
// Heartbeat with the position and the term.
func (m *Machine) Query(_ time.Duration, body []byte) []byte {
	if string(body) == QuerySnapshot {
		return m.Snapshot()
	}
	return mustproto.Marshal(&distributionpb.Heartbeat{
		Position: m.state.Position().Proto(),
		Term:     m.term,
	})
}

// Changes returns the number of accepted commands and restored snapshots.
func (m *Machine) Changes() uint64 { return m.changes }

// Snapshot returns the encoded machine. Equal machines return equal bytes.
func (m *Machine) Snapshot() []byte {
	return mustproto.Marshal(&distributionpb.Snapshot{
		Position:         m.state.Position().Proto(),
		Term:             m.term,
		OwnerId:          m.owner.ID,
		OwnerIncarnation: m.owner.Incarnation,
		Records:          recordsProto(m.state),
	})
}

// Restore replaces the machine's state by a snapshot. It returns an InvalidMessageError,
// InvalidRecordError or DigestMismatchError and keeps the current state if the snapshot can't be
// decoded or does not match its digest.
func (m *Machine) Restore(raw []byte) error {
	var snapshot distributionpb.Snapshot
	if err := proto.Unmarshal(raw, &snapshot); err != nil {
		return &InvalidMessageError{"snapshot", err.Error()}
	}
	state, err := stateFromProto(snapshot.Position, snapshot.Records)
	if err != nil {
		return err
	}
	m.state, m.term = state, snapshot.Term
	m.owner = lease.Member{ID: snapshot.OwnerId, Incarnation: snapshot.OwnerIncarnation}
	m.changes++
	m.notify(Update{Restored: true})
	return nil
}
