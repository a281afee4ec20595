// Package allocation divides limits that all gateways of a fleet share: a tenant's quota, its
// ceiling, or anything else that has one rate and one burst for all gateways together. Each such
// limit is a budget.
//
// # Invariant
//
// At every instant, the allocations that any member may still be using, whether it is running,
// suspended, partitioned or has exited, and the pool from which the leader grants on demand, sum to
// no more than the limit: in rate, in burst, and in units that are stored or in flight. Over any
// window of length w, all gateways together therefore use at most burst + rate x w units, plus
// three terms: the units used between a decision and its write (the rate over Config.UseTimeout),
// the difference between clocks (Config.ClockDrift of the rate), and one request for each process
// that is suspended between its last check of the clock and its write.
//
// # Protocol
//
// The allocations of all members are in the replicated state (Machine), which rejects a round that
// would exceed the limit or that was proposed under an old term. Each shard has one Leader, which
// divides the shard's budgets:
//
//   - To increase an allocation, the leader first commits an entry and then notifies the member.
//   - To reduce an allocation, the leader first notifies the member. It proposes the entry that
//     frees the difference only when the member has acknowledged the reduction, or the member's TTL
//     and the clock-drift bound have passed by the leader's clock.
//   - An allocation is valid for Config.TTL after its member sent its last renewal; the reserved
//     minimum that it includes is valid for Config.ReservedTTL. A member that reaches no leader
//     falls back to its reserved minimum, and then to nothing.
//   - Stored units move with an allocation. Both sides count them as totals that only grow during a
//     term, so that a duplicated, delayed or lost message creates no units. A member reports how
//     many of the returned units exceeded a reduced allocation: only those become free with the
//     reduction. Other returned units go back to the pool once, up to the headroom that the pool
//     has had since they became free. Units that were granted to an allocation that has expired are
//     lost, including those that never reached the member.
//   - The rest of the limit is the pool, which only the leader uses. The leader grants units of the
//     pool on demand, without an entry, to waiting requests. It does not grant the units that are
//     committed as carryover: the next leader starts with exactly these.
//   - Units that a member takes or is granted are used within Config.UseTimeout, or never.
//
// This package does no I/O, starts no goroutine and reads no clock. None of its types is safe for
// concurrent use.
package allocation
