// Package policy decides for a gateway that keeps each customer of a shared back end to its quota.
//
// A request consumes tokens of its customer's bucket, or of this gateway's share of it. Requests of
// plans that may exceed their quota can then use the shared bucket, which is filled by the overflow
// of full buckets; any other request is rejected at once with advice on when to retry. This is
// Berger and Whitt's multi-class input-regulation throttle, whose paper calls the shared bucket
// "bank 0"; see docs/design.md. Each decision has a file of its own, with its constants at the
// head.
//
// The package does no I/O, reads no clock and draws random numbers only from the seed passed to
// New: the same events give the same actions.
//
// The host owns the clock, the sockets and the timers. It must call a Balancer from one goroutine
// at a time, with non-decreasing times, report exactly one Outcome for each Send and one
// ReceiveProbeResult for each Probe, and end a request's attempts by its deadline. A repeated or
// unknown outcome is ignored; an attempt whose outcome is missing counts as in flight forever.
package policy
