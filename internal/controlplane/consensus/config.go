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
// order and has to reach the same state, so the result may depend only on the state and the
// arguments.
type StateMachine interface {
	// Apply applies a member's command and returns its answer. The time now is the fleet's time,
	// and index is the index of the log entry.
	Apply(now time.Duration, index uint64, member lease.Member, body []byte) []byte
	// Query reads the state. The time now is the fleet's time by the leader's clock.
	Query(now time.Duration, body []byte) []byte
	// Snapshot returns the state. Equal states have to give equal bytes.
	Snapshot() []byte
	// Restore replaces the state with the state of a snapshot.
	Restore(state []byte) error
}

// EarlyRejecter is a StateMachine that can detect before the proposal that a command would change
// nothing. Such a command is answered without an entry in the log.
type EarlyRejecter interface {
	RejectEarly(
		now time.Duration, member lease.Member, body []byte,
	) (answer []byte, rejected bool)
}

// Config configures a voter.
type Config struct {
	Number        uint64                  // the voter's raft id, never 0
	StateMachines map[string]StateMachine // by name
	Random        *rand.Rand              // for election timeouts

	// ElectionTicks is the shortest time, in ticks, without a message from a leader after which a
	// voter campaigns. The time is drawn between ElectionTicks and twice as many.
	ElectionTicks int
	// HeartbeatTicks is the interval between two heartbeats of a leader, in ticks.
	HeartbeatTicks int
	// KeepEntries is how many applied entries stay in the log before a snapshot; 0 means 4,096. A
	// snapshot is made when twice as many entries were applied since the last one.
	KeepEntries uint64
	Logger      raft.Logger
}
