// Package consensus holds the fleet's replicated state: a log that the raft library replicates
// among voters, the state machines that apply its entries, and sessions, which make sure that each
// command is applied once however often it is sent.
//
// A Node is one voter. It does no I/O: its driver stores what Ready returns, syncs, and only then
// calls Advance and sends the messages that this returns. Time and randomness are arguments, so an
// emulator runs the same code. A Node is not safe for concurrent use.
//
// # The fleet's time
//
// A leader gives each entry a timestamp: the timestamp of the newest entry that it has applied,
// plus the time that its clock has counted since it applied that entry. A new leader proposes
// nothing before it has applied an entry of its own term, and with it all earlier entries.
// Therefore the time between two timestamps is never more than what a clock within the clock-drift
// bound has counted between the two proposals: the fleet's time may stop, but it never runs ahead.
//
// # Guarantees
//
//   - A command that was answered OK is in the log of a majority, on disk, and was applied once.
//   - A command that got no answer was applied once or never. If it is sent again in its session,
//     it gets the answer of its first application.
//   - A Read sees everything that was answered before it was sent.
//   - A voter whose stored state is older than its promises takes no part, as long as one of the
//     voters that know of these promises replies when it starts (see Verification).
package consensus
