// Package configversion decides which configuration versions the gateways of a fleet operate under,
// for how long one may go on doing so, and which of them lag behind.
//
// The configuration is a set of named items. Each version of an item has a number that only grows,
// a digest, and a time from which it is effective; all of them are in the replicated state
// (Machine). A gateway (Holder) asks again and again what it may operate under, and each answer is
// a version lease: it holds for a TTL that counts from when the gateway asked. So a gateway that
// can't reach the fleet stops by itself, and nothing has to reach it. A version that was withdrawn
// or superseded is in use nowhere after a time that is committed with it: the TTL and the
// clock-drift bound later, whatever was stopped or cut off in the meantime, and earlier once all
// gateways have reported a later version.
//
// While versions overlap, a gateway knows which other ones may still be in use, so that it can keep
// to the strictest of their terms.
//
// NextCommands, the rollout controller, decides when a version goes on from one gateway to a tenth
// of them to all. Nothing here does I/O or reads a clock. No type may be used concurrently.
package configversion
