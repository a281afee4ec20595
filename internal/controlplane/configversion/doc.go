// Package configversion decides which configuration versions the gateways of a fleet operate under,
// how long each gateway may continue to do so, and which gateways lag behind.
//
// The configuration is a set of named items. Each version of an item has a number that only grows,
// a digest, and a time from which it is effective. The replicated state (Machine) holds all
// versions. A gateway (Holder) periodically queries which versions it may operate under, and each
// response is a version lease whose TTL counts from when the gateway sent the query. A gateway that
// can't reach the fleet therefore stops by itself, without being notified. When a version is
// withdrawn or superseded, an expiry is committed with it, after which no gateway operates under
// it, even if processes were stopped or disconnected in the meantime. The expiry is one TTL plus
// the clock-drift bound after the commitment, or earlier once all gateways have reported a later
// version.
//
// While versions overlap, a gateway knows which other versions may still be in use, so that it can
// apply the strictest of their terms.
//
// NextCommands, the rollout controller, decides when a version advances from one gateway to a tenth
// of the gateways to all. The package does no I/O and reads no clock. Its types are not safe for
// concurrent use.
package configversion
