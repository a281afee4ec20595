// Package registry follows the list of servers in a service registry and reports changes in one
// form, whichever registry it is. Sources do their I/O on their own goroutines.
package registry

import "context"

// Member is a server as listed by a registry, in the form of the platform's discovery.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	// UpSince is the server's last start in Unix milliseconds; 0 means long ago.
	UpSince int64 `json:"up_since_ms"`
}

// The phases of a member. A member in an unknown phase receives no work.
const (
	Ready       = "Ready"
	Terminating = "Terminating" // finishes its work and must receive no new work
	Gone        = "Gone"        // used in deltas only
)

// List is the complete list of members, or the changes since an earlier revision.
type List struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Kind is the kind of an update.
type Kind uint8

// The kinds of updates: the complete list, the changes since the last update, or the information
// that no list is available.
const (
	CompleteList Kind = iota
	Delta
	Unavailable
)

// Update is a notification from a source. The receiver owns the members.
type Update struct {
	Kind    Kind
	Members []Member
}

// Source follows the list of servers in one registry.
type Source interface {
	// Run passes updates to notify until the context ends. It calls notify from one goroutine at
	// a time, in the order in which the updates must be applied.
	Run(ctx context.Context, notify func(Update))
	// Follow makes the source follow the list from now on if the registry has to be polled. It
	// does nothing for other sources. It may be called at any time, but from one goroutine only.
	Follow()
	// Move makes the source follow the list at another address. Calls to the old address end
	// first, and a complete list is fetched from the new one. It may be called at any time, but
	// from one goroutine only.
	Move(address string)
}
