// Package endpointlist is the list of servers as the one gateway has it that watches the register for the fleet: a
// part of the agreed state, written only under the newest term of that duty. What a server is, is not its concern.
//
// Nothing here does I/O or looks at a clock.
package endpointlist

import (
	"encoding/json"
	"fmt"
	"time"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
)

// MachineName is what the agreed state calls it, and Duty the duty of watching.
const (
	MachineName = "roster"
	Role        = "register"
)

// Op is the watcher's word: what has changed, or that nothing has.
type Op struct {
	Term    uint64                     `json:"term"`
	Whole   bool                       `json:"whole,omitempty"`   // Changed is the whole list
	Changed map[string]json.RawMessage `json:"changed,omitempty"` // by id; null: gone
}

// Head tells of the list without giving it.
type Head struct {
	Term    uint64       `json:"term"` // 0: nobody has watched yet
	Owner   lease.Member `json:"owner"`
	Version uint64       `json:"version"` // counts the changes
	Beat    uint64       `json:"beat"`    // counts the words
}

// List is the list as well.
type List struct {
	Head
	Servers map[string]json.RawMessage `json:"servers"`
}

// Fence refuses a word under an old term.
type Fence interface {
	Fence(duty string, term uint64, who lease.Member) error
}

// Machine is it as a part of the agreed state.
type Machine struct {
	fence   Fence
	list    List
	changes uint64
}

// NewMachine makes a machine that asks a table of duties, of the same agreed state, who watches.
func NewMachine(f Fence) *Machine {
	return &Machine{fence: f, list: List{Servers: map[string]json.RawMessage{}}}
}

// Apply takes an Op in. Its answer is empty, or why it was refused.
func (m *Machine) Apply(_ time.Duration, _ uint64, who lease.Member, body []byte) []byte {
	var op Op
	if err := json.Unmarshal(body, &op); err != nil {
		return []byte(err.Error())
	}
	if err := m.fence.Fence(Role, op.Term, who); err != nil {
		return []byte(err.Error())
	}
	if op.Term != m.list.Term && !op.Whole {
		return []byte("roster: the first word of a term has to be the whole list")
	}
	m.changes++
	m.list.Beat++
	m.list.Term, m.list.Owner = op.Term, who
	if op.Whole {
		m.list.Servers = map[string]json.RawMessage{}
	}
	if op.Whole || len(op.Changed) > 0 {
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

// Query gives a Head; for the body "list" a List.
func (m *Machine) Query(_ time.Duration, body []byte) []byte {
	if string(body) == "list" {
		return m.Snapshot()
	}
	return mustjson.Marshal(m.list.Head)
}

// Changes counts the words taken in.
func (m *Machine) Changes() uint64 { return m.changes }

// Snapshot writes the state: the same text for the same state.
func (m *Machine) Snapshot() []byte { return mustjson.Marshal(m.list) }

// Restore reads what Snapshot wrote.
func (m *Machine) Restore(raw []byte) error {
	l := List{Servers: map[string]json.RawMessage{}}
	if err := json.Unmarshal(raw, &l); err != nil {
		return fmt.Errorf("roster: %w", err)
	}
	m.list = l
	m.changes++
	return nil
}
