package gateway

import (
	"mothcleat/internal/dataplane/policy"
)

// executedIDLifetime is how long an id is remembered: longer than a client may wait for an answer.
const executedIDLifetime policy.Time = 30_000_000

// executedIDs remembers the ids of requests that are not idempotent, may have been executed, and
// whose clients have left. A client that sends such a request once more gets an error, because the
// request must not run twice.
type executedIDs struct {
	until map[uint64]policy.Time // until when each id is remembered
	order []uint64               // by time of expiry
}

func newExecutedIDs() executedIDs { return executedIDs{until: map[uint64]policy.Time{}} }

// add remembers an id from now on.
func (e *executedIDs) add(id uint64, now policy.Time) {
	e.expire(now)
	if _, known := e.until[id]; !known {
		e.order = append(e.order, id)
		e.until[id] = now + executedIDLifetime
	}
}

// contains reports whether an id is remembered.
func (e *executedIDs) contains(id uint64, now policy.Time) bool { return e.until[id] > now }

// expire forgets the ids whose time has passed.
func (e *executedIDs) expire(now policy.Time) {
	for len(e.order) > 0 && e.until[e.order[0]] <= now {
		delete(e.until, e.order[0])
		e.order = e.order[1:]
	}
}

// repeatable reports whether a request may be executed twice.
func (g *Gateway) repeatable(r *request) bool {
	return !r.classKnown ||
		g.cfg.Settings.Classes[r.class].Idempotency != policy.NotIdempotent
}

// idTaken reports whether a request with the client's id is open or may have been executed.
func (g *Gateway) idTaken(clientID uint64) bool {
	open := g.requests.byClientID[clientID] != nil
	return open || g.requests.executed.contains(clientID, g.now())
}

// idsForSuccessor returns the ids that a successor must not execute once more: those remembered,
// and those of the open requests that are not idempotent.
func (g *Gateway) idsForSuccessor() []uint64 {
	g.requests.executed.expire(g.now())
	ids := append([]uint64(nil), g.requests.executed.order...)
	for _, r := range g.requests.byID {
		if !g.repeatable(r) {
			ids = append(ids, r.clientID)
		}
	}
	return ids
}
