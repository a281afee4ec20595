// Package clientlab plays clients and backends that behave badly against one gateway process at the
// platform's smallest limits, and measures what other clients get meanwhile. The stand-ins for
// clients, backends and discovery run in the rig's own process, on loopback addresses.
package clientlab
