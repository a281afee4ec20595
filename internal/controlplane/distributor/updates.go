package distributor

import (
	"sync"

	"mothcleat/internal/controlplane/distribution"
)

// maxQueuedUpdates is how many updates of a machine wait for the server. Past it they are told as
// one: that the state was replaced.
const maxQueuedUpdates = 1024

// updateQueue takes updates from the voter's goroutine, which must not wait, to the server's.
type updateQueue struct {
	ready chan struct{} // there is something to take

	mu     sync.Mutex
	queued []distribution.Update
}

// put adds an update; it never waits.
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

// take returns all that waits.
func (q *updateQueue) take() []distribution.Update {
	q.mu.Lock()
	defer q.mu.Unlock()
	queued := q.queued
	q.queued = nil
	return queued
}
