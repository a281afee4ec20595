package lease

import (
	"encoding/json"
	"errors"
	"time"

	"mothcleat/internal/mustjson"
)

// MachineName is the name of this state machine in the replicated state.
const MachineName = "duties"

// Action is what a Command does. Its values are stored in the log.
type Action string

const (
	// ActionAcquire calls Table.Acquire for the member that sends the command.
	ActionAcquire Action = "ask"
	// ActionRelease calls Table.Release.
	ActionRelease Action = "release"
	// ActionTransfer calls Table.Transfer.
	ActionTransfer Action = "hand"
	// ActionRequestTransfer calls Table.RequestTransfer.
	ActionRequestTransfer Action = "wish"
)

// Command is one command to the replicated table of leases.
type Command struct {
	Action Action `json:"do"`
	Role   string `json:"duty"`
	// Term is the term that the sender holds; for ActionAcquire, the newest term that the sender
	// knows it was granted.
	Term uint64 `json:"term,omitempty"`
	// To is the member to which ActionTransfer grants the lease. ActionRequestTransfer uses only
	// its id.
	To Member `json:"to,omitzero"`
}

// Result is the result of a Command.
type Result struct {
	OK     bool   `json:"ok"`
	Reason string `json:"why,omitempty"`    // text of the error if OK is false
	Lease  Lease  `json:"holding,omitzero"` // the lease after an ActionAcquire
	// Remaining is the time until another member's lease or the sender's exclusion expires, by the
	// fleet's clock.
	Remaining time.Duration `json:"left,omitempty"`
	TTL       time.Duration `json:"span,omitempty"` // see Table.RemainingTTL
}

// unknownCommand is the Reason in the Result of a command that can't be decoded.
const unknownCommand = "no such command to duties"

// Encode returns the command as JSON.
func (c Command) Encode() []byte { return mustjson.Marshal(c) }

// Machine is a Table as a state machine of the replicated state.
type Machine struct {
	*Table
	changes uint64
}

// NewMachine returns a state machine with an empty table.
func NewMachine(config Config) *Machine { return &Machine{Table: NewTable(config)} }

// Apply applies a Command and returns a Result, both as JSON.
func (m *Machine) Apply(now time.Duration, _ uint64, member Member, body []byte) []byte {
	var command Command
	if err := json.Unmarshal(body, &command); err != nil || command.Role == "" {
		return mustjson.Marshal(Result{Reason: unknownCommand})
	}
	termBefore := m.Term(command.Role)
	var l Lease
	var err error
	switch command.Action {
	case ActionAcquire:
		l, err = m.acquire(now, member, &command)
	case ActionRelease:
		err = m.Release(now, command.Role, command.Term, member)
	case ActionTransfer:
		err = m.Transfer(now, command.Role, command.Term, member, command.To)
	case ActionRequestTransfer:
		err = m.RequestTransfer(command.Role, command.To.ID)
		if err == nil {
			m.changes++
		}
	default:
		return mustjson.Marshal(Result{Reason: unknownCommand})
	}
	if m.Term(command.Role) != termBefore {
		m.changes++
	}
	return mustjson.Marshal(m.result(now, &command, l, err))
}

// acquire applies an ActionAcquire. It counts a holder's confirmation of its grant as a change.
func (m *Machine) acquire(now time.Duration, member Member, command *Command) (Lease, error) {
	before := m.leases[command.Role]
	wasUnconfirmed := before != nil && before.Unconfirmed
	l, err := m.Acquire(now, command.Role, member, command.Term)
	if wasUnconfirmed && err == nil && !l.Unconfirmed {
		m.changes++
	}
	return l, err
}

// result returns the Result of a command from the lease or the error that it produced.
func (m *Machine) result(now time.Duration, command *Command, l Lease, err error) Result {
	r := Result{OK: err == nil, Lease: l}
	if err != nil {
		r.Reason = err.Error()
		r.Remaining = l.ExpiresAt - now
		if errors.Is(err, ErrExcluded) {
			r.Remaining = l.ExcludedUntil - now
		}
	} else if command.Action == ActionAcquire {
		r.TTL = m.RemainingTTL(now, &l)
	}
	return r
}

// RejectEarly returns the Result of a request for a lease that another member holds, so that the
// request needs no entry in the log. It returns false if the command has to be proposed.
func (m *Machine) RejectEarly(now time.Duration, member Member, body []byte) ([]byte, bool) {
	var command Command
	if json.Unmarshal(body, &command) != nil || command.Action != ActionAcquire {
		return nil, false
	}
	l, held := m.HeldByOther(now, command.Role, member)
	if !held {
		return nil, false
	}
	return mustjson.Marshal(m.result(now, &command, l, ErrHeld)), true
}

// View is the result of a Query.
type View struct {
	At      time.Duration `json:"at"` // by the fleet's clock
	Leases  []Lease       `json:"duties"`
	History []Lease       `json:"history,omitempty"`
}

// Query returns a View as JSON. It includes the history of the role whose name is in the body, if
// any.
func (m *Machine) Query(now time.Duration, body []byte) []byte {
	v := View{At: now, Leases: m.Leases()}
	if len(body) > 0 {
		v.History = m.History(string(body))
	}
	return mustjson.Marshal(v)
}

// Changes returns the number of changes of leases so far, so that watchers can detect changes.
func (m *Machine) Changes() uint64 { return m.changes }

// Restore replaces the state by that of a snapshot. It counts as a change.
func (m *Machine) Restore(snapshot []byte) error {
	m.changes++
	return m.Table.Restore(snapshot)
}
