// Package checkpoint holds the replicated state of progress markers: a few keys with versions, from
// which the next leader of a role resumes the work where the previous leader stopped. A write can
// carry a role and a term as a fencing token, and is rejected if the term is old. It can also name
// the version that its writer has read (compare and set).
//
// Machine is a deterministic state machine: it does no I/O and reads no clock. The texts of its
// errors are part of replicated answers, so every version of the program must produce the same
// texts.
package checkpoint

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
)

// MachineName is the name of this state machine in the replicated state.
const MachineName = "standing"

// Limits of the state.
const (
	MaxKeys       = 4096
	MaxValueBytes = 16 << 10

	maxKeyBytes = 256
)

// Command sets a key, or deletes it if the value is empty.
type Command struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// ExpectedVersion is the version that the key must have. 0 means that the key must be absent,
	// nil that any version is accepted.
	ExpectedVersion *uint64 `json:"if,omitempty"`
	// Role and Term are the fencing token. An empty Role means that there is none.
	Role string `json:"duty,omitempty"`
	Term uint64 `json:"term,omitempty"`
}

// Entry is a key with its value and version.
type Entry struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"version"` // index of the log entry that wrote it; 0 if the key is absent
}

// Result is the answer to a Command, with the key's entry after the command.
type Result struct {
	OK     bool   `json:"ok"`
	Reason string `json:"why,omitempty"` // why it is not OK
	Entry
}

// Fence rejects commands of members that do not lead a role.
type Fence interface {
	// Fence returns an error unless the member leads the role, and the term is the newest one.
	Fence(role string, term uint64, member lease.Member) error
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	fence   Fence
	entries map[string]Entry // by key
}

// NewMachine returns an empty state machine. The fence is the table of leases of the same
// replicated state.
func NewMachine(f Fence) *Machine { return &Machine{f, map[string]Entry{}} }

// Apply applies a Command and returns a Result, both as JSON.
func (m *Machine) Apply(_ time.Duration, index uint64, member lease.Member, body []byte) []byte {
	var command Command
	err := json.Unmarshal(body, &command)
	if err == nil {
		err = m.set(index, member, &command)
	}
	r := Result{OK: err == nil, Entry: m.entries[command.Key]}
	r.Key = command.Key
	if err != nil {
		r.Reason = err.Error()
	}
	return mustjson.Marshal(r)
}

var errVersionMismatch = errors.New("standing: it was written since")

// set checks a command and applies it.
func (m *Machine) set(index uint64, member lease.Member, command *Command) error {
	if command.Role != "" {
		if err := m.fence.Fence(command.Role, command.Term, member); err != nil {
			return err
		}
	}
	current, exists := m.entries[command.Key]
	if command.ExpectedVersion != nil && *command.ExpectedVersion != current.Version {
		return errVersionMismatch
	}
	if command.Key == "" || len(command.Key) > maxKeyBytes || len(command.Value) > MaxValueBytes {
		return fmt.Errorf("standing: a key of up to %d bytes and a value of up to %d wanted",
			maxKeyBytes, MaxValueBytes)
	}
	if command.Value == "" {
		delete(m.entries, command.Key)
		return nil
	}
	if !exists && len(m.entries) >= MaxKeys {
		return fmt.Errorf("standing: %d keys are the most", MaxKeys)
	}
	m.entries[command.Key] = Entry{command.Key, command.Value, index}
	return nil
}

// Query returns the Entry of the key that the body names, as JSON.
func (m *Machine) Query(_ time.Duration, body []byte) []byte {
	e := m.entries[string(body)]
	e.Key = string(body)
	return mustjson.Marshal(e)
}

// Snapshot returns the state as JSON. Equal states give equal bytes: maps are encoded in the order
// of their keys.
func (m *Machine) Snapshot() []byte { return mustjson.Marshal(m.entries) }

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(raw []byte) error {
	entries := map[string]Entry{}
	if err := json.Unmarshal(raw, &entries); err != nil {
		return fmt.Errorf("standing: %w", err)
	}
	m.entries = entries
	return nil
}
