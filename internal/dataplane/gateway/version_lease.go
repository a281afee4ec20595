package gateway

import (
	"time"

	"mothcleat/internal/dataplane/policy"
)

// VersionLease reports whether this gateway may operate under the configuration versions in force
// on it. It is called on the event loop's goroutine and must not block.
//
// A lease is time-based fencing at the sender: backends do not know versions, so they can't reject
// an attempt by a fencing token. The expiry is checked right before each write, and no earlier
// decision is carried out once that check fails. The process may be suspended between the check and
// the write of one attempt, as between any two instructions. Because only the event loop writes,
// one attempt at a time, each suspension lets at most one attempt be written after its lease has
// expired; every later attempt is checked again. The same applies to allocations.
type VersionLease interface {
	// Current returns when the lease expires, on a clock that advances while the process is
	// suspended, and a stamp of the versions in force. until is 0 if there is no lease.
	Current() (until time.Duration, stamp uint64)
	// Expired reports whether a decision made under a lease may no longer be carried out.
	Expired(until time.Duration, stamp uint64) bool
}

// OperationRecorder counts a gateway's operations by the versions in force at the time. It is
// called on the event loop's goroutine and must not block.
type OperationRecorder interface {
	// Sent counts a sent attempt; first: it is the request's first one, which takes units.
	Sent(first bool, units float64)
	// Rejected counts a rejected request; fenced: it was rejected for lack of a version lease.
	Rejected(fenced bool)
}

// fencedRetryAfter is the retry advice of a gateway without a version lease.
const fencedRetryAfter policy.Time = 500_000

// acquireVersionLease admits a request under the current version lease, or rejects it if there is
// none.
func (g *Gateway) acquireVersionLease(r *request) bool {
	if g.cfg.VersionLease == nil {
		return true
	}
	r.leaseUntil, r.leaseStamp = g.cfg.VersionLease.Current()
	if r.leaseUntil != 0 {
		return true
	}
	g.rejectFenced(r)
	return false
}

// fenced reports whether this gateway has no version lease now.
func (g *Gateway) fenced() bool {
	if g.cfg.VersionLease == nil {
		return false
	}
	until, _ := g.cfg.VersionLease.Current()
	return until == 0
}

// rejectFenced rejects a request for lack of a version lease. No attempt of it was sent.
func (g *Gateway) rejectFenced(r *request) {
	g.answer(r, g.retryLaterReply(fencedRetryAfter))
	if g.cfg.Operations != nil {
		g.cfg.Operations.Rejected(true)
	}
}

// versionLeaseExpired reports whether the lease that admitted a request has expired.
func (g *Gateway) versionLeaseExpired(r *request) bool {
	return g.cfg.VersionLease != nil && g.cfg.VersionLease.Expired(r.leaseUntil, r.leaseStamp)
}
