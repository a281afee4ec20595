// Package distributor carries the replicated control state from the voters to all processes of a
// fleet. It has the gRPC service that every voter serves, the client that maintains a replica in
// memory and on disk, and the list of servers as the first user of both. Package distribution
// decides what is sent, fetched, merged or rejected; goroutines, connections, files and clocks are
// here.
package distributor
