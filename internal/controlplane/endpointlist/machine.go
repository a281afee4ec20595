// Package endpointlist is a state machine of the replicated log. It holds the endpoint list as one
// value, which the gateway that watches the registry on behalf of the fleet writes. Gateways read
// the complete list after every change.
//
// Package distribution has replaced this package, which remains because logs and snapshots of
// earlier builds contain its commands and state, and as the baseline of the capacity measurements.
//
// The state machine does not interpret endpoints. It does no I/O and reads no clock.
package endpointlist

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
)

const (
	// MachineName is the name of this state machine in the replicated log.
	MachineName = "roster"
	// Role is the role of the gateway that watches the registry.
	Role = "register"
)

// Op is a command of the role's leader: the changes since its last command, or a heartbeat if there
// are none.
type Op struct {
	Term uint64 `json:"term"`
	// Complete is set if Changed is the complete list.
	Complete bool `json:"whole,omitempty"`
	// Changed has servers by id; null for a removed one.
	Changed map[string]json.RawMessage `json:"changed,omitempty"`
}

// Head describes the list without its content.
type Head struct {
	// Term is the term of the last command; 0 if there was none.
	Term uint64 `json:"term"`
	// Leader is the member that sent the last command.
	Leader lease.Member `json:"owner"`
	// Version counts the commands that contained changes or the complete list.
	Version uint64 `json:"version"`
	// Heartbeats counts all commands.
	Heartbeats uint64 `json:"beat"`
}

// List is the list with its content.
type List struct {
	Head
	// Servers are the servers by id.
	Servers map[string]json.RawMessage `json:"servers"`
}

// Fence rejects commands of former leaders.
type Fence interface {
	// Fence returns an error unless who holds the role under the term.
	Fence(role string, term uint64, who lease.Member) error
}

// errIncomplete rejects the first command of a term if it is not the complete list, because a new
// leader must not change a list that it did not write. Answers are part of the replicated state, so
// the text must not change.
var errIncomplete = errors.New("roster: the first word of a term has to be the whole list")

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	fence   Fence
	list    List
	changes uint64 // see Changes
}

// NewMachine returns an empty state machine. The fence has to be the lease table of the same
// replicated state.
func NewMachine(f Fence) *Machine {
	return &Machine{fence: f, list: List{Servers: map[string]json.RawMessage{}}}
}

// Apply applies an Op, encoded as JSON. The answer is empty, or says why the command was rejected.
func (m *Machine) Apply(_ time.Duration, _ uint64, who lease.Member, body []byte) []byte {
	var op Op
	err := json.Unmarshal(body, &op)
	if err == nil {
		err = m.apply(&op, who)
	}
	if err != nil {
		return []byte(err.Error())
	}
	return nil
}

func (m *Machine) apply(op *Op, who lease.Member) error {
	if err := m.fence.Fence(Role, op.Term, who); err != nil {
		return err
	}
	if op.Term != m.list.Term && !op.Complete {
		return errIncomplete
	}
	m.changes++
	m.list.Heartbeats++
	m.list.Term, m.list.Leader = op.Term, who
	if op.Complete {
		m.list.Servers = map[string]json.RawMessage{}
	}
	if op.Complete || len(op.Changed) > 0 {
		m.list.Version++
	}
	for id, server := range op.Changed {
		if string(server) == "null" {
			delete(m.list.Servers, id)
		} else {
			m.list.Servers[id] = server
		}
	}
	return nil
}

// Query returns the List for the body "list" and the Head for any other body, as JSON.
func (m *Machine) Query(_ time.Duration, body []byte) []byte {
	if string(body) == "list" {
		return m.Snapshot()
	}
	return mustjson.Marshal(m.list.Head)
}

// Changes counts the applied commands and restored snapshots. Watchers are notified when it grows.
func (m *Machine) Changes() uint64 { return m.changes }

// Snapshot returns the state as JSON. Equal states give equal bytes.
func (m *Machine) Snapshot() []byte { return mustjson.Marshal(m.list) }

// Restore replaces the state by that of a snapshot.
func (m *Machine) Restore(raw []byte) error {
	restored := List{Servers: map[string]json.RawMessage{}}
	if err := json.Unmarshal(raw, &restored); err != nil {
		return fmt.Errorf("roster: %w", err)
	}
	m.list = restored
	m.changes++
	return nil
}
