// Package controlrpc carries the calls between the processes of a fleet's control plane: between
// voters, between every process and the voters, and between processes for allocations, usage and
// the contents of versions. It decides nothing.
//
// It is gRPC without encryption or authentication, for loopback and private networks only.
package controlrpc
