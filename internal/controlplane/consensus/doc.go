// Package consensus is the fleet's agreed state: a log replicated over voters by the raft library,
// state machines that its entries go to, and sessions by which each command is applied once
// however often it is sent.
//
// A Node is one voter. It does no I/O: whoever drives it saves what Work names, syncs, and only then calls
// Saved and sends what that returns. Time and randomness come from outside, so an emulator plays the same
// code. A Node must not be used concurrently.
//
// # The fleet's time
//
// A leader stamps each entry: with the stamp of the last entry before its own, and what its clock has counted
// since it applied that one. A new leader stamps nothing before it has applied an entry of its own term, and so all
// before it. Therefore between two stamps no more time lies than any clock with the stated pace has counted between
// the two proposals: the fleet's time may stand still, it never runs ahead.
//
// # Promise
//
//   - A command that was answered OK is in the log of a majority, on disk, and was applied once.
//   - A command that got no answer was applied once or never; sent again in its session it is answered
//     as it was the first time.
//   - A Read sees all that was answered before it was asked.
//   - A voter whose folder is older than what it promised takes no part, as long as one of those who know its
//     promises answers when it starts (see Proof).
package consensus
