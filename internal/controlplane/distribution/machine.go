package distribution

import (
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/controlplane/lease"
)

// MachineName is what the agreed state calls the machine, and Duty the duty of watching the
// register for the fleet.
const (
	MachineName = "distribution"
	Role        = "register"
)

// Fence refuses a command under an old term.
type Fence interface {
	Fence(duty string, term uint64, who lease.Member) error
}

// Update tells what a command, or a snapshot, made of a machine's state.
type Update struct {
	State *State // never changed afterwards: it may be read by other goroutines
	Delta *Delta // nil: nothing has changed, the source has said that it lives; or Restored
	Term  uint64 // of the source

	Restored bool // the state was replaced by a snapshot: nothing is known of what lies between
}

// Machine is the control state as a part of the agreed state: an agree.Machine.
type Machine struct {
	// Updated is called after each command that was taken in and after Restore, from within Apply
	// and Restore. It may be nil.
	Updated func(Update)

	fence   Fence
	state   *State
	term    uint64 // the last that spoke
	owner   lease.Member
	changes uint64
}

// NewMachine makes a machine without records. The fence is the table of duties of the same agreed
// state.
func NewMachine(f Fence) *Machine { return &Machine{fence: f, state: NewState()} }

// State is the machine's state at the moment, as a copy.
func (m *Machine) State() *State { return m.state.Clone() }

// Apply takes an encoded Command in. Its answer is empty, or why the command was refused; one that
// is refused changes nothing.
func (m *Machine) Apply(_ time.Duration, _ uint64, who lease.Member, body []byte) []byte {
	delta, err := m.apply(who, body)
	if err != nil {
		return []byte(err.Error())
	}
	m.changes++
	m.notify(Update{Delta: delta})
	return nil
}

func (m *Machine) apply(who lease.Member, body []byte) (*Delta, error) {
	var command distributionpb.Command
	if err := proto.Unmarshal(body, &command); err != nil {
		return nil, &InvalidMessageError{"command", err.Error()}
	}
	if err := m.fence.Fence(Role, command.Term, who); err != nil {
		return nil, err
	}
	if command.Term != m.term && !command.Whole {
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
	if command.Whole {
		changes = m.difference(changes)
	}
	m.term, m.owner = command.Term, who
	return m.state.advance(command.Epoch, changes), nil
}

// checkBase refuses the first command of a term where it is a difference to something else than the
// state: what an earlier owner said last may have come in after the new one had looked.
func (m *Machine) checkBase(base *distributionpb.Position) error {
	if base.GetEpoch() == 0 {
		return &InvalidMessageError{
			"command",
			"the first of a term has to be the whole state, or to say what it is a difference to",
		}
	}
	at, err := PositionFromProto(base)
	if err != nil {
		return err
	}
	if mine := m.state.Position(); at != mine {
		return &WrongBaseError{Have: mine, Got: at}
	}
	return nil
}

// commandChanges reads and checks a command's changes: one a key, and no deletions in a whole
// state.
func commandChanges(command *distributionpb.Command) ([]Change, error) {
	changes, err := ChangesFromProto(command.Changes)
	if err != nil {
		return nil, err
	}
	newest := merge([]logEntry{{changes: changes}})
	if len(newest) != len(changes) {
		return nil, &InvalidMessageError{"command", "it has two changes of one key"}
	}
	if command.Whole {
		for i := range newest {
			if newest[i].Deleted {
				return nil, &InvalidRecordError{
					newest[i].Kind, newest[i].ID, "it is deleted in a whole state",
				}
			}
		}
	}
	return newest, nil
}

// difference turns the whole state into the changes that lead to it.
func (m *Machine) difference(whole []Change) []Change {
	next := NewState()
	next.commit(next.stage(whole), 0, 0)
	return m.state.Difference(next)
}

func (m *Machine) notify(u Update) {
	if m.Updated != nil {
		u.State, u.Term = m.state.Clone(), m.term
		m.Updated(u)
	}
}

// QuerySnapshot has Query give the whole state.
const QuerySnapshot = "whole"

// Query gives an encoded Heartbeat with position and term; for the body QueryWhole an encoded
// Snapshot.
func (m *Machine) Query(_ time.Duration, body []byte) []byte {
	if string(body) == QuerySnapshot {
		return m.Snapshot()
	}
	return encode(&distributionpb.Heartbeat{Position: m.state.Position().Proto(), Term: m.term})
}

// Changes counts the commands taken in.
func (m *Machine) Changes() uint64 { return m.changes }

// Snapshot writes the machine: the same bytes for the same state.
func (m *Machine) Snapshot() []byte {
	return encode(&distributionpb.Snapshot{
		Position:         m.state.Position().Proto(),
		Term:             m.term,
		OwnerId:          m.owner.ID,
		OwnerIncarnation: m.owner.Incarnation,
		Records:          recordsProto(m.state),
	})
}

// Restore reads what Snapshot wrote. It returns an error and leaves the machine as it is for a
// snapshot that can't be read or doesn't fit its digest.
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
