package controlplane

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// proposeTimeout is the deadline of a proposal, from reading the file to the commit.
	proposeTimeout = 20 * time.Second

	// proposalResultTTL is how long the result of a proposal is kept for a repeated call.
	proposalResultTTL = time.Minute

	// proposalAnswerMargin is the part of a call's time that is reserved for sending its answer.
	proposalAnswerMargin = 50 * time.Millisecond
)

// ErrProposalInProgress is the error of a call that ends before its proposal does. Operators' tools
// recognize the error by its text.
var ErrProposalInProgress = errors.New(
	"the proposal is in progress: make the same call again for its result")

// proposals holds the operators' proposals that are in progress or whose result has not been
// returned yet. An operator's call must be answered within a second, but reading a large content
// and copying it to the voters takes longer. A proposal therefore continues after its call has
// ended, and a repeated call returns its result. The methods are safe for concurrent use.
type proposals struct {
	mu    sync.Mutex
	byKey map[string]*proposal
}

// proposal is one proposal. number and err are set before done is closed.
type proposal struct {
	done   chan struct{}
	expiry time.Time // of the result; zero: the proposal is in progress
	number uint64
	err    error
}

// proposalKey returns the key by which a repeated call is recognized: the call's arguments, and the
// size and modification time of the file that they name.
func proposalKey(arguments []string, path string) string {
	key := strings.Join(arguments, " ")
	info, err := os.Stat(path)
	if err != nil {
		return key
	}
	return fmt.Sprintf("%s\n%d bytes of %d", key, info.Size(), info.ModTime().UnixNano())
}

// do starts a proposal, unless one with the same key is in progress or has a result, and waits for
// the result until shortly before the call's deadline. The proposal's own context ends with parent
// or after proposeTimeout.
func (p *proposals) do(call, parent context.Context, key string,
	run func(context.Context) (uint64, error)) (uint64, error) {
	current := p.start(parent, key, run)
	deadline, limited := call.Deadline()
	if limited {
		var cancel context.CancelFunc
		call, cancel = context.WithDeadline(call, deadline.Add(-proposalAnswerMargin))
		defer cancel()
	}
	select {
	case <-current.done:
		p.remove(key, current)
		return current.number, current.err
	case <-call.Done():
		return 0, ErrProposalInProgress
	}
}

// start returns the proposal of a key. It starts the proposal if there is none.
func (p *proposals) start(parent context.Context, key string,
	run func(context.Context) (uint64, error)) *proposal {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired()
	if current := p.byKey[key]; current != nil {
		return current
	}
	if p.byKey == nil {
		p.byKey = map[string]*proposal{}
	}
	current := &proposal{done: make(chan struct{})}
	p.byKey[key] = current
	go func() {
		ctx, cancel := context.WithTimeout(parent, proposeTimeout)
		defer cancel()
		current.number, current.err = run(ctx)
		p.mu.Lock()
		current.expiry = time.Now().Add(proposalResultTTL)
		p.mu.Unlock()
		close(current.done)
	}()
	return current
}

// dropExpired removes results that no call has requested in time. The caller holds p.mu.
func (p *proposals) dropExpired() {
	for key, current := range p.byKey {
		if !current.expiry.IsZero() && time.Now().After(current.expiry) {
			delete(p.byKey, key)
		}
	}
}

// remove removes a proposal whose result was returned.
func (p *proposals) remove(key string, current *proposal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byKey[key] == current {
		delete(p.byKey, key)
	}
}
