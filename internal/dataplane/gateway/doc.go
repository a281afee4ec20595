// Package gateway is a gateway on real sockets around the policy package's Balancer. It reads
// clients, backends, discovery, the central counter and peers, tells the balancer what happened and
// carries out what it decides. The gateway itself decides only what the balancer can't: malformed
// commands, and its own limits of memory and connections.
//
// One goroutine, the event loop's, owns all state (see Gateway and eventLoop) and never blocks on a
// socket. Each connection and each source has a goroutine that reads and posts events.
package gateway
