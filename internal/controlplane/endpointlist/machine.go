// Package endpointlist is a state machine of the replicated log that holds the endpoint list as one
// value, written by the gateway that watches the register for all. It distributes the complete list
// at every change, and package distribution has taken its place. It stays since logs and snapshots
// of earlier builds hold its commands, and as the baseline of the capacity measurements.
//
// It does not interpret endpoints. It does no I/O and reads no clock.
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
	// Role is the role of the gateway that watches the register.
	Role = "register"
)

// Op is a command of the register's watcher: what has changed since its last one, or that nothing
// has.
type Op struct {
	Term     uint64                     `json:"term"`
	Complete bool                       `json:"whole,omitempty"`   // Changed is the complete list
	Changed  map[string]json.RawMessage `json:"changed,omitempty"` // by id; null: removed
}

// Head describes the list without its content.
type Head struct {
	Term       uint64       `json:"term"` // 0: no list was written yet
	Leader     lease.Member `json:"owner"`
	Version    uint64       `json:"version"` // counts the changes
	Heartbeats uint64       `json:"beat"`    // counts the commands
}

// List is the list with its content.
type List struct {
	Head
	Servers map[string]json.RawMessage `json:"servers"`
}

// Fence refuses a command under an old term.
type Fence interface {
	Fence(role string, term uint64, who lease.Member) error
}

// errIncomplete refuses a new leader's command that would change a list it did not write.
var errIncomplete = errors.New("roster: the first word of a term has to be the whole list")

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	fence   Fence
	list    List
	changes uint64
}

// NewMachine returns an empty state machine. The fence is the lease table of the same replicated
// state.
func NewMachine(f Fence) *Machine {
	return &Machine{fence: f, list: List{Servers: map[string]json.RawMessage{}}}
}

// Apply applies an Op. The answer is empty, or says why the command was refused.
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

// Query returns the List for the body "list" and the Head for any other, as JSON.
func (m *Machine) Query(_ time.Duration, body []byte) []byte {
	if string(body) == "list" {
		return m.Snapshot()
	}
	return mustjson.Marshal(m.list.Head)
}

// Changes counts the commands that were applied, so that watchers are notified of each.
func (m *Machine) Changes() uint64 { return m.changes }

// Snapshot returns the state as JSON; equal states give equal bytes.
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
