package consensus

import (
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3"

	"mothcleat/internal/controlplane/lease"
)

// defaultKeepEntries is the default of Config.KeepEntries.
const defaultKeepEntries = 4096

// StateMachine is a part of the replicated state. Every voter applies the same commands in the same
// order and has to reach the same state: only the arguments may decide.
type StateMachine interface {
	// Apply applies a member's command and returns its answer. The time now is the fleet's, the
	// index that of the log entry.
	Apply(now time.Duration, index uint64, member lease.Member, body []byte) []byte
	// Query reads the state; the time now is the fleet's as the leader has it.
	Query(now time.Duration, body []byte) []byte
	// Snapshot returns the state. Equal states have to give equal bytes.
	Snapshot() []byte
	// Restore replaces the state by that of a snapshot.
	Restore(state []byte) error
}

// EarlyRejecter is a StateMachine that can tell beforehand that a command would change nothing.
// Such a command is answered without an entry in the log.
type EarlyRejecter interface {
	RejectEarly(
		now time.Duration, member lease.Member, body []byte,
	) (answer []byte, rejected bool)
}

// Config is how a voter is set up.
type Config struct {
	Number        uint64                  // the voter's raft id, never 0
	StateMachines map[string]StateMachine // by name
	Random        *rand.Rand              // for election timeouts

	// ElectionTicks is after how many ticks without a message from a leader a voter campaigns:
	// after once to twice as many.
	ElectionTicks int
	// HeartbeatTicks is how many ticks there are between two heartbeats of a leader.
	HeartbeatTicks int
	// KeepEntries is how many applied entries stay in the log behind a snapshot; 0 means 4,096. A
	// snapshot is made when twice as many have been applied since the last one.
	KeepEntries uint64
	Logger      raft.Logger
}
