// Package membership decides which servers exist, based on the lists of a service registry, which
// can be late and can contradict each other: which servers may receive work, which are draining,
// which are gone, and when each was started. It does no I/O; the caller passes the times at which
// lists arrived.
//
// Guarantees, if the times passed to Table.Apply never decrease:
//
//   - A server is Ready only if the newest accepted list says so. A list with an older index is
//     ignored, so that it can't undo a drain. Only several older lists in a row are taken as a sign
//     that the registry has restarted its index.
//   - At most one server is Ready at an address, and at most one server has a given name.
//   - A server that was gone and is listed again counts as started when it was listed again, unless
//     the registry shows that it is the same process.
//   - An empty list that follows a list of several servers is taken for an outage of the registry,
//     not of all servers: the servers are kept for Settings.EmptyListHold.
package membership
