// Package controlrpc implements the calls between the processes of a fleet's control plane: between
// voters, between every process and the voters, and between processes for allocations, usage and
// the contents of versions. It only transports requests and answers; other packages make the
// decisions.
//
// It uses gRPC without encryption or authentication, for loopback and private networks only.
package controlrpc
