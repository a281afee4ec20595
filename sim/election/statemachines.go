package election

import (
	"encoding/json"
	"fmt"
	"time"

	"mothcleat/internal/controlplane/checkpoint"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
)

// wordListName is the name of the wordList in the replicated state.
const wordListName = "ledger"

// newStateMachines returns the state machines of a voter.
func newStateMachines(v *voter) map[string]consensus.StateMachine {
	leases := lease.NewMachine(lease.DefaultConfig())
	return map[string]consensus.StateMachine{
		lease.MachineName:      leases,
		checkpoint.MachineName: observedCheckpoint{checkpoint.NewMachine(leases), v},
		wordListName:           &wordList{voter: v, known: map[string]bool{}},
	}
}

// wordList is a state machine that keeps words, each once, and reports applied words to the checker.
type wordList struct {
	voter *voter
	words []string
	known map[string]bool
}

// Apply appends a word and returns the number of words.
func (l *wordList) Apply(_ time.Duration, index uint64, _ lease.Member, body []byte) []byte {
	word := string(body)
	world := l.voter.process.world
	if l.known[word] {
		world.breach(RuleAppliedOnce, "%s was applied twice", word)
	}
	l.words = append(l.words, word)
	l.known[word] = true
	world.recordApplied(l.voter, index, word)
	return fmt.Appendf(nil, "%d", len(l.words))
}

// Query returns the number of words.
func (l *wordList) Query(time.Duration, []byte) []byte {
	return fmt.Appendf(nil, "%d", len(l.words))
}

// Snapshot returns the words as JSON.
func (l *wordList) Snapshot() []byte { return mustjson.Marshal(l.words) }

// Restore replaces the words with those of a snapshot.
func (l *wordList) Restore(snapshot []byte) error {
	l.words = nil
	err := json.Unmarshal(snapshot, &l.words)
	l.known = map[string]bool{}
	for _, word := range l.words {
		l.known[word] = true
	}
	return err
}

// observedCheckpoint is the state machine of checkpoints. It reports applied commands to the checker.
type observedCheckpoint struct {
	*checkpoint.Machine
	voter *voter
}

// Apply applies a command, and records it as an effect of the role's leader.
func (m observedCheckpoint) Apply(
	now time.Duration, index uint64, member lease.Member, body []byte,
) []byte {
	answer := m.Machine.Apply(now, index, member, body)
	var command checkpoint.Command
	var result checkpoint.Result
	if json.Unmarshal(body, &command) != nil || json.Unmarshal(answer, &result) != nil {
		return answer
	}
	if !result.OK {
		return answer
	}
	world := m.voter.process.world
	world.recordApplied(m.voter, index, fmt.Sprintf("%s %d %s", command.Key, command.Term, member))
	world.recordEffect(index, command.Term, member)
	return answer
}
