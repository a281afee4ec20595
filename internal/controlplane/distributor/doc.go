// Package distributor carries the agreed control state from the voters to all processes of a fleet:
// the gRPC service that every voter answers, the client that keeps a replica of it, in memory and
// on disk, and the list of servers as the first user of both. What is to be sent, fetched, merged
// or refused is decided by package distribution; the goroutines, connections, files and clocks are
// here.
package distributor
