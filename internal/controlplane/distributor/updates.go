package distributor

import (
	"sync"

	"mothcleat/internal/controlplane/distribution"
)

// maxQueuedUpdates is how many updates of a state machine may wait for the server. When the queue
// is full, the next update replaces all queued ones: it has the complete state instead of a delta.
const maxQueuedUpdates = 1024

// updateQueue passes updates from the voter's goroutine, which must not block, to Server.Run's
// goroutine.
type updateQueue struct {
	// ready signals that updates are queued.
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
