// Package distribution carries the control state of a fleet (the list of servers, later the
// configuration) from the agreed log to every gateway as differences.
//
// The parts, in the order in which a change passes them:
//
//   - Machine is the agreed state machine. It gives each change of the State a revision and a digest.
//   - ChangeLog keeps the newest deltas of a server, bounded, so that a replica can resume.
//   - Publisher decides what a server sends on which stream, and when.
//   - Replica decides for a gateway: which server it watches, what it takes in, what it asks for.
//   - Repair brings a State that does not fit up to date by those buckets alone that differ.
//
// # Positions
//
// A Position is (epoch, revision, digest). The epoch names a lineage of revisions: it is given by
// the first command that a fleet's machine takes, and a fleet that is founded anew has a later,
// greater one. Positions are ordered by epoch, then revision. Terms of the source can't order
// epochs: a fleet that is founded anew counts its terms from one again.
//
// # Guarantees
//
//   - A replica's state is at each position that it reports the state which the agreed log has there:
//     every delta and every repair is verified by the digest of the whole state before it counts.
//   - A delta is applied on its exact revision and epoch or not at all.
//   - A replica never goes back to an earlier position.
//   - Nothing here grows without a bound: logs, messages under way, retries.
//
// Digests are sums of xxh3 hashes. They find faults of programs, disks and links; they are no
// defence against somebody who makes records up.
//
// Nothing here does I/O, starts a goroutine, looks at a clock or draws from a global source of
// randomness. Times are counted from any fixed moment of the caller's. No type may be used
// concurrently, except that a State that nobody changes any more may be read by many.
package distribution
