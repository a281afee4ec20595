// Package distributor transfers the replicated control state from the voters to all processes of a
// fleet. It contains the gRPC service that every voter serves, the client that maintains a replica
// in memory and on disk, and their first user, the list of servers. Package distribution decides
// what is sent, fetched, merged or rejected; this package has the goroutines, connections, files
// and clocks.
//
// Comments call the process that watches the registry on behalf of the fleet the source. It
// proposes commands with the changes of the list, and heartbeats (empty commands) between them.
package distributor
