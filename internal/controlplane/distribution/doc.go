// Package distribution carries the control state of a fleet (the list of servers, plans and
// tenants) from the replicated log to every gateway as differences.
//
// The parts, in the order in which a change passes them:
//
//   - Machine is the replicated state machine. It assigns a revision and a digest to each change of
//     the State.
//   - ChangeLog holds a bounded number of a server's newest deltas, from which replicas resume.
//   - Publisher decides what a server sends on each stream, and when.
//   - Replica decides for a gateway which server it watches, what it applies and what it requests.
//   - Repair brings a diverged or outdated State up to date by fetching only the buckets that
//     differ.
//
// # Positions
//
// A Position is (epoch, revision, digest). The epoch identifies a lineage of revisions. It is set
// by the first command that a fleet's machine applies. A fleet that is created anew gets a greater
// epoch. Positions are ordered by epoch, then revision. The source's terms can't order epochs,
// because a new fleet counts its terms from one again.
//
// # Guarantees
//
//   - At each position that a replica reports, its state equals the state of the replicated log at
//     that position. Every delta and every repair is verified against the digest of the complete
//     state before it is applied.
//   - A delta is applied to its exact revision and epoch or not at all.
//   - A replica never returns to an earlier position.
//   - Logs, messages in flight and retries are bounded.
//
// Digests are sums of xxh3 hashes. They detect faults of programs, disks and links. They do not
// protect against an attacker who crafts records.
//
// The package does no I/O, starts no goroutines, reads no clock and uses no global source of
// randomness. Times are durations since a fixed moment that the caller chooses. No type is safe for
// concurrent use, except that any number of goroutines may read a State that is no longer modified.
package distribution
