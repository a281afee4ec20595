// Package distribution carries the control state of a fleet (the list of servers, plans and
// tenants) from the replicated log to every gateway as differences.
//
// The parts, in the order in which a change passes them:
//
//   - Machine is the replicated state machine. It gives each change of the State a revision and a
//     digest.
//   - ChangeLog holds a server's newest deltas, bounded, so that a replica can resume.
//   - Publisher decides what a server sends on which stream, and when.
//   - Replica decides for a gateway which server it watches, what it applies and what it requests.
//   - Repair brings a diverged or outdated State up to date by fetching only the buckets that
//     differ.
//
// # Positions
//
// A Position is (epoch, revision, digest). The epoch identifies a lineage of revisions. It is set
// by the first command that a fleet's machine applies, and a fleet that is created anew gets a
// greater one. Positions are ordered by epoch, then revision. Terms of the source can't order
// epochs, as a new fleet counts its terms from one again.
//
// # Guarantees
//
//   - A replica's state at each position that it reports is the state that the replicated log has
//     there: every delta and every repair is verified by the digest of the complete state before it
//     is applied.
//   - A delta is applied to its exact revision and epoch or not at all.
//   - A replica never goes back to an earlier position.
//   - Everything is bounded: logs, messages in flight, retries.
//
// Digests are sums of xxh3 hashes. They detect faults of programs, disks and links. They do not
// protect against an attacker who crafts records.
//
// Nothing here does I/O, starts a goroutine, reads a clock or uses a global source of randomness.
// Times are counted from any fixed moment that the caller chooses. No type is safe for concurrent
// use, except that any number of goroutines may read a State that is no longer modified.
package distribution
