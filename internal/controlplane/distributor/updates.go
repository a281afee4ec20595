package distributor

import (
	"sync"

	"mothcleat/internal/controlplane/distribution"
)

// maxQueuedUpdates is how many updates of a machine may wait for the server. Any more are merged
// into one that replaces the state.
const maxQueuedUpdates = 1024

// updateQueue passes updates from the voter's goroutine, which must not block, to the server's.
type updateQueue struct {
	// ready signals that there is something to take.
	ready chan struct{}

	mu     sync.Mutex
	queued []distribution.Update
}

// put adds an update and never blocks.
func (q *updateQueue) put(u distribution.Update) {
	q.mu.Lock()
	if len(q.queued) == maxQueuedUpdates {
		q.queued = q.queued[:0]
		u.Delta, u.Restored = nil, true
	}
	q.queued = append(q.queued, u)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take returns all queued updates.
func (q *updateQueue) take() []distribution.Update {
	q.mu.Lock()
	defer q.mu.Unlock()
	queued := q.queued
	q.queued = nil
	return queued
}
