// Package gateway implements a gateway on real sockets around the policy package's Balancer. It
// reads from clients, backends, discovery, the central counter and peers, passes events to the
// balancer and carries out the balancer's decisions. The gateway itself decides only what the
// balancer can't: malformed commands, and its own limits on memory and connections.
//
// One goroutine, the event loop's, owns all state (see Gateway and eventLoop) and never blocks on a
// socket. Each connection and each event source has its own goroutine, which reads and posts
// events.
package gateway
