// Package membership decides which servers there are, from the late and contradictory lists of a
// service registry: which may be sent work, which drain, which are gone, and when each was started.
// It does no I/O; the times at which lists arrived come from outside.
//
// Guarantees, for lists given to Table.Apply with times that never go back:
//
//   - A server is Ready only if the newest accepted list says so. A list with an older index undoes
//     nothing, least of all a drain; only several in a row show that the registry has begun to
//     count anew.
//   - At most one server is Ready at an address, and at most one of a name.
//   - A server that was gone and is back counts as started when it was listed again, unless the
//     registry shows that it is the same process.
//   - An empty list after one of several servers is taken for an outage of the registry, not of all
//     servers: they stay for a stated time.
package membership
